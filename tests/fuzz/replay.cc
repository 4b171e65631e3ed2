// Replays the kept inputs of a fuzz target, then inputs that are mutated from its seeds with a fixed random seed.
//
// Usage: fuzz_replay TARGET INPUT_DIRECTORY RUNS. Exits with 1 and prints the input if a property is violated.

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <fmt/format.h>

#include "core/base/random.h"
#include "tests/fuzz/fuzz_targets.h"

namespace limpetrouter::fuzz {
namespace {

constexpr std::uint64_t kRandomSeed = 44;
constexpr std::uint64_t kMaxChanges = 4;

std::string Mutate(std::string input, core::base::random_source& random) {
  using core::base::NextBelow;
  for (std::uint64_t n = NextBelow(random, kMaxChanges) + 1; n > 0; --n) {
    const std::size_t at = NextBelow(random, input.size() + 1);
    const std::size_t length = std::min<std::size_t>(NextBelow(random, 8) + 1, input.size() - at);
    switch (NextBelow(random, 4)) {
      case 0:
        if (at < input.size()) input[at] = static_cast<char>(core::base::NextRandom(random));
        break;
      case 1:
        input.erase(at, length);
        break;
      case 2:
        input.insert(at, input.substr(NextBelow(random, input.size() + 1), length));
        break;
      default:
        input.insert(at, 1, static_cast<char>(core::base::NextRandom(random)));
        break;
    }
  }
  return input;
}

/// Prints the input, with all bytes but printable ones escaped, if it violates the property. Returns true if not.
bool Holds(const fuzz_target& target, const std::string& input) {
  const std::string violation = target.check(input);
  if (violation.empty()) return true;
  std::string escaped;
  for (const char c : input) {
    const bool plain = c >= ' ' && c <= '~' && c != '\\' && c != '"';
    escaped += plain ? std::string(1, c) : fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
  }
  fmt::print("{}: {}: \"{}\"\n", target.name, violation, escaped);
  return false;
}

int Replay(const fuzz_target& target, const std::string& directory, std::uint64_t runs) {
  std::vector<std::string> inputs = target.seeds();
  const std::size_t seeds = inputs.size();
  std::error_code missing;
  for (const auto& entry : std::filesystem::directory_iterator(directory, missing)) {
    std::ifstream file(entry.path(), std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  }
  for (const std::string& input : inputs) {
    if (!Holds(target, input)) return EXIT_FAILURE;
  }
  core::base::random_source random{kRandomSeed};
  for (std::uint64_t i = 0; i < runs; ++i) {
    if (!Holds(target, Mutate(inputs[core::base::NextBelow(random, inputs.size())], random))) return EXIT_FAILURE;
  }
  fmt::print("{}: {} seeds, {} kept inputs and {} mutated ones held\n", target.name, seeds, inputs.size() - seeds,
             runs);
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace limpetrouter::fuzz

int main(int argc, char** argv) {
  constexpr int kArguments = 4;
  const auto* const target = argc == kArguments ? limpetrouter::fuzz::FindFuzzTarget(argv[1]) : nullptr;
  if (target == nullptr) {
    fmt::print(stderr, "usage: fuzz_replay TARGET INPUT_DIRECTORY RUNS; targets:");
    for (const auto& each : limpetrouter::fuzz::FuzzTargets())
      fmt::print(stderr, " {}", each.name);
    fmt::print(stderr, "\n");
    return 2;
  }
  return limpetrouter::fuzz::Replay(*target, argv[2], std::strtoull(argv[3], nullptr, 10));
}
