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

/// Bounds of the backoff; it starts at half the usual latency of the service.
constexpr base::duration kShortestBackoff = std::chrono::milliseconds(5);
constexpr base::duration kLongestBackoff = std::chrono::milliseconds(100);
/// A retry without budget is looked at again after this time.
constexpr base::duration kBudgetDelay = std::chrono::milliseconds(20);
/// A backend server that says it drains is avoided at once; the fact of its gatherer takes a moment to arrive.
constexpr base::duration kDrainHint = std::chrono::seconds(5);

void FailShard(query& query, std::uint32_t shard) {
  shard_task& task = query.shards[shard];
  if (task.state == shard_state::kFailed || task.state == shard_state::kAnswered) return;
  task.state = shard_state::kFailed;
  task.retry_at.reset();
  ++query.failed;
}

base::duration Backoff(entry_tables& tables, const instance::context& ctx, const query& query, std::uint32_t shard) {
  const base::duration usual = LatencyOf(tables, query, shard, ctx.now).median / 2;
  base::duration delay = std::clamp(usual, kShortestBackoff, kLongestBackoff);
  for (std::uint32_t i = 1; i < query.shards[shard].attempts && delay < kLongestBackoff; ++i)
    delay *= 2;
  delay = std::min(delay, kLongestBackoff);
  // Full jitter above one half, so that the retries of many queries do not meet.
  return delay / 2 +
         base::duration(static_cast<std::int64_t>(base::NextUnit(ctx.random) * static_cast<double>(delay.count()) / 2));
}

/// A connection that broke while an unproven request ran is a suspected crash. Returns true after the second one.
bool IsSecondCrash(query& query, error_kind failure) {
  if (failure != error_kind::kConnectionLost || !query.rule->canary || query.proven) return false;
  return ++query.suspected_crashes >= 2;
}

