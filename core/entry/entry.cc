#include "core/entry/entry.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include <fmt/format.h>

#include "core/entry/answer.h"
#include "core/entry/attempts.h"
#include "core/entry/holders.h"
#include "core/entry/permitted.h"
#include "core/entry/results.h"
#include "core/entry/start.h"
#include "core/entry/validate.h"

namespace limpetrouter::core::entry {
namespace {

using base::error_kind;
using base::executed_state;

/// Maximum deadline of a request that this instance finds invalid, for example because it does not know the operation.
/// Such a request is not refused here if it has a permit, because the owner of the permit may know the operation.
constexpr base::duration kMaxFallbackDeadline = std::chrono::seconds(5);
/// Time after a pause during which no hedges are sent. Answers that arrived during the pause are still being read then,
/// so that every call looks late.
constexpr base::duration kHedgeHold = std::chrono::milliseconds(50);

base::result<valid_request> Validate(const instance::context& ctx, const peer::query_request& request) {
  if (ctx.config == nullptr) {
    return base::Fail(error_kind::kNoConfiguration, "no configuration has been accepted yet");
  }
  return ValidateRequest(*ctx.config, request);
}

/// Maximum time that the caller waits for the answer to a request that this instance finds invalid.
base::duration FallbackDeadline(const peer::query_request& request) {
  if (request.deadline_ms <= 0) return kMaxFallbackDeadline;
  return std::min<base::duration>(std::chrono::milliseconds(std::min<std::int64_t>(request.deadline_ms, 60'000)),
                                  kMaxFallbackDeadline);
}

/// Starts the query of a repeatable request, or refuses the request.
void StartRead(entry_tables& tables, instance::context& ctx, std::uint64_t sequence, const peer::query_request& request,
               const config::operation_rule* rule, const answer_target& target) {
  if (tables.resumed_at) {
    const base::error reason{error_kind::kProcessPaused, "the request may have waited while the process was paused"};
    return Refuse(tables, ctx, sequence, target, MakeRefusal(ctx, sequence, reason));
  }
  query_start start;
  start.sequence = sequence;
  start.request = request;
  start.rule = rule;
  start.deadline = target.deadline;
  start.target = target;
  const auto refusal = StartQuery(tables, ctx, std::move(start));
  if (!refusal) return;
  peer::query_answer answer = MakeRefusal(ctx, sequence, refusal->reason);
  answer.retry_after_ms = refusal->retry_after_ms;
  Refuse(tables, ctx, sequence, target, std::move(answer));
}

void HandleGatherSendFailed(entry_tables& tables, instance::context& ctx, const io::peer_send_failed& event,
                            const peer::gather_request& request) {
  RecordUnreachable(tables, event.target, ctx.now);
  for (const peer::gather_item& item : request.items) {
    const auto found = tables.queries.attempts.find(item.attempt.value);
    if (found == tables.queries.attempts.end() || found->second.gatherer != event.target) continue;
    query& query = tables.queries.queries.at(found->second.query);
    const executed_state executed = event.bytes_sent ? executed_state::kUnknown : executed_state::kNo;
    FailUnreachableAttempt(tables, ctx, query, item.attempt.value, executed);
  }
  AdvanceQuery(tables, ctx, request.query.value);
}

void HandleForwardSendFailed(entry_tables& tables, const instance::context& ctx, std::uint64_t token) {
  const auto found = tables.forwards.find(token);
  if (found == tables.forwards.end()) return;
  // The owner executes the request of a permit once, no matter how often the request arrives. A resend is therefore
  // safe even if the previous message was delivered.
  const base::duration delay = std::min(kMaxResendDelay, kMinResendDelay * (1U << std::min(found->second.sends, 8U)));
  found->second.resend_at = ctx.now + delay;
}

/// True if the target is the caller of this instance with this reply handle.
bool IsFor(const answer_target& target, base::reply_handle handle) {
  return !target.forwarded && target.handle == handle;
}

}  // namespace

void HandleQuery(entry_tables& tables, instance::context& ctx, const io::query_received& event) {
  tables.self = ctx.members.self.ref;
  const std::uint64_t sequence = NewSequence(tables, ctx, event.request);
  answer_target target;
  target.handle = event.handle;
  target.request_id = event.request.request_id;
  const auto valid = Validate(ctx, event.request);
  target.deadline = ctx.now + (valid ? valid->deadline : FallbackDeadline(event.request));
  if (valid && valid->rule->repeatable) {
    return StartRead(tables, ctx, sequence, event.request, valid->rule, target);
  }
  // Only the owner of a permit may answer that the request was not executed, even if this instance finds the request
  // invalid: the request may have been executed under a configuration that differs from the one of this instance.
  const auto permit = ParsePermit(event.request.permit);
  if (permit) return HandlePermitted(tables, ctx, sequence, event.request, *permit, target);
  base::error reason{error_kind::kPermitInvalid,
                     "the permit is not of the form instance/incarnation/serial/expiry/check"};
  if (!valid) reason = valid.error();
  Refuse(tables, ctx, sequence, target, MakeRefusal(ctx, sequence, std::move(reason)));
}

void HandleAbandoned(entry_tables& tables, instance::context& ctx, const io::query_abandoned& event) {
  for (auto& [sequence, query] : tables.queries.queries) {
    if (!query.target || !IsFor(*query.target, event.handle)) continue;
    query.target.reset();
    RefuseQuery(tables, ctx, query, {error_kind::kCancelled, "the caller closed its connection"});
    return;
  }
  // A non-repeatable request continues without its caller, who may send the request again with the same permit.
  for (const std::uint64_t serial : tables.permits.running) {
    std::erase_if(tables.permits.records.at(serial).waiters,
                  [&](const answer_target& waiter) { return IsFor(waiter, event.handle); });
  }
  std::erase_if(tables.forwards, [&](const auto& entry) { return IsFor(entry.second.target, event.handle); });
}

void HandleGatherAnswer(entry_tables& tables, instance::context& ctx, const peer::message_header& header,
                        const peer::gather_answer& answer) {
  if (answer.entry != ctx.members.self.ref) return;
  RecordMessageReceived(tables, header.sender.id, ctx.now);
  for (const peer::attempt_result& result : answer.results) {
    ApplyResult(tables, ctx, header.sender.id, answer.query, result);
  }
  AdvanceQuery(tables, ctx, answer.query.value);
}

void HandleForwardRequest(entry_tables& tables, instance::context& ctx, const peer::message_header& header,
                          const peer::forward_request& request) {
  tables.self = ctx.members.self.ref;
  const std::uint64_t sequence = NewSequence(tables, ctx, request.request);
  answer_target target;
  target.forwarded = true;
  target.peer = header.sender;
  target.token = request.token;
  target.request_id = request.request.request_id;
  target.deadline = ctx.now + base::duration(std::max<std::int64_t>(request.remaining_us, 0));
  const auto permit = ParsePermit(request.request.permit);
  if (!permit)
    return AnswerOutcomeUnknown(tables, ctx, sequence, target, "the permit of the forwarded request cannot be parsed");
  HandlePermitted(tables, ctx, sequence, request.request, *permit, target);
}

void HandleForwardAnswer(entry_tables& tables, instance::context& ctx, const peer::message_header& header,
                         const peer::forward_answer& answer) {
  const auto found = tables.forwards.find(answer.token);
  if (found == tables.forwards.end() || found->second.owner.id != header.sender.id) return;
  // The incarnation of the sender is not checked: a later incarnation of the owner does not know the permit and answers
  // that the outcome is unknown, which is also correct.
  decision decision;
  decision.name = answer.answer.succeeded ? "answer" : "refuse";
  decision.gatherer = header.sender.id.value;
  decision.reason = "answer of the owner";
  RecordDecision(tables.explanations, ctx, found->second.query, std::move(decision));
  Deliver(ctx, found->second.target, answer.answer);
  tables.forwards.erase(found);
}

void HandleSendFailed(entry_tables& tables, instance::context& ctx, const io::peer_send_failed& event) {
  if (const auto* request = std::get_if<peer::gather_request>(&event.message.body)) {
    HandleGatherSendFailed(tables, ctx, event, *request);
  } else if (const auto* forward = std::get_if<peer::forward_request>(&event.message.body)) {
    HandleForwardSendFailed(tables, ctx, forward->token);
  }
}

void RunEntry(entry_tables& tables, instance::context& ctx) {
  tables.self = ctx.members.self.ref;
  if (tables.resumed_at && ctx.now > *tables.resumed_at) tables.resumed_at.reset();
  FailAttemptsOfUnreachableGatherers(tables, ctx);
  std::vector<std::uint64_t> sequences;
  sequences.reserve(tables.queries.queries.size());
  for (const auto& [sequence, query] : tables.queries.queries)
    sequences.push_back(sequence);
  for (const std::uint64_t sequence : sequences)
    AdvanceQuery(tables, ctx, sequence);
  AdvanceForwards(tables, ctx);
  ExpireWaiters(tables, ctx);
  ExpirePermits(tables.permits, ctx.now);
  AdjustLimits(tables, ctx);
}

void HandlePause(entry_tables& tables, instance::context& ctx, base::duration gap) {
  tables.resumed_at = ctx.now;
  tables.hold_hedges_until = ctx.now + kHedgeHold;
  for (auto& [sequence, attempt] : tables.queries.attempts)
    attempt.sent = std::min(attempt.sent + gap, ctx.now);
  for (auto& [sequence, query] : tables.queries.queries) {
    for (shard_task& task : query.shards)
      task.last_sent = std::min(task.last_sent + gap, ctx.now);
  }
}

bool IsIdle(const entry_tables& tables, base::time_point now) {
  return tables.queries.queries.empty() && tables.forwards.empty() && !HasOpenPermits(tables.permits, now);
}

}  // namespace limpetrouter::core::entry
