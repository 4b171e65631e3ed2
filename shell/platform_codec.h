#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "core/base/error_kind.h"
#include "core/config/parse.h"
#include "core/io/event.h"

namespace limpetrouter::shell {

/// Largest accepted answer of the configuration service or the instance list: three values of 1 MB and their envelope.
inline constexpr std::size_t kMaxPlatformAnswerBytes = 3'500'000;

/// Answer of `GET /v1/configuration`. Fails with kInvalidConfiguration.
core::base::result<core::config::configuration_source> DecodeConfiguration(std::string_view text);

/// Answer of `GET /v1/instances`. Fails with kPlatformUnavailable.
core::base::result<std::vector<core::io::listed_instance>> DecodeInstanceList(std::string_view text);

}  // namespace limpetrouter::shell
