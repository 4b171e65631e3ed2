#pragma once

#include <optional>

#include "core/base/error_kind.h"
#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// Applies the placement: adds new holdings, updates changed limits, and marks lost holdings. Returns early if neither
/// the placement nor the member table changed.
void SyncHoldings(gather_tables& tables, instance::context& ctx);

/// Removes holdings that were lost at least 5 s ago and have no calls left.
void RemoveLostHoldings(gather_tables& tables, instance::context& ctx);

/// Returns true if this instance may execute calls on the backend server: as its primary, as its standby while the
/// primary is unusable, or for 5 s after the holding was lost.
bool MayServe(const holding& holding, const instance::context& ctx, bool primary_unusable);

}  // namespace limpetrouter::core::gather
