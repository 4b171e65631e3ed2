#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::membership {

/// What an instance knows of itself, from its settings.
struct identity {
  base::instance_ref ref;
  base::data_centre_id data_centre;
  std::string peer_address;
  std::string http_address;
  /// Processor share in thousandths of a core; 0 if not stated.
  std::uint32_t capacity = 0;
};

/// What this instance believes of one other instance.
struct member {
  /// `info.state` is the state that follows from the marks below. A seed of the instance list has incarnation 0 and is
  /// kDead until it is heard of.
  peer::member_update info;
  /// When `info.state` last changed.
  base::time_point since{};
  /// When a message of this life of the member last arrived. Zero if none has.
  base::time_point last_contact{};

  bool dead = false;
  bool suspected = false;
  /// The member itself said that it leaves. Holds for this incarnation.
  bool leaving_announced = false;
  /// The instance list says that it leaves. The list may lag behind a restart, so the mark follows the list.
  bool leaving_listed = false;
  /// The member is in the instance list.
  bool listed = false;
  /// When the member was last told that it is taken for suspect or dead.
  base::time_point last_suspicion_notice{};

  /// Configuration in force at the member, from its last message.
  base::revision_id revision;
  std::uint64_t digest = 0;
  /// Revision for which a difference of digests was reported.
  base::revision_id reported_conflict;
};

/// The members by instance id, without this instance. Dead members stay for a while so that old news of them is
/// recognised.
struct member_table {
  identity self;
  std::map<base::instance_id, member> members;
  /// Counter in updates about this instance. Raised to refute a suspicion.
  std::uint32_t self_counter = 0;
  bool self_leaving = false;
  /// Raised whenever the set of usable members or a state changes; placement is computed anew then.
  std::uint64_t version = 1;
};

const member* FindMember(const member_table& table, const base::instance_id& id);

/// True if work may be sent to the member: it is this instance, or it is alive, leaving or merely suspect.
bool IsReachable(const member_table& table, const base::instance_id& id);

/// True if `ref` is the current life of a reachable member or of this instance.
bool IsCurrent(const member_table& table, const base::instance_ref& ref);

/// Address for messages to the member, empty if it is not known. Works for this instance too.
std::string PeerAddressOf(const member_table& table, const base::instance_id& id);

}  // namespace limpetrouter::core::membership
