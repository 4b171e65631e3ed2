// Entry points of libFuzzer. The environment variable FUZZ_TARGET names the target, and FUZZ_CORPUS the directory to
// which its seeds are written first.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <string>

#include <fmt/format.h>

#include "tests/fuzz/fuzz_targets.h"

namespace {

const limpetrouter::fuzz::fuzz_target& ChosenTarget() {
  const char* const name = std::getenv("FUZZ_TARGET");
  static const auto* const target = limpetrouter::fuzz::FindFuzzTarget(name == nullptr ? "" : name);
  if (target == nullptr) {
    fmt::print(stderr, "FUZZ_TARGET does not name a target\n");
    std::exit(2);
  }
  return *target;
}

}  // namespace

extern "C" int LLVMFuzzerInitialize(int* /*argc*/, char*** /*argv*/) {
  const char* const corpus = std::getenv("FUZZ_CORPUS");
  if (corpus == nullptr) return 0;
  std::size_t number = 0;
  for (const std::string& seed : ChosenTarget().seeds())
    std::ofstream(fmt::format("{}/seed-{}", corpus, number++), std::ios::binary) << seed;
  return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const limpetrouter::fuzz::fuzz_target& target = ChosenTarget();
  const std::string violation = target.check({reinterpret_cast<const char*>(data), size});
  if (violation.empty()) return 0;
  fmt::print(stderr, "{}: {}\n", target.name, violation);
  std::abort();
}
