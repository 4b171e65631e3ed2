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
};

/// What this instance believes of one other instance.
struct member {
  peer::member_update info;
  /// When `info.state` last changed.
  base::time_point since{};
  /// When a message of this life of the member last arrived. Zero if none has.
  base::time_point heard{};
};

/// The members by instance id, without this instance. Dead members stay for a while so that old news of them is
/// recognised.
struct member_table {
  identity self;
  std::map<base::instance_id, member> members;
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
