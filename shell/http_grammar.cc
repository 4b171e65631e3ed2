#include "shell/http_grammar.h"

#include <algorithm>

#include "shell/http_framing.h"

namespace limpetrouter::shell {
namespace {

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

}  // namespace

bool IsToken(std::string_view text) {
  static constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || IsDigit(c) || kMarks.find(c) != std::string_view::npos;
  });
}

bool HasControl(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
  });
}

bool ParseHeaderLine(std::string_view line, http_headers& headers) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)) || HasControl(line)) return false;
  headers.emplace_back(line.substr(0, colon), TrimBlanks(line.substr(colon + 1)));
  return true;
}

bool IsStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kCode = kVersion.size() + 2;
  constexpr std::size_t kCodeEnd = kCode + 3;
  if (!line.starts_with(kVersion) || line.size() < kCodeEnd || HasControl(line)) return false;
  if (line[kVersion.size()] != '0' && line[kVersion.size()] != '1') return false;
  if (line[kCode - 1] != ' ' || line[kCode] < '1' || line[kCode] > '5') return false;
  if (!IsDigit(line[kCode + 1]) || !IsDigit(line[kCode + 2])) return false;
  return line.size() == kCodeEnd || line[kCodeEnd] == ' ';
}

}  // namespace limpetrouter::shell
