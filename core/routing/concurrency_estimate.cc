#include "core/routing/concurrency_estimate.h"

#include <algorithm>
#include <cmath>

namespace limpetrouter::core::routing {
namespace {

/// Time constant with which the estimate returns to its initial value without samples.
constexpr double kLifetimeUs = 4'000'000;
/// Gaps between samples up to this time do not reduce what is known of the knee: few calls a second are usual.
constexpr double kGraceUs = 1'000'000;
/// Weight of one sample in the speed. The weight of the first samples is larger.
constexpr double kSpeedWeight = 0.12;
/// Weight of one sample in the prediction errors. What is known of a knee fades slowly while samples come: calls stay
/// below a known knee, so they neither confirm nor refute it, and the estimate would rise and fall.
constexpr double kErrorWeight = 0.001;
/// A sample changes the logarithm of the speed as if it were at most this far from it. This bounds the effect of a
/// single slow call.
constexpr double kMaxDeviation = 1.0;
/// From this number of calls in a row that are slower by more than that, the server has become slower.
constexpr std::uint32_t kChangedAfter = 3;
/// Weight of one such call, and bound of its deviation.
constexpr double kChangedWeight = 0.4;
constexpr double kMaxChange = 2.0;
/// Standard deviation of the logarithm of latency. Calls of one kind differ by about this much.
constexpr double kLogDeviation = 0.5;
/// Upper bound of the error of one sample. A call that is slower than any candidate explains (a pause, a rare long
/// call) has this error under all of them, so it does not change their weights.
constexpr double kMaxError = 1.3;
/// Advantage of the stated slots over all other candidates together. One slow call does not outweigh it.
constexpr double kSlotsAdvantage = 2.5;
/// Weight of one sample in the estimate of the knee. It averages out single calls. The weight of the first samples is
/// larger.
constexpr double kShareWeight = 0.04;
/// Upper bound of the difference between errors, so that the estimate follows a change within some tens of calls.
constexpr double kMaxErrorDifference = 12;
/// Lowest relative speed after a long time without samples: below that of the fastest servers, so that a server that
/// was slow gets a call again.
constexpr double kIdleSpeed = 0.7;
/// Time without samples after which a server counts as possibly faster than typical.
constexpr double kIdleAfterUs = 4'000'000;

double AgeUs(const concurrency_estimate& estimate, base::time_point now) {
  return std::max(0.0, static_cast<double>((now - estimate.updated).count()));
}

double CandidateShare(std::size_t index) {
  return static_cast<double>(index + 1) / static_cast<double>(kConcurrencyCandidates);
}

double CandidateLimit(std::size_t index, double slots) { return std::max(1.0, CandidateShare(index) * slots); }

/// Reduces what is known by the time that has passed since the last sample.
void Age(concurrency_estimate& estimate, base::time_point now) {
  const double known = std::exp(-std::max(0.0, AgeUs(estimate, now) - kGraceUs) / kLifetimeUs);
  for (double& each : estimate.error)
    each *= known;
  // The speed fades from the start, so that a server that a few calls made look slow is not left out for long.
  const double speed_known = std::exp(-AgeUs(estimate, now) / kLifetimeUs);
  for (double& each : estimate.log_speed)
    each *= speed_known;
  estimate.updated = now;
}

}  // namespace

void AddSample(concurrency_estimate& estimate, const concurrency_sample& sample, std::uint32_t slots,
               base::time_point now) {
  Age(estimate, now);
  ++estimate.samples;
  const double limit = std::max<std::uint32_t>(slots, 1);
  const double latency = std::log(std::max(sample.latency, 1e-3));
  const bool is_far = latency - std::log(estimate.speed * std::max(1.0, sample.work / limit)) > kMaxDeviation;
  estimate.slow_in_row = is_far ? estimate.slow_in_row + 1 : 0;
  const bool has_changed = estimate.slow_in_row >= kChangedAfter;
  const double weight = has_changed ? kChangedWeight : std::max(kSpeedWeight, 1.0 / (estimate.samples + 3.0));
  const double max_deviation = has_changed ? kMaxChange : kMaxDeviation;
  double lowest = 0;
  for (std::size_t i = 0; i < kConcurrencyCandidates; ++i) {
    const double queueing = std::log(std::max(1.0, sample.work / CandidateLimit(i, limit)));
    const double deviation = latency - queueing - estimate.log_speed[i];
    const double error = deviation * deviation / (2 * kLogDeviation * kLogDeviation);
    estimate.error[i] += std::min(error, kMaxError);
    estimate.log_speed[i] += weight * std::clamp(deviation, -max_deviation, max_deviation);
    lowest = i == 0 ? estimate.error[i] : std::min(lowest, estimate.error[i]);
  }
  double total = 0;
  double share = 0;
  double log_speed = 0;
  for (std::size_t i = 0; i < kConcurrencyCandidates; ++i) {
    estimate.error[i] = std::min(estimate.error[i] - lowest, kMaxErrorDifference) * (1 - kErrorWeight);
    const bool is_slots = i + 1 == kConcurrencyCandidates;
    const double advantage = is_slots ? kSlotsAdvantage : -std::log(static_cast<double>(kConcurrencyCandidates - 1));
    const double likelihood = std::exp(advantage - estimate.error[i]);
    total += likelihood;
    share += likelihood * CandidateLimit(i, limit) / limit;
    log_speed += likelihood * estimate.log_speed[i];
  }
  const double share_weight = std::max(kShareWeight, 1.0 / (estimate.samples + 1.0));
  estimate.share += share_weight * (share / total - estimate.share);
  estimate.speed = std::exp(log_speed / total);
}

double ConcurrencyOf(const concurrency_estimate& estimate, std::uint32_t slots, base::time_point now) {
  const double limit = std::max<std::uint32_t>(slots, 1);
  const double share =
      1 - (1 - estimate.share) * std::exp(-std::max(0.0, AgeUs(estimate, now) - kGraceUs) / kLifetimeUs);
  return std::clamp(share * limit, 1.0, limit);
}

double SpeedOf(const concurrency_estimate& estimate, base::time_point now) {
  const double age = AgeUs(estimate, now);
  double resting = 1;
  if (estimate.samples > 0 && age > kIdleAfterUs)
    resting -= (1 - kIdleSpeed) * (1 - std::exp(-(age - kIdleAfterUs) / kLifetimeUs));
  return resting + (estimate.speed - resting) * std::exp(-age / kLifetimeUs);
}

}  // namespace limpetrouter::core::routing
