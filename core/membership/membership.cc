#include "core/membership/membership.h"

#include <algorithm>
#include <chrono>
#include <variant>

#include "core/membership/fact_spread.h"
#include "core/membership/member_change.h"

namespace limpetrouter::core::membership {
namespace {

constexpr base::duration kCleanUpInterval = std::chrono::seconds(1);
/// Updates about a dead member are disseminated for seconds, but the table of the other side of a partition may contain
/// the member much later.
constexpr base::duration kDeadRetention = std::chrono::minutes(10);
/// How long a new instance waits for a message from a peer before it becomes ready without any peer.
constexpr base::duration kReadyWait = std::chrono::seconds(2);

void CleanUp(membership_tables& tables, base::time_point now) {
  if (now < tables.next_cleanup) return;
  tables.next_cleanup = now + kCleanUpInterval;
  CleanUpFacts(tables, now);
  std::erase_if(tables.members.members, [now](const auto& item) {
    const member& entry = item.second;
    return entry.info.state == peer::member_state::kDead && !entry.listed && now - entry.since > kDeadRetention;
  });
}

}  // namespace

void HandleHeader(membership_tables& tables, instance::context& ctx, const peer::message_header& header) {
  RecordContact(tables, ctx, header.sender, header.data_centre);
  HandlePeerRevision(tables, ctx, header);
}

void HandleProbe(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                 const peer::probe& probe) {
  MergeChanges(tables, ctx, probe.changes);
  AnswerProbe(tables, ctx, header.sender.id, probe.sequence);
}

void HandleProbeAck(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                    const peer::probe_ack& ack) {
  MergeChanges(tables, ctx, ack.changes);
  AcceptAck(tables, ctx, ack.sequence);
  CompareDigest(tables, ctx, header.sender.id, ack.table_digest);
}

void HandleIndirectProbe(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                         const peer::indirect_probe& request) {
  MergeChanges(tables, ctx, request.changes);
  RelayProbe(tables, ctx, header.sender.id, request);
}

void HandleAnnounce(membership_tables& tables, instance::context& ctx, const peer::message_header& /*header*/,
                    const peer::announce& announce) {
  MergeChanges(tables, ctx, announce.changes);
}

void HandleTableExchange(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                         const peer::table_exchange& exchange) {
  MergeTables(tables, ctx, header.sender.id, exchange);
}

void HandleInstanceList(membership_tables& tables, instance::context& ctx, const io::instance_list_read& event) {
  MergeInstanceList(tables, ctx, event);
}

void HandleConfigurationRead(membership_tables& tables, instance::context& ctx, const io::configuration_read& event) {
  HandleReadResult(tables, ctx, event.source);
}

void HandleConfigurationReadFailed(membership_tables& tables, instance::context& ctx,
                                   const io::configuration_read_failed& event) {
  HandleReadFailure(tables, ctx, event.reason);
}

void HandleConfigurationRequest(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                                const peer::configuration_request& request) {
  AnswerFetch(tables, ctx, header.sender.id, request);
}

void HandleConfigurationValue(membership_tables& tables, instance::context& ctx, const peer::message_header& header,
                              const peer::configuration_value& value) {
  AcceptValue(tables, ctx, header.sender.id, value);
}

void HandleSendFailed(membership_tables& tables, instance::context& ctx, const io::peer_send_failed& event) {
  if (std::holds_alternative<peer::configuration_request>(event.message.body)) HandleFetchFailure(tables, event.target);
  if (std::holds_alternative<peer::table_exchange>(event.message.body)) HandleExchangeFailure(tables, ctx.now);
  ProbeNow(tables, ctx, event.target);
}

void HandleLeave(membership_tables& tables, instance::context& ctx) {
  if (tables.members.self_leaving) return;
  tables.members.self_leaving = true;
  ++tables.members.self_counter;
  ++tables.members.version;
  AnnounceRepeatedly(tables, ctx.now);
}

void HandlePause(membership_tables& tables, instance::context& ctx, base::duration /*gap*/) {
  RestartDetector(tables, ctx);
  ReadSoon(tables, ctx);
  FetchFromRandomMember(tables, ctx);
  tables.list.next_read = ctx.now;
  // Changes during the pause may no longer be disseminated, so a complete table is exchanged.
  tables.exchange.joined = false;
  AnnounceSoon(tables);
}

void RunMembership(membership_tables& tables, instance::context& ctx) {
  if (!tables.started.has_value()) {
    tables.started = ctx.now;
    ReadSoon(tables, ctx);
  }
  RunInstanceList(tables, ctx);
  RunDetector(tables, ctx);
  RunReader(tables, ctx);
  RunFetch(tables, ctx);
  RunAntiEntropy(tables, ctx);
  CleanUp(tables, ctx.now);
  RunSpread(tables, ctx);
}

bool IsReady(const membership_tables& tables, base::time_point now) {
  if (tables.store.in_force == nullptr) return false;
  const auto& members = tables.members.members;
  const bool has_contact = std::any_of(members.begin(), members.end(),
                                       [](const auto& item) { return item.second.last_contact != base::time_point{}; });
  return has_contact || (tables.started.has_value() && now - *tables.started >= kReadyWait);
}

}  // namespace limpetrouter::core::membership
