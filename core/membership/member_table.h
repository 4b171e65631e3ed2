#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

/// Identity of this instance, from its settings.
struct identity {
  base::instance_ref ref;
  base::data_centre_id data_centre;
  std::string peer_address;
  std::string http_address;
  /// Processor share in thousandths of a core; 0 if not stated.
  std::uint32_t capacity = 0;
};

/// State of one other instance as seen by this instance.
struct member {
  /// `info.state` is derived from the marks below. A seed of the instance list has incarnation 0 and is kDead until an
  /// update or a message of the instance arrives.
  peer::member_update info;
  /// When `info.state` last changed.
  base::time_point since{};
  /// When a message of this incarnation of the member last arrived. Zero if none has arrived.
  base::time_point last_contact{};

  bool dead = false;
  bool suspected = false;
  /// The member itself announced that it is leaving. Valid for this incarnation.
  bool leaving_announced = false;
  /// The instance list says that the member is leaving. The list may lag behind a restart, so the mark follows the list
  /// rather than the incarnation.
  bool leaving_listed = false;
  /// The member is in the instance list.
  bool listed = false;
  /// When the member was last notified that this instance considers the member suspect or dead.
  base::time_point last_suspicion_notice{};

  /// Revision in force at the member, and its digest, from the last message of the member.
  base::revision_id revision;
  std::uint64_t digest = 0;
  /// Last revision for which differing digests were reported, so that each conflict is reported once.
  base::revision_id reported_conflict;
};

/// The members by instance id, without this instance. Dead members are retained for some time, so that outdated updates
/// about them are recognised.
struct member_table {
  identity self;
  std::map<base::instance_id, member> members;
  /// Counter in updates about this instance. Raised to refute a suspicion.
  std::uint32_t self_counter = 0;
  bool self_leaving = false;
  /// Raised whenever the set of usable members or a state that matters to placement changes. Placement is then
  /// recomputed.
  std::uint64_t version = 1;
};

/// The member with this id, or null. This instance is not a member of its own table.
const member* FindMember(const member_table& table, const base::instance_id& id);

/// True if requests may be sent to the instance: it is this instance, or a member that is alive, leaving or suspect.
bool IsReachable(const member_table& table, const base::instance_id& id);

/// True if `ref` is the current incarnation of a reachable member or of this instance.
bool IsCurrent(const member_table& table, const base::instance_ref& ref);

/// Address for messages to the member or to this instance. Empty if the address is not known.
std::string PeerAddressOf(const member_table& table, const base::instance_id& id);

}  // namespace limpetrouter::core::membership
