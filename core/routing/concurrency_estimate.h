#pragma once

#include <array>
#include <cstdint>

#include "core/base/time.h"

namespace limpetrouter::core::routing {

/// Number of concurrency limits, as shares of the slots, that are compared with the samples.
inline constexpr std::size_t kConcurrencyCandidates = 8;

/// What the latencies of a server's calls tell about its speed, and about the number of calls that it runs at once
/// without slowing down. Each candidate limit predicts how latency grows with the work at the server: not at all below
/// the limit, and in proportion to the work above it. The candidates are weighted by how well they predict the samples.
struct concurrency_estimate {
  /// Logarithm of the latency, relative to the typical one, that remains unexplained under each candidate.
  std::array<double, kConcurrencyCandidates> log_speed{};
  /// Prediction error under each candidate, relative to the best one.
  std::array<double, kConcurrencyCandidates> error{};
  /// Share of the slots up to which latency stays near its base, as of `updated`.
  double share = 1;
  /// Latency without queueing relative to the typical one, as of `updated`.
  double speed = 1;
  std::uint32_t samples = 0;
  /// Calls in a row that were much slower than expected.
  std::uint32_t slow_in_row = 0;
  base::time_point updated{};
};

/// One call that was served.
struct concurrency_sample {
  /// Work at the server while the call ran, in calls, including the call.
  double work = 1;
  /// Latency relative to the typical latency of such calls.
  double latency = 1;
};

void AddSample(concurrency_estimate& estimate, const concurrency_sample& sample, std::uint32_t slots,
               base::time_point now);

/// Returns the concurrency up to which latency stays near its base: at least 1 and at most `slots`. Without samples, it
/// returns to `slots`.
double ConcurrencyOf(const concurrency_estimate& estimate, std::uint32_t slots, base::time_point now);
/// Returns the latency without queueing relative to the typical one. Without samples, it returns to 1, and then falls
/// below it, so that a server that is never the best one gets a call from time to time.
double SpeedOf(const concurrency_estimate& estimate, base::time_point now);

}  // namespace limpetrouter::core::routing
