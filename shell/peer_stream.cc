#include "shell/peer_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include <fmt/format.h>

#include "shell/settings.h"

namespace limpetrouter::shell {
namespace {

/// A written frame is kept for this time, which is longer than the kernel of a crashed peer takes to reset the
/// connection.
constexpr std::chrono::seconds kWrittenFrameRetention{2};
/// Limit for the size of the written frames that one link keeps.
constexpr std::size_t kMaxWrittenFramesBytes = 256 * 1024;
constexpr int kListenBacklog = 1024;

void RemoveOldestWrittenFrame(outgoing_link& link) {
  link.written_frames_bytes -= link.written_frames.front().bytes.size();
  link.written_frames.pop_front();
}

}  // namespace

unique_fd& unique_fd::operator=(unique_fd&& other) noexcept {
  if (this != &other) {
    Reset();
    fd_ = other.Release();
  }
  return *this;
}

int unique_fd::Release() { return std::exchange(fd_, -1); }

void unique_fd::Reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

socket_address ParseSocketAddress(const std::string& address) {
  std::string ip;
  std::uint16_t port = 0;
  if (!SplitAddress(address, ip, port)) return {};
  socket_address parsed;
  if (ip.find(':') == std::string::npos) {
    sockaddr_in v4{};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &v4.sin_addr);
    parsed.bytes.assign(reinterpret_cast<const char*>(&v4), sizeof(v4));
  } else {
    sockaddr_in6 v6{};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(port);
    inet_pton(AF_INET6, ip.c_str(), &v6.sin6_addr);
    parsed.bytes.assign(reinterpret_cast<const char*>(&v6), sizeof(v6));
  }
  return parsed;
}

std::string FormatSocketAddress(const socket_address& address) {
  char text[INET6_ADDRSTRLEN] = {};
  if (address.bytes.size() >= sizeof(sockaddr_in6)) {
    sockaddr_in6 v6{};
    std::memcpy(&v6, address.bytes.data(), sizeof(v6));
    if (v6.sin6_family == AF_INET6) {
      inet_ntop(AF_INET6, &v6.sin6_addr, text, sizeof(text));
      return fmt::format("[{}]:{}", text, ntohs(v6.sin6_port));
    }
  }
  if (address.bytes.size() < sizeof(sockaddr_in)) return {};
  sockaddr_in v4{};
  std::memcpy(&v4, address.bytes.data(), sizeof(v4));
  inet_ntop(AF_INET, &v4.sin_addr, text, sizeof(text));
  return fmt::format("{}:{}", text, ntohs(v4.sin_port));
}

unique_fd OpenBoundSocket(const std::string& address, int type) {
  const socket_address parsed = ParseSocketAddress(address);
  if (parsed.bytes.empty()) {
    errno = EINVAL;
    return unique_fd();
  }
  const auto* const raw = reinterpret_cast<const sockaddr*>(parsed.bytes.data());
  unique_fd fd(::socket(raw->sa_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.IsOpen()) return fd;
  const int on = 1;
  if (type == SOCK_STREAM) ::setsockopt(fd.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const bool bound = ::bind(fd.Get(), raw, static_cast<socklen_t>(parsed.bytes.size())) == 0 &&
                     (type != SOCK_STREAM || ::listen(fd.Get(), kListenBacklog) == 0);
  if (bound) return fd;
  const int reason = errno;
  fd.Reset();
  errno = reason;
  return fd;
}

unique_fd StartConnection(const std::string& address) {
  const socket_address parsed = ParseSocketAddress(address);
  if (parsed.bytes.empty()) return unique_fd();
  const auto* const raw = reinterpret_cast<const sockaddr*>(parsed.bytes.data());
  unique_fd fd(::socket(raw->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.IsOpen()) return fd;
  const int on = 1;
  ::setsockopt(fd.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (::connect(fd.Get(), raw, static_cast<socklen_t>(parsed.bytes.size())) != 0 && errno != EINPROGRESS) fd.Reset();
  return fd;
}

bool WriteQueue(outgoing_link& link, outgoing_link::time_point now, std::size_t& bytes_written) {
  while (!link.queue.empty()) {
    outgoing_frame& frame = link.queue.front();
    const std::string_view rest = std::string_view(frame.bytes).substr(frame.written);
    const ssize_t written = ::send(link.fd.Get(), rest.data(), rest.size(), MSG_NOSIGNAL);
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return errno == EAGAIN || errno == EWOULDBLOCK;
    const auto count = static_cast<std::size_t>(written);
    bytes_written += count;
    frame.written += count;
    link.last_progress = now;
    if (frame.written < frame.bytes.size()) continue;
    link.queued_bytes -= frame.bytes.size();
    if (frame.answer_expected) {
      frame.written_at = now;
      link.written_frames_bytes += frame.bytes.size();
      link.written_frames.push_back(std::move(frame));
    }
    link.queue.pop_front();
    ExpireWrittenFrames(link, now);
  }
  return true;
}

std::vector<undelivered_frame> CloseLink(outgoing_link& link, outgoing_link::time_point now) {
  ExpireWrittenFrames(link, now);
  std::vector<undelivered_frame> undelivered;
  for (outgoing_frame& frame : link.written_frames)
    undelivered.push_back({std::move(frame), true});
  for (outgoing_frame& frame : link.queue) {
    const bool bytes_sent = frame.written > 0;
    undelivered.push_back({std::move(frame), bytes_sent});
  }
  link.written_frames.clear();
  link.written_frames_bytes = 0;
  link.queue.clear();
  link.queued_bytes = 0;
  link.connecting = false;
  link.fd.Reset();
  return undelivered;
}

void ExpireWrittenFrames(outgoing_link& link, outgoing_link::time_point now) {
  while (!link.written_frames.empty() && (link.written_frames_bytes > kMaxWrittenFramesBytes ||
                                          now - link.written_frames.front().written_at > kWrittenFrameRetention)) {
    RemoveOldestWrittenFrame(link);
  }
}

}  // namespace limpetrouter::shell
