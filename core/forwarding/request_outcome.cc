#include "core/forwarding/request_outcome.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "core/forwarding/admission.h"
#include "core/forwarding/answers.h"
#include "core/forwarding/rate_limit.h"
#include "core/forwarding/relay.h"

namespace limpetrouter::core::forwarding {
namespace {

using base::error_kind;
using base::executed_state;
using std::chrono::milliseconds;

/// A call whose answer is no longer needed may end by itself within this time, because cancelling it closes the
/// connection, and the backend server then has to accept a new one.
constexpr base::duration kLingerTime = milliseconds(250);

/// Returns the delay until a call to a server of the unanswered parts that is ejected, or whose rate limit is used up,
/// is possible again.
base::duration RetryAfter(const forwarding_tables& tables, const active_request& request, base::time_point now) {
  std::optional<base::time_point> earliest;
  for (const request_part& part : request.parts) {
    if (part.result.has_value()) continue;
    for (const base::backend_server_id& id : ServersOf(tables.servers, part.service)) {
      const server& each = tables.servers.servers.at(id);
      const base::time_point resumed = std::max(each.ejected_until, each.backs_off_until);
      const base::time_point possible = std::max(resumed, NextCallTime(tables.servers, each, now));
      if (possible > now && (!earliest.has_value() || possible < *earliest)) earliest = possible;
    }
  }
  return earliest.has_value() ? std::min(*earliest - now, kMaxRetryAfter) : kDefaultRetryAfter;
}

answer MakeForwardedAnswer(call_result&& result) {
  answer reply;
  reply.executed = executed_state::kYes;
  reply.status = result.status;
  reply.headers = std::move(result.headers);
  reply.body = std::move(result.body);
  if (!result.signature.empty()) reply.signatures.push_back(std::move(result.signature));
  return reply;
}

/// Describes the parts that have no result, for the log and the caller.
std::string DescribeMissingParts(const forwarding_tables& tables, const active_request& request) {
  std::string pending;
  std::string failed;
  for (const request_part& part : request.parts) {
    if (part.result.has_value()) continue;
    std::string& list = part.calls.empty() && !part.waiting ? failed : pending;
    list += (list.empty() ? "" : ",") + part.service.value;
  }
  std::string detail(request.last_failure == error_kind::kOverloaded
                         ? "the rate limits of its backend servers are used up"
                         : base::DescribeError(request.last_failure).message);
  const evacuation_table& evacuations = tables.servers.evacuations;
  if (request.last_failure == error_kind::kNoUsableReplica && !evacuations.orders.empty())
    detail += "; evacuated data centres: " + DescribeEvacuations(evacuations);
  if (!failed.empty()) return fmt::format("{}: {}", failed, detail);
  return fmt::format("no answer from {}", pending);
}

/// Builds the failure of a request that got no answer.
answer MakeRequestFailure(const forwarding_tables& tables, const active_request& request, error_kind kind,
                          base::time_point now) {
  executed_state executed = request.executed;
  for (const request_part& part : request.parts) {
    if (!part.calls.empty()) executed = CombineExecuted(executed, executed_state::kUnknown);
  }
  if (request.relay.has_value()) executed = CombineExecuted(executed, executed_state::kUnknown);
  return MakeFailure({kind, DescribeMissingParts(tables, request)}, executed, RetryAfter(tables, request, now));
}

struct progress {
  std::size_t answered = 0;
  std::size_t failed = 0;
  std::size_t total = 0;
};

progress ProgressOf(const active_request& request) {
  progress p;
  p.total = request.parts.size();
  for (const request_part& part : request.parts) {
    if (part.result.has_value()) {
      ++p.answered;
    } else if (part.failed && part.calls.empty()) {
      ++p.failed;
    }
  }
  return p;
}

/// Ends a sharded request if all its parts have ended, its coverage can no longer be reached, or its target time or
/// deadline has come. Returns true if the request has ended.
bool CheckSharded(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  active_request& request = tables.requests.at(handle);
  const progress p = ProgressOf(request);
  const base::time_point target = request.content->received + request.route->target_latency - kAnswerMargin;
  const bool settled = p.answered + p.failed == p.total;
  if (ReachesCoverage(p.answered, request) && (settled || ctx.now >= target)) {
    FinishRequest(tables, ctx, handle, MergeAnswer(request));
    return true;
  }
  const bool coverage_unreachable = !ReachesCoverage(p.total - p.failed, request);
  if (!coverage_unreachable && ctx.now < request.deadline - kAnswerMargin) return false;
  if (coverage_unreachable && MayRelay(tables, ctx, request) && StartRelay(tables, ctx, handle, request)) return false;
  error_kind kind = coverage_unreachable ? error_kind::kNoUsableReplica : error_kind::kDeadlineExceeded;
  if (coverage_unreachable && request.last_failure == error_kind::kOverloaded) kind = error_kind::kOverloaded;
  FinishRequest(tables, ctx, handle, MakeRequestFailure(tables, request, kind, ctx.now));
  return true;
}

bool CheckPlain(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  active_request& request = tables.requests.at(handle);
  request_part& part = request.parts.front();
  if (part.result.has_value()) {
    FinishRequest(tables, ctx, handle, MakeForwardedAnswer(std::move(*part.result)));
    return true;
  }
  const bool exhausted = part.failed && part.calls.empty();
  if (!exhausted && ctx.now < request.deadline) return false;
  if (exhausted && MayRelay(tables, ctx, request) && StartRelay(tables, ctx, handle, request)) return false;
  if (part.fallback.has_value() && part.calls.empty()) {
    FinishRequest(tables, ctx, handle, MakeForwardedAnswer(std::move(*part.fallback)));
    return true;
  }
  const error_kind kind = exhausted ? request.last_failure : error_kind::kDeadlineExceeded;
  FinishRequest(tables, ctx, handle, MakeRequestFailure(tables, request, kind, ctx.now));
  return true;
}

}  // namespace

bool ReachesCoverage(std::size_t parts, const active_request& request) {
  constexpr double kRounding = 1e-9;
  return parts > 0 && static_cast<double>(parts) >=
                          request.route->minimum_coverage * static_cast<double>(request.parts.size()) - kRounding;
}

void LetCallsLinger(forwarding_tables& tables, const instance::context& ctx, const request_part& part) {
  for (const call_id id : part.calls) {
    call& running = tables.calls.at(id);
    if (!running.lingers_until.has_value()) running.lingers_until = ctx.now + kLingerTime;
  }
}

void ReleaseCalls(forwarding_tables& tables, const instance::context& ctx, const active_request& request) {
  // A call that must not be repeated is left to end by itself, so that its effect is not interrupted halfway.
  if (!IsIdempotent(request)) return;
  for (const request_part& part : request.parts)
    LetCallsLinger(tables, ctx, part);
}

void FinishRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, answer reply) {
  const auto found = tables.requests.find(handle);
  active_request& request = found->second;
  CancelRelay(tables, ctx, request);
  SendAnswer(tables, ctx, handle, request, std::move(reply));
  ReleaseCalls(tables, ctx, request);
  DequeueAll(tables, request);
  tables.requests.erase(found);
}

void FailRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, base::error_kind kind) {
  FinishRequest(tables, ctx, handle, MakeRequestFailure(tables, tables.requests.at(handle), kind, ctx.now));
}

void StopRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  active_request& request = tables.requests.at(handle);
  if (IsSharded(request) && ReachesCoverage(ProgressOf(request).answered, request))
    return FinishRequest(tables, ctx, handle, MergeAnswer(request));
  FinishRequest(tables, ctx, handle, MakeRequestFailure(tables, request, error_kind::kInstanceLeaving, ctx.now));
}

bool CheckProgress(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle) {
  const auto found = tables.requests.find(handle);
  if (found == tables.requests.end()) return true;
  return IsSharded(found->second) ? CheckSharded(tables, ctx, handle) : CheckPlain(tables, ctx, handle);
}

bool IsSuccess(const call_result& result) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return !result.failure.has_value() && result.status >= kFirstSuccess && result.status < kFirstRedirect;
}

void ApplyResult(active_request& request, request_part& part, call_result&& result) {
  request.executed = CombineExecuted(request.executed, result.executed);
  if (IsSuccess(result)) {
    part.result = std::move(result);
    return;
  }
  if (result.failure.has_value()) {
    request.last_failure = *result.failure;
    return;
  }
  request.last_failure = error_kind::kBackendFailed;
  if (!IsForwardableStatus(result.status)) return;
  // A status such as 404 is the backend server's final answer. A status from 500 on is used only if no other server
  // answers better.
  if (result.status < kFirstServerError && request.route->shards.empty()) {
    part.result = std::move(result);
  } else {
    part.fallback = std::move(result);
  }
}

}  // namespace limpetrouter::core::forwarding
