#pragma once

#include <functional>
#include <memory>

#include "core/io/command.h"
#include "core/io/event.h"
#include "shell/settings.h"

namespace limpetrouter::shell {

/// Reads the configuration service and the instance list. Each read ends with exactly one event. Thread-safe.
class platform_client {
 public:
  /// `post` receives events and `count_bytes` the sizes of answer bodies. Both are called on the client's thread.
  platform_client(const settings& settings, std::function<void(core::io::event)> post,
                  std::function<void(std::size_t)> count_bytes);
  ~platform_client();
  platform_client(const platform_client&) = delete;
  platform_client& operator=(const platform_client&) = delete;

  void ReadConfiguration(const core::io::read_configuration& read);
  void ReadInstanceList();
  /// Cancels all reads and ends the thread.
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
