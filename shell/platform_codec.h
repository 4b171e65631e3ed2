#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "core/base/error_kind.h"
#include "core/config/parse.h"
#include "core/io/event.h"

namespace limpetrouter::shell {

/// Maximum size of an accepted answer of the configuration service or the instance list: three values of 1 MB each and
/// the JSON that encloses them.
inline constexpr std::size_t kMaxPlatformAnswerBytes = 3'500'000;

/// Decodes the answer to `GET /v1/configuration`. Fails with kInvalidConfiguration.
core::base::result<core::config::configuration_source> DecodeConfiguration(std::string_view text);

/// Decodes the answer to `GET /v1/instances`. Fails with kPlatformUnavailable.
core::base::result<std::vector<core::io::listed_instance>> DecodeInstanceList(std::string_view text);

}  // namespace limpetrouter::shell
