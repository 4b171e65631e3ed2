#include "core/forwarding/server_contact.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "core/forwarding/crash_suspects.h"
#include "core/forwarding/server_probes.h"
#include "core/membership/fact_table.h"

namespace limpetrouter::core::forwarding {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Calls to this many servers without an answer in between put the links of the instance in doubt. Servers fail one by
/// one or in groups at any time, so that a failure of one server says nothing about the links.
constexpr std::size_t kDoubtfulServers = 2;
/// Number of servers that are probed at a time. It is unlikely that all of them are down for another reason.
constexpr std::size_t kProbedServers = 5;
/// A call without an answer counts as failed after this multiple of its expected time, and not before the least time.
constexpr int kOverdueFactor = 3;
constexpr base::duration kMinOverdue = milliseconds(60);
/// Overdue calls are looked for at this interval.
constexpr base::duration kCheckInterval = milliseconds(20);
/// Links in doubt whose probes have succeeded are not probed again before this time.
constexpr base::duration kCalmTime = milliseconds(500);
/// Lost links are probed at this interval.
constexpr base::duration kProbeInterval = milliseconds(300);
/// Other instances take the links of an instance for lost for this time after its last statement, which is repeated
/// at the interval.
constexpr base::duration kStatementLifetime = seconds(10);
constexpr base::duration kStatementInterval = seconds(4);

void NoteAnswer(server_contact& contact, base::time_point now) {
  contact.last_answer = now;
  contact.unanswering.clear();
}

void NoteConnection(server_contact& contact, base::time_point now) {
  contact.last_connection = now;
  contact.unreachable.clear();
}

/// True if bytes from a server have arrived.
bool IsAnswered(const call_result& result) {
  if (!result.failure.has_value()) return true;
  switch (*result.failure) {
    case base::error_kind::kBackendShed:
    case base::error_kind::kBackendReplaced:
    case base::error_kind::kAnswerMismatched:
    case base::error_kind::kAnswerMalformed:
    case base::error_kind::kAnswerTruncated:
      return true;
    default:
      return false;
  }
}

/// Adds the servers that have left a call unanswered for an unusually long time since the last answer.
void FindOverdueServers(forwarding_tables& tables, base::time_point now) {
  server_contact& contact = tables.contact;
  if (now < contact.next_check) return;
  contact.next_check = now + kCheckInterval;
  if (now - contact.last_answer < kMinOverdue) return;
  for (const auto& [id, running] : tables.calls) {
    const auto found = tables.servers.servers.find(running.server);
    if (found == tables.servers.servers.end()) continue;
    for (const running_call& call : found->second.running) {
      if (call.id != id) continue;
      const base::duration limit = std::max<base::duration>(kOverdueFactor * call.expected, kMinOverdue);
      if (now - std::max(call.started, contact.last_answer) >= limit) contact.unanswering.insert(running.server);
    }
  }
}

/// Returns the servers that should accept a connection, without those that are known to refuse them.
std::vector<base::backend_server_id> ProbeCandidates(const forwarding_tables& tables) {
  std::vector<base::backend_server_id> candidates;
  for (const auto& [service, ids] : tables.servers.by_service) {
    for (const base::backend_server_id& id : ids) {
      const server& each = tables.servers.servers.at(id);
      const bool usable = !each.record.draining && each.missing_since == base::time_point{} &&
                          !IsEvacuated(tables.servers.evacuations, each.record.data_centre);
      if (usable && !tables.contact.refusing.contains(id)) candidates.push_back(id);
    }
  }
  return candidates;
}

std::vector<base::backend_server_id> ChooseProbed(const forwarding_tables& tables, instance::context& ctx) {
  std::vector<base::backend_server_id> candidates = ProbeCandidates(tables);
  const std::size_t count = std::min(kProbedServers, candidates.size());
  for (std::size_t i = 0; i < count; ++i)
    std::swap(candidates[i], candidates[i + base::NextBelow(ctx.random, candidates.size() - i)]);
  candidates.resize(count);
  return candidates;
}

void StartProbes(forwarding_tables& tables, instance::context& ctx) {
  server_contact& contact = tables.contact;
  contact.probes.clear();
  contact.probes_started = ctx.now;
  for (const base::backend_server_id& id : ChooseProbed(tables, ctx))
    contact.probes.insert(StartProbe(tables, ctx, tables.servers.servers.at(id)));
  contact.next_probes = ctx.now + kProbeInterval;
}

/// Decides about the servers that refused connections: they are down if another server has been reached since they
/// lost their last call, or if there is no other server to compare with.
void DecideRefusals(forwarding_tables& tables, instance::context& ctx) {
  server_contact& contact = tables.contact;
  if (contact.refusing.empty()) return;
  const base::time_point reached = std::max(contact.last_answer, contact.last_connection);
  const bool only_servers = ProbeCandidates(tables).empty();
  std::erase_if(contact.refusing, [&](const base::backend_server_id& id) {
    const auto found = tables.servers.servers.find(id);
    if (found == tables.servers.servers.end() || found->second.lost_calls.empty()) return true;
    if (reached < found->second.lost_calls.back().lost && !only_servers) return false;
    NoteServerDown(found->second, ctx);
    return true;
  });
}

void Publish(server_contact& contact, instance::context& ctx) {
  contact.next_statement = ctx.now + kStatementInterval;
  membership::RecordCutOff(ctx.facts, ctx.members.self.ref.id, contact.state != contact_state::kConnected,
                           kStatementLifetime, ctx.now);
}

/// Servers that were ejected because this instance could not reach them are usable again.
void ForgetEjections(forwarding_tables& tables, base::time_point since) {
  for (auto& [id, each] : tables.servers.servers) {
    if (each.failure_at < since) continue;
    each.ejected_until = {};
    each.ejections = 0;
    each.failures_in_row = 0;
    each.failure_share = 0;
  }
}

void SetState(forwarding_tables& tables, instance::context& ctx, contact_state state) {
  server_contact& contact = tables.contact;
  if (state == contact.state) return;
  const contact_state before = std::exchange(contact.state, state);
  instance::LogDecision(ctx, "server_contact",
                        {{"state", std::string(ToString(state))},
                         {"replaces", std::string(ToString(before))},
                         {"for_ms", std::to_string(base::ToMilliseconds(ctx.now - contact.since))},
                         {"unanswering", std::to_string(contact.unanswering.size())},
                         {"unreachable", std::to_string(contact.unreachable.size())},
                         {"answer_age_ms", std::to_string(base::ToMilliseconds(ctx.now - contact.last_answer))}});
  // The links were lost some time before that was noticed.
  if (state == contact_state::kConnected) ForgetEjections(tables, std::min(contact.since, contact.last_answer));
  if (state != contact_state::kConnected) {
    // The calls were lost with the links, so that they say nothing about their requests.
    for (const base::backend_server_id& id : std::exchange(contact.refusing, {})) {
      const auto found = tables.servers.servers.find(id);
      if (found != tables.servers.servers.end()) found->second.lost_calls.clear();
    }
  }
  if (before == contact_state::kConnected || state == contact_state::kConnected) {
    contact.since = ctx.now;
    Publish(contact, ctx);
  }
}

}  // namespace

