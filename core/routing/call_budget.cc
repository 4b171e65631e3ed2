#include "core/routing/call_budget.h"

namespace limpetrouter::core::routing {
namespace {

std::int64_t SlotNumber(const call_budget& budget, base::time_point now) {
  return now.time_since_epoch() / budget.slot;
}

void Advance(call_budget& budget, base::time_point now) {
  const std::int64_t current_slot = SlotNumber(budget, now);
  if (current_slot - budget.newest_slot >= static_cast<std::int64_t>(kBudgetSlots)) {
    budget.calls.fill(0);
    budget.extra.fill(0);
    budget.newest_slot = current_slot;
  }
  while (budget.newest_slot < current_slot) {
    ++budget.newest_slot;
    const auto i = static_cast<std::size_t>(budget.newest_slot) % kBudgetSlots;
    budget.calls[i] = 0;
    budget.extra[i] = 0;
  }
}

}  // namespace

void CountCalls(call_budget& budget, std::uint64_t calls, base::time_point now) {
  Advance(budget, now);
  budget.calls[static_cast<std::size_t>(budget.newest_slot) % kBudgetSlots] += calls;
  budget.total_calls += calls;
}

bool TakeExtraCall(call_budget& budget, double share, base::time_point now) {
  Advance(budget, now);
  const budget_use use = RecentUse(budget, now);
  const double allowed = share * static_cast<double>(use.calls);
  if (share <= 0 || static_cast<double>(use.extra + 1) > allowed + static_cast<double>(budget.allowance)) {
    ++budget.denied;
    return false;
  }
  ++budget.extra[static_cast<std::size_t>(budget.newest_slot) % kBudgetSlots];
  ++budget.total_extra;
  return true;
}

budget_use RecentUse(const call_budget& budget, base::time_point now) {
  budget_use use;
  const std::int64_t oldest = SlotNumber(budget, now) - static_cast<std::int64_t>(kBudgetSlots) + 1;
  for (std::size_t age = 0; age < kBudgetSlots; ++age) {
    const std::int64_t number = budget.newest_slot - static_cast<std::int64_t>(age);
    if (number < oldest || number < 0) break;
    use.calls += budget.calls[static_cast<std::size_t>(number) % kBudgetSlots];
    use.extra += budget.extra[static_cast<std::size_t>(number) % kBudgetSlots];
  }
  return use;
}

}  // namespace limpetrouter::core::routing
