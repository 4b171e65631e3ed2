#pragma once

#include <string_view>

#include "core/instance/context.h"
#include "core/membership/member_table.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

struct membership_tables;

/// Maximum number of members. Bounds the memory that updates of other instances can take.
inline constexpr std::size_t kMaxMembers = 4096;

/// The update that describes the member to other instances. Omits the marks of the instance list, because each instance
/// reads the list itself.
peer::member_update MakeUpdate(const member& entry);
/// The update that describes this instance to others.
peer::member_update MakeSelfUpdate(const member_table& table);

/// Records that a message of the member has arrived, which proves that the member is alive.
void RecordContact(membership_tables& tables, instance::context& ctx, const base::instance_ref& sender,
                   const base::data_centre_id& data_centre);

/// Merges an update from another instance about a member, or about this instance. Updates about this instance that
/// report it as suspect or dead are refuted.
void MergeUpdate(membership_tables& tables, instance::context& ctx, const peer::member_update& update);

/// Record local results of the failure detector. They have no effect unless `ref` is the current incarnation of the
/// member.
void MarkSuspect(membership_tables& tables, instance::context& ctx, const base::instance_ref& ref);
void MarkDead(membership_tables& tables, instance::context& ctx, const base::instance_ref& ref);

/// Records what the instance list says about a member. Adds a seed if the member is not known.
void MarkListed(membership_tables& tables, instance::context& ctx, const peer::member_update& listed);
/// Records that the member is no longer in the instance list.
void MarkUnlisted(membership_tables& tables, const base::instance_id& id);

/// "alive", "leaving", "suspect" or "dead".
std::string_view ToString(peer::member_state state);

}  // namespace limpetrouter::core::membership
