#include "scripted_server.h"

#include <cerrno>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include "shell/http_framing.h"
#include "shell/settings.h"

namespace limpetrouter::shell {
namespace {

constexpr int kPollMs = 20;
/// Connections of a whole test may arrive at once.
constexpr int kBacklog = 512;

int BindFreePort(std::uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  ::bind(fd, reinterpret_cast<sockaddr*>(&address), size);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

bool IsReadable(int fd, int timeout_ms) {
  pollfd wait{fd, POLLIN, 0};
  return ::poll(&wait, 1, timeout_ms) > 0;
}

}  // namespace

std::string HttpAnswer(int status, const std::string& body) {
  return fmt::format("HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}", status,
                     body.size(), body);
}

scripted_server::scripted_server(script script) : script_(std::move(script)) {
  listener_ = BindFreePort(port_);
  ::listen(listener_, kBacklog);
  acceptor_ = std::thread([this] { Accept(); });
}

scripted_server::~scripted_server() {
  stopping_ = true;
  acceptor_.join();
  for (std::thread& thread : threads_)
    thread.join();
  ::close(listener_);
}

std::string scripted_server::Address() const { return fmt::format("127.0.0.1:{}", port_); }

std::vector<std::string> scripted_server::Requests() const {
  const std::lock_guard lock(mutex_);
  return requests_;
}

void scripted_server::Accept() {
  while (!stopping_) {
    if (!IsReadable(listener_, kPollMs)) continue;
    const int fd = ::accept(listener_, nullptr, nullptr);
    if (fd < 0) continue;
    ++connections_;
    threads_.emplace_back([this, fd] { Serve(fd); });
  }
}

void scripted_server::Serve(int fd) {
  std::string input;
  bool open = true;
  while (open && !stopping_) {
    const request_frame frame = FrameRequest(input, 1'000'000);
    if (frame.state == request_state::kComplete) {
      const std::string request = input.substr(0, frame.size);
      input.erase(0, frame.size);
      {
        const std::lock_guard lock(mutex_);
        requests_.push_back(request);
      }
      const scripted_reply reply = script_(request);
      // A connection that the client closes becomes readable, which ends the wait.
      if (reply.delay.count() > 0 && IsReadable(fd, static_cast<int>(reply.delay.count()))) break;
      ::send(fd, reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
      if (!reply.endless.empty()) WriteEndlessly(fd, reply.endless);
      open = !reply.close && reply.endless.empty();
      continue;
    }
    if (!IsReadable(fd, kPollMs)) continue;
    char buffer[4096];
    const ssize_t size = ::recv(fd, buffer, sizeof(buffer), 0);
    if (size <= 0) break;
    input.append(buffer, static_cast<std::size_t>(size));
  }
  ::close(fd);
}

void scripted_server::WriteEndlessly(int fd, const std::string& bytes) {
  std::string block;
  constexpr std::size_t kBlockBytes = 64 * 1024;
  while (block.size() < kBlockBytes)
    block += bytes;
  std::size_t offset = 0;
  while (!stopping_) {
    pollfd wait{fd, POLLOUT, 0};
    if (::poll(&wait, 1, kPollMs) <= 0) continue;
    const ssize_t sent = ::send(fd, block.data() + offset, block.size() - offset, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN) {
      ++ended_replies_;
      return;
    }
    if (sent > 0) offset = (offset + static_cast<std::size_t>(sent)) % block.size();
  }
}

int ConnectTo(const std::string& address) {
  std::string ip;
  std::uint16_t port = 0;
  if (!SplitAddress(address, ip, port)) return -1;
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &target.sin_addr);
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0) return fd;
  ::close(fd);
  return -1;
}

std::string ReadSome(int fd, std::size_t count, std::chrono::milliseconds timeout) {
  std::string read;
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (read.size() < count && std::chrono::steady_clock::now() < deadline) {
    if (!IsReadable(fd, kPollMs)) continue;
    char buffer[4096];
    const ssize_t size = ::recv(fd, buffer, sizeof(buffer), 0);
    if (size <= 0) break;
    read.append(buffer, static_cast<std::size_t>(size));
  }
  return read;
}

std::string FreeAddress() {
  std::uint16_t port = 0;
  ::close(BindFreePort(port));
  return fmt::format("127.0.0.1:{}", port);
}

bool Eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

}  // namespace limpetrouter::shell
