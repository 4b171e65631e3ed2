#include "shell/chunk_decoder.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "shell/http_framing.h"
#include "shell/http_grammar.h"

namespace limpetrouter::shell {
namespace {

using step = chunk_decoder::step;

constexpr std::string_view kLineEnd = "\r\n";
constexpr int kHexBase = 16;
/// Longest accepted chunk size line, extensions included. Longer extensions would only cost memory.
constexpr std::size_t kMaxChunkLine = 1024;
/// Longest chunk size line without extensions and leading zeros.
constexpr std::size_t kPlainChunkLine = 8;

void Fail(chunk_decoder& decoder, chunk_state state, std::string detail) {
  decoder.state = state;
  decoder.detail = std::move(detail);
}

std::optional<std::size_t> ParseChunkSize(std::string_view line) {
  const std::string_view digits = TrimBlanks(line.substr(0, line.find(';')));
  std::size_t size = 0;
  const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), size, kHexBase);
  if (digits.empty() || error != std::errc{} || stop != digits.data() + digits.size() || HasControl(line))
    return std::nullopt;
  return size;
}

void ReadSizeLine(chunk_decoder& decoder, std::string_view line) {
  const std::optional<std::size_t> size = ParseChunkSize(line);
  if (!size.has_value()) return Fail(decoder, chunk_state::kMalformed, "a chunk size is not a hexadecimal number");
  decoder.extension_bytes += line.size() - std::min(line.size(), kPlainChunkLine);
  if (decoder.extension_bytes > decoder.limits.max_framing_bytes) {
    return Fail(decoder, chunk_state::kFramingTooLarge,
                fmt::format("the chunk extensions exceed {} bytes", decoder.limits.max_framing_bytes));
  }
  decoder.next = *size == 0 ? step::kTrailer : step::kData;
  decoder.data_left = *size;
  if (*size > decoder.limits.max_body_bytes - decoder.body_bytes) {
    return Fail(decoder, chunk_state::kBodyTooLarge,
                fmt::format("the chunked body exceeds {} bytes", decoder.limits.max_body_bytes));
  }
  decoder.body_bytes += *size;
}

void ReadTrailerLine(chunk_decoder& decoder, std::string_view line) {
  if (line.empty()) {
    decoder.state = chunk_state::kComplete;
    return;
  }
  http_headers dropped;
  if (!ParseHeaderLine(line, dropped)) Fail(decoder, chunk_state::kMalformed, "a trailer field is malformed");
}

/// Handles a complete line, without its end.
void ReadLine(chunk_decoder& decoder, std::string_view line) {
  switch (decoder.next) {
    case step::kSize:
      return ReadSizeLine(decoder, line);
    case step::kTrailer:
      return ReadTrailerLine(decoder, line);
    case step::kDataEnd:
      decoder.next = step::kSize;
      if (line.empty()) return;
      break;
    case step::kData:
      break;
  }
  Fail(decoder, chunk_state::kMalformed, "the data of a chunk is not followed by CRLF at the stated size");
}

/// Checks the limits of the line so far, whose end may be missing.
void CheckLine(chunk_decoder& decoder) {
  if (decoder.next == step::kSize && decoder.line.size() > kMaxChunkLine + kLineEnd.size())
    Fail(decoder, chunk_state::kMalformed, fmt::format("a chunk size line exceeds {} bytes", kMaxChunkLine));
  if (decoder.next == step::kDataEnd && !kLineEnd.starts_with(decoder.line))
    Fail(decoder, chunk_state::kMalformed, "the data of a chunk is not followed by CRLF at the stated size");
  // The empty line at the end of the trailer is not one of its fields.
  const std::size_t fields_end = decoder.limits.max_framing_bytes + kLineEnd.size();
  if (decoder.next == step::kTrailer && decoder.trailer_bytes > fields_end) {
    Fail(decoder, chunk_state::kFramingTooLarge,
         fmt::format("the trailer fields exceed {} bytes", decoder.limits.max_framing_bytes));
  }
}

/// Takes the input up to the end of the line, or all of it. Returns the number of bytes taken.
std::size_t TakeLine(chunk_decoder& decoder, std::string_view input) {
  // A line of more bytes than this is refused, so that the rest of a long one is not copied.
  const std::size_t room = decoder.next == step::kDataEnd
                               ? kLineEnd.size() - decoder.line.size()
                               : std::max(kMaxChunkLine, decoder.limits.max_framing_bytes) + kLineEnd.size() + 1;
  const std::string_view visible = input.substr(0, room);
  const std::size_t end = visible.find('\n');
  const std::string_view taken = visible.substr(0, end == std::string_view::npos ? end : end + 1);
  decoder.line += taken;
  if (decoder.next == step::kTrailer) decoder.trailer_bytes += taken.size();
  CheckLine(decoder);
  if (decoder.state != chunk_state::kIncomplete || end == std::string_view::npos) return taken.size();
  const std::string line = std::exchange(decoder.line, {});
  if (!std::string_view(line).ends_with(kLineEnd)) {
    Fail(decoder, chunk_state::kMalformed, "a line of the chunked body does not end with CRLF");
  } else {
    ReadLine(decoder, std::string_view(line).substr(0, line.size() - kLineEnd.size()));
  }
  return taken.size();
}

std::size_t TakeData(chunk_decoder& decoder, std::string_view input, std::string& body) {
  const std::string_view data = input.substr(0, decoder.data_left);
  body += data;
  decoder.data_left -= data.size();
  if (decoder.data_left == 0) decoder.next = step::kDataEnd;
  return data.size();
}

}  // namespace

std::size_t DecodeChunks(chunk_decoder& decoder, std::string_view input, std::string& body) {
  std::size_t position = 0;
  while (decoder.state == chunk_state::kIncomplete && position < input.size()) {
    const std::string_view rest = input.substr(position);
    position += decoder.next == step::kData ? TakeData(decoder, rest, body) : TakeLine(decoder, rest);
  }
  return position;
}

}  // namespace limpetrouter::shell
