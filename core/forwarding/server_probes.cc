#include "core/forwarding/server_probes.h"

#include <algorithm>
#include <string>

#include "core/forwarding/server_choice.h"
#include "core/forwarding/server_contact.h"

namespace limpetrouter::core::forwarding {
namespace {

using std::chrono::milliseconds;

/// A server is not probed more often than this, because each probe is a connection that the server has to accept.
constexpr base::duration kMinProbeInterval = milliseconds(200);

}  // namespace

void ProbeAfterLostCall(forwarding_tables& tables, instance::context& ctx, server& target) {
  if (target.probed_at != base::time_point{} && ctx.now - target.probed_at < kMinProbeInterval) return;
  StartProbe(tables, ctx, target);
}

probe_id StartProbe(forwarding_tables& tables, instance::context& ctx, server& target) {
  target.probed_at = ctx.now;
  const probe_id probe(tables.next_probe++);
  tables.probes.emplace(probe, running_probe{target.record.id, target.record.incarnation, ctx.now});
  ctx.out.emplace_back(io::probe_server{probe, target.record.address});
  return probe;
}

void HandleProbeEnded(forwarding_tables& tables, instance::context& ctx, const io::server_probe_ended& event) {
  const auto running = tables.probes.find(event.probe);
  if (running == tables.probes.end()) return;
  const running_probe ended = running->second;
  tables.probes.erase(running);
  NoteProbe(tables, ctx, event.probe, event.connected);
  const auto found = tables.servers.servers.find(ended.server);
  if (found == tables.servers.servers.end() || found->second.record.incarnation != ended.incarnation) return;
  server& target = found->second;
  instance::LogDecision(ctx, "probe",
                        {{"backend_server", ended.server.value},
                         {"connected", event.connected ? "yes" : "no"},
                         {"after_ms", std::to_string(base::ToMilliseconds(ctx.now - ended.started))},
                         {"lost_calls", std::to_string(target.lost_calls.size())}});
  if (event.connected) return;
  NoteRefusal(tables, ctx, ended.server);
  NoteUnreachable(target, ctx.now);
}

}  // namespace limpetrouter::core::forwarding
