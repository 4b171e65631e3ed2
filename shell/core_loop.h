#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "core/base/time.h"
#include "core/instance/instance.h"
#include "core/io/command.h"
#include "core/io/event.h"

namespace limpetrouter::shell {

/// Reads the clock of the core. It is monotonic and advances while the machine is suspended, so that deadlines which
/// pass during a suspension are recognised.
core::base::time_point CoreNow();
/// Converts a time of the core's clock to the clock of timers.
std::chrono::steady_clock::time_point ToSteady(core::base::time_point at);

/// Callbacks of a core loop, called on the core thread.
struct core_ports {
  /// Executes a command of the core. It must not block.
  std::function<void(core::io::command&&)> execute;
  /// Receives the delay between the due time of a tick and its start.
  std::function<void(core::base::duration)> observe_lag;
};

/// Runs an instance on one thread, which handles events in their order and ticks every 5 ms. A due tick precedes any
/// event, so that after a pause of the process the core sees the current time before the messages that were queued
/// meanwhile. Thread-safe.
class core_loop {
 public:
  /// A function that reads the instance on the core thread.
  using task = std::function<void(const core::instance::instance&, core::base::time_point)>;

  /// `prepare` configures the instance before the thread starts.
  core_loop(const core::membership::identity& self, std::uint64_t seed, core_ports ports,
            const std::function<void(core::instance::instance&)>& prepare = {});
  ~core_loop();
  core_loop(const core_loop&) = delete;
  core_loop& operator=(const core_loop&) = delete;

  void Start();
  void Post(core::io::event event);
  void PostTask(task work);
  /// Ends the thread. Events and tasks that are still queued are dropped.
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
