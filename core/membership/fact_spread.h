#pragma once

#include <cstddef>
#include <vector>

#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

struct membership_tables;

/// Adds facts that are still to be passed on, at most `count` and `bytes`. Returns the bytes added.
std::size_t AppendFacts(membership_tables& tables, base::time_point now, std::size_t count, std::size_t bytes,
                        peer::piggyback& changes);

/// All facts, for a table exchange.
std::vector<peer::fact> AllFacts(const membership_tables& tables, base::time_point now);

/// Takes over facts of another instance.
void MergeFacts(membership_tables& tables, instance::context& ctx, const std::vector<peer::fact>& facts);

/// True if there are facts that have not been announced yet. They count as announced afterwards.
bool TakeUrgentFacts(membership_tables& tables);

/// Forgets facts that have expired, and drains that a newer configuration has ended.
void CleanUpFacts(membership_tables& tables, base::time_point now);

}  // namespace limpetrouter::core::membership
