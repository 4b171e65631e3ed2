#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetrouter::shell {

/// Header fields in the order of the request, with their names spelled as sent.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field `name`, or null if there is none. Field names are compared without case.
const std::string* FindHeader(const http_headers& headers, std::string_view name);
/// Returns the number of fields `name`, compared without case.
std::size_t CountHeader(const http_headers& headers, std::string_view name);
/// Compares without regard to the case of ASCII letters.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

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

/// Parses the request at the start of `input`. To prevent request smuggling, input that two HTTP parsers could
/// interpret differently is refused: repeated Content-Length fields, Content-Length together with Transfer-Encoding,
/// line ends without CR, folded header fields, and targets that are not a path. Chunked bodies are decoded; chunk
/// extensions and trailers are dropped.
parsed_request ParseRequest(std::string_view input, const request_limits& limits);

}  // namespace limpetrouter::shell
