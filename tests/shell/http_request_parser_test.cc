#include "shell/http_request_parser.h"

#include <catch2/catch.hpp>

#include "core/base/random.h"

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
