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
/// The caller is gone: cancels the reads that still run for it.
void HandleAbandoned(entry_tables& tables, instance::context& ctx, const io::query_abandoned& event);
/// Answers with addresses in the caller's own order, and with permits owned by this instance.
void HandleAddresses(entry_tables& tables, instance::context& ctx, const io::addresses_requested& event);
void HandleGatherAnswer(entry_tables& tables, instance::context& ctx, const peer::message_header& header,
                        const peer::gather_answer& answer);
/// This instance is the owner of the permit in the request, or answers that it is not.
void HandleForwardRequest(entry_tables& tables, instance::context& ctx, const peer::message_header& header,
                          const peer::forward_request& request);
void HandleForwardAnswer(entry_tables& tables, instance::context& ctx, const peer::message_header& header,
                         const peer::forward_answer& answer);
/// A gather_request or forward_request was not, or perhaps not, delivered.
void HandleSendFailed(entry_tables& tables, instance::context& ctx, const io::peer_send_failed& event);
/// Runs deadlines, hedges, delayed retries and expiry of permits.
void RunEntry(entry_tables& tables, instance::context& ctx);
/// The process was paused for `gap`.
void HandlePause(entry_tables& tables, instance::context& ctx, base::duration gap);
/// True when a leaving instance has no query, and no permit that a caller may still use.
bool IsIdle(const entry_tables& tables, base::time_point now);

/// Budgets, admission limits and queries in flight by collection, for operators.
nlohmann::json ReportBudgets(const entry_tables& tables, base::time_point now);
/// Statistics of backend servers as this entry sees them (latency, outstanding calls, ejection), by id.
nlohmann::json ReportBackendStatistics(const entry_tables& tables, base::time_point now);
/// Every decision about a recent query, in order of time. Empty if the query is not remembered.
std::optional<nlohmann::json> ExplainQuery(const entry_tables& tables, const std::string& query_id);

}  // namespace limpetrouter::core::entry
