#include "shell/http_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "core/base/random.h"
#include "scripted_server.h"

namespace limpetrouter::shell {
namespace {

using core::base::reply_handle;
using std::chrono::milliseconds;

/// A server whose requests stay unanswered until the test answers them.
struct deferred_server {
  std::mutex mutex;
  std::vector<std::pair<reply_handle, http_request>> requests;
  std::vector<reply_handle> abandoned;
  settings config;
  std::unique_ptr<http_server> server;

  explicit deferred_server(std::size_t max_bytes = 4096) {
    config.listen_http = FreeAddress();
    config.threads = 2;
    config.max_request_bytes = max_bytes;
    server = std::make_unique<http_server>(config, http_observer{[this](reply_handle handle, http_request request) {
                                                                   const std::lock_guard lock(mutex);
                                                                   requests.emplace_back(handle, std::move(request));
                                                                 },
                                                                 [this](reply_handle handle) {
                                                                   const std::lock_guard lock(mutex);
                                                                   abandoned.push_back(handle);
                                                                 }});
    REQUIRE(server->Start().has_value());
  }

  std::size_t RequestCount() {
    const std::lock_guard lock(mutex);
    return requests.size();
  }
  /// Waits until the server has received `count` requests in total.
  void AwaitRequests(std::size_t count) {
    REQUIRE(Eventually([&] { return RequestCount() >= count; }));
  }
  /// Answers request `index` with its own path.
  void Answer(std::size_t index) {
    std::unique_lock lock(mutex);
    const auto [handle, request] = requests.at(index);
    lock.unlock();
    server->Answer(handle, {200, "\"" + request.path + "\"", true});
  }
};

std::string Get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"; }

void SendText(int fd, const std::string& text) { ::send(fd, text.data(), text.size(), MSG_NOSIGNAL); }

/// Reads until the input contains `text`, or until no byte arrives for 2 s.
std::string ReadUntil(int fd, const std::string& text) {
  std::string read;
  while (read.find(text) == std::string::npos) {
    const std::string more = ReadSome(fd, 1, milliseconds(2000));
    if (more.empty()) break;
    read += more;
  }
  return read;
}

// Guards against an answer that is sent for another request of its connection: pipelined requests are answered in
// order, even if a later answer is ready first.
TEST_CASE("answers are sent in the order of the requests") {
  deferred_server deferred;
  const int fd = ConnectTo(deferred.config.listen_http);
  REQUIRE(fd >= 0);
  SendText(fd, Get("/a") + Get("/b") + Get("/c?x=1%202"));
  deferred.AwaitRequests(3);
  CHECK(deferred.requests[2].second.parameters.at("x") == "1%202");
  deferred.Answer(2);
  deferred.Answer(1);
  CHECK(ReadSome(fd, 1, milliseconds(100)).empty());
  deferred.Answer(0);
  const std::string read = ReadUntil(fd, "\"/c\"");
  CHECK(read.find("\"/a\"") < read.find("\"/b\""));
  CHECK(read.find("\"/b\"") < read.find("\"/c\""));
  CHECK(Eventually([&] { return deferred.server->PendingAnswers() == 0; }));
  ::close(fd);
}

// Guards against malformed or oversized input that is answered in plain text, with a wrong error kind, or not at all.
TEST_CASE("invalid input is refused in JSON and the connection is closed") {
  struct row {
    std::string input;
    int status;
    std::string error;
  };
  const auto r = GENERATE(values<row>({
      {"nonsense\r\n\r\n", 400, "invalid_request"},
      {"GET / HTTP/9.9\r\n\r\n", 400, "invalid_request"},
      {"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", 413, "request_too_large"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "invalid_request"},
  }));
  INFO(r.input);
  deferred_server deferred;
  const int fd = ConnectTo(deferred.config.listen_http);
  SendText(fd, r.input);
  const std::string answer = ReadSome(fd, 100'000, milliseconds(2000));
  CHECK(answer.find(fmt::format("HTTP/1.1 {}", r.status)) == 0);
  const auto body = nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4), nullptr, false);
  CHECK(body.value("error", "") == r.error);
  CHECK(body.value("executed", "") == "no");
  CHECK(deferred.RequestCount() == 0);
  ::close(fd);
}

// Guards against work that continues for a disconnected caller, and against a count of pending answers that never
// returns to 0.
TEST_CASE("a closed connection abandons its requests") {
  deferred_server deferred;
  const int fd = ConnectTo(deferred.config.listen_http);
  SendText(fd, Get("/a") + Get("/b"));
  deferred.AwaitRequests(2);
  ::close(fd);
  REQUIRE(Eventually([&] {
    const std::lock_guard lock(deferred.mutex);
    return deferred.abandoned.size() == 2;
  }));
  CHECK(deferred.server->PendingAnswers() == 0);
  deferred.Answer(0);
  CHECK(deferred.server->PendingAnswers() == 0);
}

// Guards against an answer that is sent on a new connection which reuses the file descriptor of a closed one.
TEST_CASE("a late answer never reaches another connection") {
  deferred_server deferred;
  std::thread answer_thread([&deferred] {
    for (std::size_t next = 0; next < 600;) {
      if (deferred.RequestCount() <= next) {
        std::this_thread::sleep_for(std::chrono::microseconds(20));
        continue;
      }
      deferred.Answer(next++);
    }
  });
  std::size_t wrong_answers = 0;
  for (int i = 0; i < 300; ++i) {
    const int closed_fd = ConnectTo(deferred.config.listen_http);
    SendText(closed_fd, Get(fmt::format("/gone{}", i)));
    deferred.AwaitRequests(static_cast<std::size_t>(2 * i + 1));
    ::close(closed_fd);
    const int fd = ConnectTo(deferred.config.listen_http);
    SendText(fd, Get(fmt::format("/kept{}", i)));
    const std::string expected = fmt::format("\"/kept{}\"", i);
    const std::string read = ReadUntil(fd, "\"/");
    if (read.find("gone") != std::string::npos || read.find("HTTP/1.1 200") != 0) ++wrong_answers;
    ::close(fd);
  }
  answer_thread.join();
  CHECK(wrong_answers == 0);
}

// Guards against a shutdown that truncates an answer, and against a server that accepts requests after `RefuseWith`.
TEST_CASE("a large answer is written completely and later requests are refused") {
  deferred_server deferred;
  const int fd = ConnectTo(deferred.config.listen_http);
  SendText(fd, Get("/large"));
  deferred.AwaitRequests(1);
  deferred.server->RefuseWith({503, "\"refused\"", true});
  CHECK(deferred.server->PendingAnswers() == 1);
  deferred.server->Answer(deferred.requests[0].first, {200, std::string(8'000'000, 'x'), true});
  const std::string read = ReadSome(fd, 8'000'000, milliseconds(5000));
  CHECK(read.size() >= 8'000'000);
  CHECK(Eventually([&] { return deferred.server->PendingAnswers() == 0; }));
  SendText(fd, Get("/late"));
  CHECK(ReadUntil(fd, "\"refused\"").find("503") != std::string::npos);
  CHECK(deferred.RequestCount() == 1);
  ::close(fd);
}

/// An opaque server that answers each request with its target and body.
struct opaque_server {
  http_server_options options;
  std::unique_ptr<http_server> server;

