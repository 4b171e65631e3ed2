#pragma once

#include <cstdint>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

enum class extra_call_kind : std::uint8_t { kHedge, kRetry };

/// Counts a request for the service, which the budget of repeated sends grows with.
void CountRequest(forwarding_tables& tables, const base::service_id& service, base::time_point now);
/// Takes one repeated send out of this instance's share of the fleet's budget. Hedges leave a part of it to retries.
bool TrySpendRetryBudget(forwarding_tables& tables, const base::service_id& service, extra_call_kind kind,
                         base::time_point now);
/// Follows the number of instances. A smaller one counts only after a whole window, because those that are gone have
/// used their shares.
void UpdateFleetSize(forwarding_tables& tables, const instance::context& ctx);

}  // namespace limpetrouter::core::forwarding
