#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/routing/latency_window.h"
#include "core/routing/queue_window.h"

namespace limpetrouter::core::routing {

/// Statistics of this entry about one backend server.
struct server_statistics {
  base::backend_server_id id;
  /// Position of its service in `statistics_table::services`.
  std::uint32_t service = 0;
  /// Calls of this entry that have not ended.
  std::uint32_t outstanding = 0;
  std::uint64_t calls = 0;
  std::uint64_t successes = 0;
  std::uint64_t failures = 0;
  /// Exponentially weighted latency in microseconds. Samples are capped at five times the median of the service.
  double latency_us = 0;
  std::uint32_t latency_samples = 0;
  base::time_point last_sample{};
  std::uint32_t consecutive_failures = 0;
  /// Calls in a row that were overdue or lost against a hedge.
  std::uint32_t consecutive_slow = 0;
  base::time_point ejected_until{};
  std::uint32_t ejections = 0;
  /// The reason of the last ejection was slow calls or an outlying latency.
  bool ejected_as_slow = false;
  /// Set before the first success and from an ejection to the next success. The server then gets one call at a time
  /// while other replicas are usable.
  bool on_probation = true;
  /// The backend server reported that it drains; it is avoided until this time.
  base::time_point drain_hint_until{};
  /// When `draining` was last updated. It caches membership::IsDraining, which is too expensive to evaluate for each
  /// call.
  base::time_point drain_checked{};
  bool draining = false;
};

/// Statistics of this entry about all backend servers of one service.
struct service_statistics {
  base::service_id id;
  /// Latency of first attempts, from sending to the answer.
  latency_window latency;
  queue_window queue;
  /// Exponentially weighted mean duration of a call without queueing, in microseconds; 0 before the first sample.
  double mean_call_us = 0;
  /// Positions of its servers in `statistics_table::servers`.
  std::vector<std::uint32_t> servers;
};

/// Statistics of all known servers and services. Positions in the vectors never change, so attempts may store them.
struct statistics_table {
  std::vector<server_statistics> servers;
  std::vector<service_statistics> services;
  std::unordered_map<base::backend_server_id, std::uint32_t> server_index;
  std::unordered_map<base::service_id, std::uint32_t> service_index;
};

/// Positions in the statistics table of the backend servers of one configuration, by index in the configuration.
struct statistics_view {
  config::configuration_ptr config;
  std::vector<std::uint32_t> servers;
};

/// Adds the backend servers and services of a configuration that are missing in the table, and returns their positions.
std::shared_ptr<const statistics_view> MakeStatisticsView(statistics_table& table, config::configuration_ptr config);

/// How a call ended, for the statistics.
enum class call_outcome : std::uint8_t {
  kSuccess,
  /// The backend server or the connection to it failed.
  kFailure,
  /// Overdue, or cancelled because a hedge was faster; the latency is a lower bound.
  kSlow,
  /// The end of the call is no evidence about the backend server.
  kNeutral,
};

void RecordCallStart(statistics_table& table, std::uint32_t server);
/// Records evidence about a call. `outstanding` is decremented once per call, when it ends: pass `ended` = false for
/// evidence about a call that is still running.
void RecordCallEnd(statistics_table& table, std::uint32_t position, call_outcome outcome, base::duration latency,
                   bool ended, base::time_point now);

/// Records the times of a successful call as the gatherer reports them. Urgent calls overtake other calls, so an urgent
/// call that did not wait is no evidence about the queue.
void RecordCallTimes(statistics_table& table, std::uint32_t server, bool urgent, base::duration queue_time,
                     base::duration call_time, base::time_point now);

/// Returns the recent latency of the server in microseconds. Without new samples, it returns to the median of the
/// service within 5 s.
double EffectiveLatencyUs(const statistics_table& table, const server_statistics& server, base::time_point now);

}  // namespace limpetrouter::core::routing
