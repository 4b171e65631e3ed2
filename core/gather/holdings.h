#pragma once

#include <optional>

#include "core/base/error_kind.h"
#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// Follows the placement: adds new holdings, takes over changed limits, and marks lost ones. Cheap if nothing changed.
void SyncHoldings(gather_tables& tables, instance::context& ctx);

/// Forgets holdings that were lost some seconds ago and have no calls left.
void RemoveLostHoldings(gather_tables& tables, instance::context& ctx);

/// True if calls for the backend server may run here: as its primary, as its standby while the primary is not usable,
/// or for a few seconds after the holding was lost.
bool MayServe(const holding& holding, const instance::context& ctx, bool primary_unusable);

}  // namespace limpetrouter::core::gather
