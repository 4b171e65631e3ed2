#pragma once

#include <string_view>

#include "core/instance/context.h"
#include "core/membership/member_table.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

struct membership_tables;

/// Bounds the memory that updates of other instances can take.
inline constexpr std::size_t kMaxMembers = 4096;

/// The member as it is described to other instances. Marks of the instance list are left out, because each instance
/// reads the list itself.
peer::member_update MakeUpdate(const member& entry);
/// This instance as it is described to others.
peer::member_update MakeSelfUpdate(const member_table& table);

/// A message of the member has arrived: it lives.
void RecordContact(membership_tables& tables, instance::context& ctx, const base::instance_ref& sender,
                   const base::data_centre_id& data_centre);

/// Takes over what another instance says about a member, or about this instance.
void MergeUpdate(membership_tables& tables, instance::context& ctx, const peer::member_update& update);

/// Local findings of the failure detector. `ref` must be the current life of the member, else nothing happens.
void MarkSuspect(membership_tables& tables, instance::context& ctx, const base::instance_ref& ref);
void MarkDead(membership_tables& tables, instance::context& ctx, const base::instance_ref& ref);

/// What the instance list says about a member. Adds a seed if it is not known.
void MarkListed(membership_tables& tables, instance::context& ctx, const peer::member_update& listed);
/// The member is no longer in the instance list.
void MarkUnlisted(membership_tables& tables, const base::instance_id& id);

/// "alive", "leaving", "suspect" or "dead".
std::string_view ToString(peer::member_state state);

}  // namespace limpetrouter::core::membership
