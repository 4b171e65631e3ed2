#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <catch2/catch.hpp>

#include "scripted_server.h"
#include "shell/http_server.h"

namespace limpetrouter::shell {
namespace {

using core::base::reply_handle;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kMegabyte = 1024 * 1024;

/// An opaque server with bounds of its own. It answers each request with its target, or with `body` if that is set.
struct limited_server {
  std::string body;
  std::atomic<std::size_t> requests{0};
  std::shared_ptr<connection_limits> limits;
  http_server_options options;
  std::unique_ptr<http_server> server;

  explicit limited_server(const caller_limits& settings = {}, bool opaque = true)
      : limits(std::make_shared<connection_limits>(DeriveBounds(settings))) {
    options.address = FreeAddress();
    options.opaque = opaque;
    options.max_request_bytes = 4096;
    options.limits = limits;
    server = std::make_unique<http_server>(
        options, http_observer{[this](reply_handle handle, http_request request) {
                                 ++requests;
                                 const std::string text = request.path + "|" + std::to_string(request.body.size());
                                 server->Answer(handle, {200, body.empty() ? text : body});
                               },
                               [](reply_handle) {}});
    REQUIRE(server->Start().has_value());
  }

  std::uint64_t Closed(close_reason reason) const { return limits->Totals().closed[static_cast<std::size_t>(reason)]; }
};

std::string Get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"; }

/// Connects with a small receive buffer, so that the kernel takes few answers on behalf of the caller.
int ConnectSmall(const std::string& address) {
  std::string ip;
  sockaddr_in to{};
  to.sin_family = AF_INET;
  REQUIRE(SplitAddress(address, ip, to.sin_port));
  to.sin_port = htons(to.sin_port);
  ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const int bytes = 4096;
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
  return fd;
}

/// Reads until the input contains `text`, or until no byte arrives for 10 s.
std::string ReadUntil(int fd, const std::string& text) {
  std::string read;
  while (read.find(text) == std::string::npos) {
    const std::string more = ReadSome(fd, 1, milliseconds(10'000));
    if (more.empty()) break;
    read += more;
  }
  return read;
}

/// Sends a request again and again until the connection is closed. Returns whether it was closed within 20 s.
bool FloodUntilClosed(int fd, const std::string& request) {
  std::string batch;
  while (batch.size() < 32 * 1024)
    batch += request;
  const auto end = steady_clock::now() + std::chrono::seconds(20);
  std::size_t sent = 0;
  while (steady_clock::now() < end) {
    const ssize_t count = ::send(fd, batch.data() + sent, batch.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno != EAGAIN) return true;
    if (count < 0) std::this_thread::sleep_for(milliseconds(5));
    if (count > 0) sent = (sent + static_cast<std::size_t>(count)) % batch.size();
  }
  return false;
}

/// Returns whether an ordinary request on a new connection is answered.
bool IsServed(const limited_server& limited) {
  const int fd = ConnectTo(limited.options.address);
  const std::string request = Get("/ordinary");
  ::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  const std::string answer = ReadSome(fd, 15, milliseconds(5'000));
  ::close(fd);
  return answer.starts_with("HTTP/1.1 200");
}

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
    ++count;
  return count;
}

// Guards against pipelined requests that are dropped, reordered or never taken after their connection was paused.
TEST_CASE("pipelined requests of a caller that reads are all answered in order") {
  const bool opaque = GENERATE(true, false);
  limited_server limited({}, opaque);
  const int fd = ConnectTo(limited.options.address);
  constexpr int kRequests = 500;
  std::string requests;
  for (int i = 0; i < kRequests; ++i)
    requests += Get(fmt::format("/{:03}", i));
  REQUIRE(::send(fd, requests.data(), requests.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(requests.size()));
  std::string answers;
  while (Count(answers, "|0") < kRequests) {
    const std::string more = ReadSome(fd, 1, milliseconds(5'000));
    if (more.empty()) break;
    answers += more;
  }
  REQUIRE(Count(answers, "|0") == kRequests);
  std::size_t at = 0;
  for (int i = 0; i < kRequests; ++i) {
    at = answers.find(fmt::format("/{:03}|0", i), at);
    REQUIRE(at != std::string::npos);
  }
  CHECK(Eventually([&] { return limited.server->PendingAnswers() == 0; }));
  CHECK(limited.limits->Totals().request_bytes == 0);
  ::close(fd);
  CHECK(Eventually([&] { return limited.limits->Totals().held_bytes == 0 && limited.limits->Totals().open == 0; }));
}

// Guards against answers, refusals and errors that are held without bound for a caller that does not read.
TEST_CASE("a caller that pipelines without reading is closed, and others are served") {
  struct row {
    std::string name;
    std::string request;
    bool refuse;
    bool opaque;
  };
  const auto r = GENERATE(values<row>({
      {"answers", Get("/a"), false, true},
      {"answers of the own interface", Get("/a"), false, false},
      {"refusals", Get("/a"), true, true},
      {"requests that end the connection", "GET /a HTTP/1.0\r\n\r\n", false, false},
      {"malformed requests", "nonsense\r\n\r\n", false, true},
      {"an incomplete chunked body", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n",
       false, true},
  }));
  INFO(r.name);
  caller_limits settings;
  settings.drain_timeout = milliseconds(500);
  limited_server limited(settings, r.opaque);
  if (r.refuse) limited.server->RefuseWith({503, "\"refused\""});
  const int fd = ConnectSmall(limited.options.address);
  std::atomic<bool> done{false};
  std::size_t most = 0;
  std::thread watcher([&] {
    while (!done) {
      most = std::max(most, limited.limits->Totals().held_bytes);
      std::this_thread::sleep_for(milliseconds(1));
    }
  });
  const bool closed = FloodUntilClosed(fd, r.request);
  done = true;
  watcher.join();
  CHECK(closed);
  CHECK(most < 2 * kMegabyte);
  CHECK(Eventually([&] { return limited.limits->Totals().open == 0; }));
  CHECK(limited.limits->Totals().held_bytes == 0);
  CHECK(limited.server->PendingAnswers() == 0);
  if (!r.refuse) CHECK(IsServed(limited));
  ::close(fd);
}

// Guards against limits that a single request inside the limits of requests meets.
TEST_CASE("a request of the largest size is served on a new connection of a small machine") {
  const std::string framing = GENERATE("length", "chunks of 1 KiB", "chunks of 1 byte");
  INFO(framing);
  caller_limits settings;
  settings.memory_mb = 160;
  settings.max_descriptors = 4'100;
  limited_server limited(settings);
  const request_limits largest;
  std::string request = "POST /large HTTP/1.1\r\nHost: x\r\n";
  std::string body;
  if (framing == "length") {
    request += fmt::format("Content-Length: {}\r\n", largest.max_body_bytes);
    body.assign(largest.max_body_bytes, 'b');
  } else {
    request += "Transfer-Encoding: chunked\r\n";
    const std::size_t size = framing == "chunks of 1 byte" ? 1 : 1024;
    for (std::size_t i = 0; i < largest.max_body_bytes; i += size)
      body += fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'b'));
    body += "0\r\n\r\n";
  }
  request += "X-Filler: ";
  request += std::string(largest.max_header_bytes - request.size() - 4, 'f') + "\r\n\r\n" + body;
  for (int i = 0; i < 3; ++i) {
    const int fd = ConnectTo(limited.options.address);
    REQUIRE(::send(fd, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()));
    const std::string expected = fmt::format("/large|{}", largest.max_body_bytes);
    CHECK(ReadUntil(fd, expected).find(expected) != std::string::npos);
    ::close(fd);
  }
  CHECK(limited.limits->Totals().closed == decltype(connection_totals::closed){});
}

// Guards against long answers that are held for a caller that does not read them, and against a drain time that ends a
// caller which reads slowly but steadily.
TEST_CASE("a caller that does not read a long answer is closed after the drain time") {
  caller_limits settings;
  settings.drain_timeout = milliseconds(1'000);
  limited_server limited(settings);
  limited.body.assign(12 * kMegabyte, 'x');
  const std::string request = Get("/long");
  const int unread = ConnectSmall(limited.options.address);
  const int steady = ConnectTo(limited.options.address);
  ::send(unread, request.data(), request.size(), MSG_NOSIGNAL);
  ::send(steady, request.data(), request.size(), MSG_NOSIGNAL);
  std::size_t read = 0;
  const auto start = steady_clock::now();
  while (read < limited.body.size()) {
    const std::string more = ReadSome(steady, 1, milliseconds(2'000));
    if (more.empty()) break;
    read += more.size();
    // 3 s for the answer, three times the drain time.
    const auto due = start + milliseconds(3 * read * 1'000 / limited.body.size());
    std::this_thread::sleep_until(due);
  }
  CHECK(read >= limited.body.size());
  CHECK(Eventually([&] { return limited.Closed(close_reason::kNotDrained) == 1; }));
  CHECK(Eventually([&] { return limited.limits->Totals().held_bytes < kMegabyte; }));
  CHECK(IsServed(limited));
  ::close(unread);
  ::close(steady);
}

// Guards against more open connections than descriptors, and against a refused connection that blocks a place.
TEST_CASE("connections beyond the bound are closed at once") {
  caller_limits settings;
  settings.max_connections = 4;
  limited_server limited(settings);
  std::vector<int> open;
  for (int i = 0; i < 4; ++i)
    open.push_back(ConnectTo(limited.options.address));
  REQUIRE(Eventually([&] { return limited.limits->Totals().open == 4; }));
  const int refused = ConnectTo(limited.options.address);
  char byte = 0;
  CHECK(Eventually([&] {
    const ssize_t count = ::recv(refused, &byte, 1, MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
  }));
  CHECK(limited.Closed(close_reason::kRefused) == 1);
  ::close(refused);
  ::close(open.back());
  REQUIRE(Eventually([&] { return limited.limits->Totals().open == 3; }));
  CHECK(IsServed(limited));
  for (const int fd : open)
    ::close(fd);
}

// Guards against requests that are refused although they were passed on, or passed on although they were refused.
TEST_CASE("requests beyond the bound of requests in progress are refused as not executed") {
  caller_limits settings;
  settings.max_held_bytes = 64 * 1024;
  auto limits = std::make_shared<connection_limits>(DeriveBounds(settings));
  http_server_options options;
  options.address = FreeAddress();
  options.opaque = true;
  options.limits = limits;
  std::mutex mutex;
  std::vector<http_request> kept;
  http_server server(options, http_observer{[&](reply_handle, http_request request) {
                                              const std::lock_guard lock(mutex);
                                              kept.push_back(std::move(request));
                                            },
                                            [](reply_handle) {}});
  REQUIRE(server.Start().has_value());
  const std::string request = Get("/a");
  std::vector<int> open;
  std::size_t refused = 0;
  for (int i = 0; i < 12; ++i) {
    open.push_back(ConnectTo(options.address));
    ::send(open.back(), request.data(), request.size(), MSG_NOSIGNAL);
    REQUIRE(Eventually([&] {
      const std::lock_guard lock(mutex);
      return kept.size() + refused > static_cast<std::size_t>(i) ||
             !ReadSome(open.back(), 15, milliseconds(100)).empty();
    }));
    const std::lock_guard lock(mutex);
    refused = static_cast<std::size_t>(i) + 1 - kept.size();
  }
  CHECK(kept.size() == 7);
  CHECK(refused == 5);
  // The connections are closed, but the requests are still held.
  for (const int fd : open)
    ::close(fd);
  REQUIRE(Eventually([&] { return limits->Totals().open == 0; }));
  CHECK(limits->Totals().request_bytes > 0);
  kept.clear();
  CHECK(limits->Totals().request_bytes == 0);
}

// Guards against defaults that clients meet which have one request at a time on each of some hundreds of connections.
TEST_CASE("300 connections with one largest request each meet no default") {
  constexpr std::size_t kConnections = 300;
  auto limits = std::make_shared<connection_limits>(DeriveBounds({}));
  http_server_options options;
  options.address = FreeAddress();
  options.opaque = true;
  options.limits = limits;
  std::mutex mutex;
  std::vector<std::pair<reply_handle, http_request>> kept;
  http_server server(options, http_observer{[&](reply_handle handle, http_request request) {
                                              const std::lock_guard lock(mutex);
                                              kept.emplace_back(handle, std::move(request));
                                            },
                                            [](reply_handle) {}});
  REQUIRE(server.Start().has_value());
  const request_limits largest;
  std::string request =
      fmt::format("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\nX-Filler: ", largest.max_body_bytes);
  request += std::string(largest.max_header_bytes - request.size() - 4, 'f') + "\r\n\r\n";
  request += std::string(largest.max_body_bytes, 'b');
  std::vector<int> open;
  for (std::size_t i = 0; i < kConnections; ++i) {
    open.push_back(ConnectTo(options.address));
    REQUIRE(::send(open.back(), request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()));
  }
  REQUIRE(Eventually([&] {
    const std::lock_guard lock(mutex);
    return kept.size() == kConnections;
  }));
  for (const auto& [handle, each] : kept)
    server.Answer(handle, {200, "\"done\""});
  for (const int fd : open) {
    CHECK(ReadUntil(fd, "\"done\"").starts_with("HTTP/1.1 200"));
    ::close(fd);
  }
  CHECK(limits->Totals().closed == decltype(connection_totals::closed){});
}

}  // namespace
}  // namespace limpetrouter::shell
