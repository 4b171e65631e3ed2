#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "core/base/time.h"
#include "core/instance/instance.h"
#include "core/io/command.h"
#include "core/io/event.h"

namespace limpetrouter::shell {

/// The clock that the core sees: monotonic, and it goes on while the machine is suspended, so that a deadline that
/// passed meanwhile is recognised.
core::base::time_point CoreNow();
/// The same moment on the clock of timers.
std::chrono::steady_clock::time_point ToSteady(core::base::time_point at);

struct core_ports {
  /// Carries out a command. Must not block.
  std::function<void(core::io::command&&)> execute;
  /// How late a tick began.
  std::function<void(core::base::duration)> observe_lag;
};

/// The one thread that owns an instance: takes events in their order and ticks every 5 ms. A tick that is due comes
/// before any event, so that after a pause the core sees the new time before the messages that waited. Thread-safe.
class core_loop {
 public:
  /// Reads the instance on the core thread.
  using task = std::function<void(const core::instance::instance&, core::base::time_point)>;

  /// `prepare` sets up the instance before it runs.
  core_loop(const core::membership::identity& self, std::uint64_t seed, core_ports ports,
            const std::function<void(core::instance::instance&)>& prepare = {});
  ~core_loop();
  core_loop(const core_loop&) = delete;
  core_loop& operator=(const core_loop&) = delete;

  void Start();
  void Post(core::io::event event);
  void PostTask(task work);
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
