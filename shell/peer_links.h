#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "core/base/error_kind.h"
#include "core/io/command.h"
#include "core/io/event.h"
#include "shell/log.h"
#include "shell/settings.h"

namespace limpetrouter::shell {

/// What a message is for: queries, or keeping the fleet together. The latter has a budget per instance.
enum class message_plane : std::uint8_t { kData, kControl };

message_plane PlaneOf(const core::peer::message& message);

/// Told on the thread of the links.
struct peer_observer {
  std::function<void(core::io::event)> post;
  std::function<void(message_plane, std::size_t)> sent;
  std::function<void(message_plane, std::size_t)> received;
  /// Bytes that are not a message; the datagram was dropped or the connection closed.
  std::function<void()> malformed;
};

/// UDP and TCP to other instances, on one thread. Thread-safe.
class peer_links {
 public:
  peer_links(const settings& settings, peer_observer observer, logger& log);
  ~peer_links();
  peer_links(const peer_links&) = delete;
  peer_links& operator=(const peer_links&) = delete;

  /// Binds the sockets and starts the thread. Fails with kInvalidSetting.
  core::base::result<void> Start();
  void Send(core::io::send_peer command);
  /// True if no message waits to be written.
  bool IsFlushed() const;
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
