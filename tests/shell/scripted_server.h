#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace limpetrouter::shell {

/// What the server does with one request.
struct scripted_reply {
  /// Raw bytes, status line included.
  std::string bytes;
  /// Closes the connection after them.
  bool close = false;
  /// Waits before it writes, until the client closes at the latest.
  std::chrono::milliseconds delay{0};
};

/// An HTTP answer with a JSON body.
std::string HttpAnswer(int status, const std::string& body);

/// Listens on a free loopback port and answers each request as its script says.
class scripted_server {
 public:
  using script = std::function<scripted_reply(const std::string& request)>;

  explicit scripted_server(script script);
  ~scripted_server();

  std::string Address() const;
  std::vector<std::string> Requests() const;
  std::size_t Connections() const { return connections_; }

 private:
  void Accept();
  void Serve(int fd);

  script script_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> connections_{0};
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// A connected loopback socket, -1 on failure.
int ConnectTo(const std::string& address);
/// Reads until `count` bytes, the end or the timeout.
std::string ReadSome(int fd, std::size_t count, std::chrono::milliseconds timeout);
/// A loopback address that is free at the moment.
std::string FreeAddress();
/// Waits for a condition, at most 5 s.
bool Eventually(const std::function<bool()>& condition);

}  // namespace limpetrouter::shell
