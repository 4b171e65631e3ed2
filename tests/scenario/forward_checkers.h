#pragma once

#include "tests/scenario/checkers.h"

namespace limpetrouter::tests::scenario {

/// A backend server that drains takes no call later than this after its entry.
inline constexpr base::duration kForwardDrainBound = std::chrono::seconds(3);

/// The platform allows this many calls of a request that has crashed three servers, from this time after the third
/// crash on.
inline constexpr std::size_t kForwardMaxCrashRetries = 3;
inline constexpr base::duration kForwardCrashBound = std::chrono::seconds(4);

/// Callers may notice a cut between instances and servers for this long. After it, first tries at these instances are
/// served at least this share as often as those at the others, or no more than a few of them fail.
inline constexpr base::duration kForwardCutBound = std::chrono::seconds(4);
inline constexpr double kForwardCutShare = 2.0 / 3;
inline constexpr double kForwardCutFailures = 10;
inline constexpr double kForwardCutFailureShare = 1.0 / 50;

// One checker for each property of forwarded requests. Each runs over the whole trace.

/// The answer is the caller's own, in time, and from the backend servers that it names.
property_report CheckForwardAnswer(const world& world);
/// A merged answer states what is missing, has its route's coverage, and the greatest records of the other parts.
property_report CheckForwardCoverage(const world& world);
/// After a status that promises it, no backend server has run the try.
property_report CheckForwardNotRun(const world& world);
/// A request that must not repeat ran at most once, and no part went to more servers than its route allows.
property_report CheckForwardOnce(const world& world);
property_report CheckForwardDrain(const world& world);
/// Repeated sends of all instances together in any window.
property_report CheckForwardBudget(const world& world);
/// While some instances are cut off from the servers, callers' first tries there are served about as often as
/// elsewhere.
property_report CheckForwardCutOff(const world& world);
/// A request that crashes the servers that run it reaches few servers once instances had time to learn of three
/// crashes.
property_report CheckForwardCrashes(const world& world);

}  // namespace limpetrouter::tests::scenario
