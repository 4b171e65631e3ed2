#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpetrouter::shell {

/// What the start of a connection's input holds.
enum class request_state : std::uint8_t {
  kIncomplete,
  /// `size` bytes are one whole request.
  kComplete,
  kTooLarge,
  kMalformed,
};

struct request_frame {
  request_state state = request_state::kIncomplete;
  std::size_t size = 0;
  /// For kTooLarge and kMalformed: what is wrong.
  std::string detail;
  /// The caller waits for "100 Continue" before it sends the body.
  bool expects_continue = false;
};

/// Finds the end of the first request in `input`, header and body. Pistache's parser keeps one request at a time and
/// drops what follows it in the same read, and it answers oversized input by itself; so requests are cut here first.
/// Bodies need a Content-Length; chunked ones are refused.
request_frame FrameRequest(std::string_view input, std::size_t max_bytes);

/// Without spaces and tabs at both ends, as in the value of a header field. Line ends are kept.
std::string_view TrimBlanks(std::string_view text);

}  // namespace limpetrouter::shell
