#include <set>
#include <string>

#include <fmt/format.h>

#include "core/config/parse_sections.h"

namespace limpetrouter::core::config {

void ValidateRules(const configuration& config, parse_state& state) {
  std::set<std::string> served;
  for (const service& known : config.services)
    served.insert(known.collection.value);
  for (std::size_t i = 0; i < config.collections.size(); ++i) {
    const std::string& id = config.collections[i].id.value;
    if (served.contains(id)) continue;
    AddError(state, fmt::format("rules.collections[{}].id", i),
             fmt::format("inconsistent configuration: collection \"{}\" has no service in the inventory", id));
  }
}

}  // namespace limpetrouter::core::config
