#include "core/routing/admission.h"

#include <algorithm>

namespace limpetrouter::core::routing {
namespace {

/// A queue is standing if more than this share of the calls waits longer than the target. The controlled variable is
/// the share, not the mean: a server with few slots is at 95% of its capacity when most calls wait a little, whereas
/// the mean delay is then dominated by rare long waits.
constexpr double kStandingShare = 0.90;
/// Below this share, there is spare capacity for more queries.
constexpr double kSpareShare = 0.80;
/// The limit is lowered after this many periods in a row with a standing queue: a single period may be a burst that
/// ends by itself.
constexpr std::uint32_t kStandingPeriods = 2;
constexpr double kDecrease = 0.93;
constexpr double kSevereDecrease = 0.80;
constexpr double kIncrease = 1.04;
/// Above this share of shed calls, the service is overloaded: a few failed calls in a hundred already cost complete
/// queries.
constexpr double kShedShare = 0.01;
/// With fewer calls, the measured shares are not significant.
constexpr std::uint32_t kMinCalls = 10;
/// Below this share of delayed calls, the limit is far below the capacity and increases faster.
constexpr double kIdleShare = 0.25;
constexpr double kFastIncrease = 1.25;
constexpr double kAdditiveIncrease = 0.1;

/// Bounds of the mean delay, in multiples of the typical call latency: the share does not show how long the calls wait.
constexpr int kStandingMean = 2;
constexpr double kSpareMean = 1.5;
/// Lower bound of the typical call latency in these comparisons.
constexpr base::duration kMinCallTime = std::chrono::milliseconds(5);

bool HasStandingQueue(const queue_state& worst, base::duration typical_latency) {
  return worst.delayed_share > kStandingShare || worst.mean > kStandingMean * std::max(typical_latency, kMinCallTime);
}

bool HasSpareCapacity(const queue_state& worst, base::duration typical_latency) {
  const auto typical_us = static_cast<double>(std::max(typical_latency, kMinCallTime).count());
  return worst.delayed_share < kSpareShare && static_cast<double>(worst.mean.count()) < kSpareMean * typical_us;
}

bool IsSevere(const queue_state& worst, base::duration typical_latency) {
  if (worst.shed > 5 * kShedShare * (worst.calls + worst.shed)) return true;
  return worst.mean > 2 * kStandingMean * std::max(typical_latency, kMinCallTime);
}

}  // namespace

bool Admits(const admission_limit& limit, double weight, bool urgent) {
  return urgent || limit.in_flight == 0 || limit.weight_in_flight + weight <= limit.limit;
}

void CountAdmitted(admission_limit& limit, double weight) {
  ++limit.in_flight;
  limit.weight_in_flight += weight;
  ++limit.admitted;
  limit.peak = std::max(limit.peak, limit.weight_in_flight);
}

void CountEnded(admission_limit& limit, double weight, base::duration query_time) {
  if (limit.in_flight > 0) --limit.in_flight;
  // The weight is reset to zero when no query is in flight, so that rounding errors do not accumulate.
  limit.weight_in_flight = limit.in_flight == 0 ? 0 : std::max(0.0, limit.weight_in_flight - weight);
  const auto sample = static_cast<double>(query_time.count());
  limit.mean_query_us = limit.mean_query_us == 0 ? sample : limit.mean_query_us + 0.05 * (sample - limit.mean_query_us);
}

void AdjustLimit(admission_limit& limit, const queue_state& worst, base::duration typical_latency,
                 base::time_point now) {
  // The effect of an adjustment can be measured only when the queries that were admitted after it have been answered.
  const base::duration period = std::max<base::duration>(kQueueWindow, 3 * typical_latency);
  if (now - limit.adjusted < period || limit.limit == 0) return;
  limit.adjusted = now;
  const bool shedding = worst.shed > kShedShare * (worst.calls + worst.shed);
  const bool enough = worst.calls + worst.shed >= kMinCalls;
  const bool overloaded = enough && (shedding || HasStandingQueue(worst, typical_latency));
  limit.standing_periods = overloaded ? limit.standing_periods + 1 : 0;
  if (limit.standing_periods >= kStandingPeriods || (overloaded && IsSevere(worst, typical_latency))) {
    // The decrease starts at the weight that was really in flight: from a much higher limit, it would take many periods
    // to have an effect.
    const double used = std::min(limit.limit, std::max(limit.peak, limit.floor));
    limit.limit = used * (IsSevere(worst, typical_latency) ? kSevereDecrease : kDecrease);
  } else if (!overloaded && limit.refused_in_period > 0 && worst.delayed_share < kIdleShare) {
    limit.limit = limit.limit * kFastIncrease + kAdditiveIncrease;
  } else if (!overloaded && limit.refused_in_period > 0 && HasSpareCapacity(worst, typical_latency)) {
    limit.limit = limit.limit * kIncrease + kAdditiveIncrease;
  }
  // An idle limit returns to its initial value: one that a past overload has lowered would refuse the next burst.
  const bool idle = !overloaded && limit.refused_in_period == 0 && worst.delayed_share < kIdleShare;
  if (idle && limit.limit < limit.initial_limit)
    limit.limit = std::min(limit.initial_limit, limit.limit * kFastIncrease + kAdditiveIncrease);
  limit.limit = std::max(limit.limit, limit.floor);
  limit.peak = limit.weight_in_flight;
  limit.refused_in_period = 0;
}

}  // namespace limpetrouter::core::routing
