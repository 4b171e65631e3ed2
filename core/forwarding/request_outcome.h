#pragma once

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// A partial answer is sent this long before the target time or the deadline, which leaves time for one tick and for
/// the transmission to the caller.
inline constexpr base::duration kAnswerMargin = std::chrono::milliseconds(28);
/// Delay after which a caller may retry if no server is usable and it is unknown when one will be.
inline constexpr base::duration kDefaultRetryAfter = std::chrono::milliseconds(200);
inline constexpr base::duration kMaxRetryAfter = std::chrono::milliseconds(1'000);
/// Status codes from this one on are failures of a backend server.
inline constexpr int kFirstServerError = 500;

/// True if this number of parts reaches the minimum coverage of the request's route.
bool ReachesCoverage(std::size_t parts, const active_request& request);

/// True if the call returned a complete answer with a 2xx status.
bool IsSuccess(const call_result& result);
/// Stores the result of a call: as the part's result, as its fallback if no better answer arrives, or as the last
/// failure of the request.
void ApplyResult(active_request& request, request_part& part, call_result&& result);

/// Ends a request because the process ends.
void StopRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle);

/// Answers and ends the request if it is complete, can no longer become complete, or has reached its time limit.
/// Returns true if the request has ended.
bool CheckProgress(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle);
/// Answers and ends the request.
void FinishRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, answer reply);
/// Ends a request that got no answer.
void FailRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, base::error_kind kind);
/// Marks the part's calls as no longer needed. They are cancelled after a period in which they may end by themselves.
void LetCallsLinger(forwarding_tables& tables, const instance::context& ctx, const request_part& part);
/// Marks all calls of a request as no longer needed, unless the request must not be repeated.
void ReleaseCalls(forwarding_tables& tables, const instance::context& ctx, const active_request& request);

}  // namespace limpetrouter::core::forwarding
