#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::entry {

/// From this fan-out on, hedges wait until most calls of the query have answered: the few that are left decide its
/// latency, and hedging each slow call on its own would cost twice the load for a worse result.
inline constexpr std::size_t kLargeFanOut = 100;

/// A call that has been decided on.
struct planned_call {
  std::uint32_t shard = 0;
  /// Position in the list of replicas of the shard.
  std::uint32_t replica = 0;
  attempt_kind kind = attempt_kind::kFirst;
  const char* reason = "";
};

/// Sends the calls, one message per gatherer. A call without a usable holder becomes a delayed retry.
void SendCalls(entry_tables& tables, instance::context& ctx, query& query, const std::vector<planned_call>& calls);

/// Takes an attempt that has ended out of the tables and counts it in the statistics.
attempt EndAttempt(entry_tables& tables, const instance::context& ctx, query& query, std::uint64_t sequence,
                   routing::call_outcome outcome, base::executed_state executed);

/// Cancels what still runs for a shard, because it has an answer.
void CancelRedundantAttempts(entry_tables& tables, instance::context& ctx, query& query, std::uint32_t shard);
/// Cancels all attempts; what they did stays unknown.
void CancelAll(entry_tables& tables, instance::context& ctx, query& query);

/// Latency after which a call of this shard is worth a hedge; zero if too little is known.
base::duration HedgeThreshold(entry_tables& tables, const query& query, std::uint32_t shard, base::time_point now);

/// Summary of the latency of the service of a shard, or of its collection if the service has few samples.
routing::latency_window& LatencyOf(entry_tables& tables, const query& query, std::uint32_t shard, base::time_point now);

/// Position of the service of a shard in the statistics table.
std::uint32_t ServiceOf(const entry_tables& tables, const query& query, std::uint32_t shard);

/// True if no extra call should go to the service of the shard.
bool IsServiceSaturated(const entry_tables& tables, const query& query, std::uint32_t shard, base::time_point now);

/// Applies the ejection policy after new evidence about a server.
void ApplyEjectionPolicy(entry_tables& tables, instance::context& ctx, std::uint32_t statistics);

}  // namespace limpetrouter::core::entry
