#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/strong_id.h"
#include "shell/framing.h"

namespace limpetrouter::shell {

/// A file descriptor that is closed with its owner.
class unique_fd {
 public:
  explicit unique_fd(int fd = -1) : fd_(fd) {}
  ~unique_fd() { Reset(); }
  unique_fd(unique_fd&& other) noexcept : fd_(other.Release()) {}
  unique_fd& operator=(unique_fd&& other) noexcept;
  unique_fd(const unique_fd&) = delete;
  unique_fd& operator=(const unique_fd&) = delete;

  int Get() const { return fd_; }
  bool IsOpen() const { return fd_ >= 0; }
  int Release();
  void Reset();

 private:
  int fd_;
};

/// Opens a non-blocking socket of `type` that is bound to "IP:port". Not open on failure; `errno` tells why.
unique_fd OpenBoundSocket(const std::string& address, int type);

/// Starts a non-blocking connection. Not open on failure.
unique_fd StartConnection(const std::string& address);

/// "IP:port" of a socket address.
struct socket_address {
  std::string bytes;
};
/// Empty `bytes` if the text is not an address.
socket_address ParseSocketAddress(const std::string& address);
std::string FormatSocketAddress(const socket_address& address);

/// One message on its way to a peer.
struct outgoing_frame {
  core::base::instance_id target;
  std::string bytes;
  std::size_t written = 0;
  /// The sender waits for an answer to this message, so its possible loss must be reported.
  bool answer_expected = false;
  std::chrono::steady_clock::time_point written_at;
};

/// A frame that was not, or perhaps not, delivered.
struct undelivered_frame {
  outgoing_frame frame;
  bool bytes_sent = false;
};

/// The one connection for messages to a peer address. It connects on demand.
struct outgoing_link {
  using time_point = std::chrono::steady_clock::time_point;

  std::string address;
  unique_fd fd;
  bool connecting = false;
  std::deque<outgoing_frame> queue;
  std::size_t queued_bytes = 0;
  /// Written frames whose answer may be outstanding. A connection that breaks soon after them may have lost them.
  std::deque<outgoing_frame> recent;
  std::size_t recent_bytes = 0;
  time_point connect_deadline;
  /// Last time that bytes were written, or that the queue was empty.
  time_point last_progress;
};

/// Writes as much as the socket takes. Returns false if the connection is broken.
bool WriteQueue(outgoing_link& link, outgoing_link::time_point now, std::size_t& bytes_written);

/// Closes the connection and takes every frame that it may have lost.
std::vector<undelivered_frame> BreakLink(outgoing_link& link, outgoing_link::time_point now);

/// Forgets written frames that are old enough.
void ForgetRecent(outgoing_link& link, outgoing_link::time_point now);

/// A connection that another instance opened.
struct incoming_link {
  unique_fd fd;
  std::string from;
  frame_reader frames;
  std::chrono::steady_clock::time_point last_read;
};

}  // namespace limpetrouter::shell
