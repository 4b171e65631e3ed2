#include <array>
#include <exception>

#include <fmt/format.h>

#include "cli/commands.h"

namespace limpetrouter::cli {
namespace {

struct command_entry {
  std::string_view name;
  int (*run)(const options&);
};

constexpr std::array<command_entry, 12> kCommands = {{{"check", &CheckFiles},
                                                      {"instances", &ShowInstances},
                                                      {"backend-servers", &ShowBackendServers},
                                                      {"configuration", &ShowConfiguration},
                                                      {"drains", &ShowDrains},
                                                      {"withheld", &ShowWithheld},
                                                      {"budgets", &ShowBudgets},
                                                      {"forwarding", &ShowForwarding},
                                                      {"request", &ExplainRequest},
                                                      {"explain", &ExplainQuery},
                                                      {"query", &RunQuery},
                                                      {"addresses", &ShowAddresses}}};

int Run(int argc, const char** argv) {
  int exit_code = kExitOk;
  const std::optional<options> chosen = ParseCommandLine(argc, argv, exit_code);
  if (!chosen.has_value()) return exit_code;
  for (const command_entry& each : kCommands) {
    if (each.name == chosen->command) return each.run(*chosen);
  }
  return kExitUsage;
}

}  // namespace
}  // namespace limpetrouter::cli

int main(int argc, char** argv) {
  try {
    return limpetrouter::cli::Run(argc, const_cast<const char**>(argv));
  } catch (const std::exception& failure) {
    fmt::print(stderr, "limpetctl: {}\n", failure.what());
    return limpetrouter::cli::kExitRefused;
  }
}
