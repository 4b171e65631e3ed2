#pragma once

#include <string>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// Status of an answer for a failure. 429 and 503 promise that the request has not run and never will, so they are
/// given only if `executed` is no; 502 and 504 promise nothing.
int StatusOfFailure(base::error_kind kind, base::executed_state executed);

/// The greatest `count` records of all parts, greatest first, compared byte by byte. A remainder that is shorter than
/// a record is not one.
std::string MergeRecords(const std::vector<std::string_view>& parts, std::size_t count, std::size_t record_bytes);

/// The answer of a sharded request from the parts that are in.
answer MergeAnswer(const active_request& request);

/// An answer of this instance's own for a request that failed or was refused.
answer MakeFailure(base::error failure, base::executed_state executed, std::optional<base::duration> retry_after);

/// Sends the answer and logs it with what decided it.
void SendAnswer(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle,
                const active_request& request, answer reply);
/// The same for a request that was refused before any call.
void Refuse(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, const request_ptr& content,
            base::error failure, std::optional<base::duration> retry_after);

}  // namespace limpetrouter::core::forwarding
