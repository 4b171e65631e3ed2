#pragma once

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

namespace limpetrouter::cli {

struct http_answer {
  int status = 0;
  std::string body;
};

struct http_failure {
  std::string what;
  /// True if no connection was made, so the request did not leave.
  bool not_connected = false;
};

using http_result = tl::expected<http_answer, http_failure>;

/// GET http://`address``path`.
http_result Get(const std::string& address, const std::string& path, std::int64_t timeout_ms);

/// POST of a JSON body.
http_result Post(const std::string& address, const std::string& path, const std::string& body, std::int64_t timeout_ms);

/// `text` as it may appear in a query parameter.
std::string EncodePercent(const std::string& text);

}  // namespace limpetrouter::cli
