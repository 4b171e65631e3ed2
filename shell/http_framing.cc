#include "shell/http_framing.h"

#include <charconv>
#include <optional>

#include <fmt/format.h>

#include "shell/http_request_parser.h"

namespace limpetrouter::shell {
namespace {

constexpr std::string_view kHeaderEnd = "\r\n\r\n";

request_frame MakeErrorFrame(request_state state, std::string detail) { return {state, 0, std::move(detail), false}; }

/// Header fields that describe the body.
struct body_fields {
  std::optional<std::size_t> length;
  bool chunked = false;
  bool invalid_length = false;
  bool expects_continue = false;
};

void ReadContentLength(std::string_view value, body_fields& out) {
  std::size_t length = 0;
  const auto [stop, error] = std::from_chars(value.data(), value.data() + value.size(), length);
  // With two different lengths, or a length that is not a decimal number, the start of the next request is ambiguous.
  const bool invalid = value.empty() || error != std::errc{} || stop != value.data() + value.size() ||
                       (out.length.has_value() && *out.length != length);
  out.invalid_length = out.invalid_length || invalid;
  out.length = length;
}

body_fields ReadBodyFields(std::string_view header) {
  body_fields out;
  std::size_t start = header.find("\r\n");
  while (start != std::string_view::npos) {
    start += 2;
    const std::size_t end = header.find("\r\n", start);
    const std::string_view line = header.substr(start, end == std::string_view::npos ? end : end - start);
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
      const std::string_view name = line.substr(0, colon);
      const std::string_view value = TrimBlanks(line.substr(colon + 1));
      if (EqualsIgnoringCase(name, "content-length")) ReadContentLength(value, out);
      if (EqualsIgnoringCase(name, "transfer-encoding")) out.chunked = true;
      if (EqualsIgnoringCase(name, "expect")) out.expects_continue = EqualsIgnoringCase(value, "100-continue");
    }
    start = end;
  }
  return out;
}

}  // namespace

std::string_view TrimBlanks(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

request_frame FrameRequest(std::string_view input, std::size_t max_bytes) {
  const std::string too_large = fmt::format("the request exceeds {} bytes", max_bytes);
  const std::size_t end = input.substr(0, max_bytes).find(kHeaderEnd);
  if (end == std::string_view::npos) {
    if (input.size() >= max_bytes) return MakeErrorFrame(request_state::kTooLarge, too_large);
    return {};
  }
  const std::size_t header_bytes = end + kHeaderEnd.size();
  const body_fields body = ReadBodyFields(input.substr(0, end));
  if (body.chunked)
    return MakeErrorFrame(request_state::kMalformed, "Transfer-Encoding is not supported (allowed: Content-Length)");
  if (body.invalid_length)
    return MakeErrorFrame(request_state::kMalformed, "Content-Length has several values or is not a decimal number");
  const std::size_t length = body.length.value_or(0);
  if (length > max_bytes || header_bytes + length > max_bytes)
    return MakeErrorFrame(request_state::kTooLarge, too_large);
  request_frame frame;
  frame.expects_continue = body.expects_continue;
  if (input.size() < header_bytes + length) return frame;
  frame.state = request_state::kComplete;
  frame.size = header_bytes + length;
  return frame;
}

}  // namespace limpetrouter::shell
