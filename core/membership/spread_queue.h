#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

struct membership_tables;

/// Changes that are still to be disseminated to other instances.
struct spread_queue {
  /// Members with updates, and the number of messages that will still carry them.
  std::map<base::instance_id, std::uint32_t> members;
  /// A change should be announced in the next tick.
  bool announce = false;
  /// Times of repeated announcements.
  std::vector<base::time_point> repeats;
  /// Token bucket for announcement rounds.
  double tokens = 0;
  base::time_point refilled{};
  base::time_point next_fact_announcement{};
};

/// Queues the current state of the member for the next messages.
void EnqueueMember(membership_tables& tables, const base::instance_id& id);

/// Announces all queued changes to a few random members in the next tick.
void AnnounceSoon(membership_tables& tables);
/// Same, and announces again to other random members 100 ms and 300 ms later. For changes of the revision and for
/// leaving.
void AnnounceRepeatedly(membership_tables& tables, base::time_point now);

/// Sends a UDP message that carries the state of this instance and as many queued changes as fit. Has no effect if
/// `address` is empty.
template <class Body>
void SendDatagram(membership_tables& tables, instance::context& ctx, const base::instance_id& target,
                  const std::string& address, Body body);

/// Merges the changes that a UDP message carries.
void MergeChanges(membership_tables& tables, instance::context& ctx, const peer::piggyback& changes);

/// Sends announcements that are due.
void RunSpread(membership_tables& tables, instance::context& ctx);

/// Picks up to `count` distinct random usable members, without `excluded`.
std::vector<base::instance_id> PickMembers(const membership_tables& tables, base::random_source& random,
                                           std::size_t count, const base::instance_id& excluded = {});

/// Number of messages that carry one change in a fleet of the current size: 3 ceil(log2(n + 1)) for n instances.
std::uint32_t TransmissionCount(const membership_tables& tables);

}  // namespace limpetrouter::core::membership
