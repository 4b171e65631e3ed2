#pragma once

#include <cstdint>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

enum class extra_call_kind : std::uint8_t { kHedge, kRetry };

/// Counts a request for the service. The budget of repeated sends grows with the number of requests.
void CountRequest(forwarding_tables& tables, const base::service_id& service, base::time_point now);
/// Takes one repeated send from this instance's share of the fleet's budget, and returns false if the share is used up.
/// Hedges may use only a part of the budget, so that the rest is left for retries.
bool TrySpendRetryBudget(forwarding_tables& tables, const base::service_id& service, extra_call_kind kind,
                         base::time_point now);
/// Tracks the number of instances. A smaller number takes effect only after two complete windows, because removed
/// instances have used their shares.
void UpdateFleetSize(forwarding_tables& tables, const instance::context& ctx);

}  // namespace limpetrouter::core::forwarding
