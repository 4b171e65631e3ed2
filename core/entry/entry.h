#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"
#include "core/io/event.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::entry {

/// Plans a caller's query and sends its calls to gatherers, or answers with a refusal.
void HandleQuery(entry_tables& tables, instance::context& ctx, const io::query_received& event);
/// Cancels the reads of a caller that has closed its connection.
void HandleAbandoned(entry_tables& tables, instance::context& ctx, const io::query_abandoned& event);
/// Answers with instance addresses in an order that depends on the caller, and with permits owned by this instance.
void HandleAddresses(entry_tables& tables, instance::context& ctx, const io::addresses_requested& event);
/// Applies the results that a gatherer reports for a query.
void HandleGatherAnswer(entry_tables& tables, instance::context& ctx, const peer::message_header& header,
                        const peer::gather_answer& answer);
/// Executes a request that another instance forwarded to the owner of its permit. If this instance does not own the
/// permit, answers that the outcome is unknown.
void HandleForwardRequest(entry_tables& tables, instance::context& ctx, const peer::message_header& header,
                          const peer::forward_request& request);
/// Passes the answer of the owner of a permit on to the caller.
void HandleForwardAnswer(entry_tables& tables, instance::context& ctx, const peer::message_header& header,
                         const peer::forward_answer& answer);
/// Handles a gather_request or forward_request that was not, or may not have been, delivered.
void HandleSendFailed(entry_tables& tables, instance::context& ctx, const io::peer_send_failed& event);
/// Handles everything that is due at a tick: deadlines, hedges, delayed retries, expiry of permits and adjustment of
/// the admission limits.
void RunEntry(entry_tables& tables, instance::context& ctx);
/// Handles a pause of the process of length `gap`: excludes the pause from the measured latency of running
/// attempts, suspends hedges for a short time, and refuses requests that arrive before the next tick.
void HandlePause(entry_tables& tables, instance::context& ctx, base::duration gap);
/// True if there is no query in flight, no forwarded request and no permit that a caller may still use, so that a
/// leaving instance may exit.
bool IsIdle(const entry_tables& tables, base::time_point now);

/// Reports budgets, admission limits and queries in flight by collection, for operators.
nlohmann::json ReportBudgets(const entry_tables& tables, base::time_point now);
/// Reports the statistics that this entry keeps of backend servers (latency, outstanding calls, ejection), by id.
nlohmann::json ReportBackendStatistics(const entry_tables& tables, base::time_point now);
/// Returns every decision about a recent query, in order of time, or nullopt if the query is no longer in the log.
std::optional<nlohmann::json> ExplainQuery(const entry_tables& tables, const std::string& query_id);

}  // namespace limpetrouter::core::entry
