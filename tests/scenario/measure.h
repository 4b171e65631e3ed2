#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "tests/scenario/world.h"

namespace limpetrouter::tests::scenario {

/// Which requests a measurement covers.
struct selection {
  base::time_point from{};
  base::time_point to = base::time_point::max();
  /// Empty for all, else "collection/operation".
  std::string target;
  bool urgent_only = false;
};

struct measures {
  std::uint64_t requests = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t refused = 0;
  std::uint64_t unanswered = 0;
  std::map<std::string, std::uint64_t> refusals;
  /// Latency of successes as callers see it.
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  /// Latest refusal as a share of its deadline.
  double worst_refusal_share = 0;
  /// Mean and least coverage of successes, 1 is full.
  double mean_coverage = 0;
  double min_coverage = 0;
  /// Shards answered in successes: the calls that were needed.
  std::uint64_t needed_calls = 0;
  /// Backend calls that were made for all answered requests.
  std::uint64_t calls = 0;

  /// Calls above the needed ones, as a share of the needed ones.
  double ExtraLoad() const;
};

measures Measure(const world& world, const selection& selection);

}  // namespace limpetrouter::tests::scenario
