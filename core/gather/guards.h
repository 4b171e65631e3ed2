#pragma once

#include <optional>

#include "core/base/error_kind.h"
#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// Maximum of calls that wait for the end of another call with the same fingerprint.
inline constexpr std::size_t kMaxWaiting = 512;

/// Sets `guarded` and `exclusive` of a call from what this gatherer and the gossiped facts say about its fingerprint.
void ClassifyCall(const gather_tables& tables, const instance::context& ctx, call& call);

/// Checks a guarded call again before it starts. Returns an error if the call must not be executed: kRequestWithheld,
/// or kConnectFailed for an unproven request that is suspected of having crashed this same backend server.
std::optional<base::error_kind> CheckGuarded(const gather_tables& tables, const instance::context& ctx, call& call);

/// Queues a guarded call, or makes it wait if another call with the same fingerprint is active. Returns false if
/// already `kMaxWaiting` calls wait.
bool AdmitGuarded(gather_tables& tables, const instance::context& ctx, call& call);

/// Queues suspected calls whose delay has passed, and ends those that must no longer be executed.
void ResumeDelayedCalls(gather_tables& tables, instance::context& ctx);

/// Handles the end of a guarded call. After a success, the waiting calls that no longer need a guard are queued. Then
/// the next waiting call, if there is one, becomes the active call.
void EndGuarded(gather_tables& tables, instance::context& ctx, const call& ended, bool succeeded);

/// Removes the fingerprint from those that succeeded at this gatherer, after a crash that it may have caused.
void RevokeProven(gather_tables& tables, base::fingerprint_id fingerprint);

/// Returns the hash that identifies a backend server in crash evidence.
std::uint64_t ServerHash(const base::backend_server_id& server);

}  // namespace limpetrouter::core::gather
