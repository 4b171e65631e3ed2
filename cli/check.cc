#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/commands.h"
#include "core/config/parse.h"
#include "shell/settings.h"

namespace limpetrouter::cli {
namespace {

using nlohmann::json;

int Report(const options& chosen, const std::vector<std::string>& faults, const std::string& summary) {
  if (chosen.json) {
    fmt::print("{}\n", json({{"valid", faults.empty()}, {"faults", faults}}).dump(2));
  } else {
    for (const std::string& fault : faults)
      fmt::print("{}\n", fault);
    if (faults.empty()) fmt::print("{}\n", summary);
  }
  return faults.empty() ? kExitOk : kExitRefused;
}

int CheckSettings(const options& chosen) {
  const std::string& file = chosen.arguments[1];
  const shell::settings_result settings = shell::ReadSettings(file);
  std::vector<std::string> faults;
  if (!settings.has_value()) {
    for (const shell::setting_problem& problem : settings.error())
      faults.push_back(shell::ToString(problem));
  }
  return Report(chosen, faults, file + ": no fault found");
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

int CheckConfiguration(const options& chosen) {
  core::config::configuration_source source;
  source.revision = core::base::revision_id(1);
  std::string* const targets[] = {&source.inventory, &source.rules, &source.shard_maps};
  std::vector<std::string> faults;
  for (std::size_t i = 0; i < std::size(targets); ++i) {
    const std::string& path = chosen.arguments[i + 1];
    std::optional<std::string> text = ReadFile(path);
    if (!text.has_value()) faults.push_back(path + ": cannot be read");
    *targets[i] = text.value_or("");
  }
  if (!faults.empty()) return Report(chosen, faults, {});
  const auto parsed = core::config::ParseConfiguration(source);
  if (!parsed.has_value()) return Report(chosen, {parsed.error().detail}, {});
  const core::config::configuration& config = **parsed;
  return Report(chosen, {},
                fmt::format("no fault found: {} data centres, {} services, {} backend servers, {} collections",
                            config.data_centres.size(), config.services.size(), config.backend_servers.size(),
                            config.collections.size()));
}

}  // namespace

int CheckFiles(const options& chosen) {
  const std::string& kind = chosen.arguments[0];
  if (kind == "settings" && chosen.arguments.size() == 2) return CheckSettings(chosen);
  if (kind == "configuration" && chosen.arguments.size() == 4) return CheckConfiguration(chosen);
  fmt::print(stderr, "limpetctl check: expected \"settings FILE\" or \"configuration INVENTORY RULES SHARD_MAPS\"\n");
  return kExitUsage;
}

}  // namespace limpetrouter::cli
