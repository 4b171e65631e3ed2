#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetrouter::shell {

/// Header fields in their order, with names as they were sent.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// The value of the first field `name`, compared without case, or null.
const std::string* FindHeader(const http_headers& headers, std::string_view name);
std::size_t CountHeader(const http_headers& headers, std::string_view name);
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

struct request_limits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 256 * 1024;
};

enum class parse_state : std::uint8_t { kIncomplete, kComplete, kHeaderTooLarge, kBodyTooLarge, kMalformed };

/// A request that is forwarded as it is: the target and the fields are not decoded.
struct parsed_request {
  parse_state state = parse_state::kIncomplete;
  /// Bytes of the input that belong to the request.
  std::size_t size = 0;
  /// For the faulty states: what is wrong.
  std::string detail;
  std::string method;
  /// Path and query.
  std::string target;
  http_headers headers;
  /// Without transfer coding.
  std::string body;
  bool close = false;
  /// The caller waits for "100 Continue" before it sends the body.
  bool expects_continue = false;
};

/// Parses the request at the start of `input`. Whatever could be read in two ways by two programs is refused: two
/// lengths, a length together with a transfer coding, bare line ends, folded fields, a target that is not a path.
/// Chunked bodies are decoded; chunk extensions and trailers are dropped.
parsed_request ParseRequest(std::string_view input, const request_limits& limits);

}  // namespace limpetrouter::shell
