#include "core/entry/retry.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "core/base/random.h"
#include "core/entry/attempts.h"
#include "core/entry/holders.h"
#include "core/entry/plan.h"

namespace limpetrouter::core::entry {
namespace {

using base::error_kind;
using base::executed_state;

/// Bounds of the backoff, which starts at half the median latency of the service.
constexpr base::duration kMinBackoff = std::chrono::milliseconds(5);
constexpr base::duration kMaxBackoff = std::chrono::milliseconds(100);
/// Time after which a retry that was denied by the budget is checked again.
constexpr base::duration kBudgetRecheckDelay = std::chrono::milliseconds(20);
/// How long a backend server is avoided after it has reported that it is draining. This covers the time until the drain
/// fact of its gatherer arrives.
constexpr base::duration kDrainHintDuration = std::chrono::seconds(5);

/// Marks a shard as failed, so that it is not retried any more.
void FailShard(query& query, std::uint32_t shard) {
  shard_task& task = query.shards[shard];
  if (task.state == shard_state::kFailed || task.state == shard_state::kAnswered) return;
  task.state = shard_state::kFailed;
  task.retry_at.reset();
  ++query.failed;
}

/// Exponential backoff with jitter before the next attempt of a shard.
base::duration Backoff(entry_tables& tables, const instance::context& ctx, const query& query, std::uint32_t shard) {
  const base::duration half_median = LatencyOf(tables, query, shard, ctx.now).median / 2;
  base::duration delay = std::clamp(half_median, kMinBackoff, kMaxBackoff);
  for (std::uint32_t i = 1; i < query.shards[shard].attempts && delay < kMaxBackoff; ++i)
    delay *= 2;
  delay = std::min(delay, kMaxBackoff);
  // The upper half of the delay is random, so that the retries of many queries do not coincide.
  return delay / 2 +
         base::duration(static_cast<std::int64_t>(base::NextUnit(ctx.random) * static_cast<double>(delay.count()) / 2));
}

/// Counts a connection that broke while an unproven request was executed as a suspected crash of the backend server.
/// Returns true from the second suspected crash on.
bool IsSecondCrash(query& query, error_kind failure) {
  if (failure != error_kind::kConnectionLost || !query.rule->canary || query.proven) return false;
  return ++query.suspected_crashes >= 2;
}

/// Returns the error with which the query must end after this failure, or nullopt if the query can continue.
std::optional<base::error> FatalErrorOf(query& query, const shard_task& task, error_kind failure) {
  if (failure == error_kind::kRequestWithheld) {
    return base::error{failure, "a gatherer withholds the request, which has crashed backend servers"};
  }
  // The gatherers decide whether the request caused the crashes. The entry allows at most two executions in any case.
  if (IsSecondCrash(query, failure)) {
    return base::error{error_kind::kRequestWithheld,
                       "the connections to two backend servers broke while they executed the request"};
  }
  if (!query.rule->repeatable && query.executed != executed_state::kNo) {
    const bool unknown = query.executed == executed_state::kUnknown;
    return base::error{unknown ? error_kind::kOutcomeUnknown : error_kind::kCoverageIncomplete,
                       fmt::format("the call ended with {}", base::ToString(failure))};
  }
  if (failure == error_kind::kBackendRejected && query.answered == 0 && task.running == 0) {
    return base::error{failure, "a backend server rejected the request"};
  }
  return std::nullopt;
}

/// Records what a failure implies for the replica, the gatherer and the snapshot.
void RecordAttemptFailure(entry_tables& tables, const instance::context& ctx, query& query, const attempt& ended,
                          error_kind failure) {
  shard_task& task = query.shards[ended.shard];
  const std::vector<std::uint32_t>& replicas = query.targets[ended.shard]->replicas;
  const auto position = std::find(replicas.begin(), replicas.end(), ended.server) - replicas.begin();
  const std::uint64_t bit = std::uint64_t{1} << (static_cast<std::uint64_t>(position) % 64);
  if (failure == error_kind::kSnapshotGone) task.snapshot_missing |= bit;
  if (failure == error_kind::kBackendDraining) {
    tables.statistics.servers[ended.statistics].drain_hint_until = ctx.now + kDrainHintDuration;
  }
  if (failure == error_kind::kPeerUnreachable) MarkUnusable(query, ended.gatherer, kAnyServer);
  if (failure == error_kind::kNotHolder) MarkUnusable(query, ended.gatherer, ended.server);
  // Such a failure implies nothing about the backend server, so the same replica may be used through the other holder.
  if (failure == error_kind::kPeerUnreachable || failure == error_kind::kNotHolder) task.tried &= ~bit;
}

/// True for failures of calls that have not reached a backend server. Retries of these calls add no load to backend
/// servers, so they need only the backoff and do not count against the retry budget.
bool IsLocalRefusal(error_kind failure) {
  return failure == error_kind::kOverloaded || failure == error_kind::kNotHolder ||
         failure == error_kind::kPeerUnreachable || failure == error_kind::kProcessPaused;
}

/// True if a replica of the shard does not hold the pinned snapshot and no other replica can be used.
bool IsSnapshotUnavailable(entry_tables& tables, const instance::context& ctx, const query& query,
                           std::uint32_t shard) {
  if (query.shards[shard].snapshot_missing == 0) return false;
  return !PickReplica(tables, ctx, query, shard, routing::replica_rank::kDraining).has_value();
}

/// Takes the retry of a shard from the retry budget. Returns true if the retry may be sent now; otherwise postpones the
/// retry. A saturated service gets no retries.
bool TakeRetryBudget(entry_tables& tables, const instance::context& ctx, query& query, std::uint32_t shard) {
  shard_task& task = query.shards[shard];
  if (task.budget_exempt) return true;
  const bool saturated = IsServiceSaturated(tables, query, shard, ctx.now);
  const double share = saturated ? 0.0 : query.config->limit.retry_budget;
  if (routing::TakeExtraCall(tables.collections[query.request.collection].retries, share, ctx.now)) return true;
  task.retry_at = ctx.now + kBudgetRecheckDelay;
  return false;
}

}  // namespace

void ScheduleRetry(query& query, std::uint32_t shard, base::time_point at, bool budget_exempt) {
  shard_task& task = query.shards[shard];
  if (task.attempts >= kMaxAttemptsPerShard) {
    FailShard(query, shard);
    return;
  }
  task.retry_at = at;
  task.budget_exempt = budget_exempt;
  if (std::find(query.retries.begin(), query.retries.end(), shard) == query.retries.end()) {
    query.retries.push_back(shard);
  }
}

void HandleFailure(entry_tables& tables, instance::context& ctx, query& query, const attempt& ended, error_kind failure,
                   executed_state executed) {
  shard_task& task = query.shards[ended.shard];
  if (query.fatal_error || task.state != shard_state::kOpen) return;
  task.last_failure = failure;
  RecordAttemptFailure(tables, ctx, query, ended, failure);
  query.fatal_error = FatalErrorOf(query, task, failure);
  if (query.fatal_error || task.running > 0) return;
  if (IsSnapshotUnavailable(tables, ctx, query, ended.shard)) {
    query.restart_pending = true;
    return;
  }
  if (failure == error_kind::kBackendRejected) {
    FailShard(query, ended.shard);
    return;
  }
  const bool first = task.attempts == 1;
  const bool not_executed = executed == executed_state::kNo;
  const bool other_holder = failure == error_kind::kPeerUnreachable || failure == error_kind::kNotHolder;
  const bool crash_retry = query.suspected_crashes == 1 && failure == error_kind::kConnectionLost;
  const bool immediate = (not_executed && (first || (other_holder && task.attempts <= 3))) || crash_retry ||
                         failure == error_kind::kSnapshotGone;
  const bool budget_exempt = immediate || (not_executed && IsLocalRefusal(failure));
  const base::duration delay = immediate ? base::duration::zero() : Backoff(tables, ctx, query, ended.shard);
  ScheduleRetry(query, ended.shard, ctx.now + delay, budget_exempt);
}

void RunRetries(entry_tables& tables, instance::context& ctx, query& query) {
  if (query.retries.empty() || query.fatal_error || query.restart_pending) return;
  std::vector<std::uint32_t> due;
  std::erase_if(query.retries, [&](std::uint32_t shard) {
    const shard_task& task = query.shards[shard];
    if (task.state != shard_state::kOpen || !task.retry_at) return true;
    if (*task.retry_at > ctx.now || !TakeRetryBudget(tables, ctx, query, shard)) return false;
    due.push_back(shard);
    return true;
  });
  std::vector<planned_call> calls;
  for (const std::uint32_t shard : due) {
    const auto replica = PickReplica(tables, ctx, query, shard, routing::replica_rank::kDraining);
    if (!replica) {
      FailShard(query, shard);
      continue;
    }
    const char* reason = base::DescribeError(query.shards[shard].last_failure).name.data();
    calls.push_back({shard, *replica, attempt_kind::kRetry, reason});
  }
  if (!calls.empty()) SendCalls(tables, ctx, query, calls);
}

void RunRestart(entry_tables& tables, instance::context& ctx, query& query) {
  if (!query.restart_pending || query.fatal_error) return;
  if (!query.rule->repeatable && query.executed != executed_state::kNo) {
    query.fatal_error = base::error{error_kind::kSnapshotGone,
                                    "the snapshot is no longer available and the request may have been executed"};
    return;
  }
  const config::snapshot* newest =
      ctx.config == nullptr ? nullptr : config::NewestSnapshot(*ctx.config, query.request.collection);
  if (newest == nullptr || newest->id <= query.snapshot->id) return;
  const config::operation_rule* rule =
      config::FindOperation(*ctx.config, query.request.collection, query.request.operation);
  if (rule == nullptr) {
    query.fatal_error = base::error{error_kind::kUnknownOperation,
                                    "the operation was removed from the configuration while the query was in flight"};
    return;
  }
  decision decision;
  decision.name = "restart";
  decision.snapshot = newest->id.value;
  decision.reason = fmt::format("snapshot {} is no longer available", query.snapshot->id.value);
  RecordDecision(tables.explanations, ctx, query.sequence.value, std::move(decision));
  CancelAll(tables, ctx, query);
  query.rule = rule;
  ++query.restarts;
  if (const auto pinned = PinSnapshot(tables, ctx, query); !pinned) {
    query.fatal_error = pinned.error();
    return;
  }
  SendFirstCalls(tables, ctx, query);
}

}  // namespace limpetrouter::core::entry
