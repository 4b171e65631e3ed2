#include "core/entry/permitted.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "core/entry/answer.h"
#include "core/entry/start.h"
#include "core/entry/validate.h"
#include "core/instance/instance.h"

namespace limpetrouter::core::entry {
namespace {

using base::error_kind;

/// Part of the remaining time that is withheld from the owner, so that its answer arrives before the deadline of the
/// forwarding instance. At most a tenth of the remaining time.
constexpr base::duration kForwardReserve = std::chrono::milliseconds(20);

/// True if the deadline passes before the next tick.
bool IsPast(base::time_point deadline, base::time_point now) { return deadline - now < instance::kTickInterval; }

/// Refuses the request of a permit and records the refusal as the answer for the permit. A copy of the request that
/// arrives later must not be executed after the caller was notified that the request was not executed.
void RefusePermitted(entry_tables& tables, instance::context& ctx, std::uint64_t sequence, std::uint64_t serial,
                     const start_refusal& refusal) {
  peer::query_answer answer = MakeRefusal(ctx, sequence, refusal.reason);
  answer.retry_after_ms = refusal.retry_after_ms;
  decision decision;
  decision.name = "refuse";
  decision.reason = fmt::format("{}: {}", base::ToString(answer.failure), answer.detail);
  RecordDecision(tables.explanations, ctx, sequence, std::move(decision));
  FinishPermit(tables, ctx, serial, answer);
}

/// Starts the first request with a permit. The record of the permit must exist.
void StartPermitted(entry_tables& tables, instance::context& ctx, std::uint64_t sequence,
                    const peer::query_request& request, std::uint64_t serial, base::time_point deadline) {
  const auto refuse = [&](base::error reason) {
    RefusePermitted(tables, ctx, sequence, serial, start_refusal{std::move(reason), 0});
  };
  if (tables.resumed_at)
    return refuse({error_kind::kProcessPaused, "the owner of the permit has just resumed after a pause"});
  if (ctx.config == nullptr) return refuse({error_kind::kNoConfiguration, "no configuration has been accepted yet"});
  const auto valid = ValidateRequest(*ctx.config, request);
  if (!valid) return refuse(valid.error());
  if (IsPast(deadline, ctx.now))
    return refuse(
        {error_kind::kDeadlineExceeded, "the deadline passed before the request reached the owner of the permit"});
  query_start start;
  start.sequence = sequence;
  start.request = request;
  start.rule = valid->rule;
  start.deadline = std::min(deadline, ctx.now + valid->rule->max_deadline);
  start.permit_serial = serial;
  const auto refusal = StartQuery(tables, ctx, std::move(start));
  if (refusal) RefusePermitted(tables, ctx, sequence, serial, *refusal);
}

/// Handles a request with a permit of this incarnation: starts the request, joins it to an earlier copy or refuses it.
void HandleAsOwner(entry_tables& tables, instance::context& ctx, std::uint64_t sequence,
                   const peer::query_request& request, const permit& permit, const answer_target& target) {
  const auto refuse = [&](error_kind kind, std::string detail) {
    Refuse(tables, ctx, sequence, target, MakeRefusal(ctx, sequence, {kind, std::move(detail)}));
  };
  if (!IsGenuine(tables.permits, permit)) {
    return refuse(error_kind::kPermitInvalid, "this instance has not issued the permit");
  }
  const base::fingerprint_id fingerprint = FingerprintOf(request);
  const auto found = tables.permits.records.find(permit.serial);
  if (found != tables.permits.records.end()) {
    permit_record& record = found->second;
    if (record.fingerprint != fingerprint) {
      return refuse(error_kind::kPermitMismatch, "the permit was used with another collection, operation, key or body");
    }
    const bool finished = record.state == permit_state::kFinished;
    decision decision;
    decision.name = "join";
    decision.reason = finished ? "the permit has its answer" : "the permit is running";
    RecordDecision(tables.explanations, ctx, sequence, std::move(decision));
    if (finished) return Deliver(ctx, target, record.answer);
    record.waiters.push_back(target);
    return;
  }
  const base::duration retention =
      ctx.config != nullptr ? ctx.config->limit.permit_retention : config::limits{}.permit_retention;
  const base::time_point expiry{base::duration(permit.expiry_us)};
  if (ctx.now > expiry + retention) {
    return AnswerOutcomeUnknown(tables, ctx, sequence, target,
                                "the permit is past its retention; whether it was used is no longer known");
  }
  // Records of used permits are kept until the retention ends, so an expired permit without a record was never used.
  if (ctx.now > expiry) return refuse(error_kind::kPermitExpired, "the permit has expired unused");
  permit_record record;
  record.fingerprint = fingerprint;
  record.waiters.push_back(target);
  record.retained_until = expiry + retention;
  tables.permits.records.emplace(permit.serial, std::move(record));
  tables.permits.running.insert(permit.serial);
  StartPermitted(tables, ctx, sequence, request, permit.serial, target.deadline);
}

/// True if the owner is not a member, is known to be dead, or has restarted.
bool IsOwnerUnavailable(const instance::context& ctx, const base::instance_ref& owner) {
  const membership::member* member = membership::FindMember(ctx.members, owner.id);
  if (member == nullptr) return true;
  if (member->info.member.incarnation > owner.incarnation) return true;
  return member->info.member.incarnation == owner.incarnation && member->info.state == peer::member_state::kDead;
}

/// Queues the request for the owner of its permit. Returns false if the address of the owner is not known.
bool SendForward(instance::context& ctx, std::uint64_t token, forwarded_query& forward) {
  base::duration remaining = forward.target.deadline - ctx.now;
  remaining -= std::min(remaining / 10, kForwardReserve);
  peer::forward_request message;
  message.token = token;
  message.remaining_us = remaining.count();
  message.request = forward.request;
  ++forward.sends;
  forward.resend_at.reset();
  return instance::SendToPeer(ctx, forward.owner.id, std::move(message));
}

/// Forwards a request to the owner of its permit, or refuses it.
void Forward(entry_tables& tables, instance::context& ctx, std::uint64_t sequence, const peer::query_request& request,
             const permit& permit, const answer_target& target) {
  if (IsOwnerUnavailable(ctx, permit.owner)) {
    return AnswerOutcomeUnknown(tables, ctx, sequence, target,
                                "the owner of the permit is unavailable or has restarted");
  }
  const std::uint32_t bound =
      ctx.config != nullptr ? ctx.config->limit.max_queries_in_flight : config::limits{}.max_queries_in_flight;
  if (tables.forwards.size() >= bound) {
    peer::query_answer answer = MakeRefusal(
        ctx, sequence,
        {error_kind::kOverloaded, fmt::format("the limit of {} forwarded requests in flight is reached", bound)});
    // An earlier copy of the request may have been executed through another instance.
    answer.executed = base::executed_state::kUnknown;
    answer.retry_after_ms = base::ToMilliseconds(kMaxResendDelay);
    return Refuse(tables, ctx, sequence, target, std::move(answer));
  }
  decision decision;
  decision.name = "forward";
  decision.gatherer = permit.owner.id.value;
  decision.reason = "owner of the permit";
  RecordDecision(tables.explanations, ctx, sequence, std::move(decision));
  const std::uint64_t token = tables.next_token++;
  forwarded_query& forward = tables.forwards[token];
  forward.query = sequence;
  forward.target = target;
  forward.owner = permit.owner;
  forward.request = request;
  if (!SendForward(ctx, token, forward)) forward.resend_at = ctx.now + kMinResendDelay;
}

}  // namespace

void AnswerOutcomeUnknown(entry_tables& tables, instance::context& ctx, std::uint64_t sequence,
                          const answer_target& target, std::string detail) {
  Refuse(tables, ctx, sequence, target, MakeRefusal(ctx, sequence, {error_kind::kOutcomeUnknown, std::move(detail)}));
}

void HandlePermitted(entry_tables& tables, instance::context& ctx, std::uint64_t sequence,
                     const peer::query_request& request, const permit& permit, const answer_target& target) {
  const base::instance_ref& self = ctx.members.self.ref;
  if (permit.owner == self) return HandleAsOwner(tables, ctx, sequence, request, permit, target);
  if (permit.owner.id == self.id) {
    return AnswerOutcomeUnknown(tables, ctx, sequence, target, "the owner of the permit has restarted");
  }
  // A forwarded request is not forwarded again: the sender was wrong about the owner.
  if (target.forwarded) {
    return AnswerOutcomeUnknown(tables, ctx, sequence, target, "this instance does not own the permit");
  }
  Forward(tables, ctx, sequence, request, permit, target);
}

void AdvanceForwards(entry_tables& tables, instance::context& ctx) {
  for (auto it = tables.forwards.begin(); it != tables.forwards.end();) {
    forwarded_query& forward = it->second;
    const bool unavailable = IsOwnerUnavailable(ctx, forward.owner);
    if (unavailable || IsPast(forward.target.deadline, ctx.now)) {
      const char* detail = unavailable ? "the owner of the permit is unavailable or has restarted"
                                       : "the owner of the permit did not answer in time";
      AnswerOutcomeUnknown(tables, ctx, forward.query, forward.target, detail);
      it = tables.forwards.erase(it);
      continue;
    }
    if (forward.resend_at && *forward.resend_at <= ctx.now && !SendForward(ctx, it->first, forward)) {
      forward.resend_at = ctx.now + kMaxResendDelay;
    }
    ++it;
  }
}

void ExpireWaiters(entry_tables& tables, instance::context& ctx) {
  for (const std::uint64_t serial : tables.permits.running) {
    std::vector<answer_target>& waiters = tables.permits.records.at(serial).waiters;
    std::erase_if(waiters, [&](const answer_target& waiter) {
      if (!IsPast(waiter.deadline, ctx.now)) return false;
      peer::query_answer answer = MakeRefusal(
          ctx, 0, {error_kind::kOutcomeUnknown, "the request is still being executed at the deadline of this copy"});
      Deliver(ctx, waiter, std::move(answer));
      return true;
    });
  }
}

}  // namespace limpetrouter::core::entry
