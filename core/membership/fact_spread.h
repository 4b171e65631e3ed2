#pragma once

#include <cstddef>
#include <vector>

#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

struct membership_tables;

/// Adds facts that still have transmissions left to `changes`, those with the most left first, until `changes` holds
/// `count` facts or `bytes` bytes have been added. Returns the number of bytes added.
std::size_t AppendFacts(membership_tables& tables, base::time_point now, std::size_t count, std::size_t bytes,
                        peer::piggyback& changes);

/// All facts whose remaining lifetime is long enough to be passed on, for a table exchange.
std::vector<peer::fact> AllFacts(const membership_tables& tables, base::time_point now);

/// Merges facts that another instance sent.
void MergeFacts(membership_tables& tables, instance::context& ctx, const std::vector<peer::fact>& facts);

/// Removes facts that have expired, and drains that a newer configuration has ended.
void CleanUpFacts(membership_tables& tables, base::time_point now);

}  // namespace limpetrouter::core::membership
