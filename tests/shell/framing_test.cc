#include "shell/framing.h"

#include <vector>

#include <catch2/catch.hpp>

#include "core/base/random.h"
#include "shell/http_framing.h"

namespace limpetrouter::shell {
namespace {

using core::base::NextBelow;

// Guards against messages that are lost, joined or reordered when the stream arrives in arbitrary pieces.
TEST_CASE("frames survive any division of the stream") {
  core::base::random_source random{3};
  std::string stream;
  std::vector<std::string> sent;
  for (int i = 0; i < 200; ++i) {
    sent.push_back(std::string(1 + NextBelow(random, 300), static_cast<char>('a' + i % 26)));
    stream += MakeFrame(sent.back());
  }
  frame_reader reader(1000);
  std::vector<std::string> received;
  for (std::size_t position = 0; position < stream.size();) {
    const std::size_t size = std::min<std::size_t>(1 + NextBelow(random, 500), stream.size() - position);
    reader.Append(std::string_view(stream).substr(position, size));
    position += size;
    while (true) {
      const auto next = reader.Next();
      REQUIRE(next.has_value());
      if (!next->has_value()) break;
      received.emplace_back(**next);
    }
  }
  CHECK(received == sent);
}

// Guards against memory that grows with an announced length, and against reading on after a damaged prefix.
TEST_CASE("a frame with a length outside its bounds is refused") {
  const std::string prefix =
      GENERATE(values<std::string>({{"\0\0\0\0", 4}, {"\xe9\x03\0\0", 4}, {"\xff\xff\xff\xff", 4}}));
  frame_reader reader(1000);
  reader.Append(prefix);
  const auto next = reader.Next();
  REQUIRE_FALSE(next.has_value());
  CHECK(next.error().kind == core::base::error_kind::kPeerMessageMalformed);
}

// Guards against a request that ends at the wrong byte, so that the next one of the connection is misread.
TEST_CASE("the end of an HTTP request is found") {
  struct row {
    std::string input;
    request_state state;
    std::size_t size;
  };
  const std::string get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string post = "POST / HTTP/1.1\r\ncontent-LENGTH:  5 \r\n\r\nhello";
  const std::string huge = "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n";
  const auto r = GENERATE_COPY(
      values<row>({{"", request_state::kIncomplete, 0},
                   {get, request_state::kComplete, get.size()},
                   {get + get, request_state::kComplete, get.size()},
                   {post, request_state::kComplete, post.size()},
                   {post.substr(0, post.size() - 1), request_state::kIncomplete, 0},
                   {"POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\n", request_state::kTooLarge, 0},
                   {std::string(300, 'x'), request_state::kTooLarge, 0},
                   {huge, request_state::kMalformed, 0},
                   {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", request_state::kMalformed, 0},
                   {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", request_state::kMalformed, 0},
                   {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", request_state::kMalformed, 0}}));
  INFO(r.input);
  const request_frame frame = FrameRequest(r.input, 300);
  CHECK(frame.state == r.state);
  CHECK(frame.size == r.size);
}

// Guards against a frame that reaches beyond the input.
TEST_CASE("random input never yields a request beyond its end") {
  core::base::random_source random{11};
  const std::string pieces[] = {"POST / HTTP/1.1", "\r\n", "\r\n\r\n", "Content-Length: ", "7", ":", "\n", "Expect: x"};
  for (int i = 0; i < 20'000; ++i) {
    std::string input;
    for (std::uint64_t n = NextBelow(random, 12); n > 0; --n) {
      input += NextBelow(random, 4) == 0 ? std::string(1, static_cast<char>(NextBelow(random, 256)))
                                         : pieces[NextBelow(random, std::size(pieces))];
    }
    const request_frame frame = FrameRequest(input, 100);
    CHECK(frame.size <= input.size());
    CHECK((frame.state == request_state::kComplete) == (frame.size > 0));
  }
}

}  // namespace
}  // namespace limpetrouter::shell
