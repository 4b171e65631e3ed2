#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "core/base/error_kind.h"
#include "core/config/configuration.h"

namespace limpetrouter::core::config {

/// Largest accepted value of one key, as the configuration service bounds it.
inline constexpr std::size_t kMaxValueBytes = 1024 * 1024;

/// The texts of one revision, as the configuration service publishes them.
struct configuration_source {
  base::revision_id revision;
  std::string inventory;
  std::string rules;
  std::string shard_maps;
};

/// Parses and validates a revision as a whole. The result depends on the source alone, so all instances accept the
/// same revisions. On failure the detail names the key, the JSON path (or line and column for a syntax error), what is
/// wrong and the allowed values.
base::result<configuration_ptr> ParseConfiguration(const configuration_source& source);

/// Same, for a document {"inventory":…, "rules":…, "shard_maps":…} that is already decoded.
base::result<configuration_ptr> ParseConfiguration(base::revision_id revision, const nlohmann::json& document);

/// Parses one value as JSON. `name` is used in error messages.
base::result<nlohmann::json> ParseValue(std::string_view name, std::string_view text);

/// Same, with a size limit of its own. Refuses duplicate names in an object and deep nesting.
base::result<nlohmann::json> ParseJson(std::string_view name, std::string_view text, std::size_t max_bytes);

/// Decodes the three texts into one document, without validation.
base::result<nlohmann::json> ParseDocument(const configuration_source& source);

}  // namespace limpetrouter::core::config
