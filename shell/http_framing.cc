#include "shell/http_framing.h"

#include <utility>

#include <fmt/format.h>

#include "shell/http_headers.h"
#include "shell/message_framing.h"

namespace limpetrouter::shell {
namespace {

constexpr std::string_view kHeaderEnd = "\r\n\r\n";

request_frame MakeErrorFrame(request_state state, std::string detail) { return {state, 0, std::move(detail), false}; }

/// Returns the fields of a header, whose form is left to Pistache's parser.
http_headers ReadFields(std::string_view header) {
  http_headers fields;
  std::size_t start = header.find("\r\n");
  while (start != std::string_view::npos) {
    start += 2;
    const std::size_t end = header.find("\r\n", start);
    const std::string_view line = header.substr(start, end == std::string_view::npos ? end : end - start);
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) fields.emplace_back(line.substr(0, colon), TrimBlanks(line.substr(colon + 1)));
    start = end;
  }
  return fields;
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
  const http_headers fields = ReadFields(input.substr(0, end));
  const framing_result framing = ReadRequestFraming(fields);
  if (!framing.has_value()) return MakeErrorFrame(request_state::kMalformed, framing.error());
  if (framing->end == body_end::kLastChunk)
    return MakeErrorFrame(request_state::kMalformed, "Transfer-Encoding is not supported (allowed: Content-Length)");
  const std::size_t length = framing->length;
  if (length > max_bytes || header_bytes + length > max_bytes)
    return MakeErrorFrame(request_state::kTooLarge, too_large);
  request_frame frame;
  const std::string* const expectation = FindHeader(fields, "expect");
  frame.expects_continue = expectation != nullptr && EqualsIgnoringCase(*expectation, "100-continue");
  if (input.size() < header_bytes + length) return frame;
  frame.state = request_state::kComplete;
  frame.size = header_bytes + length;
  return frame;
}

}  // namespace limpetrouter::shell
