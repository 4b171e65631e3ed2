#pragma once

#include <optional>

#include "core/base/error_kind.h"
#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// Calls that may wait for the end of one with the same fingerprint.
inline constexpr std::size_t kMaxWaiting = 512;

/// Decides whether a call must be guarded or run alone, by what is known of its fingerprint, and sets both flags.
void ClassifyCall(const gather_tables& tables, const instance::context& ctx, call& call);

/// Judges a guarded call anew before it starts. Returns why it must not run, if so: kRequestWithheld, or kConnectFailed
/// for an unproven request that is suspected of having crashed this very backend server.
std::optional<base::error_kind> CheckGuarded(const gather_tables& tables, const instance::context& ctx, call& call);

/// Queues a guarded call, or lets it wait if another one with its fingerprint is under way. False if too many wait.
bool AdmitGuarded(gather_tables& tables, const instance::context& ctx, call& call);

/// Queues suspected calls whose turn has come, and ends those that must not run any longer.
void ResumeDelayedCalls(gather_tables& tables, instance::context& ctx);

/// A guarded call has ended. After a success the waiting calls run; otherwise the next one of them takes its place.
void EndGuarded(gather_tables& tables, instance::context& ctx, const call& ended, bool succeeded);

/// The fingerprint is not trusted any longer.
void RevokeProven(gather_tables& tables, base::fingerprint_id fingerprint);

/// Identifies a backend server in crash evidence.
std::uint64_t ServerHash(const base::backend_server_id& server);

}  // namespace limpetrouter::core::gather
