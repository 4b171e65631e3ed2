#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "core/base/error_kind.h"
#include "core/config/configuration.h"

namespace limpetrouter::core::config {

/// Size of the largest value that is accepted for one key. The configuration service has the same limit.
inline constexpr std::size_t kMaxValueBytes = 1024 * 1024;

/// The texts of one revision, as the configuration service publishes them.
struct configuration_source {
  base::revision_id revision;
  std::string inventory;
  std::string rules;
  std::string shard_maps;
};

/// Parses and validates all values of a revision together. The result depends on the source alone, so all instances
/// accept the same revisions. On failure the detail names the key, the JSON path (or line and column for a syntax
/// error), what is wrong and the allowed values.
base::result<configuration_ptr> ParseConfiguration(const configuration_source& source);

/// Same as above, for a document {"inventory":…, "rules":…, "shard_maps":…} that is already decoded.
base::result<configuration_ptr> ParseConfiguration(base::revision_id revision, const nlohmann::json& document);

/// Parses one value as JSON. `name` is used in error messages. Fails with kInvalidConfiguration.
base::result<nlohmann::json> ParseValue(std::string_view name, std::string_view text);

/// Same as `ParseValue`, with a limit of `max_bytes` instead of `kMaxValueBytes`. Both refuse duplicate names in an
/// object and deep nesting.
base::result<nlohmann::json> ParseJson(std::string_view name, std::string_view text, std::size_t max_bytes);

/// Parses the three texts into one JSON document, without validation of the fields.
base::result<nlohmann::json> ParseDocument(const configuration_source& source);

}  // namespace limpetrouter::core::config
