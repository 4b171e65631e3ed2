#pragma once

#include <cstdint>
#include <vector>

#include "core/base/strong_id.h"
#include "core/config/configuration.h"
#include "core/membership/member_table.h"

namespace limpetrouter::core::membership {

/// The instances that hold connections to a backend server. Empty ids if there is no such instance.
struct holders {
  base::instance_id primary;
  base::instance_id standby;
};

/// Holders of every backend server, by index in the configuration.
struct placement {
  std::vector<holders> by_backend_server;
  /// Inputs that the placement was computed from.
  base::revision_id revision;
  std::uint64_t members_version = 0;
};

/// An instance that may hold backend servers.
struct placement_candidate {
  base::instance_id id;
  base::data_centre_id data_centre;
};

/// Computes the holders of every backend server: rendezvous hashing of placement groups over the candidates in the data
/// centre of the backend server (or its region, or all, if there are none), with a load cap of 1.25 of the average. A
/// pure function of its arguments; the order of `candidates` has no influence.
placement ComputePlacement(const config::configuration& config, std::vector<placement_candidate> candidates);

/// Members that may hold backend servers: this instance and members that are alive or suspect, not those that leave.
std::vector<placement_candidate> PlacementCandidates(const member_table& members, bool self_leaving);

}  // namespace limpetrouter::core::membership
