#pragma once

#include <array>
#include <cstdint>

#include "core/base/time.h"

namespace limpetrouter::core::routing {

inline constexpr std::size_t kBudgetSlots = 10;

/// Bounds extra calls (hedges or retries) to a share of the calls of a sliding window.
struct call_budget {
  /// Length of the window is ten slots. A short window bounds the load of any moment, a long one allows bursts.
  base::duration slot = std::chrono::milliseconds(100);
  /// Extra calls that are allowed however few calls there are.
  std::uint32_t allowance = 2;
  std::array<std::uint64_t, kBudgetSlots> calls{};
  std::array<std::uint64_t, kBudgetSlots> extra{};
  std::int64_t newest_slot = 0;
  std::uint64_t total_calls = 0;
  std::uint64_t total_extra = 0;
  std::uint64_t denied = 0;
};

void CountCalls(call_budget& budget, std::uint64_t calls, base::time_point now);
/// Takes one extra call out of the budget of `share`. Returns false, and counts the denial, if none is left.
bool TakeExtraCall(call_budget& budget, double share, base::time_point now);

struct budget_use {
  std::uint64_t calls = 0;
  std::uint64_t extra = 0;
};
/// Calls and extra calls of the window that ends now.
budget_use RecentUse(const call_budget& budget, base::time_point now);

}  // namespace limpetrouter::core::routing
