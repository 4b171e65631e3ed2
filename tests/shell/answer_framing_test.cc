#include <atomic>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "scripted_server.h"
#include "shell/transfer_pool.h"

namespace limpetrouter::shell {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Sends one request and returns its result. An opaque request has the field X-Id with the value `id`.
transfer_result Fetch(transfer_pool& pool, const scripted_server& server, bool opaque, const std::string& id = "1") {
  transfer_request request;
  request.id = pool.NewId();
  request.url = "http://" + server.Address() + (opaque ? "" : "/x");
  if (opaque) {
    request.method = "GET";
    request.target = "/x";
    request.headers = {{"Host", "h"}, {"X-Id", id}};
    request.echoed_field = "X-Id";
  }
  request.deadline = steady_clock::now() + milliseconds(2'000);
  request.max_answer_bytes = 1'000;
  request.write_once = true;
  std::atomic<bool> ended{false};
  transfer_result result;
  request.done = [&](transfer_result&& answer) {
    result = std::move(answer);
    ended = true;
  };
  pool.Start(std::move(request));
  while (!ended)
    std::this_thread::sleep_for(milliseconds(1));
  return result;
}

// Guards against an answer that is passed on cut short as a whole one: libcurl takes "4x0" for a length of 4, the last
// of two lengths, and a length that is too large for none.
TEST_CASE("an answer whose framing can be read in two ways is malformed") {
  struct row {
    std::string bytes;
    transfer_outcome outcome;
    std::string body;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const auto answered = transfer_outcome::kAnswered;
  const auto malformed = transfer_outcome::kMalformed;
  const auto truncated = transfer_outcome::kTruncated;
  const auto r = GENERATE_COPY(values<row>({
      {ok + "Content-Length: 4\r\n\r\nbody", answered, "body"},
      {ok + "Content-Length: 0\r\n\r\n", answered, ""},
      {ok + "\r\nbody", answered, "body"},
      {"HTTP/1.0 200 OK\r\n\r\nbody", answered, "body"},
      {"HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n", answered, ""},
      {chunked + "4\r\nbody\r\n0\r\n\r\n", answered, "body"},
      {chunked + "2\r\nbo\r\n02;x=y\r\ndy\r\n0\r\nT: t\r\n\r\n", answered, "body"},
      {chunked + "0\r\n\r\n", answered, ""},
      {ok + "Content-Length: 4x0\r\n\r\n" + std::string(400, 'b'), malformed, ""},
      {ok + "Content-Length: x\r\n\r\nbody", malformed, ""},
      {ok + "Content-Length:\r\n\r\nbody", malformed, ""},
      {ok + "Content-Length: +4\r\n\r\nbody", malformed, ""},
      {ok + "Content-Length: -4\r\n\r\nbody", malformed, ""},
      {ok + "Content-Length: 4, 4\r\n\r\nbody", malformed, ""},
      {ok + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody", malformed, ""},
      {ok + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody", malformed, ""},
      {ok + "Content-Length: 99999999999999999999\r\n\r\nbody", malformed, ""},
      {ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", malformed, ""},
      {ok + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", malformed, ""},
      {ok + "Transfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nbody", malformed, ""},
      {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", malformed, ""},
      {"HTTP/1.1 204 No Content\r\nContent-Length: 4x\r\n\r\n", malformed, ""},
      {chunked + "4x\r\nbody\r\n0\r\n\r\n", malformed, ""},
      {chunked + "+4\r\nbody\r\n0\r\n\r\n", malformed, ""},
      {chunked + "4\nbody\r\n0\r\n\r\n", malformed, ""},
      {chunked + "4\r\nbody\r\n0x\r\n\r\n", malformed, "body"},
      {chunked + "3\r\nbody\r\n0\r\n\r\n", malformed, ""},
      {ok + "Content-Length: 5\r\n\r\nbody", truncated, "body"},
      {chunked + "5\r\nbody", truncated, "body"},
      {chunked + "4\r\nbody\r\n", truncated, "body"},
  }));
  const bool opaque = GENERATE(true, false);
  INFO(r.bytes << (opaque ? ", opaque request" : ", JSON request"));
  scripted_server server([&r](const std::string&) { return scripted_reply{r.bytes, true, {}}; });
  transfer_pool pool;
  const transfer_result result = Fetch(pool, server, opaque);
  CHECK(result.outcome == r.outcome);
  if (r.outcome == answered) CHECK(result.body == r.body);
  CHECK(result.detail.empty() == (r.outcome != malformed));
}

// Guards against a late answer to an earlier request that leaves its connection open, so that each request on it gets
// the answer to the one before.
TEST_CASE("an answer to another request ends its connection") {
  const bool matches = GENERATE(true, false);
  INFO("matches " << matches);
  scripted_server server([&matches](const std::string& request) {
    const std::string sent = request.find("X-Id: 1\r\n") != std::string::npos ? "1" : "2";
    const std::string echo = matches ? sent : "0";
    return scripted_reply{"HTTP/1.1 200 OK\r\nX-ID: " + echo + "\r\nContent-Length: 2\r\n\r\n{}", false, {}};
  });
  transfer_pool pool;
  for (const char* id : {"1", "2"}) {
    const transfer_result result = Fetch(pool, server, true, id);
    CHECK(result.outcome == (matches ? transfer_outcome::kAnswered : transfer_outcome::kMismatched));
    CHECK(result.body == (matches ? "{}" : ""));
  }
  CHECK(server.Connections() == (matches ? 1 : 2));
}

}  // namespace
}  // namespace limpetrouter::shell
