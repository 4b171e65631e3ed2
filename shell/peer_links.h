#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "core/base/error_kind.h"
#include "core/io/command.h"
#include "core/io/event.h"
#include "shell/log.h"
#include "shell/message_plane.h"
#include "shell/settings.h"

namespace limpetrouter::shell {

/// Callbacks, called on the thread of the links.
struct peer_observer {
  /// Receives messages, and messages that were not delivered.
  std::function<void(core::io::event)> post;
  /// Receive the size in bytes of each message that was queued for a connection, sent as a datagram or read.
  std::function<void(message_plane, std::size_t)> sent;
  std::function<void(message_plane, std::size_t)> received;
  /// Called for bytes that are not a message. The datagram is dropped, or the connection is closed.
  std::function<void()> malformed;
};

/// Sends and receives messages of other instances over UDP and TCP, on one thread. Thread-safe.
class peer_links {
 public:
  peer_links(const settings& settings, peer_observer observer, logger& log);
  ~peer_links();
  peer_links(const peer_links&) = delete;
  peer_links& operator=(const peer_links&) = delete;

  /// Binds the sockets and starts the thread. Fails with kInvalidSetting if the address cannot be bound, and with
  /// kInternal if epoll or the eventfd cannot be created.
  core::base::result<void> Start();
  void Send(core::io::send_peer command);
  /// Returns true if no message waits to be written.
  bool IsFlushed() const;
  /// Ends the thread. Messages that are not written yet are dropped.
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
