#include "shell/http_request_parser.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <fmt/format.h>

#include "shell/http_framing.h"
#include "shell/http_grammar.h"

namespace limpetrouter::shell {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeaderEnd = "\r\n\r\n";
constexpr int kHexBase = 16;
/// Longest accepted chunk size line, extensions included. Longer extensions would only cost memory.
constexpr std::size_t kMaxChunkLine = 1024;
/// Longest chunk size line without extensions and leading zeros.
constexpr std::size_t kPlainChunkLine = 8;

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

template <class Number>
std::optional<Number> ParseNumber(std::string_view text, int base) {
  Number number = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
  if (text.empty() || error != std::errc{} || stop != text.data() + text.size()) return std::nullopt;
  return number;
}

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

/// How the header delimits the body.
struct body_framing {
  std::optional<std::size_t> length;
  bool chunked = false;
};

/// Determines the framing of the body from the header fields. Returns false and records the error if it is unsupported
/// or ambiguous.
bool ReadFraming(parsed_request& request, body_framing& framing) {
  for (const auto& [name, value] : request.headers) {
    if (EqualsIgnoringCase(name, "content-length")) {
      const std::optional<std::size_t> length = ParseNumber<std::size_t>(value, 10);
      if (!length.has_value() || framing.length.has_value()) {
        Fail(request, parse_state::kMalformed, "Content-Length is repeated or is not a decimal number");
        return false;
      }
      framing.length = length;
    } else if (EqualsIgnoringCase(name, "transfer-encoding")) {
      if (framing.chunked || !EqualsIgnoringCase(value, "chunked")) {
        Fail(request, parse_state::kMalformed, "Transfer-Encoding is repeated or not supported (allowed: chunked)");
        return false;
      }
      framing.chunked = true;
    } else if (EqualsIgnoringCase(name, "expect")) {
      request.expects_continue = EqualsIgnoringCase(value, "100-continue");
    } else if (EqualsIgnoringCase(name, "connection")) {
      std::string lower(value);
      std::transform(lower.begin(), lower.end(), lower.begin(), &ToLower);
      if (lower.find("close") != std::string::npos) request.close = true;
    }
  }
  if (framing.chunked && framing.length.has_value()) {
    Fail(request, parse_state::kMalformed,
         "the request has both Content-Length and Transfer-Encoding (allowed: one of them)");
    return false;
  }
  return true;
}

/// Decodes a chunked body that begins at `request.size`. Leaves the state at kIncomplete if the body is incomplete.
void ParseChunks(std::string_view input, const request_limits& limits, parsed_request& request) {
  std::size_t position = request.size;
  // Bytes of extensions and leading zeros; they count towards the limit of the header, as they also describe the body.
  std::size_t extra_bytes = 0;
  while (true) {
    const auto end = input.find(kLineEnd, position);
    if (end == std::string_view::npos) {
      if (input.size() - position > kMaxChunkLine)
        Fail(request, parse_state::kMalformed, "a chunk size line exceeds the limit of 1024 bytes");
      return;
    }
    const std::string_view line = input.substr(position, end - position);
    const std::string_view digits = TrimBlanks(line.substr(0, line.find(';')));
    const std::optional<std::size_t> size = ParseNumber<std::size_t>(digits, kHexBase);
    if (!size.has_value() || HasControl(line)) {
      return Fail(request, parse_state::kMalformed, "a chunk size is not a hexadecimal number");
    }
    extra_bytes += line.size() - std::min(line.size(), kPlainChunkLine);
    if (extra_bytes > limits.max_header_bytes) {
      return Fail(request, parse_state::kHeaderTooLarge,
                  fmt::format("the chunk extensions exceed {} bytes", limits.max_header_bytes));
    }
    position = end + kLineEnd.size();
    if (*size == 0) break;
    if (*size > limits.max_body_bytes || request.body.size() + *size > limits.max_body_bytes) {
      return Fail(request, parse_state::kBodyTooLarge,
                  fmt::format("the request body exceeds {} bytes", limits.max_body_bytes));
    }
    if (input.size() < position + *size + kLineEnd.size()) return;
    if (input.substr(position + *size, kLineEnd.size()) != kLineEnd) {
      return Fail(request, parse_state::kMalformed, "the data of a chunk is not followed by CRLF at the stated size");
    }
    request.body.append(input.substr(position, *size));
    position += *size + kLineEnd.size();
  }
  // An empty line ends the trailers.
  const std::size_t trailers = position;
  while (true) {
    const auto end = input.find(kLineEnd, position);
    if (std::min(end, input.size()) - trailers > limits.max_header_bytes) {
      return Fail(request, parse_state::kHeaderTooLarge,
                  fmt::format("the trailer fields exceed {} bytes", limits.max_header_bytes));
    }
    if (end == std::string_view::npos) return;
    const bool is_empty = end == position;
    position = end + kLineEnd.size();
    if (is_empty) break;
  }
  request.size = position;
  request.state = parse_state::kComplete;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return ToLower(x) == ToLower(y); });
}

const std::string* FindHeader(const http_headers& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [name](const auto& field) { return EqualsIgnoringCase(field.first, name); });
  return found == headers.end() ? nullptr : &found->second;
}

std::size_t CountHeader(const http_headers& headers, std::string_view name) {
  return static_cast<std::size_t>(std::count_if(
      headers.begin(), headers.end(), [name](const auto& field) { return EqualsIgnoringCase(field.first, name); }));
}

parsed_request ParseRequest(std::string_view input, const request_limits& limits) {
  parsed_request request;
  const std::size_t end = input.substr(0, limits.max_header_bytes + kHeaderEnd.size()).find(kHeaderEnd);
  if (end == std::string_view::npos) {
    if (input.size() > limits.max_header_bytes) {
      Fail(request, parse_state::kHeaderTooLarge,
           fmt::format("the request header exceeds {} bytes", limits.max_header_bytes));
    }
    return request;
  }
  const std::string_view head = input.substr(0, end);
  const std::size_t line_end = std::min(head.find(kLineEnd), head.size());
  if (!ParseRequestLine(head.substr(0, line_end), request)) return request;
  if (line_end < head.size() && !ParseHeaderFields(head.substr(line_end + kLineEnd.size()), request)) return request;
  if (CountHeader(request.headers, "host") != 1) {
    Fail(request, parse_state::kMalformed, "the request does not have exactly one Host field");
    return request;
  }
  body_framing framing;
  if (!ReadFraming(request, framing)) return request;
  request.size = end + kHeaderEnd.size();
  if (framing.chunked) {
    ParseChunks(input, limits, request);
    return request;
  }
  const std::size_t length = framing.length.value_or(0);
  if (length > limits.max_body_bytes) {
    Fail(request, parse_state::kBodyTooLarge, fmt::format("the request body exceeds {} bytes", limits.max_body_bytes));
    return request;
  }
  if (input.size() < request.size + length) return request;
  request.body = input.substr(request.size, length);
  request.size += length;
  request.state = parse_state::kComplete;
  return request;
}

}  // namespace limpetrouter::shell