  opaque_server() {
    options.address = FreeAddress();
    options.opaque = true;
    server = std::make_unique<http_server>(options, http_observer{[this](reply_handle handle, http_request request) {
                                                                    http_answer answer;
                                                                    answer.body = request.target + "|" + request.body;
                                                                    answer.headers = {{"X-Kept", "1"}};
                                                                    server->Answer(handle, answer);
                                                                  },
                                                                  [](reply_handle) {}});
    REQUIRE(server->Start().has_value());
  }
};

// Guards against requests that are answered 408 although they are executed: the HTTP library measured its timeouts from
// the start of the connection, or from an earlier request, and applied them to a request in progress.
TEST_CASE("the idle timeout ends neither a request in progress nor a connection in use") {
  constexpr milliseconds kIdleTimeout{800};
  struct row {
    std::string name;
    int requests;
    milliseconds answer_time;
    milliseconds pause;
    bool stays_open;
  };
  const auto r = GENERATE(values<row>({
      {"a request that takes longer", 1, milliseconds(2'400), milliseconds(0), true},
      {"requests without a pause", 8, milliseconds(300), milliseconds(0), true},
      {"requests with pauses", 8, milliseconds(1), milliseconds(300), true},
      {"an idle connection", 1, milliseconds(1), milliseconds(2'400), false},
  }));
  const bool opaque = GENERATE(true, false);
  INFO(r.name << (opaque ? ", opaque" : ""));
  std::mutex mutex;
  std::vector<reply_handle> received;
  http_server_options options;
  options.address = FreeAddress();
  options.opaque = opaque;
  options.idle_timeout = kIdleTimeout;
  http_server server(options, http_observer{[&](reply_handle handle, const http_request&) {
                                              const std::lock_guard lock(mutex);
                                              received.push_back(handle);
                                            },
                                            [](reply_handle) {}});
  REQUIRE(server.Start().has_value());
  const int fd = ConnectTo(options.address);
  for (int i = 0; i < r.requests; ++i) {
    const auto count = static_cast<std::size_t>(i) + 1;
    SendText(fd, Get("/" + std::to_string(i)));
    REQUIRE(Eventually([&] {
      const std::lock_guard lock(mutex);
      return received.size() == count;
    }));
    std::this_thread::sleep_for(r.answer_time);
    server.Answer(received.back(), {200, "\"done\"", true});
    const std::string answer = ReadUntil(fd, "\"done\"");
    REQUIRE(answer.starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(r.pause);
  }
  SendText(fd, Get("/last"));
  const bool open = Eventually([&] {
    const std::lock_guard lock(mutex);
    return received.size() == static_cast<std::size_t>(r.requests) + 1;
  });
  CHECK(open == r.stays_open);
  ::close(fd);
}

// Guards against a forwarded body that depends on its framing in the request, and against refusals that a caller cannot
// recognize by their status.
TEST_CASE("an opaque server accepts any framing and refuses invalid requests") {
  struct row {
    std::string input;
    std::string answer;
  };
  const auto r = GENERATE(values<row>({
      {"POST /a?%20 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "/a?%20|ab"},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", "/a|ab"},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 413"},
      {"GET /" + std::string(20'000, 'a'), "HTTP/1.1 431"},
      {"GET  HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 400"},
  }));
  opaque_server opaque;
  const int fd = ConnectTo(opaque.options.address);
  SendText(fd, r.input);
  CHECK(ReadUntil(fd, r.answer).find(r.answer) != std::string::npos);
  ::close(fd);
}

// Guards against callers that keep their connection to an instance that shuts down, and against a request that is read
// and dropped: after an answer with "Connection: close", the server does not read later requests of the connection.
TEST_CASE("a server that closes its connections announces the close and reads no later request") {
  opaque_server opaque;
  const int fd = ConnectTo(opaque.options.address);
  SendText(fd, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(ReadUntil(fd, "/a|").find("Connection: keep-alive") != std::string::npos);
  opaque.server->CloseConnections();
  SendText(fd, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(ReadUntil(fd, "/b|").find("Connection: close") != std::string::npos);
  SendText(fd, "GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(ReadSome(fd, 1, milliseconds(300)).empty());
  ::close(fd);
}

// Guards against a client timeout that starts when the request is read: an instance that gets little processor time
// reads requests late.
TEST_CASE("the delay between arrival and read of a request is measured") {
  http_server_options options;
  options.address = FreeAddress();
  options.opaque = true;
  options.threads = 1;
  std::mutex mutex;
  std::vector<milliseconds> read_delays;
  std::unique_ptr<http_server> server;
  server = std::make_unique<http_server>(options, http_observer{[&](reply_handle handle, const http_request& request) {
                                                                  {
                                                                    const std::lock_guard lock(mutex);
                                                                    read_delays.push_back(request.read_delay);
                                                                  }
                                                                  // Blocks the server's only thread while the
                                                                  // second request arrives.
                                                                  if (request.path == "/first")
                                                                    std::this_thread::sleep_for(milliseconds(400));
                                                                  server->Answer(handle, {200, "{}", true});
                                                                },
                                                                [](reply_handle) {}});
  REQUIRE(server->Start().has_value());
  const int first = ConnectTo(options.address);
  const int second = ConnectTo(options.address);
  SendText(first, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
  std::this_thread::sleep_for(milliseconds(100));
  SendText(second, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(ReadUntil(second, "{}").find("200") != std::string::npos);
  const std::lock_guard lock(mutex);
  REQUIRE(read_delays.size() == 2);
  CHECK(read_delays[0] < milliseconds(100));
  CHECK(read_delays[1] >= milliseconds(200));
  CHECK(read_delays[1] <= milliseconds(500));
  ::close(first);
  ::close(second);
}

// Guards against a crash or a hang on damaged requests.
TEST_CASE("the server survives random bytes") {
  deferred_server deferred;
  core::base::random_source random{13};
  const std::string valid_request = "POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
  for (int i = 0; i < 300; ++i) {
    const int fd = ConnectTo(deferred.config.listen_http);
    std::string text = valid_request;
    for (std::uint64_t n = 1 + core::base::NextBelow(random, 6); n > 0; --n) {
      text[core::base::NextBelow(random, text.size())] = static_cast<char>(core::base::NextRandom(random));
    }
    SendText(fd, text.substr(0, core::base::NextBelow(random, text.size() + 1)));
    ::close(fd);
  }
  const int fd = ConnectTo(deferred.config.listen_http);
  SendText(fd, Get("/after"));
  REQUIRE(Eventually([&] {
    const std::lock_guard lock(deferred.mutex);
    return std::any_of(deferred.requests.begin(), deferred.requests.end(),
                       [](const auto& each) { return each.second.path == "/after"; });
  }));
  ::close(fd);
}

}  // namespace
}  // namespace limpetrouter::shell
