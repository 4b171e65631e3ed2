#include "core/forwarding/relay.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "core/forwarding/admission.h"
#include "core/forwarding/answers.h"
#include "core/forwarding/request_calls.h"
#include "core/forwarding/request_outcome.h"
#include "core/forwarding/requests.h"
#include "core/forwarding/retry_budget.h"
#include "core/forwarding/server_contact.h"
#include "core/membership/fact_table.h"

namespace limpetrouter::core::forwarding {
namespace {

using base::error_kind;
using base::executed_state;

/// A request is passed on at most this often, as each instance that cannot handle it costs a network round trip.
constexpr std::size_t kMaxRelays = 3;
/// Distinguishes the handles of relayed requests from those of callers of this instance.
constexpr std::uint64_t kRelayedHandle = std::uint64_t{1} << 63U;

/// Returns the number of servers of a service that may have received the request from this instance. The links were
/// lost at some time after the last answer, so that at most one of the calls since then has arrived.
std::uint32_t AttemptsMade(const forwarding_tables& tables, const active_request& request) {
  std::uint32_t most = 0;
  for (const request_part& part : request.parts) {
    const auto late =
        static_cast<std::uint32_t>(std::count_if(part.calls.begin(), part.calls.end(), [&tables](const call_id& id) {
          return tables.calls.at(id).started > tables.contact.last_answer;
        }));
    most = std::max(most, late > 1 && IsCutOff(tables) ? part.attempts - (late - 1) : part.attempts);
  }
  return most + request.relayed_attempts;
}

bool HasCalls(const active_request& request) {
  return std::any_of(request.parts.begin(), request.parts.end(),
                     [](const request_part& part) { return !part.calls.empty(); });
}

struct relay_candidate {
  base::instance_id id;
  std::uint64_t weight = 1;
  bool busy = false;
};

/// Returns the instances that may handle the request.
std::vector<relay_candidate> Candidates(const instance::context& ctx, const active_request& request) {
  std::vector<relay_candidate> found;
  for (const auto& [id, entry] : ctx.members.members) {
    const bool usable = entry.info.state == peer::member_state::kAlive && entry.info.member.incarnation.value != 0;
    if (!usable || membership::IsCutOff(ctx.facts, id, ctx.now)) continue;
    if (std::find(request.relayed_to.begin(), request.relayed_to.end(), id) != request.relayed_to.end()) continue;
    found.push_back({id, std::max<std::uint64_t>(entry.info.capacity, 1), membership::IsBusy(ctx.facts, id, ctx.now)});
  }
  return found;
}

/// Chooses an instance at random, in proportion to its capacity, and a busy one only if all are.
std::optional<base::instance_id> ChooseTarget(instance::context& ctx, const active_request& request) {
  std::vector<relay_candidate> candidates = Candidates(ctx, request);
  const bool all_busy =
      std::all_of(candidates.begin(), candidates.end(), [](const relay_candidate& each) { return each.busy; });
  if (!all_busy) std::erase_if(candidates, [](const relay_candidate& each) { return each.busy; });
  std::uint64_t total = 0;
  std::optional<base::instance_id> chosen;
  for (const relay_candidate& each : candidates) {
    total += each.weight;
    if (base::NextBelow(ctx.random, total) < each.weight) chosen = each.id;
  }
  return chosen;
}

/// Takes the repeated sends from the budgets, if this instance has sent the request to servers before.
bool SpendBudgets(forwarding_tables& tables, const active_request& request, base::time_point now) {
  bool granted = true;
  for (const request_part& part : request.parts) {
    if (part.attempts == 0 || part.result.has_value()) continue;
    granted = TrySpendRetryBudget(tables, part.service, extra_call_kind::kRetry, now) && granted;
  }
  return granted;
}

/// True if another instance may succeed where one has failed in this way.
bool IsWorthRelaying(error_kind kind) {
  return kind == error_kind::kNoUsableReplica || kind == error_kind::kConnectFailed ||
         kind == error_kind::kNoConfiguration || kind == error_kind::kInstanceLeaving ||
         kind == error_kind::kPeerUnreachable;
}

/// Handles the failure of a relayed request: passes it on to a further instance, or answers the caller.
void HandleFailure(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle,
                   active_request& request, base::error failure, executed_state executed,
                   std::optional<base::duration> retry_after) {
  request.relay.reset();
  request.executed = base::CombineExecuted(request.executed, executed);
  const bool again = IsWorthRelaying(failure.kind) && MayRelay(tables, ctx, request);
  if (again && StartRelay(tables, ctx, handle, request)) return;
  const executed_state combined =
      HasCalls(request) ? base::CombineExecuted(request.executed, executed_state::kUnknown) : request.executed;
  FinishRequest(tables, ctx, handle, MakeFailure(std::move(failure), combined, retry_after));
}

active_request* FindRelay(forwarding_tables& tables, std::uint64_t token, base::reply_handle& handle) {
  const auto found = tables.relays.find(token);
  if (found == tables.relays.end()) return nullptr;
  handle = found->second;
  tables.relays.erase(found);
  const auto active = tables.requests.find(handle);
  if (active == tables.requests.end() || !active->second.relay.has_value()) return nullptr;
  return active->second.relay->token == token ? &active->second : nullptr;
}

}  // namespace

bool MayRelay(const forwarding_tables& tables, const instance::context& ctx, const active_request& request) {
  if (request.origin.has_value() || request.relay.has_value()) return false;
  if (!HasNoNewConnections(tables) && !IsInDoubt(tables)) return false;
  if (request.relayed_to.size() >= kMaxRelays || ctx.now + kAnswerMargin >= request.deadline) return false;
  if (!IsIdempotent(request)) return request.executed == executed_state::kNo && !HasCalls(request);
  return AttemptsMade(tables, request) < request.max_attempts;
}

bool StartRelay(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request) {
  const std::optional<base::instance_id> target = ChooseTarget(ctx, request);
  if (!target.has_value()) return false;
  const std::uint32_t attempts = AttemptsMade(tables, request);
  const bool first = request.relayed_to.empty();
  request.relayed_to.push_back(*target);
  if (first && !SpendBudgets(tables, request, ctx.now)) {
    request.relayed_to.resize(kMaxRelays);
    return false;
  }
  peer::relay_request relayed;
  relayed.token = tables.next_relay++;
  relayed.age_us = (ctx.now - request.content->received).count();
  relayed.max_attempts = request.max_attempts - attempts;
  relayed.counted = request.counted;
  relayed.request = *request.content;
  const std::uint64_t token = relayed.token;
  if (!instance::SendToPeer(ctx, *target, std::move(relayed))) return false;
  request.relay = running_relay{token, *target};
  tables.relays.emplace(token, handle);
  for (request_part& part : request.parts) {
    part.failed = false;
    Dequeue(tables, part);
    part.held = false;
    LetCallsLinger(tables, ctx, part);
  }
  LogRequest(tables.history, ctx, request.content->attempt, "relay",
             {{"instance", target->value},
              {"route", request.route->name},
              {"after_ms", std::to_string(base::ToMilliseconds(ctx.now - request.content->received))},
              {"attempts", std::to_string(attempts)},
              {"answer_age_ms", std::to_string(base::ToMilliseconds(ctx.now - tables.contact.last_answer))}});
  return true;
}

void CancelRelay(forwarding_tables& tables, instance::context& ctx, active_request& request) {
  if (!request.relay.has_value()) return;
  tables.relays.erase(request.relay->token);
  instance::SendToPeer(ctx, request.relay->target, peer::relay_cancel{request.relay->token});
  request.relay.reset();
}

void RelayUnanswered(forwarding_tables& tables, instance::context& ctx) {
  if (!IsCutOff(tables)) return;
  std::vector<base::reply_handle> handles;
  for (const auto& [handle, request] : tables.requests) {
    if (IsIdempotent(request) && !request.relay.has_value()) handles.push_back(handle);
  }
  for (const base::reply_handle handle : handles) {
    active_request& request = tables.requests.at(handle);
    if (MayRelay(tables, ctx, request) && StartRelay(tables, ctx, handle, request)) continue;
    if (!request.origin.has_value()) continue;
    // The instance that passed the request on can still find another one.
    FinishRequest(tables, ctx, handle,
                  MakeFailure({error_kind::kNoUsableReplica, "this instance has lost its links to the backend servers"},
                              HasCalls(request) ? executed_state::kUnknown : request.executed, kDefaultRetryAfter));
  }
}

void HandleRelayRequest(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                        const peer::relay_request& relayed) {
  // Tokens increase on their way through one connection, so that a repeated message is recognised and not executed
  // again.
  relay_origin& last = tables.last_relayed[header.sender.id];
  if (last.instance == header.sender && relayed.token <= last.token) return;
  last = relay_origin{header.sender, relayed.token};
  auto content = std::make_shared<request>(relayed.request);
  content->received = ctx.now - base::duration(std::max<std::int64_t>(relayed.age_us, 0));
  acceptance accepted;
  accepted.handle = base::reply_handle(kRelayedHandle | tables.next_relay++);
  accepted.origin = relay_origin{header.sender, relayed.token};
  accepted.max_attempts = relayed.max_attempts;
  accepted.counted_elsewhere = relayed.counted;
  AcceptRequest(tables, ctx, std::move(content), accepted);
}

void HandleRelayAnswer(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                       const peer::relay_answer& relayed) {
  if (relayed.origin != ctx.members.self.ref) return;
  base::reply_handle handle;
  active_request* const request = FindRelay(tables, relayed.token, handle);
  if (request == nullptr || request->relay->target != header.sender.id) return;
  request->relayed_attempts += relayed.attempts;
  if (relayed.answer.failure.has_value()) {
    return HandleFailure(tables, ctx, handle, *request, *relayed.answer.failure, relayed.answer.executed,
                         relayed.answer.retry_after);
  }
  // An instance of a build that accepts any status from its backend servers passes it back.
  if (!IsForwardableStatus(relayed.answer.status)) {
    return HandleFailure(tables, ctx, handle, *request,
                         {error_kind::kAnswerMalformed, fmt::format("instance {} passed back an answer with status {}",
                                                                    header.sender.id.value, relayed.answer.status)},
                         executed_state::kUnknown, std::nullopt);
  }
  request->relay.reset();
  FinishRequest(tables, ctx, handle, relayed.answer);
}

void HandleRelayCancel(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                       const peer::relay_cancel& relayed) {
  for (const auto& [handle, request] : tables.requests) {
    if (!request.origin.has_value() || request.origin->token != relayed.token) continue;
    if (request.origin->instance != header.sender) continue;
    return AbandonRequest(tables, ctx, base::reply_handle(handle));
  }
}

void HandleRelaySendFailed(forwarding_tables& tables, instance::context& ctx, const io::peer_send_failed& event) {
  if (const auto* relayed = std::get_if<peer::relay_request>(&event.message.body); relayed != nullptr) {
    base::reply_handle handle;
    active_request* const request = FindRelay(tables, relayed->token, handle);
    if (request == nullptr) return;
    // The other instance may have used all attempts that it was granted.
    if (event.bytes_sent) request->relayed_attempts += relayed->max_attempts;
    return HandleFailure(tables, ctx, handle, *request,
                         {error_kind::kPeerUnreachable, "the connection to instance " + event.target.value + " failed"},
                         event.bytes_sent ? executed_state::kUnknown : executed_state::kNo, kDefaultRetryAfter);
  }
  // An answer that does not fit into a message is replaced by a failure, so that the caller is not left waiting.
  const auto* answered = std::get_if<peer::relay_answer>(&event.message.body);
  if (answered == nullptr || event.bytes_sent || answered->answer.failure.has_value()) return;
  peer::relay_answer replacement;
  replacement.origin = answered->origin;
  replacement.token = answered->token;
  replacement.answer = MakeFailure({error_kind::kOutcomeUnknown, "the answer could not be passed back"},
                                   executed_state::kYes, std::nullopt);
  instance::SendToPeer(ctx, event.target, std::move(replacement));
}

}  // namespace limpetrouter::core::forwarding
