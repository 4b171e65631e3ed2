#include "core/entry/results.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "core/entry/answer.h"
#include "core/entry/attempts.h"
#include "core/entry/hedge.h"
#include "core/entry/holders.h"
#include "core/entry/plan.h"
#include "core/entry/retry.h"
#include "core/instance/instance.h"

namespace limpetrouter::core::entry {
namespace {

using base::error_kind;
using base::executed_state;
using routing::call_outcome;

/// True if the result covers all documents of the shard in the pinned snapshot.
bool IsAcceptable(const query& query, const attempt& attempt, const peer::attempt_result& result) {
  return result.snapshot == query.snapshot->id && result.documents == query.targets[attempt.shard]->documents;
}

/// Outcome of a failed call for the statistics of the backend server. Draining, shedding and errors between instances
/// are not faults of the backend server and count as neutral.
call_outcome OutcomeOf(error_kind failure) {
  switch (failure) {
    case error_kind::kConnectFailed:
    case error_kind::kConnectionLost:
    case error_kind::kAnswerTruncated:
    case error_kind::kAnswerMismatched:
    case error_kind::kAnswerMalformed:
    case error_kind::kBackendWrongShard:
      return call_outcome::kFailure;
    default:
      return call_outcome::kNeutral;
  }
}

/// Records the times and the latency of a successful call.
void RecordSuccess(entry_tables& tables, const instance::context& ctx, const query& query, const attempt& attempt,
                   const peer::attempt_result& result) {
  routing::RecordCallTimes(tables.statistics, attempt.statistics, query.rule->urgent, base::duration(result.queued_us),
                           base::duration(result.called_us), ctx.now);
  if (result.draining) {
    tables.statistics.servers[attempt.statistics].drain_hint_until = ctx.now + std::chrono::seconds(5);
  }
  // Latencies of hedges are not recorded, because the hedges that answer first are faster than the average call.
  if (attempt.kind == attempt_kind::kHedge) return;
  const base::duration latency = ctx.now - attempt.sent;
  routing::AddLatency(tables.statistics.services[ServiceOf(tables, query, attempt.shard)].latency, latency, ctx.now);
  routing::AddLatency(tables.collections[query.request.collection].latency, latency, ctx.now);
}

/// Merges a result into the query. The first result proves the request, and sends the calls that waited for the canary.
void AcceptResult(entry_tables& tables, instance::context& ctx, query& query, const attempt& attempt,
                  const peer::attempt_result& result) {
  if (query.shards[attempt.shard].state != shard_state::kOpen) return;
  CancelRedundantAttempts(tables, ctx, query, attempt.shard);
  MergeShard(query, attempt.shard, result);
  if (query.rule->canary && !query.proven) {
    MarkProven(tables.proven, query.fingerprint);
    query.proven = true;
  }
  if (query.canary != canary_state::kRunning) return;
  query.canary = canary_state::kSucceeded;
  SendHeldCalls(tables, ctx, query);
}

/// True if the deadline passes before the next tick can end the query.
bool IsAtDeadline(const query& query, base::time_point now) { return query.deadline - now < instance::kTickInterval; }

/// Error of a query that ends at its deadline.
base::error DeadlineError(const query& query) {
  if (query.restart_pending) {
    return {error_kind::kSnapshotGone, fmt::format("no replica holds snapshot {}", query.snapshot->id.value)};
  }
  return {error_kind::kDeadlineExceeded,
          fmt::format("the deadline of {} ms has passed", base::ToMilliseconds(query.deadline - query.started))};
}

/// Error of a query that ends because of a failed shard: names the first one and its last failure.
base::error FailedShardError(const query& query) {
  for (std::size_t i = 0; i < query.shards.size(); ++i) {
    const shard_task& task = query.shards[i];
    if (task.state != shard_state::kFailed) continue;
    return {error_kind::kNoUsableReplica, fmt::format("shard {} has no usable replica; last failure: {}",
                                                      query.targets[i]->id.value, base::ToString(task.last_failure))};
  }
  return {error_kind::kInternal, "the query ended early although no shard has failed"};
}

}  // namespace

void ApplyResult(entry_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 base::query_sequence sequence, const peer::attempt_result& result) {
  const auto found = tables.queries.attempts.find(result.attempt.value);
  if (found == tables.queries.attempts.end() || found->second.query != sequence.value) return;
  const attempt& pending = found->second;
  query& query = tables.queries.queries.at(sequence.value);
  if (pending.gatherer != sender || query.targets[pending.shard]->id != result.shard ||
      query.config->backend_servers[pending.server].id != result.backend_server) {
    return;
  }
  if (result.succeeded && IsAcceptable(query, pending, result)) {
    const attempt ended =
        EndAttempt(tables, ctx, query, result.attempt.value, call_outcome::kSuccess, executed_state::kYes);
    RecordSuccess(tables, ctx, query, ended, result);
    AcceptResult(tables, ctx, query, ended, result);
    return;
  }
  const error_kind failure = result.succeeded ? error_kind::kAnswerMismatched : result.failure;
  const executed_state executed = result.succeeded ? executed_state::kYes : result.executed;
  const attempt ended = EndAttempt(tables, ctx, query, result.attempt.value, OutcomeOf(failure), executed);
  if (failure == error_kind::kBackendShed || failure == error_kind::kOverloaded) {
    routing::AddShed(tables.statistics.services[ServiceOf(tables, query, ended.shard)].queue, ctx.now);
  }
  ApplyEjectionPolicy(tables, ctx, ended.statistics);
  HandleFailure(tables, ctx, query, ended, failure, executed);
}

void FailUnreachableAttempt(entry_tables& tables, instance::context& ctx, query& query, std::uint64_t sequence,
                            executed_state executed) {
  const attempt ended = EndAttempt(tables, ctx, query, sequence, call_outcome::kNeutral, executed);
  HandleFailure(tables, ctx, query, ended, error_kind::kPeerUnreachable, executed);
}

void FailAttemptsOfUnreachableGatherers(entry_tables& tables, instance::context& ctx) {
  if (tables.members_version == ctx.members.version) return;
  tables.members_version = ctx.members.version;
  for (auto& [sequence, query] : tables.queries.queries) {
    std::vector<std::uint64_t> unreachable;
    for (const shard_task& task : query.shards) {
      for (std::uint8_t i = 0; i < task.running; ++i) {
        const attempt& attempt = tables.queries.attempts.at(task.running_attempts[i]);
        const membership::member* member = membership::FindMember(ctx.members, attempt.gatherer);
        const bool restarted = member != nullptr && attempt.gatherer_incarnation.value != 0 &&
                               member->info.member.incarnation > attempt.gatherer_incarnation;
        if (restarted || !membership::IsReachable(ctx.members, attempt.gatherer))
          unreachable.push_back(task.running_attempts[i]);
      }
    }
    for (const std::uint64_t attempt : unreachable)
      FailUnreachableAttempt(tables, ctx, query, attempt, executed_state::kUnknown);
  }
}

void AdvanceQuery(entry_tables& tables, instance::context& ctx, std::uint64_t sequence) {
  const auto found = tables.queries.queries.find(sequence);
  if (found == tables.queries.queries.end()) return;
  query& query = found->second;
  if (!query.fatal_error && IsAtDeadline(query, ctx.now)) {
    FinishQuery(tables, ctx, query, DeadlineError(query));
    return;
  }
  RunRestart(tables, ctx, query);
  RunRetries(tables, ctx, query);
  RunHedges(tables, ctx, query);
  if (query.fatal_error) {
    RefuseQuery(tables, ctx, query, *query.fatal_error);
    return;
  }
  const bool settled = query.answered + query.failed == query.shards.size();
  const bool canary_failed =
      query.canary == canary_state::kRunning && query.shards[query.canary_shard].state == shard_state::kFailed;
  if (settled || canary_failed) FinishQuery(tables, ctx, query, FailedShardError(query));
}

}  // namespace limpetrouter::core::entry
