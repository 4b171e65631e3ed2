#include "shell/http_request_parser.h"

#include <algorithm>

#include <fmt/format.h>
#include <catch2/catch.hpp>

#include "core/base/random.h"
#include "shell/http_framing.h"

namespace limpetrouter::shell {
namespace {

constexpr request_limits kLimits{200, 20};

// Guards against request smuggling: requests that this server and a backend server would delimit differently.
TEST_CASE("an ambiguous request is refused") {
  struct row {
    std::string input;
    parse_state state;
  };
  const auto r = GENERATE(values<row>({
      {"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", parse_state::kComplete},
      {"GET /a HTTP/1.1\r\nHost: h\r\n", parse_state::kIncomplete},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab", parse_state::kIncomplete},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", parse_state::kMalformed},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", parse_state::kMalformed},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc", parse_state::kMalformed},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       parse_state::kMalformed},
      {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", parse_state::kMalformed},
      {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
       parse_state::kMalformed},
      {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n", parse_state::kMalformed},
      {"GET /a HTTP/1.1\nHost: h\n\n\r\n\r\n", parse_state::kMalformed},
      {"GET /a HTTP/1.1\r\nHost: h\r\nX: a\nY: b\r\n\r\n", parse_state::kMalformed},
      {"GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n folded\r\n\r\n", parse_state::kMalformed},
      {"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", parse_state::kMalformed},
      {"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", parse_state::kMalformed},
      {"GET /a HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n", parse_state::kMalformed},
      {"GET /a HTTP/1.1\r\n\r\n", parse_state::kMalformed},
      {"GET /a HTTP/2.0\r\nHost: h\r\n\r\n", parse_state::kMalformed},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 21\r\n\r\n", parse_state::kBodyTooLarge},
      {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n", parse_state::kBodyTooLarge},
      {"GET /" + std::string(300, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n", parse_state::kHeaderTooLarge},
      {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", parse_state::kMalformed},
      {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
       parse_state::kMalformed},
  }));
  INFO(r.input);
  CHECK(ParseRequest(r.input, kLimits).state == r.state);
}

/// Returns `text` repeated until it is at least `size` long.
std::string RepeatTo(const std::string& text, std::size_t size) {
  std::string repeated;
  while (repeated.size() < size)
    repeated += text;
  return repeated;
}

// Guards against a caller whose trailers or chunk extensions come without end: each line is short, and all of them were
// buffered.
TEST_CASE("a chunked body is limited together with its framing") {
  struct row {
    std::string after_header;
    parse_state state;
  };
  const auto r = GENERATE(values<row>({
      {"0\r\n" + RepeatTo("A: b\r\n", 190), parse_state::kIncomplete},
      {"0\r\n" + RepeatTo("A: b\r\n", 190) + "\r\n", parse_state::kComplete},
      {"0\r\n" + RepeatTo("A: b\r\n", 210), parse_state::kHeaderTooLarge},
      {"0\r\n" + RepeatTo("A: b\r\n", 210) + "\r\n", parse_state::kHeaderTooLarge},
      {RepeatTo("1;extension=" + std::string(10, 'x') + "\r\na\r\n", 500), parse_state::kHeaderTooLarge},
      {RepeatTo("00000000000000000000000001\r\na\r\n", 500), parse_state::kHeaderTooLarge},
      {RepeatTo("1\r\na\r\n", 120) + "0\r\n\r\n", parse_state::kComplete},
  }));
  INFO(r.after_header);
  const std::string header = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(ParseRequest(header + r.after_header, kLimits).state == r.state);
}

// Guards against a body, target or header field that the parser changes, and against lost input of the next request.
TEST_CASE("a request is parsed as it was sent") {
  const std::string next = "GET /next HTTP/1.1\r\n";
  const std::string chunked =
      "PUT /a/../b?x=%31&y HTTP/1.1\r\nhOsT: h\r\nX-Y:  v w \r\nTransfer-Encoding: chunked\r\n\r\n"
      "2;ext=1\r\nab\r\n3\r\ncde\r\n0\r\nTrailer: t\r\n\r\n";
  const parsed_request parsed = ParseRequest(chunked + next, kLimits);
  REQUIRE(parsed.state == parse_state::kComplete);
  CHECK(parsed.size == chunked.size());
  CHECK(parsed.method == "PUT");
  CHECK(parsed.target == "/a/../b?x=%31&y");
  CHECK(parsed.body == "abcde");
  CHECK(*FindHeader(parsed.headers, "host") == "h");
  CHECK(*FindHeader(parsed.headers, "x-y") == "v w");
  CHECK_FALSE(parsed.close);
  const parsed_request closing = ParseRequest(
      "GET /a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, Close\r\nContent-Length: 2\r\n\r\nab", kLimits);
  CHECK(closing.close);
  CHECK(closing.body == "ab");
}

/// Returns a chunked request with a body of `body_bytes` in chunks of `chunk_bytes`.
std::string MakeChunkedRequest(std::size_t body_bytes, std::size_t chunk_bytes) {
  std::string request = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t sent = 0; sent < body_bytes; sent += chunk_bytes) {
    const std::size_t size = std::min(chunk_bytes, body_bytes - sent);
    request += fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'b'));
  }
  return request + "0\r\n\r\n";
}

// Guards against a caller whose body in small pieces keeps the thread of all callers busy: it was decoded from its
// start again after each read, so that the cost grew with the square of its size.
TEST_CASE("the cost of a request grows with its bytes, however they are divided") {
  const std::size_t chunk_bytes = GENERATE(std::size_t{1}, std::size_t{16}, std::size_t{4'096});
  const std::size_t read_bytes = GENERATE(std::size_t{1}, std::size_t{4'096}, std::size_t{65'536});
  const std::size_t body_bytes = GENERATE(std::size_t{1'024}, std::size_t{262'144});
  INFO("chunks of " << chunk_bytes << ", reads of " << read_bytes << ", body of " << body_bytes);
  const request_limits limits{16'384, 262'144};
  const std::string request = MakeChunkedRequest(body_bytes, chunk_bytes);
  request_parser parser;
  std::string pending;
  for (std::size_t read = 0; read < request.size(); read += read_bytes) {
    pending += request.substr(read, read_bytes);
    pending.erase(0, TakeInput(parser, pending, limits));
  }
  REQUIRE(parser.request.state == parse_state::kComplete);
  CHECK(parser.request.body.size() == body_bytes);
  CHECK(parser.request.size == request.size());
  // The header is searched for its end and then read; the search looks back over the length of the end.
  constexpr std::size_t kHeaderBytes = 60;
  constexpr std::size_t kMostPerHeaderByte = 5;
  CHECK(parser.examined <= request.size() + kMostPerHeaderByte * kHeaderBytes);
}

// Guards against a header at its limit that is accepted or refused depending on how its end is divided into reads.
TEST_CASE("a header of the largest size is read alike in pieces of any size") {
  const std::size_t excess = GENERATE(std::size_t{0}, std::size_t{1}, std::size_t{4});
  const std::size_t read_bytes = GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{1'000});
  INFO(excess << " bytes above the limit, reads of " << read_bytes);
  const std::string start = "GET /a HTTP/1.1\r\nHost: h\r\nX: ";
  const std::string request = start + std::string(kLimits.max_header_bytes + excess - start.size(), 'x') + "\r\n\r\n";
  request_parser parser;
  std::string pending;
  for (std::size_t read = 0; read < request.size() && parser.request.state == parse_state::kIncomplete;
       read += read_bytes) {
    pending += request.substr(read, read_bytes);
    pending.erase(0, TakeInput(parser, pending, kLimits));
  }
  CHECK(parser.request.state == (excess == 0 ? parse_state::kComplete : parse_state::kHeaderTooLarge));
}

// Guards against the same cost of the product's own interface, whose header was read again after each read of the body.
TEST_CASE("the cost of finding the end of a request grows with its header") {
  const std::size_t read_bytes = GENERATE(std::size_t{1}, std::size_t{4'096}, std::size_t{65'536});
  const std::size_t header_bytes = GENERATE(std::size_t{100}, std::size_t{10'000}, std::size_t{100'000});
  const std::size_t body_bytes = GENERATE(std::size_t{0}, std::size_t{100'000});
  INFO("reads of " << read_bytes << ", header of " << header_bytes << ", body of " << body_bytes);
  const std::string request = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) +
                              "\r\nX: " + std::string(header_bytes, 'x') + "\r\n\r\n" + std::string(body_bytes, 'b');
  request_framer framer;
  request_frame frame;
  std::string input;
  for (std::size_t read = 0; read < request.size(); read += read_bytes) {
    REQUIRE(frame.state == request_state::kIncomplete);
    input += request.substr(read, read_bytes);
    frame = FrameRequest(framer, input, 1'000'000);
  }
  CHECK(frame.state == request_state::kComplete);
  CHECK(frame.size == request.size());
  constexpr std::size_t kMostPerHeaderByte = 5;
  CHECK(framer.examined <= kMostPerHeaderByte * (request.size() - body_bytes));
}

// Guards against a crash, and against a request whose state depends on how the stream was split into reads.
TEST_CASE("every prefix of a request is incomplete, and the parser survives random bytes") {
  const std::string complete = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (std::size_t n = 0; n < complete.size(); ++n)
    CHECK(ParseRequest(std::string_view(complete).substr(0, n), kLimits).state == parse_state::kIncomplete);
  core::base::random_source random{5};
  for (int i = 0; i < 20'000; ++i) {
    std::string text = complete;
    for (std::uint64_t n = 1 + core::base::NextBelow(random, 4); n > 0; --n)
      text[core::base::NextBelow(random, text.size())] = static_cast<char>(core::base::NextRandom(random));
    const parsed_request parsed = ParseRequest(text, kLimits);
    if (parsed.state == parse_state::kComplete) CHECK(parsed.size <= text.size());
  }
}

}  // namespace
}  // namespace limpetrouter::shell
