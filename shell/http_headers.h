#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetrouter::shell {

/// Header fields in the order of the request, with their names spelled as sent.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field `name`, or null if there is none. Field names are compared without case.
const std::string* FindHeader(const http_headers& headers, std::string_view name);
/// Returns the number of fields `name`, compared without case.
std::size_t CountHeader(const http_headers& headers, std::string_view name);
/// Compares without regard to the case of ASCII letters.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

}  // namespace limpetrouter::shell
