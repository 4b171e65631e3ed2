#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpetrouter::shell {

/// Limits of a chunked body, in bytes.
struct chunk_limits {
  std::size_t max_body_bytes = 0;
  /// Limit of the chunk extensions and leading zeros, and a second time of the trailer.
  std::size_t max_framing_bytes = 0;
};

enum class chunk_state : std::uint8_t { kIncomplete, kComplete, kBodyTooLarge, kFramingTooLarge, kMalformed };

/// Decodes a chunked body (RFC 9112, section 7.1) that arrives in pieces of any size. Extensions and trailers are
/// checked and dropped. Each byte is looked at once.
struct chunk_decoder {
  chunk_limits limits;
  chunk_state state = chunk_state::kIncomplete;
  /// Describes the error in the states kBodyTooLarge, kFramingTooLarge and kMalformed.
  std::string detail;

  enum class step : std::uint8_t { kSize, kData, kDataEnd, kTrailer };
  step next = step::kSize;
  /// The line so far, in steps that read one.
  std::string line;
  /// Bytes of data that are left in the chunk.
  std::size_t data_left = 0;
  std::size_t body_bytes = 0;
  std::size_t extension_bytes = 0;
  std::size_t trailer_bytes = 0;
};

/// Decodes the next piece of input and appends its data to `body`. Returns the number of bytes that belong to the
/// chunked body, which is less than the size of `input` only if the body has ended or an error was found.
std::size_t DecodeChunks(chunk_decoder& decoder, std::string_view input, std::string& body);

}  // namespace limpetrouter::shell
