#include "core/routing/latency_window.h"

#include <algorithm>
#include <cmath>

namespace limpetrouter::core::routing {
namespace {

constexpr double kFirstBucketUs = 50.0;
constexpr double kGrowth = 1.05;
constexpr base::duration kMaxSummaryAge = std::chrono::milliseconds(50);
/// The hedge threshold stays between these quantiles of the healthy calls, which are those that are not stragglers.
constexpr double kLowestHedgeQuantile = 0.90;
constexpr double kHighestHedgeQuantile = 0.995;

std::size_t BucketOf(base::duration latency) {
  const auto us = static_cast<double>(latency.count());
  if (us <= kFirstBucketUs) return 0;
  const double position = std::log(us / kFirstBucketUs) / std::log(kGrowth);
  return std::min(static_cast<std::size_t>(position) + 1, kLatencyBuckets - 1);
}

/// Returns the latency at `fraction` of a bucket, between 0 for its lower and 1 for its upper bound.
base::duration ValueOf(std::size_t bucket, double fraction) {
  if (bucket == 0) return base::duration(static_cast<std::int64_t>(kFirstBucketUs * fraction));
  const double low = kFirstBucketUs * std::pow(kGrowth, static_cast<double>(bucket) - 1);
  return base::duration(static_cast<std::int64_t>(low * std::pow(kGrowth, fraction)));
}

void Rotate(latency_window& window, base::time_point now) {
  const base::duration age = now - window.rotated;
  if (age < kLatencyHalfWindow) return;
  if (age < 2 * kLatencyHalfWindow) {
    window.previous = window.current;
    window.previous_count = window.current_count;
  } else {
    window.previous.fill(0);
    window.previous_count = 0;
  }
  window.current.fill(0);
  window.current_count = 0;
  window.rotated = now;
}

/// Returns the latency below which `rank` samples lie, interpolated within its bucket.
base::duration ValueAtRank(const latency_window& window, double rank) {
  double below = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    const double in_bucket = static_cast<double>(window.current[i]) + static_cast<double>(window.previous[i]);
    if (in_bucket > 0 && below + in_bucket >= rank) return ValueOf(i, std::clamp((rank - below) / in_bucket, 0.0, 1.0));
    below += in_bucket;
  }
  return ValueOf(kLatencyBuckets - 1, 1.0);
}

}  // namespace

void AddLatency(latency_window& window, base::duration latency, base::time_point now) {
  Rotate(window, now);
  ++window.current[BucketOf(latency)];
  ++window.current_count;
  ++window.samples_since_summary;
}

std::uint32_t LatencySamples(const latency_window& window) { return window.current_count + window.previous_count; }

base::duration LatencyQuantile(const latency_window& window, double quantile) {
  const std::uint32_t samples = LatencySamples(window);
  if (samples == 0) return base::duration::zero();
  return ValueAtRank(window, quantile * samples);
}

void RefreshSummary(latency_window& window, double hedge_share, base::time_point now) {
  Rotate(window, now);
  const std::uint32_t samples = LatencySamples(window);
  if (samples == 0) return;
  const bool many_new = window.samples_since_summary * 8 >= samples;
  if (!many_new && now - window.summarized < kMaxSummaryAge) return;
  if (window.samples_since_summary == 0) return;
  window.summarized = now;
  window.samples_since_summary = 0;
  window.median = LatencyQuantile(window, 0.5);
  const std::size_t last_healthy = BucketOf(window.median * kStragglerFactor);
  double healthy = 0;
  for (std::size_t i = 0; i <= last_healthy; ++i) {
    healthy += static_cast<double>(window.current[i]) + static_cast<double>(window.previous[i]);
  }
  window.straggler_share = 1.0 - healthy / samples;
  window.healthy_p90 = ValueAtRank(window, 0.90 * healthy);
  window.healthy_p99 = ValueAtRank(window, 0.99 * healthy);
  const double spare = std::max(0.0, hedge_share - window.straggler_share) / std::max(1e-9, 1 - window.straggler_share);
  const double quantile = std::clamp(1.0 - spare, kLowestHedgeQuantile, kHighestHedgeQuantile);
  window.hedge_after = ValueAtRank(window, quantile * healthy);
}

}  // namespace limpetrouter::core::routing
