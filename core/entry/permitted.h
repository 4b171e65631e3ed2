#pragma once

#include <cstdint>

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::entry {

/// Bounds of the delay before a request is forwarded to the owner of its permit again.
inline constexpr base::duration kMinResendDelay = std::chrono::milliseconds(20);
inline constexpr base::duration kMaxResendDelay = std::chrono::milliseconds(200);

/// Runs a non-repeatable request at the owner of its permit, joins it to the run of the same permit, or forwards it to
/// the owner. Only the owner says "not run". `target.deadline` bounds the wait.
void HandlePermitted(entry_tables& tables, instance::context& ctx, std::uint64_t sequence,
                     const peer::query_request& request, const permit& permit, const answer_target& target);

/// Answers that whether the request of this permit ran cannot be determined.
void AnswerOutcomeUnknown(entry_tables& tables, instance::context& ctx, std::uint64_t sequence,
                          const answer_target& target, std::string detail);

/// Resends forwarded requests, and answers those at their deadline or whose owner is gone with "unknown".
void AdvanceForwards(entry_tables& tables, instance::context& ctx);
/// Answers requests that joined a run and have reached their own deadline.
void ExpireWaiters(entry_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::entry
