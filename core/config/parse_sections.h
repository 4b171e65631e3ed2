#pragma once

#include <nlohmann/json.hpp>

#include "core/config/configuration.h"
#include "core/config/json_reader.h"

namespace limpetrouter::core::config {

/// Each of these functions reads one value of the configuration service into `config` and checks what can be checked
/// without the other values.
void ParseInventory(const nlohmann::json& value, configuration& config, parse_state& state);
void ParseRules(const nlohmann::json& value, configuration& config, parse_state& state);
/// Requires that the inventory and the rules are already in `config`, and checks all references to them.
void ParseShardMaps(const nlohmann::json& value, configuration& config, parse_state& state);
/// Checks that each collection of the rules has a service in the inventory.
void ValidateRules(const configuration& config, parse_state& state);

}  // namespace limpetrouter::core::config
