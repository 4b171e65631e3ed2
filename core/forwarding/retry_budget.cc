#include "core/forwarding/retry_budget.h"

#include <algorithm>

namespace limpetrouter::core::forwarding {
namespace {

/// The window is longer than the platform's by this factor, because its slots begin at different times on each
/// instance.
constexpr double kWindowFactor = 1.15;
/// Share of the platform's ratio that is used. The rest covers requests that are counted in another window.
constexpr double kRatioShare = 0.9;
/// Share of the ratio that hedges may use.
constexpr double kHedgeShare = 0.7;
/// Share of the allowance that is used. The rest covers instances that restart, because they lose their count of the
/// sends that they have used.
constexpr double kAllowanceShare = 0.5;

routing::call_budget& BudgetOf(forwarding_tables& tables, const base::service_id& service) {
  routing::call_budget& budget = tables.budgets[service];
  budget.slot = base::duration(static_cast<base::duration::rep>(
      static_cast<double>(tables.bounds.retry_window.count()) * kWindowFactor / routing::kBudgetSlots));
  budget.allowance = static_cast<std::uint32_t>(kAllowanceShare * tables.bounds.retry_allowance /
                                                static_cast<double>(tables.fleet_size));
  return budget;
}

}  // namespace

void CountRequest(forwarding_tables& tables, const base::service_id& service, base::time_point now) {
  routing::CountCalls(BudgetOf(tables, service), 1, now);
}

bool TrySpendRetryBudget(forwarding_tables& tables, const base::service_id& service, extra_call_kind kind,
                         base::time_point now) {
  const double share = tables.bounds.retry_ratio * kRatioShare * (kind == extra_call_kind::kHedge ? kHedgeShare : 1);
  return routing::TakeExtraCall(BudgetOf(tables, service), share, now);
}

void UpdateFleetSize(forwarding_tables& tables, const instance::context& ctx) {
  const auto& members = ctx.members.members;
  const auto live = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const auto& item) {
    return item.second.listed || item.second.info.state != peer::member_state::kDead;
  }));
  const std::size_t size = live + 1;
  if (size < tables.fleet_size && ctx.now < tables.fleet_size_until) return;
  tables.fleet_size = size;
  tables.fleet_size_until = ctx.now + 2 * tables.bounds.retry_window;
}

}  // namespace limpetrouter::core::forwarding
