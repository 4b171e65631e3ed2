#pragma once

#include <cstdint>
#include <string_view>

#include "core/base/error_kind.h"
#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

struct membership_tables;

/// State of the fetch of a configuration from another instance.
struct configuration_fetch {
  /// Member that was asked and has not answered; empty if there is none.
  base::instance_id target;
  base::time_point sent{};
  /// Member that did not answer the last time.
  base::instance_id unresponsive;
  /// A difference did not apply, so the full value is asked for.
  bool full = false;
  /// Fetches of the revision that this instance has refused.
  std::uint32_t refused_attempts = 0;
  /// Members asked at the start, before anything was known about them.
  std::uint32_t initial_requests = 0;
};

/// Logs the end of an offer to the store and does what follows from a new configuration in force.
void HandleOfferResult(membership_tables& tables, instance::context& ctx, const base::result<bool>& offered,
                       std::string_view source);

/// Compares the revision that a member has in force with the own one, and fetches a newer one.
void HandlePeerRevision(membership_tables& tables, instance::context& ctx, const peer::message_header& header);
void AnswerFetch(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 const peer::configuration_request& request);
void AcceptValue(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 const peer::configuration_value& value);
/// A request could not be delivered, so another member is asked.
void HandleFetchFailure(membership_tables& tables, const base::instance_id& target);
/// Asks a random member, whether or not it is known to be ahead.
void FetchFromRandomMember(membership_tables& tables, instance::context& ctx);
void RunFetch(membership_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::membership