std::string_view ToString(contact_state state) {
  switch (state) {
    case contact_state::kConnected:
      return "connected";
    case contact_state::kNoNewConnections:
      return "no_new_connections";
    case contact_state::kCutOff:
      break;
  }
  return "cut_off";
}

void NoteContact(forwarding_tables& tables, instance::context& ctx, const call& ended, const call_result& result) {
  server_contact& contact = tables.contact;
  if (IsAnswered(result)) {
    if (result.opened_connection) NoteConnection(contact, ctx.now);
    NoteAnswer(contact, ctx.now);
    return DecideRefusals(tables, ctx);
  }
  if (result.failure == base::error_kind::kConnectFailed) contact.unreachable.insert(ended.server);
  // A call that was cancelled because another one was faster says nothing.
  if (result.failure != base::error_kind::kCancelled) contact.unanswering.insert(ended.server);
}

void NoteProbe(forwarding_tables& tables, instance::context& ctx, const probe_id& probe, bool connected) {
  server_contact& contact = tables.contact;
  const bool awaited = contact.probes.erase(probe) > 0;
  if (connected) {
    NoteConnection(contact, ctx.now);
    contact.unanswering.clear();
    DecideRefusals(tables, ctx);
    if (!awaited && contact.state == contact_state::kConnected) return;
    contact.probes.clear();
    contact.next_probes = ctx.now + kCalmTime;
    return SetState(tables, ctx, contact_state::kConnected);
  }
  if (!awaited || !contact.probes.empty()) return;
  const bool answered = contact.last_answer >= contact.probes_started;
  SetState(tables, ctx, answered ? contact_state::kNoNewConnections : contact_state::kCutOff);
}

void NoteRefusal(forwarding_tables& tables, instance::context& ctx, const base::backend_server_id& id) {
  if (tables.contact.state != contact_state::kConnected) return;
  tables.contact.refusing.insert(id);
  DecideRefusals(tables, ctx);
}

void RunContact(forwarding_tables& tables, instance::context& ctx) {
  server_contact& contact = tables.contact;
  FindOverdueServers(tables, ctx.now);
  const bool lost = contact.state != contact_state::kConnected;
  // Also replaces a statement of an earlier incarnation of this instance.
  const bool stated = membership::IsCutOff(ctx.facts, ctx.members.self.ref.id, ctx.now);
  if (lost != stated || (lost && ctx.now >= contact.next_statement)) Publish(contact, ctx);
  if (!contact.probes.empty()) return;
  DecideRefusals(tables, ctx);
  if (!contact.refusing.empty()) return StartProbes(tables, ctx);
  if (ctx.now < contact.next_probes) return;
  if (lost || IsInDoubt(tables)) StartProbes(tables, ctx);
}

bool IsInDoubt(const forwarding_tables& tables) {
  const server_contact& contact = tables.contact;
  const std::size_t needed = std::min(kDoubtfulServers, tables.servers.servers.size());
  return needed > 0 && std::max(contact.unanswering.size(), contact.unreachable.size()) >= needed;
}

void ResetContact(forwarding_tables& tables, base::time_point now) {
  server_contact& contact = tables.contact;
  contact.unanswering.clear();
  contact.unreachable.clear();
  contact.probes.clear();
  contact.last_answer = now;
  contact.last_connection = now;
}

}  // namespace limpetrouter::core::forwarding
