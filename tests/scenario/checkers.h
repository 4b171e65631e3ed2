#pragma once

#include <string>
#include <vector>

#include "tests/scenario/world.h"

namespace limpetrouter::tests::scenario {

struct violation {
  std::string property;
  std::string what;
};

/// Bounds of the stated targets.
inline constexpr base::duration kDrainBound = std::chrono::seconds(2);
inline constexpr base::duration kConfigurationBound = std::chrono::seconds(4);
/// Callers' network and tick resolution on top of a deadline.
inline constexpr base::duration kAnswerSlack = std::chrono::milliseconds(50);

// One checker for each property that must always hold. Each runs over the whole trace.
void CheckOneSnapshot(const world& world, std::vector<violation>& out);
void CheckTrueCoverage(const world& world, std::vector<violation>& out);
void CheckOwnAnswer(const world& world, std::vector<violation>& out);
void CheckNotRunIsTrue(const world& world, std::vector<violation>& out);
void CheckAtMostOnce(const world& world, std::vector<violation>& out);
void CheckDrains(const world& world, std::vector<violation>& out);
void CheckShutdown(const world& world, std::vector<violation>& out);
void CheckConfiguration(const world& world, std::vector<violation>& out);

/// Runs all of them.
std::vector<violation> CheckAll(const world& world);

}  // namespace limpetrouter::tests::scenario
