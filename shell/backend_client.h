#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "core/io/command.h"
#include "core/io/event.h"
#include "shell/answer_limits.h"

namespace limpetrouter::shell {

/// Calls backend servers over HTTP. Each call ends with exactly one event. Thread-safe.
class backend_client {
 public:
  /// `post` receives events on the client's threads. All calls to a backend server run on one of `threads` threads.
  explicit backend_client(std::function<void(core::io::event)> post, std::uint32_t threads = 1,
                          const answer_limits& limits = {});
  ~backend_client();
  backend_client(const backend_client&) = delete;
  backend_client& operator=(const backend_client&) = delete;

  void Call(const core::io::call_backend& call);
  /// Closes the connection of the call and notifies the backend server. Does nothing if the call has ended.
  void Cancel(const core::io::cancel_backend_call& cancel);
  /// Reads the load report of a backend server. Each probe ends with exactly one event.
  void Probe(const core::io::probe_backend& probe);
  /// Cancels all calls and ends the threads.
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
