#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/base/error_kind.h"
#include "tests/scenario/checkers.h"
#include "tests/scenario/world.h"

namespace limpetrouter::tests::scenario {

/// Result of one run of a script.
struct script_outcome {
  std::string title;
  /// Kind of failure that the script injects, a row of the proof table.
  std::string failure;
  std::vector<property_report> properties;
  /// Expectations that were not met, with the measured figure.
  std::vector<std::string> unmet;
  /// Measured figures of all expectations, met or not.
  std::vector<std::string> figures;
  std::unique_ptr<world> final_world;

  bool passed() const;
};

/// Runs a script in the test language of docs/scenarios.md. `seed` replaces the script's own if it is not 0. Errors
/// name the line.
core::base::result<script_outcome> RunScript(const std::string& text, std::uint64_t seed, bool keep_log);

}  // namespace limpetrouter::tests::scenario
