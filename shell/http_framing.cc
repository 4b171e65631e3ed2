#include "shell/http_framing.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "shell/http_headers.h"
#include "shell/message_framing.h"

namespace limpetrouter::shell {
namespace {

constexpr std::string_view kHeaderEnd = "\r\n\r\n";

request_frame MakeErrorFrame(request_state state, std::string detail) { return {state, 0, std::move(detail), false}; }

request_frame MakeTooLargeFrame(std::size_t max_bytes) {
  return MakeErrorFrame(request_state::kTooLarge, fmt::format("the request exceeds {} bytes", max_bytes));
}

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

request_frame FrameRequest(request_framer& framer, std::string_view input, std::size_t max_bytes) {
  if (framer.size == 0) {
    // The end of the header may have begun in the input that was searched before.
    const std::size_t from = framer.searched - std::min(framer.searched, kHeaderEnd.size() - 1);
    const std::string_view searchable = input.substr(0, max_bytes);
    const std::size_t end = searchable.find(kHeaderEnd, from);
    framer.examined += std::min(end, searchable.size()) - std::min(from, searchable.size());
    framer.searched = searchable.size();
    if (end == std::string_view::npos && input.size() < max_bytes) return {};
    if (end == std::string_view::npos) return MakeTooLargeFrame(max_bytes);
    framer.examined += end;
    const http_headers fields = ReadFields(input.substr(0, end));
    const framing_result framing = ReadRequestFraming(fields);
    if (!framing.has_value()) return MakeErrorFrame(request_state::kMalformed, framing.error());
    if (framing->end == body_end::kLastChunk)
      return MakeErrorFrame(request_state::kMalformed, "Transfer-Encoding is not supported (allowed: Content-Length)");
    const std::size_t header_bytes = end + kHeaderEnd.size();
    if (framing->length > max_bytes || header_bytes + framing->length > max_bytes) return MakeTooLargeFrame(max_bytes);
    framer.size = header_bytes + framing->length;
    const std::string* const expectation = FindHeader(fields, "expect");
    framer.expects_continue = expectation != nullptr && EqualsIgnoringCase(*expectation, "100-continue");
  }
  request_frame frame;
  frame.expects_continue = framer.expects_continue;
  if (input.size() < framer.size) return frame;
  frame.state = request_state::kComplete;
  frame.size = framer.size;
  return frame;
}

request_frame FrameRequest(std::string_view input, std::size_t max_bytes) {
  request_framer framer;
  return FrameRequest(framer, input, max_bytes);
}

}  // namespace limpetrouter::shell
