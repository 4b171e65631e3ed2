#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "core/base/strong_id.h"
#include "core/base/time.h"

namespace limpetrouter::core::routing {

/// Position of a waiting part. Parts of requests that can be served in time come before those that cannot, then the
/// more urgent ones, then those that are due first.
struct queue_position {
  bool late = false;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  base::time_point due{};
  base::reply_handle request;
  std::size_t part = 0;

  friend auto operator<=>(const queue_position&, const queue_position&) = default;  // NOLINT(modernize-use-nullptr)
};

/// Exponentially weighted rate of events.
struct rate_meter {
  double per_second = 0;
  base::time_point updated{};
};

/// Urgency of a part: whether its request is late, and its priority.
using urgency_class = std::pair<bool, std::uint32_t>;

/// The parts that wait for one service, in the order in which they are served, and what was measured of the service.
struct request_queue {
  std::set<queue_position> parts;
  std::map<urgency_class, std::size_t> classes;
  /// Since when parts have waited without interruption.
  base::time_point waiting_since{};
  /// Parts that were admitted, by class.
  std::map<urgency_class, rate_meter> admitted;
  /// Calls that ended at servers of the service.
  rate_meter ended;
  /// Exponentially weighted average of the time of a call, and when it was last updated.
  double call_time_us = 0;
  base::time_point call_time_at{};
};

void AddEvents(rate_meter& meter, double events, base::time_point now);
double RateOf(const rate_meter& meter, base::time_point now);
void AddCallTime(request_queue& queue, base::duration time, base::time_point now);
/// Returns the rate of the admitted parts of all classes before the given one.
double RateBefore(const request_queue& queue, const urgency_class& limit, base::time_point now);

void Push(request_queue& queue, const queue_position& position, base::time_point now);
void Remove(request_queue& queue, const queue_position& position);
/// Returns the number of parts of the same class and of all classes before it.
std::size_t CountUpTo(const request_queue& queue, bool late, std::uint32_t priority);

}  // namespace limpetrouter::core::routing
