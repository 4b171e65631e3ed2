#pragma once

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// A partial answer is sent this long before the target time or the deadline: time for a tick and for the way to the
/// caller.
inline constexpr base::duration kAnswerMargin = std::chrono::milliseconds(28);
/// When to come back if no server is usable and nothing tells when one will be.
inline constexpr base::duration kDefaultRetryAfter = std::chrono::milliseconds(200);
inline constexpr base::duration kMaxRetryAfter = std::chrono::milliseconds(1'000);
/// Status codes from here on are failures of a backend server.
inline constexpr int kFirstServerError = 500;

/// True if so many parts make an answer.
bool ReachesCoverage(std::size_t parts, const active_request& request);

/// True if the call brought a whole answer with a status of success.
bool IsSuccess(const call_result& result);
/// Takes over what a call brought: the part's result, an answer that stands if no better one comes, or its failure.
void ApplyResult(active_request& request, request_part& part, call_result&& result);

/// Answers and ends the request if it is whole, cannot become so, or its time has come. Returns true if it has ended.
bool CheckProgress(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle);
/// Answers and ends the request.
void FinishRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, answer reply);
/// The part's calls are no longer needed: they are cancelled after a while in which they may end by themselves.
void LetCallsLinger(forwarding_tables& tables, const instance::context& ctx, const request_part& part);
/// The same for all calls of a request, unless they must not repeat.
void ReleaseCalls(forwarding_tables& tables, const instance::context& ctx, const active_request& request);

}  // namespace limpetrouter::core::forwarding
