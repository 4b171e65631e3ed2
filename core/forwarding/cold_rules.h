#pragma once

#include <cstdint>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::forwarding {

/// Instances that read the configuration from the platform pass its rules for cold servers on in a message of their
/// own, ahead of the configuration. Nothing is sent while no service states such a rule, so that a follower takes the
/// rules for absent if none arrive in the time of two answers of its reader.

/// Where the rules of a configuration come from.
enum class rules_source : std::uint8_t {
  /// This instance has read the configuration, so that it holds its rules.
  kOwnRead,
  /// Another instance has sent it, and this instance knew an earlier one.
  kUpdate,
  /// Another instance has sent it, and it is the first one.
  kFirstUpdate,
};

/// Takes the rules of a configuration that has come into force, or of the same one that was read again.
void NoteConfiguration(forwarding_tables& tables, instance::context& ctx, const routing_table& routing,
                       rules_source source);
void HandleServiceRules(forwarding_tables& tables, instance::context& ctx, const peer::service_rules_update& update);
/// Ends the wait for rules that do not arrive.
void RunColdRules(forwarding_tables& tables, instance::context& ctx);
/// Sends the rules to the follower together with a configuration that it does not have. They are repeated with some of
/// the answers to its requests, because the message may be lost.
void SendColdRules(const forwarding_tables& tables, instance::context& ctx, const base::instance_id& id,
                   follower& target, bool answers_request);

}  // namespace limpetrouter::core::forwarding
