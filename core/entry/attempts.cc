#include "core/entry/attempts.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "core/entry/holders.h"
#include "core/entry/retry.h"
#include "core/routing/ejection.h"

namespace limpetrouter::core::entry {
namespace {

using base::executed_state;

/// Number of latency samples from which on the quantiles of one service are better than those of its entire collection.
constexpr std::uint32_t kMinServiceSamples = 200;
/// Minimum number of latency samples for a hedge threshold.
constexpr std::uint32_t kMinCollectionSamples = 30;
/// Share of the hedge budget for which the hedge threshold is chosen. The rest remains for second hedges and for
/// bursts.
constexpr double kTargetBudgetShare = 0.85;
/// Share of the hedge budget for a large fan-out. A query with many hedges has late hedges too; the rest of the budget
/// remains for second hedges of these.
constexpr double kTargetBudgetShareOfLargeFanOut = 0.7;
/// Delay of the retry of a call that could not be sent to a holder.
constexpr base::duration kNoHolderDelay = std::chrono::milliseconds(50);

/// Name of the decision to make an attempt of this kind.
const char* NameOf(attempt_kind kind) {
  switch (kind) {
    case attempt_kind::kFirst:
      return "route";
    case attempt_kind::kCanary:
      return "canary";
    case attempt_kind::kHedge:
      return "hedge";
    case attempt_kind::kRetry:
      return "retry";
  }
  return "route";
}

peer::gather_request MakeRequest(const instance::context& ctx, const query& query) {
  peer::gather_request request;
  request.query = query.sequence;
  request.collection = query.request.collection;
  request.operation = query.request.operation;
  request.snapshot = query.snapshot->id;
  request.key = query.request.key;
  request.body = query.request.body;
  request.urgent = query.rule->urgent;
  request.repeatable = query.rule->repeatable;
  request.proven = query.proven;
  request.fingerprint = query.fingerprint;
  base::duration remaining = query.deadline - ctx.now;
  if (!query.rule->repeatable) {
    // A gatherer's answer that the call was not executed should arrive before the deadline of the query.
    remaining -= std::min<base::duration>(remaining / 10, std::chrono::milliseconds(10));
  }
  request.remaining_us = remaining.count();
  return request;
}

void RecordCallDecision(entry_tables& tables, instance::context& ctx, const query& query, const attempt& attempt,
                        const char* reason) {
  decision decision;
  decision.name = NameOf(attempt.kind);
  decision.snapshot = query.snapshot->id.value;
  decision.shard = query.targets[attempt.shard]->id.value;
  decision.backend_server = query.config->backend_servers[attempt.server].id.value;
  decision.gatherer = attempt.gatherer.value;
  decision.reason = reason;
  // First calls are logged once per gatherer by LogRoute, since there are too many of them for one log line each.
  RecordDecision(tables.explanations, ctx, query.sequence.value, std::move(decision),
                 attempt.kind != attempt_kind::kFirst);
}

/// Registers an attempt and returns its sequence number.
std::uint64_t BeginAttempt(entry_tables& tables, instance::context& ctx, query& query, const planned_call& call,
                           std::uint32_t server, const base::instance_id& gatherer) {
  attempt attempt;
  attempt.query = query.sequence.value;
  attempt.shard = call.shard;
  attempt.server = server;
  attempt.statistics = query.view->servers[server];
  attempt.kind = call.kind;
  attempt.gatherer = gatherer;
  const membership::member* member = membership::FindMember(ctx.members, gatherer);
  if (member != nullptr) attempt.gatherer_incarnation = member->info.member.incarnation;
  attempt.sent = ctx.now;
  const std::uint64_t sequence = tables.queries.next_attempt++;
  routing::RecordCallStart(tables.statistics, attempt.statistics);
  shard_task& task = query.shards[call.shard];
  task.state = shard_state::kOpen;
  ++task.attempts;
  task.running_attempts[task.running++] = sequence;
  task.tried |= std::uint64_t{1} << (call.replica % 64);
  task.last_sent = ctx.now;
  task.retry_at.reset();
  RecordCallDecision(tables, ctx, query, attempt, call.reason);
  tables.queries.attempts.emplace(sequence, std::move(attempt));
  return sequence;
}

/// Logs the calls that one message sends to a gatherer.
void LogRoute(instance::context& ctx, const query& query, const base::instance_id& gatherer,
              const peer::gather_request& request) {
  std::string calls;
  for (const peer::gather_item& item : request.items) {
    fmt::format_to(std::back_inserter(calls), "{}{}={}", calls.empty() ? "" : ",", item.shard.value,
                   item.backend_server.value);
  }
  instance::LogDecision(ctx, "route",
                        {{"query", std::to_string(query.sequence.value)},
                         {"snapshot", std::to_string(query.snapshot->id.value)},
                         {"gatherer", gatherer.value},
                         {"calls", std::move(calls)}});
}

/// Counts first calls and canaries in the budgets, which allow hedges and retries in proportion to them.
void CountFirstCalls(entry_tables& tables, const instance::context& ctx, const query& query,
                     const std::vector<planned_call>& calls) {
  const auto first = std::count_if(calls.begin(), calls.end(), [](const planned_call& call) {
    return call.kind == attempt_kind::kFirst || call.kind == attempt_kind::kCanary;
  });
  if (first == 0) return;
  collection_state& collection = tables.collections[query.request.collection];
  routing::CountCalls(collection.hedges, static_cast<std::uint64_t>(first), ctx.now);
  routing::CountCalls(collection.retries, static_cast<std::uint64_t>(first), ctx.now);
}

/// Ends an attempt that is no longer needed and adds it to the cancellation message for its gatherer. `superseded` is
/// true if another attempt has answered the shard.
void Cancel(entry_tables& tables, const instance::context& ctx, query& query, std::uint64_t sequence, bool superseded,
            std::map<base::instance_id, peer::gather_cancel>& messages) {
  const attempt& running = tables.queries.attempts.at(sequence);
  const base::duration elapsed = ctx.now - running.sent;
  const base::duration threshold = HedgeThreshold(tables, query, running.shard, ctx.now);
  // The actual latency is not known, so the elapsed time is recorded instead. Dropping the sample would make the
  // service look faster than it is.
  const bool slow = superseded && threshold > base::duration::zero() && elapsed >= threshold;
  if (slow && running.kind != attempt_kind::kHedge) {
    routing::AddLatency(tables.statistics.services[ServiceOf(tables, query, running.shard)].latency, elapsed, ctx.now);
    routing::AddLatency(tables.collections[query.request.collection].latency, elapsed, ctx.now);
  }
  peer::gather_cancel& message = messages[running.gatherer];
  message.query = query.sequence;
  message.attempts.emplace_back(sequence);
  const bool count_as_slow = slow && !running.overdue;
  EndAttempt(tables, ctx, query, sequence,
             count_as_slow ? routing::call_outcome::kSlow : routing::call_outcome::kNeutral, executed_state::kUnknown);
}

void SendCancels(instance::context& ctx, std::map<base::instance_id, peer::gather_cancel>& messages) {
  for (auto& [gatherer, message] : messages)
    instance::SendToPeer(ctx, gatherer, std::move(message));
}

/// Cancels all running attempts of a shard.
void CancelShard(entry_tables& tables, instance::context& ctx, query& query, std::uint32_t shard, bool superseded,
                 std::map<base::instance_id, peer::gather_cancel>& messages) {
  shard_task& task = query.shards[shard];
  while (task.running > 0) {
    const std::uint64_t sequence = task.running_attempts[task.running - 1];
    const std::uint32_t statistics = tables.queries.attempts.at(sequence).statistics;
    Cancel(tables, ctx, query, sequence, superseded, messages);
    if (superseded) ApplyEjectionPolicy(tables, ctx, statistics);
  }
}

}  // namespace

void SendCalls(entry_tables& tables, instance::context& ctx, query& query, const std::vector<planned_call>& calls) {
  CountFirstCalls(tables, ctx, query, calls);
  gatherer_cache cache;
  std::map<base::instance_id, peer::gather_request> messages;
  for (const planned_call& call : calls) {
    const std::uint32_t server = query.targets[call.shard]->replicas[call.replica];
    const holder_choice holder = ChooseHolder(tables, ctx, query, server, cache);
    if (holder.gatherer == nullptr) {
      // This counts as an attempt, so that a shard without usable holders fails after kMaxAttemptsPerShard attempts.
      ++query.shards[call.shard].attempts;
      query.shards[call.shard].state = shard_state::kOpen;
      ScheduleRetry(query, call.shard, ctx.now + kNoHolderDelay, true);
      continue;
    }
    const std::uint64_t sequence = BeginAttempt(tables, ctx, query, call, server, *holder.gatherer);
    auto [message, is_new] = messages.try_emplace(*holder.gatherer);
    if (is_new) message->second = MakeRequest(ctx, query);
    peer::gather_item item;
    item.attempt = base::attempt_sequence(sequence);
    item.shard = query.targets[call.shard]->id;
    item.backend_server = query.config->backend_servers[server].id;
    item.primary_unusable = holder.primary_unusable;
    message->second.items.push_back(std::move(item));
  }
  query.hedge_check_at = ctx.now;
  for (auto& [gatherer, message] : messages) {
    LogRoute(ctx, query, gatherer, message);
    std::vector<std::uint64_t> sequences;
    for (const peer::gather_item& item : message.items)
      sequences.push_back(item.attempt.value);
    if (instance::SendToPeer(ctx, gatherer, std::move(message))) continue;
    RecordUnreachable(tables, gatherer, ctx.now);
    for (const std::uint64_t sequence : sequences) {
      const attempt undelivered =
          EndAttempt(tables, ctx, query, sequence, routing::call_outcome::kNeutral, executed_state::kNo);
      if (query.shards[undelivered.shard].running == 0)
        ScheduleRetry(query, undelivered.shard, ctx.now + kNoHolderDelay, true);
    }
  }
}

attempt EndAttempt(entry_tables& tables, const instance::context& ctx, query& query, std::uint64_t sequence,
                   routing::call_outcome outcome, executed_state executed) {
  const auto found = tables.queries.attempts.find(sequence);
  attempt ended = std::move(found->second);
  tables.queries.attempts.erase(found);
  shard_task& task = query.shards[ended.shard];
  const auto end = task.running_attempts.begin() + task.running;
  const auto position = std::find(task.running_attempts.begin(), end, sequence);
  if (position != end) {
    std::move(position + 1, end, position);
    --task.running;
  }
  query.executed = base::CombineExecuted(query.executed, executed);
  routing::RecordCallEnd(tables.statistics, ended.statistics, outcome, ctx.now - ended.sent, true, ctx.now);
  return ended;
}

void CancelRedundantAttempts(entry_tables& tables, instance::context& ctx, query& query, std::uint32_t shard) {
  if (query.shards[shard].running == 0) return;
  std::map<base::instance_id, peer::gather_cancel> messages;
  CancelShard(tables, ctx, query, shard, true, messages);
  SendCancels(ctx, messages);
}

void CancelAll(entry_tables& tables, instance::context& ctx, query& query) {
  std::map<base::instance_id, peer::gather_cancel> messages;
  for (std::uint32_t shard = 0; shard < query.shards.size(); ++shard) {
    CancelShard(tables, ctx, query, shard, false, messages);
  }
  SendCancels(ctx, messages);
}

routing::latency_window& LatencyOf(entry_tables& tables, const query& query, std::uint32_t shard,
                                   base::time_point now) {
  routing::service_statistics& service = tables.statistics.services[ServiceOf(tables, query, shard)];
  const bool has_enough_samples = routing::LatencySamples(service.latency) >= kMinServiceSamples;
  routing::latency_window& window =
      has_enough_samples ? service.latency : tables.collections[query.request.collection].latency;
  const double target_share =
      query.shards.size() >= kLargeFanOut ? kTargetBudgetShareOfLargeFanOut : kTargetBudgetShare;
  routing::RefreshSummary(window, target_share * query.config->limit.hedge_budget, now);
  return window;
}

base::duration HedgeThreshold(entry_tables& tables, const query& query, std::uint32_t shard, base::time_point now) {
  const routing::latency_window& window = LatencyOf(tables, query, shard, now);
  if (routing::LatencySamples(window) < kMinCollectionSamples) return base::duration::zero();
  return window.hedge_after;
}

std::uint32_t ServiceOf(const entry_tables& tables, const query& query, std::uint32_t shard) {
  const std::uint32_t server = query.view->servers[query.targets[shard]->replicas.front()];
  return tables.statistics.servers[server].service;
}

bool IsServiceSaturated(const entry_tables& tables, const query& query, std::uint32_t shard, base::time_point now) {
  return routing::IsSaturated(tables.statistics.services[ServiceOf(tables, query, shard)].queue, now);
}

void ApplyEjectionPolicy(entry_tables& tables, instance::context& ctx, std::uint32_t statistics) {
  if (ctx.config != nullptr && !ctx.config->limit.ejection) return;
  const routing::ejection_reason reason = routing::ConsiderEjection(tables.statistics, statistics, ctx.now);
  if (reason == routing::ejection_reason::kNone) return;
  const routing::server_statistics& server = tables.statistics.servers[statistics];
  instance::LogDecision(ctx, "eject",
                        {{"backend_server", server.id.value},
                         {"reason", routing::ToString(reason)},
                         {"for_ms", std::to_string(base::ToMilliseconds(server.ejected_until - ctx.now))}});
}

}  // namespace limpetrouter::core::entry
