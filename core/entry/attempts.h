#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::entry {

/// Number of shards from which on a query sends hedges only after most of its calls have been answered. The few
/// remaining calls determine the latency of the query; hedging each slow call separately would cost twice the load for
/// a worse result.
inline constexpr std::size_t kLargeFanOut = 100;

/// A call that has been planned but not sent.
struct planned_call {
  /// Position in `query::shards`.
  std::uint32_t shard = 0;
  /// Position in the list of replicas of the shard.
  std::uint32_t replica = 0;
  attempt_kind kind = attempt_kind::kFirst;
  /// Reason given in the decision that is recorded for the call.
  const char* reason = "";
};

/// Sends the calls, one message per gatherer. A call for which no holder is usable becomes a delayed retry.
void SendCalls(entry_tables& tables, instance::context& ctx, query& query, const std::vector<planned_call>& calls);

/// Removes an ended attempt from the tables, records its outcome in the statistics and returns it.
attempt EndAttempt(entry_tables& tables, const instance::context& ctx, query& query, std::uint64_t sequence,
                   routing::call_outcome outcome, base::executed_state executed);

/// Cancels the attempts that are still running for a shard, because the shard has an answer.
void CancelRedundantAttempts(entry_tables& tables, instance::context& ctx, query& query, std::uint32_t shard);
/// Cancels all attempts of the query. Whether they were executed stays unknown.
void CancelAll(entry_tables& tables, instance::context& ctx, query& query);

/// Latency after which a call of the shard is hedged; zero if there are too few latency samples.
base::duration HedgeThreshold(entry_tables& tables, const query& query, std::uint32_t shard, base::time_point now);

/// Latency summary of the service of a shard, or of its collection if the service has too few samples. Refreshes the
/// summary first.
routing::latency_window& LatencyOf(entry_tables& tables, const query& query, std::uint32_t shard, base::time_point now);

/// Position of the service of a shard in the statistics table.
std::uint32_t ServiceOf(const entry_tables& tables, const query& query, std::uint32_t shard);

/// True if the service of the shard is saturated, so that no hedge or retry should be sent to it.
bool IsServiceSaturated(const entry_tables& tables, const query& query, std::uint32_t shard, base::time_point now);

/// Applies the ejection policy to a backend server, given by its position in the statistics table, after its statistics
/// have changed.
void ApplyEjectionPolicy(entry_tables& tables, instance::context& ctx, std::uint32_t statistics);

}  // namespace limpetrouter::core::entry
