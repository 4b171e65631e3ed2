#include "shell/transfer_pool.h"

#include <atomic>
#include <charconv>
#include <map>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "scripted_server.h"

namespace limpetrouter::shell {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Returns the integer value of a header field of a request, or -1 if the request lacks the field.
int IntegerFieldOf(const std::string& request, const std::string& name) {
  const auto name_position = request.find(name + ": ");
  int value = -1;
  if (name_position != std::string::npos) {
    const char* const begin = request.data() + name_position + name.size() + 2;
    std::from_chars(begin, request.data() + request.size(), value);
  }
  return value;
}

transfer_request OpaqueGet(transfer_pool& pool, const std::string& address, milliseconds timeout) {
  transfer_request request;
  request.id = pool.NewId();
  request.url = "http://" + address;
  request.method = "GET";
  request.target = "/x";
  request.headers = {{"Host", "h"}};
  request.time_left_field = "Time-Left";
  request.deadline = steady_clock::now() + timeout;
  request.max_answer_bytes = 1'000;
  request.write_once = true;
  request.done = [](transfer_result&&) {};
  return request;
}

// Guards against a process that lacks CPU time and states more time to a backend server than its caller has left. That
// happened when the time was computed at the start of a transfer whose request was written half a second later.
TEST_CASE("the time left is stated as the request is written") {
  // The thread of the pool is delayed before the transfer starts, or between its start and its connection.
  const bool starts_late = GENERATE(true, false);
  scripted_server server([](const std::string&) { return scripted_reply{HttpAnswer(200, "{}"), false, {}}; });
  transfer_pool pool;
  std::atomic<int> ended_transfers{0};
  constexpr milliseconds kTimeout{1'000};
  constexpr milliseconds kDelay{300};
  const auto delay_pool = [&ended_transfers, kDelay](transfer_result&&) {
    std::this_thread::sleep_for(kDelay);
    ++ended_transfers;
  };
  transfer_request blocker = OpaqueGet(pool, server.Address(), kTimeout);
  blocker.done = delay_pool;
  transfer_request delayed = OpaqueGet(pool, server.Address(), kTimeout);
  delayed.own_connection = true;
  delayed.done = [&ended_transfers](transfer_result&&) { ++ended_transfers; };
  const steady_clock::time_point deadline = delayed.deadline;
  if (starts_late) {
    pool.Start(std::move(blocker));
    REQUIRE(Eventually([&server] { return server.Requests().size() == 1; }));
    std::this_thread::sleep_for(milliseconds(50));
    pool.Start(std::move(delayed));
  } else {
    // A transfer whose deadline has passed ends between the start of the other transfer and its connection.
    blocker.deadline = steady_clock::now();
    // Both are started by the thread of the pool, so that it cannot go on between the two calls.
    transfer_request opener = OpaqueGet(pool, server.Address(), kTimeout);
    opener.done = [&pool, &delayed, &blocker](transfer_result&&) {
      pool.Start(std::move(delayed));
      pool.Start(std::move(blocker));
    };
    pool.Start(std::move(opener));
  }
  REQUIRE(Eventually([&ended_transfers] { return ended_transfers == 2; }));
  const std::vector<std::string> requests = server.Requests();
  const int stated_ms = IntegerFieldOf(requests.back(), "Time-Left");
  const auto time_left = std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
  INFO("stated " << stated_ms << " ms, left at the end " << time_left.count() << " ms");
  REQUIRE(stated_ms > 0);
  CHECK(stated_ms <= (kTimeout - kDelay).count() + 60);
}

constexpr char kAnswerStart[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against a server in trouble whose answer never ends. Without a limit on the header, its fields were collected
// until the deadline; with one on each body alone, many such servers together exceeded the memory of an instance.
TEST_CASE("an answer without end is malformed long before the deadline") {
  struct row {
    std::string what;
    std::string start;
    std::string endless;
  };
  const auto r = GENERATE(values<row>({
      {"header fields", "HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
      {"one header line", "HTTP/1.1 200 OK\r\nField: ", "value"},
      {"a status line", "HTTP/1.1 200 ", "O"},
      {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"interim answers with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
      {"bytes that are not HTTP", "", "\x01\x02\x03"},
      {"a body with its connection as end", "HTTP/1.1 200 OK\r\n\r\n", "body"},
      {"a chunked body", kAnswerStart, "4\r\nbody\r\n"},
      {"trailer fields", std::string(kAnswerStart) + "0\r\n", "Field: value\r\n"},
      {"a chunk extension", std::string(kAnswerStart) + "4;extension=", "value"},
      {"the extension of the last chunk", std::string(kAnswerStart) + "4\r\nbody\r\n0;extension=", "value"},
      {"chunk extensions", kAnswerStart, "1;extension=value-of-the-extension\r\nx\r\n"},
  }));
  const bool opaque = GENERATE(true, false);
  INFO(r.what << (opaque ? ", opaque request" : ", JSON request"));
  scripted_server server([&r](const std::string&) { return scripted_reply{r.start, false, {}, r.endless}; });
  transfer_pool pool;
  constexpr milliseconds kTimeout{4'000};
  transfer_request request = OpaqueGet(pool, server.Address(), kTimeout);
  if (!opaque) {
    request.method.clear();
    request.url += "/x";
  }
  std::atomic<bool> ended{false};
  transfer_result result;
  request.done = [&ended, &result](transfer_result&& answer) {
    result = std::move(answer);
    ended = true;
  };
  pool.Start(std::move(request));
  REQUIRE(Eventually([&ended] { return ended.load(); }));
  CHECK(result.outcome == transfer_outcome::kMalformed);
  CHECK(result.elapsed < kTimeout / 2);
  CHECK(Eventually([&server] { return server.EndedReplies() == 1; }));
}

// Guards against many servers in trouble at once: each answer stays below its own limit, but all of them together
// exceed the memory of an instance.
TEST_CASE("answers of 200 servers without end are limited together") {
  constexpr std::size_t kServers = 200;
  constexpr std::size_t kMaxBuffered = 4 * 1024 * 1024;
  std::atomic<bool> endless{true};
  scripted_server server([&endless](const std::string&) {
    return endless ? scripted_reply{kAnswerStart, false, {}, "4\r\nbody\r\n"}
                   : scripted_reply{HttpAnswer(200, "{}"), false, {}, {}};
  });
  transfer_pool pool({kMaxBuffered, kMaxBuffered});
  std::map<std::string, std::size_t> outcomes;
  std::atomic<std::size_t> ended{0};
  for (std::size_t i = 0; i < kServers; ++i) {
    transfer_request request = OpaqueGet(pool, server.Address(), milliseconds(4'000));
    request.max_answer_bytes = kMaxBuffered;
    request.connect_timeout = milliseconds(3'000);
    request.done = [&](transfer_result&& answer) {
      ++outcomes[std::string(ToString(answer.outcome))];
      ++ended;
    };
    pool.Start(std::move(request));
  }
  REQUIRE(Eventually([&ended] { return ended == kServers; }));
  std::string summary;
  for (const auto& [outcome, count] : outcomes)
    summary += std::to_string(count) + " x " + outcome + "; ";
  INFO(summary);
  const std::string malformed(ToString(transfer_outcome::kMalformed));
  CHECK(outcomes == std::map<std::string, std::size_t>{{malformed, kServers}});
  CHECK(pool.MaxBufferedBytes() <= 2 * kMaxBuffered);

  endless = false;
  std::atomic<bool> answered{false};
  transfer_request healthy = OpaqueGet(pool, server.Address(), milliseconds(4'000));
  healthy.done = [&answered](transfer_result&& answer) { answered = answer.outcome == transfer_outcome::kAnswered; };
  pool.Start(std::move(healthy));
  CHECK(Eventually([&answered] { return answered.load(); }));
}

// Guards against probes that send bytes to a server, stay connected, or misjudge whether a process listens.
TEST_CASE("a transfer that only connects tells whether a process listens, and sends nothing") {
  const bool listens = GENERATE(true, false);
  INFO("listens " << listens);
  scripted_server server([](const std::string&) { return scripted_reply{HttpAnswer(200, "{}"), false, {}}; });
  transfer_pool pool;
  std::atomic<int> ended{0};
  std::atomic<transfer_outcome> outcome{transfer_outcome::kCancelled};
  transfer_request probe;
  probe.id = pool.NewId();
  probe.url = "http://" + (listens ? server.Address() : FreeAddress());
  probe.connect_only = true;
  probe.deadline = steady_clock::now() + milliseconds(2'000);
  probe.done = [&](transfer_result&& result) {
    outcome = result.outcome;
    ++ended;
  };
  pool.Start(std::move(probe));
  REQUIRE(Eventually([&ended] { return ended == 1; }));
  CHECK(outcome == (listens ? transfer_outcome::kAnswered : transfer_outcome::kConnectFailed));
  if (!listens) return;
  CHECK(Eventually([&server] { return server.Connections() == 1; }));
  // A later request opens a connection of its own.
  transfer_request request = OpaqueGet(pool, server.Address(), milliseconds(2'000));
  request.done = [&ended](transfer_result&&) { ++ended; };
  pool.Start(std::move(request));
  REQUIRE(Eventually([&ended] { return ended == 2; }));
  CHECK(server.Connections() == 2);
  CHECK(server.Requests().size() == 1);
}

// Guards against an answer that broke off within its header and is passed on as complete: libcurl reports success if
// the header lines that arrived announce no body.
TEST_CASE("an answer whose header breaks off is not an answer") {
  struct row {
    std::string bytes;
    transfer_outcome outcome;
  };
  const auto r = GENERATE(values<row>({
      {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", transfer_outcome::kConnectionLost},
      {"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 0\r\nX-B", transfer_outcome::kConnectionLost},
      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", transfer_outcome::kConnectionLost},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", transfer_outcome::kConnectionLost},
      {"HTTP/1.1 200 OK\r\nX-A: 1\r\n", transfer_outcome::kConnectionLost},
      {"HTTP/1.1 204 No Content\r\nX-A: 1\r\n", transfer_outcome::kConnectionLost},
      {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n", transfer_outcome::kConnectionLost},
      {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", transfer_outcome::kAnswered},
      {"HTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n", transfer_outcome::kAnswered},
  }));
  INFO(r.bytes);
  scripted_server server([&r](const std::string&) { return scripted_reply{r.bytes, true, {}}; });
  transfer_pool pool;
  std::atomic<int> ended{0};
  std::atomic<transfer_outcome> outcome{transfer_outcome::kCancelled};
  transfer_request request = OpaqueGet(pool, server.Address(), milliseconds(2'000));
  request.done = [&](transfer_result&& result) {
    outcome = result.outcome;
    ++ended;
  };
  pool.Start(std::move(request));
  REQUIRE(Eventually([&ended] { return ended == 1; }));
  CHECK(outcome == r.outcome);
}

// Guards against random bytes of a faulty server that reach a caller as a header field: libcurl passes on any line with
// a colon, and a line without one was ignored.
TEST_CASE("an answer with a line in its header that is not HTTP is malformed") {
  struct row {
    std::string what;
    std::string header;
    transfer_outcome outcome;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const auto r = GENERATE_REF(values<row>({
      {"no fields", ok, transfer_outcome::kAnswered},
      {"a field without a value", ok + "X-A:\r\n", transfer_outcome::kAnswered},
      {"a value with tabs and bytes above 127", ok + "X-A: a\tb \x80\xff\r\n", transfer_outcome::kAnswered},
      {"a name with all kinds of characters", ok + "!#$%&'*+-.^_`|~9aZ: a\r\n", transfer_outcome::kAnswered},
      {"no reason", "HTTP/1.1 200\r\n", transfer_outcome::kAnswered},
      {"an interim answer", "HTTP/1.1 103 Early\r\nX-A: 1\r\n\r\n" + ok, transfer_outcome::kAnswered},
      {"a line without a colon", ok + "random bytes\r\n", transfer_outcome::kMalformed},
      {"an empty name", ok + ": a\r\n", transfer_outcome::kMalformed},
      {"a space in a name", ok + "X A: a\r\n", transfer_outcome::kMalformed},
      {"a space behind a name", ok + "X-A : a\r\n", transfer_outcome::kMalformed},
      {"a control character in a name", ok + "X\x01: a\r\n", transfer_outcome::kMalformed},
      {"a byte above 127 in a name", ok + "X\x90: a\r\n", transfer_outcome::kMalformed},
      {"a control character in a value", ok + "X-A: a\x02\r\n", transfer_outcome::kMalformed},
      {"a delete character in a value", ok + "X-A: a\x7f\r\n", transfer_outcome::kMalformed},
      {"a carriage return in a value", ok + "X-A: a\rb\r\n", transfer_outcome::kMalformed},
      {"a line end without a carriage return", ok + "X-A: a\n", transfer_outcome::kMalformed},
      {"a folded field", ok + "X-A: a\r\n b: c\r\n", transfer_outcome::kMalformed},
      {"a folded field without a colon", ok + "X-A: a\r\n b\r\n", transfer_outcome::kMalformed},
      {"a control character in a reason", "HTTP/1.1 200 O\x01K\r\n", transfer_outcome::kMalformed},
      {"a status out of range", "HTTP/1.1 700 OK\r\n", transfer_outcome::kMalformed},
      {"status 000", "HTTP/1.1 000 OK\r\n", transfer_outcome::kMalformed},
      {"status 000 without a reason", "HTTP/1.1 000\r\n", transfer_outcome::kMalformed},
      {"status 99", "HTTP/1.1 99 OK\r\n", transfer_outcome::kMalformed},
      {"status 099", "HTTP/1.1 099 OK\r\n", transfer_outcome::kMalformed},
      {"status 600", "HTTP/1.1 600 OK\r\n", transfer_outcome::kMalformed},
      {"status 1000", "HTTP/1.1 1000 OK\r\n", transfer_outcome::kMalformed},
      {"an empty status", "HTTP/1.1  OK\r\n", transfer_outcome::kMalformed},
      {"an empty status without a reason", "HTTP/1.1 \r\n", transfer_outcome::kMalformed},
      {"status 000 after an interim answer", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 OK\r\n",
       transfer_outcome::kMalformed},
      {"a malformed interim answer", "HTTP/1.1 103 Early\r\nX A: 1\r\n\r\n" + ok, transfer_outcome::kMalformed},
      {"random bytes", ok + "\x8a\x13K: \xfe\r\x01 q\r\n", transfer_outcome::kMalformed},
  }));
  const bool opaque = GENERATE(true, false);
  INFO(r.what << (opaque ? ", opaque request" : ", JSON request"));
  scripted_server server([&r](const std::string&) {
    return scripted_reply{r.header + "Content-Length: 2\r\n\r\n{}", false, {}};
  });
  transfer_pool pool;
  std::atomic<int> ended{0};
  transfer_result result;
  transfer_request request = OpaqueGet(pool, server.Address(), milliseconds(2'000));
  if (!opaque) {
    request.method.clear();
    request.url += "/x";
  }
  request.done = [&](transfer_result&& answer) {
    result = std::move(answer);
    ++ended;
  };
  pool.Start(std::move(request));
  REQUIRE(Eventually([&ended] { return ended == 1; }));
  CHECK(result.outcome == r.outcome);
  const bool answered = r.outcome == transfer_outcome::kAnswered;
  CHECK(result.body == (answered ? "{}" : ""));
}

// Guards against the same bytes in the trailer of a chunked answer, whose fields are passed on with those of the
// header.
TEST_CASE("an answer with a line in its trailer that is not HTTP is malformed") {
  struct row {
    std::string trailer;
    transfer_outcome outcome;
  };
  const auto r = GENERATE(values<row>({
      {"", transfer_outcome::kAnswered},
      {"X-A: 1\r\n", transfer_outcome::kAnswered},
      {"X A: 1\r\n", transfer_outcome::kMalformed},
      {"X-A: \x03\r\n", transfer_outcome::kMalformed},
      {"HTTP/1.1 000 X: 1\r\n", transfer_outcome::kMalformed},
      {"HTTP/1.1 200 X: 1\r\n", transfer_outcome::kMalformed},
      {"HTTP/1.1 000 OK\r\n", transfer_outcome::kMalformed},
  }));
  INFO(r.trailer);
  scripted_server server([&r](const std::string&) {
    return scripted_reply{std::string(kAnswerStart) + "2\r\n{}\r\n0\r\n" + r.trailer + "\r\n", false, {}};
  });
  transfer_pool pool;
  std::atomic<int> ended{0};
  std::atomic<transfer_outcome> outcome{transfer_outcome::kCancelled};
  transfer_request request = OpaqueGet(pool, server.Address(), milliseconds(2'000));
  request.done = [&](transfer_result&& answer) {
    outcome = answer.outcome;
    ++ended;
  };
  pool.Start(std::move(request));
  REQUIRE(Eventually([&ended] { return ended == 1; }));
  CHECK(outcome == r.outcome);
}

// Guards against a second answer with an invalid status on the same connection that is taken for the answer to the next
// request.
TEST_CASE("a second answer with an invalid status does not answer the next request") {
  const std::string status = GENERATE("000", "99", "600", "1000", "");
  const std::string extra = "HTTP/1.1 " + status + " OK\r\nContent-Length: 5\r\n\r\nextra";
  INFO(status);
  std::atomic<bool> first{true};
  scripted_server server([&](const std::string&) {
    const std::string answer = HttpAnswer(200, "{}");
    return scripted_reply{first.exchange(false) ? answer + extra : answer, false, {}};
  });
  transfer_pool pool;
  std::vector<transfer_result> results(2);
  for (transfer_result& result : results) {
    std::atomic<bool> ended{false};
    transfer_request request = OpaqueGet(pool, server.Address(), milliseconds(2'000));
    request.done = [&](transfer_result&& answer) {
      result = std::move(answer);
      ended = true;
    };
    pool.Start(std::move(request));
    REQUIRE(Eventually([&ended] { return ended.load(); }));
  }
  CHECK(results[0].outcome == transfer_outcome::kAnswered);
  CHECK(results[0].body == "{}");
  for (const transfer_result& result : results) {
    if (result.outcome != transfer_outcome::kAnswered) continue;
    CHECK(result.status == 200);
    CHECK(result.body == "{}");
  }
}

}  // namespace
}  // namespace limpetrouter::shell
