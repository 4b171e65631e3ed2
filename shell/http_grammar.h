#pragma once

#include <string_view>

#include "shell/http_headers.h"

namespace limpetrouter::shell {

/// True if `text` is a token of RFC 9110, such as a method or a field name.
bool IsToken(std::string_view text);

/// True if `text` contains a control character other than a tab.
bool HasControl(std::string_view text);

/// Appends the header field of a line without its line end to `headers`. Returns false and appends nothing if the line
/// is not "NAME: VALUE" with a token as name and no control characters. The continuation line of a folded field has no
/// such name and is refused too.
bool ParseHeaderLine(std::string_view line, http_headers& headers);

/// True if a line without its line end is the status line of an HTTP/1.0 or HTTP/1.1 answer, with or without a reason.
bool IsStatusLine(std::string_view line);

}  // namespace limpetrouter::shell
