#pragma once

#include <chrono>
#include <cstdint>

namespace limpetrouter::core::base {

/// The type of all durations in the core. Microseconds are fine enough to time a backend call on the same host.
using duration = std::chrono::microseconds;

/// The clock of the core. The core never reads a clock: the shell or a test passes each time point in.
struct core_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<core_clock>;
  static constexpr bool is_steady = true;
};

/// A monotonic point in time. A time point has no meaning in another process, so only durations are sent to peers.
using time_point = core_clock::time_point;

/// Returns `span` in milliseconds, rounded towards zero.
constexpr std::int64_t ToMilliseconds(duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace limpetrouter::core::base
