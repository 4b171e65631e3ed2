#include "core/gather/crash_evidence.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/digest.h"
#include "core/gather/calls.h"
#include "core/gather/guards.h"

namespace limpetrouter::core::gather {
namespace {

/// A crash of a backend server breaks all of its connections within this time.
constexpr base::duration kIncidentWindow = std::chrono::milliseconds(5);
/// Maximum of instances that are notified of a crash directly.
constexpr std::size_t kMaxNotified = 64;

/// Returns the fingerprints of the guarded calls that were running when the connections broke, each once.
std::set<base::fingerprint_id> Suspects(const gather_tables& tables, const holding& holding) {
  std::set<base::fingerprint_id> suspects;
  for (const lost_call& lost : holding.incident->lost) {
    if (lost.call.guarded) suspects.insert(lost.call.request->fingerprint);
  }
  for (const call_key& key : holding.running) {
    const call& call = tables.calls.at(key);
    if (call.guarded) suspects.insert(call.request->fingerprint);
  }
  return suspects;
}

/// Records that a fingerprint may have crashed a backend server; `certain` means that no other fingerprint can have
/// caused the crash. A second crash that is certain withholds the fingerprint.
void RecordCrash(gather_tables& tables, instance::context& ctx, const holding& holding,
                 base::fingerprint_id fingerprint, bool certain) {
  const base::duration withhold_time =
      ctx.config == nullptr ? config::limits{}.withhold_time : ctx.config->limit.withhold_time;
  const bool suspected_before = membership::IsSuspected(ctx.facts, fingerprint, ctx.now);
  RevokeProven(tables, fingerprint);
  membership::RecordSuspected(ctx.facts, fingerprint, {ServerHash(holding.id), certain}, withhold_time, ctx.now);
  if (suspected_before && certain) membership::RecordWithheld(ctx.facts, fingerprint, withhold_time, ctx.now);
  const bool withheld = membership::IsWithheld(ctx.facts, fingerprint, ctx.now);
  instance::LogDecision(ctx, withheld ? "withhold" : "suspect",
                        {{"fingerprint", base::ToHex(fingerprint.value)},
                         {"backend_server", holding.id.value},
                         {"certain", certain ? "yes" : "no"}});
}

/// Appends the facts about the fingerprint that have not expired, with their remaining lifetime.
void AppendFacts(const instance::context& ctx, base::fingerprint_id fingerprint, std::vector<peer::fact>& facts) {
  for (const auto kind : {peer::fact_kind::kRequestSuspected, peer::fact_kind::kRequestWithheld}) {
    const auto found = ctx.facts.facts.find({kind, base::ToHex(fingerprint.value)});
    if (found == ctx.facts.facts.end() || found->second.expires <= ctx.now) continue;
    facts.push_back(found->second.fact);
    facts.back().expires_in_us = (found->second.expires - ctx.now).count();
  }
}

/// Sends the facts to the holders of the other replicas, which would execute the request next, instead of waiting until
/// gossip has spread them.
void NotifyHolders(instance::context& ctx, const holding& holding, const std::vector<peer::fact>& facts) {
  if (ctx.config == nullptr || facts.empty()) return;
  std::set<base::instance_id> targets;
  const auto& servers = ctx.config->backend_servers;
  for (std::size_t i = 0; i < servers.size() && i < ctx.placement.by_backend_server.size(); ++i) {
    if (servers[i].service != holding.service) continue;
    targets.insert(ctx.placement.by_backend_server[i].primary);
    targets.insert(ctx.placement.by_backend_server[i].standby);
  }
  targets.erase(base::instance_id());
  targets.erase(ctx.members.self.ref.id);
  std::size_t notified = 0;
  for (const base::instance_id& target : targets) {
    if (notified++ == kMaxNotified) break;
    instance::SendToPeer(ctx, target, peer::announce{{{}, facts}});
  }
}

void CloseIncident(gather_tables& tables, instance::context& ctx, holding& holding) {
  const std::set<base::fingerprint_id> suspects = Suspects(tables, holding);
  std::vector<peer::fact> facts;
  for (const base::fingerprint_id& fingerprint : suspects) {
    RecordCrash(tables, ctx, holding, fingerprint, suspects.size() == 1);
    AppendFacts(ctx, fingerprint, facts);
  }
  NotifyHolders(ctx, holding, facts);
  std::vector<lost_call> lost = std::move(holding.incident->lost);
  holding.incident.reset();
  holding.ready = true;
  holding.health.preconnect = true;
  holding.health.next_probe = std::min(holding.health.next_probe, ctx.now + std::chrono::milliseconds(50));
  for (lost_call& item : lost) {
    tables.pending.push_back({item.call.key.entry, item.call.request->query, std::move(item.result)});
    if (item.call.guarded) EndGuarded(tables, ctx, item.call, false);
  }
}

}  // namespace

void AddLostCall(gather_tables& tables, instance::context& ctx, const call_key& key, peer::attempt_result result) {
  lost_call lost;
  lost.call = TakeCall(tables, key);
  lost.result = std::move(result);
  lost.result.queued_us = (lost.call.started - lost.call.arrived).count();
  holding& holding = tables.holdings.at(lost.call.server);
  if (!holding.incident.has_value()) holding.incident = crash_incident{ctx.now, {}};
  holding.incident->lost.push_back(std::move(lost));
}

void CloseIncidents(gather_tables& tables, instance::context& ctx) {
  for (auto& [id, holding] : tables.holdings) {
    if (!holding.incident.has_value() || ctx.now - holding.incident->opened < kIncidentWindow) continue;
    CloseIncident(tables, ctx, holding);
  }
}

}  // namespace limpetrouter::core::gather
