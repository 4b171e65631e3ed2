#include "core/routing/ejection.h"

#include <algorithm>
#include <vector>

namespace limpetrouter::core::routing {
namespace {

constexpr std::uint32_t kFailuresToEject = 3;
/// About 3 in 100 calls to a healthy server are slower than their hedge; by chance, five in a row occur once in 40
/// million.
constexpr std::uint32_t kSlowCallsToEject = 5;
constexpr double kOutlierFactor = 3.0;
constexpr std::uint32_t kSamplesToJudgeLatency = 20;
constexpr base::duration kFirstEjection = std::chrono::seconds(1);
constexpr base::duration kMaxEjection = std::chrono::seconds(30);

/// Returns the median of the recent latencies of the other servers of the service, in microseconds; zero if no other
/// server has enough samples.
double MedianOfOthers(const statistics_table& table, std::uint32_t server, base::time_point now) {
  std::vector<double> others;
  for (const std::uint32_t other : table.services[table.servers[server].service].servers) {
    if (other == server || table.servers[other].latency_samples < kSamplesToJudgeLatency) continue;
    others.push_back(EffectiveLatencyUs(table, table.servers[other], now));
  }
  if (others.empty()) return 0;
  std::sort(others.begin(), others.end());
  return others[others.size() / 2];
}

ejection_reason FindReason(const statistics_table& table, std::uint32_t position, base::time_point now) {
  const server_statistics& server = table.servers[position];
  if (server.consecutive_failures >= kFailuresToEject) return ejection_reason::kFailures;
  if (server.consecutive_slow >= kSlowCallsToEject) return ejection_reason::kSlowCalls;
  if (server.latency_samples < kSamplesToJudgeLatency) return ejection_reason::kNone;
  const double median_of_others = MedianOfOthers(table, position, now);
  if (median_of_others > 0 && server.latency_us > kOutlierFactor * median_of_others) return ejection_reason::kLatency;
  return ejection_reason::kNone;
}

bool MayEjectOneMore(const statistics_table& table, std::uint32_t position, base::time_point now) {
  const std::vector<std::uint32_t>& servers = table.services[table.servers[position].service].servers;
  const auto ejected = static_cast<std::size_t>(std::count_if(
      servers.begin(), servers.end(), [&](std::uint32_t other) { return IsEjected(table.servers[other], now); }));
  return ejected + 1 <= servers.size() / 3;
}

}  // namespace

const char* ToString(ejection_reason reason) {
  switch (reason) {
    case ejection_reason::kFailures:
      return "consecutive_failures";
    case ejection_reason::kSlowCalls:
      return "consecutive_slow_calls";
    case ejection_reason::kLatency:
      return "outlying_latency";
    case ejection_reason::kNone:
      break;
  }
  return "none";
}

ejection_reason ConsiderEjection(statistics_table& table, std::uint32_t position, base::time_point now) {
  server_statistics& server = table.servers[position];
  if (IsEjected(server, now)) return ejection_reason::kNone;
  const ejection_reason reason = FindReason(table, position, now);
  if (reason == ejection_reason::kNone || !MayEjectOneMore(table, position, now)) return ejection_reason::kNone;
  const std::uint32_t doublings = std::min<std::uint32_t>(server.ejections, 5);
  server.ejected_until = now + std::min<base::duration>(kFirstEjection * (1U << doublings), kMaxEjection);
  ++server.ejections;
  server.ejected_as_slow = reason != ejection_reason::kFailures;
  server.on_probation = true;
  // A new ejection needs new evidence; one more failure or slow call after the end of this ejection is enough.
  server.consecutive_failures = kFailuresToEject - 1;
  server.consecutive_slow = kSlowCallsToEject - 1;
  server.latency_samples = 0;
  return reason;
}

}  // namespace limpetrouter::core::routing
