#pragma once

#include <cstdint>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

struct membership_tables;

/// State of the exchange of whole tables, one peer at a time.
struct anti_entropy {
  /// No exchange is begun before.
  base::time_point not_before{};
  /// With whom to exchange next; empty if there is no reason to.
  base::instance_id partner;
  /// Own digest when the last probe was answered, and since when it is the same.
  std::uint64_t digest = 0;
  base::time_point digest_since{};
  /// Answers in a row with another digest than the own one.
  std::uint32_t mismatches = 0;
  /// A table has been received in this life.
  bool joined = false;
};

/// Hash of the usable members and the facts. Equal tables have equal digests on all instances.
std::uint64_t DigestOfTables(const membership_tables& tables, base::time_point now);

/// Asks for an exchange with this member as soon as the rate allows.
void RequestExchange(membership_tables& tables, const base::instance_id& id);

/// Compares the digest in the answer of a member with the own one.
void CompareDigest(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                   std::uint64_t digest);
void MergeTables(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 const peer::table_exchange& exchange);
/// An exchange could not be delivered; another one may follow soon.
void HandleExchangeFailure(membership_tables& tables, base::time_point now);
void RunAntiEntropy(membership_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::membership
