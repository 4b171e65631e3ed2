#include "core/entry/hedge.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "core/entry/attempts.h"
#include "core/entry/holders.h"
#include "core/entry/plan.h"
#include "core/instance/instance.h"

namespace limpetrouter::core::entry {
namespace {

/// Share of the shards of a large fan-out that must have been answered or have failed before hedges are sent.
constexpr double kAnsweredShare = 0.97;
/// Maximum number of hedges, and of second attempts for overdue calls, per shard.
constexpr std::uint32_t kMaxHedges = 2;
/// How far a tick looks ahead. Ticks come late by half an interval on average, so a hedge that becomes due within the
/// next half interval is sent at once.
constexpr base::duration kTickLead = instance::kTickInterval / 2;
/// Factor over the latency of the slowest healthy calls (p99) from which on a call counts as overdue.
constexpr int kOverdueFactor = 2;
/// Lower bound of the threshold for overdue calls.
constexpr base::duration kMinOverdueThreshold = std::chrono::milliseconds(20);
/// Time until the next check of a shard with a call that is due for a hedge. The hedge may have been denied by the
/// budget.
constexpr base::duration kDeniedRecheckDelay = std::chrono::milliseconds(10);

/// State of one pass over the shards of a query.
struct hedge_round {
  entry_tables& tables;
  instance::context& ctx;
  entry::query& query;
  bool large_fan_out = false;
  /// Most shards of the large fan-out have no answer yet, so only overdue calls are handled.
  bool tail_only = false;
  /// Earliest time at which a shard needs another check.
  base::time_point next_check = base::time_point::max();
  std::vector<planned_call> calls;
};

/// Thresholds of one shard, measured from the last call that was sent for the shard.
struct hedge_thresholds {
  base::duration hedge{};
  base::duration overdue{};
};

std::optional<hedge_thresholds> ThresholdsOf(const hedge_round& round, std::uint32_t shard) {
  const base::duration threshold = HedgeThreshold(round.tables, round.query, shard, round.ctx.now);
  if (threshold == base::duration::zero()) {
    // There are too few latency samples of the service. A third of the time to the deadline leaves time for another
    // call when the first one is lost.
    const base::duration fallback = (round.query.deadline - round.query.started) / 3;
    return hedge_thresholds{fallback, fallback};
  }
  const routing::latency_window& window = LatencyOf(round.tables, round.query, shard, round.ctx.now);
  hedge_thresholds thresholds;
  // The canary of a large fan-out delays all other shards, and one more call is a small part of the load of the query,
  // so the canary is hedged earlier.
  const bool early_canary = round.large_fan_out && round.query.canary == canary_state::kRunning;
  thresholds.hedge = early_canary ? std::min(threshold, window.healthy_p90) : threshold;
  thresholds.overdue = std::max(kOverdueFactor * std::max(window.healthy_p99, threshold), kMinOverdueThreshold);
  return thresholds;
}

/// Counts overdue calls of a shard once each, as evidence that their backend servers and gatherers do not answer.
void MarkOverdue(hedge_round& round, const shard_task& task, base::duration overdue) {
  for (std::uint8_t i = 0; i < task.running; ++i) {
    attempt& running = round.tables.queries.attempts.at(task.running_attempts[i]);
    const base::duration elapsed = round.ctx.now - running.sent;
    if (running.overdue || elapsed < overdue) continue;
    running.overdue = true;
    routing::RecordCallEnd(round.tables.statistics, running.statistics, routing::call_outcome::kSlow, elapsed, false,
                           round.ctx.now);
    ApplyEjectionPolicy(round.tables, round.ctx, running.statistics);
    RecordOverdueCall(round.tables, running.gatherer, running.sent, round.ctx.now);
  }
}

/// Marks gatherers as unusable for the query if no message of them has arrived since the call was sent.
void MarkUnresponsiveGatherers(hedge_round& round, const shard_task& task) {
  for (std::uint8_t i = 0; i < task.running; ++i) {
    const attempt& running = round.tables.queries.attempts.at(task.running_attempts[i]);
    const auto health = round.tables.gatherers.find(running.gatherer);
    if (health == round.tables.gatherers.end() || health->second.last_message_at < running.sent) {
      MarkUnusable(round.query, running.gatherer, kAnyServer);
    }
  }
}

/// Adds a call to a replica that this shard has not tried. Returns false if there is no such replica or if the budget
/// is exhausted.
bool AddCall(hedge_round& round, std::uint32_t shard, attempt_kind kind, const char* reason) {
  const auto replica = PickReplica(round.tables, round.ctx, round.query, shard, routing::replica_rank::kOnProbation);
  if (!replica) return false;
  collection_state& collection = round.tables.collections[round.query.request.collection];
  const config::limits& limit = round.query.config->limit;
  const bool granted = kind == attempt_kind::kHedge
                           ? routing::TakeExtraCall(collection.hedges, limit.hedge_budget, round.ctx.now)
                           : routing::TakeExtraCall(collection.retries, limit.retry_budget, round.ctx.now);
  if (!granted) return false;
  MarkUnresponsiveGatherers(round, round.query.shards[shard]);
  round.calls.push_back({shard, *replica, kind, reason});
  ++round.query.shards[shard].hedges;
  return true;
}

bool MayHedge(const hedge_round& round, const shard_task& task) {
  if (task.hedges >= kMaxHedges || task.running >= kMaxConcurrentAttempts) return false;
  // An unproven request is executed on at most two servers at once.
  const bool canary = round.query.canary == canary_state::kRunning;
  return !canary || (task.hedges == 0 && round.query.suspected_crashes == 0);
}

/// True if none of the backend servers that execute the running calls of the shard has answered in time recently: their
/// last kMinSlowCalls calls were slow.
bool AreServersUnresponsive(const hedge_round& round, const shard_task& task) {
  constexpr std::uint32_t kMinSlowCalls = 2;
  for (std::uint8_t i = 0; i < task.running; ++i) {
    const attempt& running = round.tables.queries.attempts.at(task.running_attempts[i]);
    if (round.tables.statistics.servers[running.statistics].consecutive_slow < kMinSlowCalls) return false;
  }
  return true;
}

void CheckShard(hedge_round& round, std::uint32_t shard) {
  const shard_task& task = round.query.shards[shard];
  if (task.state != shard_state::kOpen || task.running == 0) return;
  const auto thresholds = ThresholdsOf(round, shard);
  const base::time_point now = round.ctx.now + kTickLead;
  const base::time_point hedge_at = task.last_sent + thresholds->hedge;
  const base::time_point overdue_at = task.last_sent + thresholds->overdue;
  if (now >= overdue_at) MarkOverdue(round, task, thresholds->overdue - kTickLead);
  if (!MayHedge(round, task)) return;
  const bool hedge_due = !round.tail_only && now >= hedge_at;
  if (!hedge_due && now < overdue_at) {
    round.next_check = std::min(round.next_check, round.tail_only ? overdue_at : hedge_at);
    return;
  }
  round.next_check = std::min(round.next_check, round.ctx.now + kDeniedRecheckDelay);
  if (IsServiceSaturated(round.tables, round.query, shard, round.ctx.now)) return;
  if (hedge_due && AddCall(round, shard, attempt_kind::kHedge, "late")) return;
  // When backend servers are unresponsive, an exhausted hedge budget must not keep queries from getting their answers,
  // so the call is counted against the retry budget. A single late call is a straggler and stays within the hedge
  // budget.
  if (now >= overdue_at && task.hedges == 0 && AreServersUnresponsive(round, task))
    AddCall(round, shard, attempt_kind::kRetry, "overdue");
}

}  // namespace

void RunHedges(entry_tables& tables, instance::context& ctx, query& query) {
  if (!query.rule->repeatable || query.fatal_error || query.restart_pending) return;
  if (ctx.now + kTickLead < query.hedge_check_at || ctx.now < tables.hold_hedges_until) return;
  hedge_round round{tables, ctx, query, false, false, base::time_point::max(), {}};
  round.large_fan_out = query.shards.size() >= kLargeFanOut;
  if (round.large_fan_out && query.canary != canary_state::kRunning) {
    const double settled = query.answered + query.failed;
    round.tail_only = settled < kAnsweredShare * static_cast<double>(query.shards.size());
    // Before most shards have answered, only overdue calls are handled. The shards are not scanned for them at every
    // tick.
    if (round.tail_only && ctx.now + kTickLead < query.overdue_check_at) return;
  }
  for (std::uint32_t shard = 0; shard < query.shards.size(); ++shard)
    CheckShard(round, shard);
  query.hedges += static_cast<std::uint32_t>(round.calls.size());
  if (!round.calls.empty()) SendCalls(tables, ctx, query, round.calls);
  // The share of answered and failed shards can reach kAnsweredShare at any time, so the next tick checks again.
  if (round.tail_only) query.overdue_check_at = round.next_check;
  query.hedge_check_at = round.tail_only ? ctx.now : round.next_check;
}

}  // namespace limpetrouter::core::entry
