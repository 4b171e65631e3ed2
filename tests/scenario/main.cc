#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include <fmt/format.h>

#include "tests/scenario/script.h"

namespace {

using namespace limpetrouter::tests::scenario;

int RunFile(const std::string& path, std::uint64_t seed, bool log) {
  std::ifstream file(path);
  if (!file) {
    fmt::print(stderr, "{}: cannot be read\n", path);
    return 2;
  }
  std::ostringstream text;
  text << file.rdbuf();
  const auto outcome = RunScript(text.str(), seed, log);
  if (!outcome.has_value()) {
    fmt::print(stderr, "{}: {}\n", path, outcome.error().detail);
    return 2;
  }
  for (const std::string& line : outcome->final_world->record().log)
    fmt::print("{}\n", line);
  fmt::print("{}: {}\n", outcome->passed() ? "passed" : "FAILED", outcome->title);
  for (const std::string& figure : outcome->figures)
    fmt::print("  {}\n", figure);
  constexpr std::size_t kShown = 20;
  for (std::size_t i = 0; i < outcome->violations.size() && i < kShown; ++i) {
    fmt::print("  violated: {}: {}\n", outcome->violations[i].property, outcome->violations[i].what);
  }
  if (outcome->violations.size() > kShown) fmt::print("  ... {} violations\n", outcome->violations.size());
  for (const std::string& unmet : outcome->unmet)
    fmt::print("  not met: {}\n", unmet);
  return outcome->passed() ? 0 : 1;
}

}  // namespace

// Usage: scenario_runner FILE [--seed N] [--log]
int main(int argc, char** argv) {
  std::string path;
  std::uint64_t seed = 0;
  bool log = false;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--seed" && i + 1 < argc) {
      seed = std::strtoull(argv[++i], nullptr, 10);
    } else if (argument == "--log") {
      log = true;
    } else {
      path = argument;
    }
  }
  if (path.empty()) {
    fmt::print(stderr, "usage: scenario_runner FILE [--seed N] [--log]\n");
    return 2;
  }
  return RunFile(path, seed, log);
}
