#include "shell/chunk_decoder.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "core/base/random.h"

namespace limpetrouter::shell {
namespace {

struct decoded {
  chunk_state state;
  std::string body;
  std::size_t taken;

  friend bool operator==(const decoded&, const decoded&) = default;
};

/// Decodes `input` in pieces of at most `piece` bytes.
decoded DecodeInPieces(const std::string& input, std::size_t piece, const chunk_limits& limits = {64, 64}) {
  chunk_decoder decoder;
  decoder.limits = limits;
  decoded result{chunk_state::kIncomplete, {}, 0};
  while (result.taken < input.size() && decoder.state == chunk_state::kIncomplete) {
    const std::string_view next = std::string_view(input).substr(result.taken, piece);
    result.taken += DecodeChunks(decoder, next, result.body);
  }
  result.state = decoder.state;
  return result;
}

// Guards against a chunk that ends at the wrong byte, in whatever pieces it arrives: "4x" was taken for 4.
TEST_CASE("a chunked body is decoded strictly, in pieces of any size") {
  struct row {
    std::string input;
    chunk_state state;
    std::string body;
  };
  const auto r = GENERATE(values<row>({
      {"0\r\n\r\n", chunk_state::kComplete, ""},
      {"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n", chunk_state::kComplete, "abcde"},
      {"A\r\n0123456789\r\n0\r\n\r\n", chunk_state::kComplete, "0123456789"},
      {"0002 ;name=value\r\n\r\n\r\n00\r\n\r\n", chunk_state::kComplete, "\r\n"},
      {"2\r\nab\r\n0\r\nTrailer: t\r\n\r\nGET /next", chunk_state::kComplete, "ab"},
      {"2\r\nab\r\n0\r\n", chunk_state::kIncomplete, "ab"},
      {"2\r\nab\r\n", chunk_state::kIncomplete, "ab"},
      {"2x\r\nab\r\n0\r\n\r\n", chunk_state::kMalformed, ""},
      {"+2\r\nab\r\n0\r\n\r\n", chunk_state::kMalformed, ""},
      {"-2\r\nab\r\n0\r\n\r\n", chunk_state::kMalformed, ""},
      {"0x2\r\nab\r\n0\r\n\r\n", chunk_state::kMalformed, ""},
      {"\r\nab\r\n0\r\n\r\n", chunk_state::kMalformed, ""},
      {";a\r\n", chunk_state::kMalformed, ""},
      {"10000000000000000\r\n", chunk_state::kMalformed, ""},
      {"2\nab\r\n0\r\n\r\n", chunk_state::kMalformed, ""},
      {"2\r\nabc\r\n0\r\n\r\n", chunk_state::kMalformed, "ab"},
      {"2\r\nab\n0\r\n\r\n", chunk_state::kMalformed, "ab"},
      {"2\r\nab\r\r\n0\r\n\r\n", chunk_state::kMalformed, "ab"},
      {"2;a\rb\r\nab\r\n", chunk_state::kMalformed, ""},
      {"0\r\nT r: t\r\n\r\n", chunk_state::kMalformed, ""},
      {"0\r\nHTTP/1.1 200 OK\r\n\r\n", chunk_state::kMalformed, ""},
      {"41\r\n", chunk_state::kBodyTooLarge, ""},
      {"40\r\n" + std::string(64, 'x') + "\r\n1\r\n", chunk_state::kBodyTooLarge, std::string(64, 'x')},
      {"FFFFFFFFFFFFFFFF\r\n", chunk_state::kBodyTooLarge, ""},
      {"1;" + std::string(80, 'x') + "\r\n", chunk_state::kFramingTooLarge, ""},
      {std::string(80, '0') + "\r\n", chunk_state::kFramingTooLarge, ""},
      {std::string(1'100, '0'), chunk_state::kMalformed, ""},
      {"0\r\nA: " + std::string(80, 'x'), chunk_state::kFramingTooLarge, ""},
  }));
  INFO(r.input);
  for (const std::size_t piece : {std::size_t{1}, std::size_t{2}, std::size_t{3}, std::size_t{7}, r.input.size()}) {
    INFO("pieces of " << piece);
    const decoded result = DecodeInPieces(r.input, piece);
    CHECK(result.state == r.state);
    CHECK(result.body == r.body);
  }
}

// Guards against a reading that depends on where the input was divided, and against one beyond the limits.
TEST_CASE("damaged chunks are read alike in pieces of any size") {
  const std::string sound = "2\r\nab\r\n3;x=y\r\ncde\r\n0\r\nT: t\r\n\r\nnext";
  core::base::random_source random{19};
  for (int i = 0; i < 20'000; ++i) {
    std::string input = sound;
    for (std::uint64_t n = core::base::NextBelow(random, 4); n > 0; --n)
      input[core::base::NextBelow(random, input.size())] = static_cast<char>(core::base::NextRandom(random));
    const decoded whole = DecodeInPieces(input, input.size());
    CHECK(whole.body.size() <= input.size());
    for (const std::size_t piece : {1, 2, 5}) {
      decoded divided = DecodeInPieces(input, piece);
      // An error is found at the end of the piece that shows it.
      if (whole.state != chunk_state::kComplete) divided.taken = whole.taken;
      if (!(divided == whole)) FAIL("pieces of " << piece << ": " << input);
    }
  }
}

}  // namespace
}  // namespace limpetrouter::shell
