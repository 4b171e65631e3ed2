#include "shell/message_framing.h"

#include <charconv>
#include <optional>
#include <string_view>

namespace limpetrouter::shell {
namespace {

/// The header fields that frame a body.
struct framing_fields {
  std::optional<std::size_t> length;
  bool chunked = false;
};

/// Only digits are a length: no sign, list or fraction, and no number that does not fit.
std::optional<std::size_t> ParseLength(std::string_view value) {
  std::size_t length = 0;
  const auto [stop, error] = std::from_chars(value.data(), value.data() + value.size(), length);
  if (value.empty() || error != std::errc{} || stop != value.data() + value.size()) return std::nullopt;
  return length;
}

tl::expected<framing_fields, std::string> ReadFields(const http_headers& headers) {
  framing_fields fields;
  for (const auto& [name, value] : headers) {
    if (EqualsIgnoringCase(name, "content-length")) {
      const std::optional<std::size_t> length = ParseLength(value);
      if (!length.has_value() || fields.length.has_value())
        return tl::make_unexpected("Content-Length is repeated or is not a decimal number");
      fields.length = length;
    } else if (EqualsIgnoringCase(name, "transfer-encoding")) {
      if (fields.chunked || !EqualsIgnoringCase(value, "chunked"))
        return tl::make_unexpected("Transfer-Encoding is repeated or not supported (allowed: chunked)");
      fields.chunked = true;
    }
  }
  if (fields.chunked && fields.length.has_value())
    return tl::make_unexpected("both Content-Length and Transfer-Encoding are given (allowed: one of them)");
  return fields;
}

bool HasNoBody(const answer_start& start) {
  constexpr int kFirstFinal = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return start.answers_head_request || start.status < kFirstFinal || start.status == kNoContent ||
         start.status == kNotModified;
}

}  // namespace

framing_result ReadRequestFraming(const http_headers& headers) {
  const auto fields = ReadFields(headers);
  if (!fields.has_value()) return tl::make_unexpected(fields.error());
  if (fields->chunked) return message_framing{body_end::kLastChunk, 0};
  if (fields->length.has_value()) return message_framing{body_end::kLength, *fields->length};
  return message_framing{};
}

framing_result ReadAnswerFraming(const answer_start& start, const http_headers& headers) {
  const auto fields = ReadFields(headers);
  if (!fields.has_value()) return tl::make_unexpected(fields.error());
  if (fields->chunked && start.is_http_1_0)
    return tl::make_unexpected("Transfer-Encoding is given in HTTP/1.0, which has none");
  if (HasNoBody(start)) return message_framing{};
  if (fields->chunked) return message_framing{body_end::kLastChunk, 0};
  if (fields->length.has_value()) return message_framing{body_end::kLength, *fields->length};
  return message_framing{body_end::kClose, 0};
}

}  // namespace limpetrouter::shell