/// Why the query as a whole must end after this failure, if it must.
std::optional<base::error> EndOf(query& query, const shard_task& task, error_kind failure) {
  if (failure == error_kind::kRequestWithheld) {
    return base::error{failure, "a gatherer withholds the request because it crashed backend servers"};
  }
  // The gatherers judge whether the request is to blame; here, two runs are the bound in any case.
  if (IsSecondCrash(query, failure)) {
    return base::error{error_kind::kRequestWithheld, "two backend servers lost their connection while running it"};
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

/// Notes what a failure says about the replica, the gatherer and the snapshot.
void NoteFailure(entry_tables& tables, const instance::context& ctx, query& query, const attempt& ended,
                 error_kind failure) {
  shard_task& task = query.shards[ended.shard];
  const std::vector<std::uint32_t>& replicas = query.targets[ended.shard]->replicas;
  const auto position = std::find(replicas.begin(), replicas.end(), ended.server) - replicas.begin();
  const std::uint64_t bit = std::uint64_t{1} << (static_cast<std::uint64_t>(position) % 64);
  if (failure == error_kind::kSnapshotGone) task.snapshot_gone |= bit;
  if (failure == error_kind::kBackendDraining) {
    tables.statistics.servers[ended.statistics].drain_hint_until = ctx.now + kDrainHint;
  }
  if (failure == error_kind::kPeerUnreachable) MarkUnusable(query, ended.gatherer, kAnyServer);
  if (failure == error_kind::kNotHolder) MarkUnusable(query, ended.gatherer, ended.server);
  // Such a failure says nothing about the backend server: the same replica may be used through the other holder.
  if (failure == error_kind::kPeerUnreachable || failure == error_kind::kNotHolder) task.tried &= ~bit;
}

/// True for failures of calls that have not reached a backend server. Their retries add no load there, so they need no
/// budget, only the backoff.
bool IsLocalRefusal(error_kind failure) {
  return failure == error_kind::kOverloaded || failure == error_kind::kNotHolder ||
         failure == error_kind::kPeerUnreachable || failure == error_kind::kProcessPaused;
}

bool AllReplicasGone(entry_tables& tables, const instance::context& ctx, const query& query, std::uint32_t shard) {
  if (query.shards[shard].snapshot_gone == 0) return false;
  return !PickReplica(tables, ctx, query, shard, routing::replica_rank::kDraining).has_value();
}

/// True if the retry may be sent now; otherwise it is put off.
bool TakeRetry(entry_tables& tables, const instance::context& ctx, query& query, std::uint32_t shard) {
  shard_task& task = query.shards[shard];
  if (task.free_retry) return true;
  const bool saturated = IsServiceSaturated(tables, query, shard, ctx.now);
  const double share = saturated ? 0.0 : query.config->limit.retry_budget;
  if (routing::TakeExtraCall(tables.collections[query.request.collection].retries, share, ctx.now)) return true;
  task.retry_at = ctx.now + kBudgetDelay;
  return false;
}

}  // namespace

void ScheduleRetry(query& query, std::uint32_t shard, base::time_point at, bool free) {
  shard_task& task = query.shards[shard];
  if (task.attempts >= kMaxAttemptsPerShard) {
    FailShard(query, shard);
    return;
  }
  task.retry_at = at;
  task.free_retry = free;
  if (std::find(query.retries.begin(), query.retries.end(), shard) == query.retries.end()) {
    query.retries.push_back(shard);
  }
}

void HandleFailure(entry_tables& tables, instance::context& ctx, query& query, const attempt& ended, error_kind failure,
                   executed_state executed) {
  shard_task& task = query.shards[ended.shard];
  if (query.ending || task.state != shard_state::kOpen) return;
  task.last_failure = failure;
  NoteFailure(tables, ctx, query, ended, failure);
  query.ending = EndOf(query, task, failure);
  if (query.ending || task.running > 0) return;
  if (AllReplicasGone(tables, ctx, query, ended.shard)) {
    query.wants_restart = true;
    return;
  }
  if (failure == error_kind::kBackendRejected) {
    FailShard(query, ended.shard);
    return;
  }
  const bool first = task.attempts == 1;
  const bool not_run = executed == executed_state::kNo;
  const bool other_holder = failure == error_kind::kPeerUnreachable || failure == error_kind::kNotHolder;
  const bool crash_retry = query.suspected_crashes == 1 && failure == error_kind::kConnectionLost;
  const bool at_once = (not_run && (first || (other_holder && task.attempts <= 3))) || crash_retry ||
                       failure == error_kind::kSnapshotGone;
  const bool free = at_once || (not_run && IsLocalRefusal(failure));
  const base::duration delay = at_once ? base::duration::zero() : Backoff(tables, ctx, query, ended.shard);
  ScheduleRetry(query, ended.shard, ctx.now + delay, free);
}

void RunRetries(entry_tables& tables, instance::context& ctx, query& query) {
  if (query.retries.empty() || query.ending || query.wants_restart) return;
  std::vector<std::uint32_t> due;
  std::erase_if(query.retries, [&](std::uint32_t shard) {
    const shard_task& task = query.shards[shard];
    if (task.state != shard_state::kOpen || !task.retry_at) return true;
    if (*task.retry_at > ctx.now || !TakeRetry(tables, ctx, query, shard)) return false;
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
  if (!query.wants_restart || query.ending) return;
  if (!query.rule->repeatable && query.executed != executed_state::kNo) {
    query.ending = base::error{error_kind::kSnapshotGone, "the snapshot is gone and the request may have run"};
    return;
  }
  const config::snapshot* newest =
      ctx.config == nullptr ? nullptr : config::NewestSnapshot(*ctx.config, query.request.collection);
  if (newest == nullptr || newest->id <= query.snapshot->id) return;
  const config::operation_rule* rule =
      config::FindOperation(*ctx.config, query.request.collection, query.request.operation);
  if (rule == nullptr) {
    query.ending = base::error{error_kind::kUnknownOperation, "the operation was removed while the query ran"};
    return;
  }
  decision made;
  made.name = "restart";
  made.snapshot = newest->id.value;
  made.reason = fmt::format("snapshot {} is gone", query.snapshot->id.value);
  Decide(tables.explanations, ctx, query.sequence.value, std::move(made));
  CancelAll(tables, ctx, query);
  query.rule = rule;
  ++query.restarts;
  if (const auto pinned = PinSnapshot(tables, ctx, query); !pinned) {
    query.ending = pinned.error();
    return;
  }
  SendFirstCalls(tables, ctx, query);
}

}  // namespace limpetrouter::core::entry
