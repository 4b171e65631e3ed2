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

/// Owns a file descriptor and closes it on destruction.
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

/// Opens a non-blocking socket of `type` that is bound to "IP:port". On failure the result is not open, and `errno`
/// holds the reason.
unique_fd OpenBoundSocket(const std::string& address, int type);

/// Starts a non-blocking connection to "IP:port". On failure the result is not open.
unique_fd StartConnection(const std::string& address);

/// A socket address as the bytes of a `sockaddr_in` or `sockaddr_in6`.
struct socket_address {
  std::string bytes;
};
/// Parses "IP:port". `bytes` of the result is empty if the text does not have that form.
socket_address ParseSocketAddress(const std::string& address);
/// Formats an address as "IP:port".
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

/// A frame that was not delivered, or whose delivery is unknown.
struct undelivered_frame {
  outgoing_frame frame;
  /// False only if no byte of the frame was written.
  bool bytes_sent = false;
};

/// The only connection for messages to a peer address. It is established on demand.
struct outgoing_link {
  using time_point = std::chrono::steady_clock::time_point;

  std::string address;
  unique_fd fd;
  bool connecting = false;
  std::deque<outgoing_frame> queue;
  std::size_t queued_bytes = 0;
  /// Recently written frames whose answer may be outstanding. If the connection is lost soon after they were written,
  /// the peer may not have received them.
  std::deque<outgoing_frame> written_frames;
  std::size_t written_frames_bytes = 0;
  time_point connect_deadline;
  /// Last time at which bytes were written, or at which the queue was empty.
  time_point last_progress;
};

/// Writes queued frames until the socket accepts no more bytes, and adds their number to `bytes_written`. Returns false
/// if the connection is lost; `errno` holds the reason.
bool WriteQueue(outgoing_link& link, outgoing_link::time_point now, std::size_t& bytes_written);

/// Closes the connection. Removes from the link every frame that may not have been delivered, and returns these frames.
std::vector<undelivered_frame> CloseLink(outgoing_link& link, outgoing_link::time_point now);

/// Removes the oldest of the `written_frames` that exceed the limits of age and size.
void ExpireWrittenFrames(outgoing_link& link, outgoing_link::time_point now);

/// A connection that another instance opened.
struct incoming_link {
  unique_fd fd;
  std::string from;
  frame_reader frames;
  std::chrono::steady_clock::time_point last_read;
  /// Bytes of an incomplete message that count towards the limit of all connections.
  std::size_t counted_bytes = 0;
};

}  // namespace limpetrouter::shell
