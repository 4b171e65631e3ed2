#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <tl/expected.hpp>

#include "shell/http_headers.h"

namespace limpetrouter::shell {

/// What ends the body of a message (RFC 9112, section 6.3).
enum class body_end : std::uint8_t {
  /// There is no body.
  kNone,
  kLength,
  kLastChunk,
  /// The end of the connection.
  kClose,
};

struct message_framing {
  body_end end = body_end::kNone;
  /// Size of the body in bytes if its end is kLength.
  std::size_t length = 0;
};

/// The framing, or why the message is malformed: two recipients could find different ends of its body.
using framing_result = tl::expected<message_framing, std::string>;

/// The parts of an answer's status line, and of its request, that decide whether there is a body.
struct answer_start {
  int status = 200;
  /// The answer is in HTTP/1.0, which has no transfer codings.
  bool is_http_1_0 = false;
  bool answers_head_request = false;
};

/// Reads the framing of a request. Without a length or chunks there is no body.
framing_result ReadRequestFraming(const http_headers& headers);

/// Reads the framing of an answer, which may end with its connection.
framing_result ReadAnswerFraming(const answer_start& start, const http_headers& headers);

}  // namespace limpetrouter::shell
