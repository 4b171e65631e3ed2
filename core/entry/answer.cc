#include "core/entry/answer.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/entry/attempts.h"

namespace limpetrouter::core::entry {
namespace {

using base::error_kind;
using base::executed_state;

/// Orders rows by key and then by shard, so that the result does not depend on which shard answered first.
bool RowBefore(const std::pair<std::uint32_t, peer::result_row>& a,
               const std::pair<std::uint32_t, peer::result_row>& b) {
  if (a.second.key != b.second.key) return a.second.key < b.second.key;
  return a.first < b.first;
}

/// Sorts the rows of a query and drops those beyond the maximum of its operation.
void TruncateRows(query& query) {
  std::stable_sort(query.rows.begin(), query.rows.end(), RowBefore);
  if (query.rows.size() > query.rule->max_rows) query.rows.resize(query.rule->max_rows);
}

/// Fills in the fields that success and refusal have in common.
peer::query_answer MakeBaseAnswer(const instance::context& ctx, const query& query) {
  peer::query_answer answer;
  answer.query_id = QueryIdOf(ctx.members.self.ref, query.sequence.value);
  answer.revision = query.config->revision;
  if (query.snapshot != nullptr) answer.snapshot = query.snapshot->id;
  answer.coverage.documents_answered = query.documents_answered;
  answer.coverage.documents_total = query.documents_total;
  answer.coverage.shards_answered = query.answered;
  answer.coverage.shards_total = static_cast<std::uint32_t>(query.shards.size());
  return answer;
}

peer::query_answer MakeSuccessAnswer(const instance::context& ctx, query& query) {
  peer::query_answer answer = MakeBaseAnswer(ctx, query);
  answer.succeeded = true;
  answer.executed = executed_state::kYes;
  TruncateRows(query);
  answer.rows.reserve(query.rows.size());
  for (auto& [shard, row] : query.rows)
    answer.rows.push_back(std::move(row));
  for (const auto& [name, value] : query.totals)
    answer.totals.push_back({name, value});
  return answer;
}

peer::query_answer MakeRefusalAnswer(const instance::context& ctx, const query& query, base::error reason) {
  peer::query_answer answer = MakeBaseAnswer(ctx, query);
  answer.failure = reason.kind;
  answer.detail = std::move(reason.detail);
  answer.executed = query.executed;
  return answer;
}

/// Chooses the most specific error for the caller: a non-repeatable request that may have been executed has an unknown
/// outcome, and a query with some answers has incomplete coverage.
base::error RefusalErrorOf(const query& query, base::error reason) {
  if (!query.rule->repeatable && query.executed == executed_state::kUnknown) {
    return {error_kind::kOutcomeUnknown, reason.detail};
  }
  if (query.answered == 0) return reason;
  return {error_kind::kCoverageIncomplete,
          fmt::format("{} of {} shards answered; {}", query.answered, query.shards.size(), reason.detail)};
}

/// Records the answer of a query, sends it to the caller and the waiters of the permit, and erases the query.
void SendAnswer(entry_tables& tables, instance::context& ctx, query& query, peer::query_answer answer) {
  decision decision;
  decision.name = answer.succeeded ? "answer" : "refuse";
  decision.snapshot = answer.snapshot.value;
  decision.reason = answer.succeeded ? fmt::format("{} of {} shards", query.answered, query.shards.size())
                                     : fmt::format("{}: {} (executed {})", base::ToString(answer.failure),
                                                   answer.detail, base::ToString(answer.executed));
  RecordDecision(tables.explanations, ctx, query.sequence.value, std::move(decision));
  collection_state& collection = tables.collections[query.request.collection];
  routing::CountEnded(collection.admission, query.weight, ctx.now - query.started);
  if (query.permit_serial) FinishPermit(tables, ctx, *query.permit_serial, answer);
  if (query.target) Deliver(ctx, *query.target, std::move(answer));
  tables.queries.queries.erase(query.sequence.value);
}

}  // namespace

std::string QueryIdOf(const base::instance_ref& self, std::uint64_t sequence) {
  return fmt::format("{}/{}/{}", self.id.value, self.incarnation.value, sequence);
}

peer::query_answer MakeRefusal(const instance::context& ctx, std::uint64_t sequence, base::error reason) {
  peer::query_answer answer;
  answer.query_id = QueryIdOf(ctx.members.self.ref, sequence);
  answer.failure = reason.kind;
  answer.detail = std::move(reason.detail);
  answer.executed = base::DescribeError(reason.kind).executed.value_or(executed_state::kNo);
  if (ctx.config != nullptr) answer.revision = ctx.config->revision;
  return answer;
}

void Deliver(instance::context& ctx, const answer_target& target, peer::query_answer answer) {
  answer.request_id = target.request_id;
  if (!target.forwarded) {
    ctx.out.push_back(io::reply_query{target.handle, std::move(answer)});
    return;
  }
  // If the address of the forwarding instance is not known, that instance answers its caller at the deadline that the
  // outcome is unknown, which is correct.
  instance::SendToPeer(ctx, target.peer.id, peer::forward_answer{target.token, std::move(answer)});
}

void FinishPermit(entry_tables& tables, instance::context& ctx, std::uint64_t serial,
                  const peer::query_answer& answer) {
  const auto found = tables.permits.records.find(serial);
  if (found == tables.permits.records.end() || found->second.state == permit_state::kFinished) return;
  permit_record& record = found->second;
  record.state = permit_state::kFinished;
  record.answer = answer;
  const std::vector<answer_target> waiters = std::move(record.waiters);
  record.waiters.clear();
  MarkFinished(tables.permits, serial);
  for (const answer_target& waiter : waiters)
    Deliver(ctx, waiter, answer);
}

void MergeShard(query& query, std::uint32_t shard, const peer::attempt_result& result) {
  shard_task& task = query.shards[shard];
  if (task.state == shard_state::kAnswered) return;
  task.state = shard_state::kAnswered;
  ++query.answered;
  query.documents_answered += result.documents;
  for (const peer::result_row& row : result.rows)
    query.rows.emplace_back(shard, row);
  // Limits the memory of a query to a small multiple of its answer.
  if (query.rows.size() > 4 * static_cast<std::size_t>(query.rule->max_rows) + 64) TruncateRows(query);
  for (const peer::result_total& total : result.totals) {
    std::int64_t& sum = query.totals[total.name];
    // The addition is unsigned because signed overflow would be undefined behavior; unsigned overflow wraps.
    sum = static_cast<std::int64_t>(static_cast<std::uint64_t>(sum) + static_cast<std::uint64_t>(total.value));
  }
}

void FinishQuery(entry_tables& tables, instance::context& ctx, query& query, base::error reason) {
  CancelAll(tables, ctx, query);
  const bool complete = query.answered == query.shards.size();
  if (complete || (query.rule->partial_useful && query.answered > 0)) {
    SendAnswer(tables, ctx, query, MakeSuccessAnswer(ctx, query));
    return;
  }
  base::error refusal = RefusalErrorOf(query, std::move(reason));
  SendAnswer(tables, ctx, query, MakeRefusalAnswer(ctx, query, std::move(refusal)));
}

void RefuseQuery(entry_tables& tables, instance::context& ctx, query& query, base::error reason) {
  CancelAll(tables, ctx, query);
  SendAnswer(tables, ctx, query, MakeRefusalAnswer(ctx, query, std::move(reason)));
}

}  // namespace limpetrouter::core::entry
