#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "shell/chunk_decoder.h"
#include "shell/http_headers.h"
#include "shell/message_framing.h"

namespace limpetrouter::shell {

/// Limits of one request, in bytes. The body is measured without its transfer coding.
struct request_limits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 256 * 1024;
};

enum class parse_state : std::uint8_t { kIncomplete, kComplete, kHeaderTooLarge, kBodyTooLarge, kMalformed };

/// A request for forwarding. The target and the header fields are not decoded.
struct parsed_request {
  parse_state state = parse_state::kIncomplete;
  /// Number of input bytes that belong to the request.
  std::size_t size = 0;
  /// Describes the error in the states kHeaderTooLarge, kBodyTooLarge and kMalformed.
  std::string detail;
  std::string method;
  /// Path and query as sent.
  std::string target;
  http_headers headers;
  /// Body with its transfer coding removed.
  std::string body;
  /// Whether the connection is to be closed after the answer.
  bool close = false;
  /// The caller waits for "100 Continue" before it sends the body.
  bool expects_continue = false;
};

/// Parses one request from input that arrives in pieces of any size. To prevent request smuggling, input that two HTTP
/// parsers could interpret differently is refused: see `ReadRequestFraming`, line ends without CR, folded header
/// fields, and targets that are not a path. Chunked bodies are decoded; chunk extensions and trailers are dropped.
struct request_parser {
  /// The body holds what has arrived of it, and the size counts the bytes taken.
  parsed_request request;

  /// Size of the header; 0 until it is complete.
  std::size_t header_bytes = 0;
  /// Bytes of the input that do not hold the end of the header.
  std::size_t searched = 0;
  /// Bytes that were looked at, some of them more than once.
  std::size_t examined = 0;
  message_framing framing;
  chunk_decoder chunks;
};

/// Takes bytes of the request from the start of `input` and returns their number; the caller passes the rest again with
/// further input behind it. The header is taken as a whole. Each byte is looked at a constant number of times.
std::size_t TakeInput(request_parser& parser, std::string_view input, const request_limits& limits);

/// Returns how many bytes of the request the parser holds.
std::size_t HeldBytes(const request_parser& parser);

/// Parses the request at the start of `input`.
parsed_request ParseRequest(std::string_view input, const request_limits& limits);

}  // namespace limpetrouter::shell
