#pragma once

#include <cstdint>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

struct membership_tables;

/// State of anti-entropy: complete tables are exchanged with one peer at a time.
struct anti_entropy {
  /// No exchange begins before this time.
  base::time_point not_before{};
  /// Member for the next exchange; empty if no exchange is needed.
  base::instance_id partner;
  /// Digest of the own tables at the last comparison. `digest_since` is the time from which it has not changed.
  std::uint64_t digest = 0;
  base::time_point digest_since{};
  /// Consecutive probe acknowledgements whose digest differed from the own one.
  std::uint32_t mismatches = 0;
  /// A table has been received in this incarnation, and since the last pause of the process.
  bool joined = false;
};

/// Hash of the usable members and the facts. Equal tables have equal digests on all instances.
std::uint64_t DigestOfTables(const membership_tables& tables, base::time_point now);

/// Schedules an exchange with this member as soon as the rate limit allows. Has no effect if one is scheduled already.
void RequestExchange(membership_tables& tables, const base::instance_id& id);

/// Compares the digest in a probe acknowledgement with the own one, and requests an exchange if they keep differing.
void CompareDigest(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                   std::uint64_t digest);
/// Merges the tables of a peer. If a reply is wanted, sends back what the peer lacks or has in another state.
void MergeTables(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 const peer::table_exchange& exchange);
/// Handles an exchange that could not be delivered: the next one may begin after a shorter interval.
void HandleExchangeFailure(membership_tables& tables, base::time_point now);
void RunAntiEntropy(membership_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::membership
