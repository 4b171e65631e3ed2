#pragma once

#include <array>
#include <cstdint>

#include "core/base/time.h"

namespace limpetrouter::core::routing {

/// Number of time slots in the sliding window of a budget.
inline constexpr std::size_t kBudgetSlots = 10;

/// Limits extra calls (hedges or retries) to a share of the calls in a sliding window.
struct call_budget {
  /// Length of a time slot; the window consists of ten. A short window bounds the load at any moment, a long one allows
  /// bursts.
  base::duration slot = std::chrono::milliseconds(100);
  /// Extra calls that are allowed in addition to the share, so that some are possible when there are few calls.
  std::uint32_t allowance = 2;
  std::array<std::uint64_t, kBudgetSlots> calls{};
  std::array<std::uint64_t, kBudgetSlots> extra{};
  std::int64_t newest_slot = 0;
  std::uint64_t total_calls = 0;
  std::uint64_t total_extra = 0;
  std::uint64_t denied = 0;
};

void CountCalls(call_budget& budget, std::uint64_t calls, base::time_point now);
/// Takes one extra call from the budget, which is `share` of the recent calls plus the allowance. Returns false, and
/// counts the denial, if the budget is exhausted or `share` is not positive.
bool TakeExtraCall(call_budget& budget, double share, base::time_point now);

struct budget_use {
  std::uint64_t calls = 0;
  std::uint64_t extra = 0;
};
/// Returns the calls and extra calls of the window that ends at `now`.
budget_use RecentUse(const call_budget& budget, base::time_point now);

}  // namespace limpetrouter::core::routing
