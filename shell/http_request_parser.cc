#include "shell/http_request_parser.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "shell/chunk_decoder.h"
#include "shell/http_grammar.h"
#include "shell/message_framing.h"

namespace limpetrouter::shell {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

void Fail(parsed_request& request, parse_state state, std::string detail) {
  request.state = state;
  request.detail = std::move(detail);
}

/// Returns false and records the error if `line` is not a valid request line.
bool ParseRequestLine(std::string_view line, parsed_request& request) {
  const auto first_space = line.find(' ');
  const auto last_space = line.rfind(' ');
  if (first_space == std::string_view::npos || first_space == last_space) {
    Fail(request, parse_state::kMalformed,
         "the request line does not have three parts (allowed: METHOD /PATH HTTP/1.1)");
    return false;
  }
  const std::string_view target = line.substr(first_space + 1, last_space - first_space - 1);
  const std::string_view version = line.substr(last_space + 1);
  request.method = line.substr(0, first_space);
  request.target = target;
  request.close = version == "HTTP/1.0";
  const bool is_path = target.starts_with('/') && target.find_first_of(" #") == std::string_view::npos;
  if (!IsToken(request.method) || HasControl(target) || target.find('\t') != std::string_view::npos || !is_path ||
      (version != "HTTP/1.1" && version != "HTTP/1.0")) {
    Fail(request, parse_state::kMalformed, "the request line is malformed (allowed: METHOD /PATH HTTP/1.1)");
    return false;
  }
  return true;
}

/// Returns false and records the error if `text` is not a list of header fields.
bool ParseHeaderFields(std::string_view text, parsed_request& request) {
  while (!text.empty()) {
    const auto end = text.find(kLineEnd);
    const std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + kLineEnd.size());
    if (!ParseHeaderLine(line, request.headers)) {
      Fail(request, parse_state::kMalformed,
           "a header field is malformed (allowed: NAME: VALUE on one line without control characters)");
      return false;
    }
  }
  return true;
}

/// Reads the fields that concern the connection.
void ReadConnectionFields(parsed_request& request) {
  for (const auto& [name, value] : request.headers) {
    if (EqualsIgnoringCase(name, "expect")) {
      request.expects_continue = EqualsIgnoringCase(value, "100-continue");
    } else if (EqualsIgnoringCase(name, "connection")) {
      const std::string_view option = "close";
      const auto found = std::search(value.begin(), value.end(), option.begin(), option.end(), [](char a, char b) {
        return EqualsIgnoringCase({&a, 1}, {&b, 1});
      });
      if (found != value.end()) request.close = true;
    }
  }
}

/// Reads the header, whose text is `head` without the empty line behind it. Returns false and records the error if the
/// request is refused.
bool ReadHead(request_parser& parser, std::string_view head, const request_limits& limits) {
  parsed_request& request = parser.request;
  const std::size_t line_end = std::min(head.find(kLineEnd), head.size());
  if (!ParseRequestLine(head.substr(0, line_end), request)) return false;
  if (line_end < head.size() && !ParseHeaderFields(head.substr(line_end + kLineEnd.size()), request)) return false;
  if (CountHeader(request.headers, "host") != 1) {
    Fail(request, parse_state::kMalformed, "the request does not have exactly one Host field");
    return false;
  }
  ReadConnectionFields(request);
  const framing_result framing = ReadRequestFraming(request.headers);
  if (!framing.has_value()) {
    Fail(request, parse_state::kMalformed, framing.error());
    return false;
  }
  parser.framing = *framing;
  if (framing->length > limits.max_body_bytes) {
    Fail(request, parse_state::kBodyTooLarge, fmt::format("the request body exceeds {} bytes", limits.max_body_bytes));
    return false;
  }
  parser.chunks.limits = {limits.max_body_bytes, limits.max_header_bytes};
  return true;
}

/// Takes the header from the input. Returns the number of bytes taken, 0 if its end is missing.
std::size_t TakeHead(request_parser& parser, std::string_view input, const request_limits& limits) {
  // The end may have begun in the input that was searched before.
  const std::size_t from = parser.searched - std::min(parser.searched, kHeaderEnd.size() - 1);
  const std::string_view searchable = input.substr(0, limits.max_header_bytes + kHeaderEnd.size());
  const std::size_t end = searchable.find(kHeaderEnd, from);
  parser.examined += std::min(end, searchable.size()) - std::min(from, searchable.size());
  if (end == std::string_view::npos) {
    parser.searched = input.size();
    // The end of a header of the largest size may still be on its way.
    if (searchable.size() == limits.max_header_bytes + kHeaderEnd.size()) {
      Fail(parser.request, parse_state::kHeaderTooLarge,
           fmt::format("the request header exceeds {} bytes", limits.max_header_bytes));
    }
    return 0;
  }
  parser.examined += end;
  if (!ReadHead(parser, input.substr(0, end), limits)) return 0;
  parser.header_bytes = end + kHeaderEnd.size();
  return parser.header_bytes;
}

parse_state StateOf(chunk_state state) {
  switch (state) {
    case chunk_state::kIncomplete:
      return parse_state::kIncomplete;
    case chunk_state::kComplete:
      return parse_state::kComplete;
    case chunk_state::kBodyTooLarge:
      return parse_state::kBodyTooLarge;
    case chunk_state::kFramingTooLarge:
      return parse_state::kHeaderTooLarge;
    case chunk_state::kMalformed:
      break;
  }
  return parse_state::kMalformed;
}

/// Takes what the input holds of the body. Returns the number of bytes taken.
std::size_t TakeBody(request_parser& parser, std::string_view input) {
  parsed_request& request = parser.request;
  if (parser.framing.end == body_end::kLastChunk) {
    const std::size_t taken = DecodeChunks(parser.chunks, input, request.body);
    request.state = StateOf(parser.chunks.state);
    request.detail = parser.chunks.detail;
    return taken;
  }
  const std::string_view data = input.substr(0, parser.framing.length - request.body.size());
  request.body += data;
  if (request.body.size() == parser.framing.length) request.state = parse_state::kComplete;
  return data.size();
}

}  // namespace

std::size_t TakeInput(request_parser& parser, std::string_view input, const request_limits& limits) {
  parsed_request& request = parser.request;
  if (request.state != parse_state::kIncomplete) return 0;
  std::size_t taken = 0;
  if (parser.header_bytes == 0) {
    taken = TakeHead(parser, input, limits);
    if (taken == 0) return 0;
  }
  const std::size_t body_bytes = TakeBody(parser, input.substr(taken));
  parser.examined += body_bytes;
  taken += body_bytes;
  request.size += taken;
  return taken;
}

std::size_t HeldBytes(const request_parser& parser) {
  return parser.header_bytes + parser.request.body.size() + parser.chunks.line.size();
}

parsed_request ParseRequest(std::string_view input, const request_limits& limits) {
  request_parser parser;
  TakeInput(parser, input, limits);
  return std::move(parser.request);
}

}  // namespace limpetrouter::shell
