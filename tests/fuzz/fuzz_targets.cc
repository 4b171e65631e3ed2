#include "tests/fuzz/fuzz_targets.h"

#include <algorithm>

namespace limpetrouter::fuzz {

const std::vector<fuzz_target>& FuzzTargets() {
  static const std::vector<fuzz_target> targets = {kAnswerTarget, kEntryTarget,   kJsonTarget,
                                                   kPeerTarget,   kRequestTarget, kSettingsTarget};
  return targets;
}

const fuzz_target* FindFuzzTarget(std::string_view name) {
  const std::vector<fuzz_target>& targets = FuzzTargets();
  const auto found =
      std::find_if(targets.begin(), targets.end(), [name](const fuzz_target& each) { return each.name == name; });
  return found == targets.end() ? nullptr : &*found;
}

}  // namespace limpetrouter::fuzz
