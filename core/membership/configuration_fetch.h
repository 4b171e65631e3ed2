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
  /// Member whose answer is awaited; empty if there is none.
  base::instance_id target;
  base::time_point sent{};
  /// Member that did not answer the last request in time. The next fetch skips this member.
  base::instance_id unresponsive;
  /// A patch did not apply, so the next request is for the full configuration.
  bool full = false;
  /// Number of fetches of the revision that this instance has refused.
  std::uint32_t refused_attempts = 0;
  /// Number of requests sent at startup, before the revisions of the members were known.
  std::uint32_t initial_requests = 0;
};

/// Logs the result of an offer to the store. If a new configuration is in force, updates the context and announces the
/// revision.
void HandleOfferResult(membership_tables& tables, instance::context& ctx, const base::result<bool>& offered,
                       std::string_view source);

/// Records the revision that the sender has in force, reports a conflict (same revision, other digest), and fetches a
/// newer revision.
void HandlePeerRevision(membership_tables& tables, instance::context& ctx, const peer::message_header& header);
/// Sends the configuration in force, or a patch to it, unless there is nothing newer to send.
void AnswerFetch(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 const peer::configuration_request& request);
/// Offers a received configuration to the store. Asks for the full configuration if a patch did not apply.
void AcceptValue(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 const peer::configuration_value& value);
/// Handles a request that could not be delivered: another member is asked at the next run.
void HandleFetchFailure(membership_tables& tables, const base::instance_id& target);
/// Requests the configuration from a random member, whether or not that member has a newer revision.
void FetchFromRandomMember(membership_tables& tables, instance::context& ctx);
/// Sends the requests that are due at startup and replaces a member that does not answer in time.
void RunFetch(membership_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::membership
