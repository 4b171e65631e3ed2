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

/// What this entry has seen of one backend server.
struct server_statistics {
  base::backend_server_id id;
  /// Position of its service in `statistics_table::services`.
  std::uint32_t service = 0;
  /// Calls of this entry that have not ended.
  std::uint32_t outstanding = 0;
  std::uint64_t calls = 0;
  std::uint64_t successes = 0;
  std::uint64_t failures = 0;
  /// Exponentially weighted latency in microseconds; a sample counts at most five times the service's median.
  double latency_us = 0;
  std::uint32_t latency_samples = 0;
  base::time_point last_sample{};
  std::uint32_t consecutive_failures = 0;
  /// Calls in a row that were overdue or lost against a hedge.
  std::uint32_t consecutive_slow = 0;
  base::time_point ejected_until{};
  std::uint32_t ejections = 0;
  /// The last ejection was for calls that were not answered in time.
  bool ejected_as_slow = false;
  /// After an ejection or before the first success: one call at a time while other replicas are usable.
  bool on_probation = true;
  /// The backend server said itself that it drains.
  base::time_point drain_hint_until{};
  /// Cached answer of membership::IsDraining, which is costly to ask for each call.
  base::time_point drain_checked{};
  bool draining = false;
};

/// What this entry has seen of the backend servers of one service together.
struct service_statistics {
  base::service_id id;
  /// Latency of first attempts, from sending to the answer.
  latency_window latency;
  queue_window queue;
  /// Usual time of the call itself, without queueing.
  double mean_call_us = 0;
  /// Positions of its servers in `statistics_table::servers`.
  std::vector<std::uint32_t> servers;
};

/// Positions do not change, so attempts keep them.
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

/// Adds what the table does not know yet.
std::shared_ptr<const statistics_view> MakeStatisticsView(statistics_table& table, config::configuration_ptr config);

/// How a call ended, for the statistics.
enum class call_outcome : std::uint8_t {
  kSuccess,
  /// The backend server or the connection to it failed.
  kFailure,
  /// Overdue, or cancelled because a hedge was faster; the latency is a lower bound.
  kSlow,
  /// Says nothing about the backend server.
  kNeutral,
};

void RecordCallStart(statistics_table& table, std::uint32_t server);
/// `outstanding` counts down once per call: pass `ended` = false for evidence about a call that still runs.
void RecordCallEnd(statistics_table& table, std::uint32_t position, call_outcome outcome, base::duration latency,
                   bool ended, base::time_point now);

/// Takes the times that the gatherer reports of a successful call. Urgent calls overtake the others, so one that did
/// not wait says nothing about the queue.
void RecordCallTimes(statistics_table& table, std::uint32_t server, bool urgent, base::duration queue_time,
                     base::duration call_time, base::time_point now);

/// Recent latency of the server that drifts back to the service's median without new samples.
double EffectiveLatencyUs(const statistics_table& table, const server_statistics& server, base::time_point now);

}  // namespace limpetrouter::core::routing
