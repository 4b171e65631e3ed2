#pragma once

#include <nlohmann/json.hpp>

#include "core/config/configuration.h"
#include "core/config/json_reader.h"

namespace limpetrouter::core::config {

/// Each reads one value of the configuration service into `config` and checks what it can see alone.
void ParseInventory(const nlohmann::json& value, configuration& config, parse_state& state);
void ParseRules(const nlohmann::json& value, configuration& config, parse_state& state);
/// Needs the inventory and the rules in `config`, and checks all references to them.
void ParseShardMaps(const nlohmann::json& value, configuration& config, parse_state& state);
/// Checks that the collections of the rules have services in the inventory.
void ValidateRules(const configuration& config, parse_state& state);

}  // namespace limpetrouter::core::config
