#pragma once

#include <cstdint>

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::entry {

/// Bounds of the delay before a request is forwarded to the owner of its permit again.
inline constexpr base::duration kMinResendDelay = std::chrono::milliseconds(20);
inline constexpr base::duration kMaxResendDelay = std::chrono::milliseconds(200);

/// Handles a non-repeatable request with a permit. The owner of the permit executes the request, or joins it to an
/// earlier copy with the same permit; other instances forward it to the owner. Only the owner may answer that the
/// request was not executed. `target.deadline` limits the wait.
void HandlePermitted(entry_tables& tables, instance::context& ctx, std::uint64_t sequence,
                     const peer::query_request& request, const permit& permit, const answer_target& target);

/// Answers that it cannot be determined whether the request was executed.
void AnswerOutcomeUnknown(entry_tables& tables, instance::context& ctx, std::uint64_t sequence,
                          const answer_target& target, std::string detail);

/// Resends forwarded requests whose send has failed. Answers requests at their deadline, and requests whose owner is
/// unavailable, with kOutcomeUnknown.
void AdvanceForwards(entry_tables& tables, instance::context& ctx);
/// Answers requests that joined an earlier copy and have reached their own deadline with kOutcomeUnknown.
void ExpireWaiters(entry_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::entry
