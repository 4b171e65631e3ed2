#include "shell/http_headers.h"

#include <algorithm>

namespace limpetrouter::shell {
namespace {

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

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

}  // namespace limpetrouter::shell
