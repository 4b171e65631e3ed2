#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpetrouter::shell {

/// Result of looking for a request at the start of a connection's input.
enum class request_state : std::uint8_t {
  /// More bytes are needed.
  kIncomplete,
  /// The first `size` bytes are one complete request.
  kComplete,
  /// The request exceeds the size limit.
  kTooLarge,
  /// Content-Length is invalid or ambiguous, or the body is chunked.
  kMalformed,
};

/// Extent of the request at the start of the input.
struct request_frame {
  request_state state = request_state::kIncomplete;
  /// Size of header and body in bytes; 0 unless `state` is kComplete.
  std::size_t size = 0;
  /// Describes the error in the states kTooLarge and kMalformed.
  std::string detail;
  /// The caller waits for "100 Continue" before it sends the body.
  bool expects_continue = false;
};

/// What is known of a request whose input arrives in pieces.
struct request_framer {
  /// Bytes of the input that do not hold the end of the header.
  std::size_t searched = 0;
  /// Size of header and body in bytes; 0 until the header is complete.
  std::size_t size = 0;
  /// The caller waits for "100 Continue" before it sends the body.
  bool expects_continue = false;
  /// Bytes that were looked at, some of them more than once.
  std::size_t examined = 0;
};

/// Finds the end of the first request in `input`, header and body. Pistache's parser holds one request at a time, drops
/// the bytes that follow it in the same read, and answers oversized input by itself. The server therefore splits the
/// input into requests before it calls that parser. Bodies need a Content-Length; chunked ones are refused. The limit
/// `max_bytes` covers header and body. The input begins with that of the calls before with the same framer, so that
/// each byte is looked at a constant number of times.
request_frame FrameRequest(request_framer& framer, std::string_view input, std::size_t max_bytes);

/// Finds the end of the first request in input that has not been looked at before.
request_frame FrameRequest(std::string_view input, std::size_t max_bytes);

/// Returns `text` without leading and trailing spaces and tabs, as header field values are trimmed. Line ends are kept.
std::string_view TrimBlanks(std::string_view text);

}  // namespace limpetrouter::shell
