#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tests/scenario/world.h"

namespace limpetrouter::tests::scenario {

/// Result of one checker.
struct property_report {
  std::string property;
  /// Answers, executions or other items that the property was tested on. 0 means that the run proves nothing about it.
  std::uint64_t checked = 0;
  std::vector<std::string> violations;
};

/// Bounds of the stated targets.
inline constexpr base::duration kDrainBound = std::chrono::seconds(2);
inline constexpr base::duration kConfigurationBound = std::chrono::seconds(4);
/// Callers' network and tick resolution on top of a deadline.
inline constexpr base::duration kAnswerSlack = std::chrono::milliseconds(50);

// One checker for each property that must always hold. Each runs over the whole trace.
property_report CheckOneSnapshot(const world& world);
property_report CheckTrueCoverage(const world& world);
property_report CheckOwnAnswer(const world& world);
property_report CheckNotRunIsTrue(const world& world);
property_report CheckAtMostOnce(const world& world);
property_report CheckDrains(const world& world);
property_report CheckShutdown(const world& world);
property_report CheckConfiguration(const world& world);

/// Runs all of them.
std::vector<property_report> CheckAll(const world& world);

}  // namespace limpetrouter::tests::scenario
