#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace limpetrouter::fuzz {

/// A reader of input from outside, with a property that holds for any input.
struct fuzz_target {
  std::string_view name;
  /// Returns how the input violates the property; empty if it does not.
  std::string (*check)(std::string_view input);
  /// Sound inputs, from which others are made by mutation.
  std::vector<std::string> (*seeds)();
};

/// All targets, in the order of their names.
const std::vector<fuzz_target>& FuzzTargets();

/// Returns the target with this name, or null.
const fuzz_target* FindFuzzTarget(std::string_view name);

// The targets, one a file.
extern const fuzz_target kAnswerTarget;
extern const fuzz_target kEntryTarget;
extern const fuzz_target kJsonTarget;
extern const fuzz_target kPeerTarget;
extern const fuzz_target kRequestTarget;
extern const fuzz_target kSettingsTarget;

}  // namespace limpetrouter::fuzz
