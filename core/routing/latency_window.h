#pragma once

#include <array>
#include <cstdint>

#include "core/base/time.h"

namespace limpetrouter::core::routing {

/// Number of histogram buckets. Bucket bounds grow by 5%, so the buckets cover 50 us to 60 s.
inline constexpr std::size_t kLatencyBuckets = 288;
/// Length of a half window. Samples are dropped at an age of one to two half windows.
inline constexpr base::duration kLatencyHalfWindow = std::chrono::seconds(5);

/// Histogram of recent latencies: a current and a previous half window.
struct latency_window {
  std::array<std::uint32_t, kLatencyBuckets> current{};
  std::array<std::uint32_t, kLatencyBuckets> previous{};
  std::uint32_t current_count = 0;
  std::uint32_t previous_count = 0;
  base::time_point rotated{};
  /// When the cached summary below was computed. It is computed again after enough samples or time.
  base::time_point summarized{};
  std::uint32_t samples_since_summary = 0;
  base::duration median{};
  base::duration healthy_p90{};
  base::duration healthy_p99{};
  base::duration hedge_after{};
  double straggler_share = 0;
};

/// A call is a straggler if it takes longer than this multiple of the median.
inline constexpr int kStragglerFactor = 4;

void AddLatency(latency_window& window, base::duration latency, base::time_point now);
std::uint32_t LatencySamples(const latency_window& window);
/// Returns the quantile over all samples of the window; zero if there are none.
base::duration LatencyQuantile(const latency_window& window, double quantile);
/// Updates the summary if it is out of date. `hedge_after` is the latency that a share of `hedge_share` of the calls
/// exceeds. The share that remains after the stragglers applies to the slowest healthy calls, so that stragglers do not
/// raise the threshold too far to be useful.
void RefreshSummary(latency_window& window, double hedge_share, base::time_point now);

}  // namespace limpetrouter::core::routing
