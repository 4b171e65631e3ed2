#pragma once

#include <chrono>
#include <cstdint>

namespace limpetrouter::core::base {

/// All spans of time in the core. Microseconds resolve a backend call on one host.
using duration = std::chrono::microseconds;

/// The clock that the core sees. It is never read: the shell or a test passes a time point in.
struct core_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<core_clock>;
  static constexpr bool is_steady = true;
};

/// A monotonic point in time. It has no meaning in another process, so only durations are sent to peers.
using time_point = core_clock::time_point;

/// Whole milliseconds of `span`, rounded towards zero.
constexpr std::int64_t ToMilliseconds(duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace limpetrouter::core::base
