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

/// Describes how the server replies to one request.
struct scripted_reply {
  /// Raw bytes of the reply, including the status line.
  std::string bytes;
  /// Closes the connection after `bytes`.
  bool close = false;
  /// Time to wait before `bytes` are written; the wait ends early if the client closes the connection.
  std::chrono::milliseconds delay{0};
  /// Written again and again after `bytes`, until the client closes the connection; empty for none.
  std::string endless = {};
};

/// Returns an HTTP answer with a JSON body.
std::string HttpAnswer(int status, const std::string& body);

/// Listens on a free loopback port and answers each request with the reply that its script returns.
class scripted_server {
 public:
  using script = std::function<scripted_reply(const std::string& request)>;

  explicit scripted_server(script script);
  ~scripted_server();

  std::string Address() const;
  std::vector<std::string> Requests() const;
  std::size_t Connections() const { return connections_; }
  /// Number of endless replies that the client has ended by closing their connection.
  std::size_t EndedReplies() const { return ended_replies_; }

 private:
  void Accept();
  void Serve(int fd);
  /// Writes `bytes` again and again until the client closes the connection or this server stops.
  void WriteEndlessly(int fd, const std::string& bytes);

  script script_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> connections_{0};
  std::atomic<std::size_t> ended_replies_{0};
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// Returns a socket that is connected to a loopback address, or -1 on failure.
int ConnectTo(const std::string& address);
/// Reads until `count` bytes have arrived, the connection ends or the timeout expires.
std::string ReadSome(int fd, std::size_t count, std::chrono::milliseconds timeout);
/// Returns a loopback address whose port is free at the moment.
std::string FreeAddress();
/// Waits for a condition. Returns false if it is not met within 5 s.
bool Eventually(const std::function<bool()>& condition);

}  // namespace limpetrouter::shell
