#pragma once

#include <string>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// Returns the HTTP status of an answer for a failure. 429 and 503 promise that the request has not been executed and
/// never will be, so they are returned only if `executed` is `kNo`; 502 and 504 promise nothing.
int StatusOfFailure(base::error_kind kind, base::executed_state executed);

/// True if a final answer may have this status. Interim statuses are none: nothing asks to switch protocols.
bool IsFinalStatus(int status);

/// True if a backend server's answer with this status may be passed on to a caller. The server has executed the
/// request, so a status that promises the opposite may not.
bool IsForwardableStatus(int status);

/// Returns the `count` greatest records of all parts in descending order, compared byte by byte. A remainder of a part
/// that is shorter than `record_bytes` is ignored.
std::string MergeRecords(const std::vector<std::string_view>& parts, std::size_t count, std::size_t record_bytes);

/// Merges the parts of a sharded request that have been answered so far.
answer MergeAnswer(const active_request& request);

/// Builds this instance's own answer for a request that failed or was refused. `retry_after` is sent only if the
/// request was not executed.
answer MakeFailure(base::error failure, base::executed_state executed, std::optional<base::duration> retry_after);

/// Sends the answer and logs it with the data behind it, such as route, configuration version and number of calls.
void SendAnswer(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle,
                const active_request& request, answer reply);
/// Where a request came from.
struct request_source {
  base::reply_handle handle;
  /// Set if another instance passed the request on.
  std::optional<relay_origin> origin;
};

/// Sends and logs a failure for a request that is refused before any call is started.
void Refuse(forwarding_tables& tables, instance::context& ctx, const request_source& source, const request_ptr& content,
            base::error failure, std::optional<base::duration> retry_after);

}  // namespace limpetrouter::core::forwarding
