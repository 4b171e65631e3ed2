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

/// Holders of every backend server, by the index of the server in the configuration.
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

/// Computes the holders of every backend server by rendezvous hashing of placement groups over the candidates in the
/// data centre of the backend server (or in its region, or all candidates, if there are none). The load of a candidate
/// is capped at 1.25 times the average. The result depends on the arguments alone, and not on the order of
/// `candidates`.
placement ComputePlacement(const config::configuration& config, std::vector<placement_candidate> candidates);

/// Instances that may hold backend servers: this instance, and members that are alive or suspect. Leaving instances are
/// left out.
std::vector<placement_candidate> PlacementCandidates(const member_table& members, bool self_leaving);

}  // namespace limpetrouter::core::membership
