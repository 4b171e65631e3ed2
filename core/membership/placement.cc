#include "core/membership/placement.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "core/base/digest.h"
#include "core/base/random.h"

namespace limpetrouter::core::membership {
namespace {

/// Maximum load of a candidate, as a multiple of the average.
constexpr double kLoadCap = 1.25;
/// Stands for the collection of servers that hold no shard.
constexpr std::uint32_t kUnmapped = UINT32_MAX;
constexpr std::size_t kNone = SIZE_MAX;

/// Position of a backend server in the shard order of its collection.
struct server_position {
  std::uint32_t collection = kUnmapped;
  /// Index among the positions of the collection.
  std::uint32_t position = 0;
};

/// Servers that are placed on the same holders, as far as the load cap permits.
struct server_group {
  std::uint64_t hash = 0;
  std::vector<std::uint32_t> servers;
};

/// Servers that are placed on the same set of candidates.
struct pool {
  std::vector<std::size_t> candidates;
  std::vector<std::uint32_t> servers;
};

/// Number of servers that each candidate holds so far in one of the two roles, and the load cap.
struct loads {
  std::vector<std::size_t> count;
  std::size_t cap = 0;
};

/// Positions of all servers of the configuration.
struct positions {
  std::vector<server_position> by_server;
  /// Number of positions by collection; the entry of `kUnmapped` counts servers without shards.
  std::map<std::uint32_t, std::uint32_t> count;
};

/// Numbers the servers of each collection by their first shard in the newest snapshot. The numbers are the same on all
/// instances and independent of members and of other collections, so that groups keep their servers when a server is
/// added or removed.
positions FindPositions(const config::configuration& config) {
  positions found;
  found.by_server.resize(config.backend_servers.size());
  for (std::uint32_t c = 0; c < config.shard_maps.size(); ++c) {
    const config::snapshot* const newest = config::NewestSnapshot(config, config.shard_maps[c].collection);
    if (newest == nullptr) continue;
    std::uint32_t next = 0;
    for (const config::shard& shard : newest->shards) {
      bool first = false;
      for (const std::uint32_t server : shard.replicas) {
        if (server >= found.by_server.size() || found.by_server[server].collection != kUnmapped) continue;
        found.by_server[server] = {c, next};
        first = true;
      }
      if (first) ++next;
    }
    found.count[c] = next;
  }
  std::vector<std::uint32_t> unmapped;
  for (std::uint32_t s = 0; s < found.by_server.size(); ++s) {
    if (found.by_server[s].collection == kUnmapped) unmapped.push_back(s);
  }
  std::sort(unmapped.begin(), unmapped.end(), [&](std::uint32_t a, std::uint32_t b) {
    return config.backend_servers[a].id < config.backend_servers[b].id;
  });
  for (std::uint32_t i = 0; i < unmapped.size(); ++i)
    found.by_server[unmapped[i]].position = i;
  found.count[kUnmapped] = static_cast<std::uint32_t>(unmapped.size());
  return found;
}

/// Group size of a pool: the configured size `rule`, or a smaller power of two if the average share of a candidate is
/// smaller. A power of two keeps the size from changing with every member.
std::uint32_t GroupSize(std::uint32_t rule, std::size_t servers, std::size_t candidates) {
  const std::size_t share = (servers + candidates - 1) / candidates;
  if (share >= rule) return std::max<std::uint32_t>(rule, 1);
  return static_cast<std::uint32_t>(std::bit_floor(std::max<std::size_t>(share, 1)));
}

/// Splits the servers of one data centre of a pool into groups of adjacent positions. Replicas of the same shard are
/// put into different groups.
void AddGroups(const config::configuration& config, const positions& positions, std::uint32_t group_size,
               std::vector<std::uint32_t> servers, std::vector<server_group>& groups) {
  const auto order = [&](std::uint32_t s) {
    const server_position& p = positions.by_server[s];
    return std::tie(p.collection, p.position, config.backend_servers[s].id);
  };
  std::sort(servers.begin(), servers.end(), [&](std::uint32_t a, std::uint32_t b) { return order(a) < order(b); });

  // The key is a collection and a rank among the replicas at one position. The value lists the servers of that rank in
  // the order of their positions.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<std::uint32_t>> rows;
  std::uint32_t rank = 0;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const server_position& p = positions.by_server[servers[i]];
    const bool same = i > 0 && positions.by_server[servers[i - 1]].collection == p.collection &&
                      positions.by_server[servers[i - 1]].position == p.position;
    rank = same ? rank + 1 : 0;
    rows[{p.collection, rank}].push_back(servers[i]);
  }
  for (const auto& [key, row] : rows) {
    const std::uint32_t count = positions.count.at(key.first);
    const auto stride = std::bit_floor(std::max<std::uint32_t>(count / static_cast<std::uint32_t>(row.size()), 1));
    const std::uint32_t window = group_size * stride;
    const std::string& collection =
        key.first == kUnmapped ? std::string() : config.shard_maps[key.first].collection.value;
    const std::uint64_t row_hash =
        base::HashBytes(collection, base::HashBytes(config.backend_servers[row[0]].data_centre.value, key.second));
    std::uint32_t last = UINT32_MAX;
    for (const std::uint32_t server : row) {
      const std::uint32_t index = positions.by_server[server].position / window;
      if (index != last) groups.push_back({base::MixHash(row_hash, index), {}});
      last = index;
      groups.back().servers.push_back(server);
    }
  }
}

/// The candidate with the highest score whose load is below the cap and that is not `excluded`, or `kNone`.
std::size_t Choose(const pool& pool, const std::vector<std::uint64_t>& hashes, const loads& loads, std::uint64_t key,
                   std::size_t excluded) {
  std::size_t best = kNone;
  std::uint64_t best_score = 0;
  for (const std::size_t c : pool.candidates) {
    if (c == excluded || loads.count[c] >= loads.cap) continue;
    const std::uint64_t score = base::MixHash(hashes[c], key);
    if (best != kNone && score <= best_score) continue;
    best = c;
    best_score = score;
  }
  return best;
}

/// The candidate with the least load. Used when every candidate has reached the cap, which happens with two candidates.
std::size_t LeastLoaded(const pool& pool, const loads& loads, std::size_t excluded) {
  std::size_t best = kNone;
  for (const std::size_t c : pool.candidates) {
    if (c == excluded) continue;
    if (best == kNone || loads.count[c] < loads.count[best]) best = c;
  }
  return best;
}

/// Chooses a holder for every server of the groups in one role. `excluded_holders` lists the primary of each server,
/// which cannot be its standby too. Servers beyond the load cap of the best candidate of a group go to the next
/// candidate.
void PlaceRole(const pool& pool, const std::vector<std::uint64_t>& hashes, const std::vector<server_group>& groups,
               const std::vector<std::size_t>& excluded_holders, loads& loads, std::vector<std::size_t>& chosen) {
  std::size_t held = 0;
  for (const std::size_t c : pool.candidates)
    held += loads.count[c];
  const double average = static_cast<double>(held + pool.servers.size()) / static_cast<double>(pool.candidates.size());
  loads.cap = static_cast<std::size_t>(std::ceil(kLoadCap * average));

  for (const server_group& group : groups) {
    std::size_t best = kNone;
    std::size_t excluded = kNone;
    for (std::size_t i = 0; i < group.servers.size(); ++i) {
      const std::uint32_t server = group.servers[i];
      if (i == 0 || best == kNone || loads.count[best] >= loads.cap || excluded_holders[server] != excluded) {
        excluded = excluded_holders[server];
        best = Choose(pool, hashes, loads, group.hash, excluded);
        if (best == kNone) best = LeastLoaded(pool, loads, excluded);
      }
      if (best == kNone) continue;
      ++loads.count[best];
      chosen[server] = best;
    }
  }
}

/// Returns the pools in the order in which they are placed: data centres with own candidates, then regions, then all
/// remaining servers.
std::vector<pool> MakePools(const config::configuration& config, const std::vector<placement_candidate>& candidates) {
  std::map<std::string, std::vector<std::size_t>> by_data_centre;
  std::map<std::string, std::vector<std::size_t>> by_region;
  std::vector<std::size_t> all;
  for (std::size_t c = 0; c < candidates.size(); ++c) {
    by_data_centre[candidates[c].data_centre.value].push_back(c);
    by_region[config::RegionOf(config, candidates[c].data_centre).value].push_back(c);
    all.push_back(c);
  }
  by_region.erase("");  // Candidates of unknown data centres belong to no region.
  std::map<std::pair<int, std::string>, pool> pools;
  for (std::uint32_t s = 0; s < config.backend_servers.size(); ++s) {
    const base::data_centre_id& data_centre = config.backend_servers[s].data_centre;
    std::pair<int, std::string> key{0, data_centre.value};
    const std::vector<std::size_t>* members = nullptr;
    if (const auto in_data_centre = by_data_centre.find(data_centre.value); in_data_centre != by_data_centre.end()) {
      members = &in_data_centre->second;
    } else {
      const std::string region = config::RegionOf(config, data_centre).value;
      const auto in_region = by_region.find(region);
      members = in_region != by_region.end() ? &in_region->second : &all;
      key = in_region != by_region.end() ? std::pair{1, region} : std::pair{2, std::string()};
    }
    pool& target = pools[key];
    if (target.candidates.empty()) target.candidates = *members;
    target.servers.push_back(s);
  }
  std::vector<pool> ordered;
  ordered.reserve(pools.size());
  for (auto& [key, pool] : pools)
    ordered.push_back(std::move(pool));
  return ordered;
}

std::vector<server_group> MakeGroups(const config::configuration& config, const positions& positions,
                                     const pool& pool) {
  const std::uint32_t size = GroupSize(config.limit.holder_group_size, pool.servers.size(), pool.candidates.size());
  std::map<std::string, std::vector<std::uint32_t>> by_data_centre;
  for (const std::uint32_t server : pool.servers)
    by_data_centre[config.backend_servers[server].data_centre.value].push_back(server);
  std::vector<server_group> groups;
  for (auto& [data_centre, servers] : by_data_centre)
    AddGroups(config, positions, size, std::move(servers), groups);
  // Large groups are placed first, because small ones fit into the capacity that the large ones leave.
  std::sort(groups.begin(), groups.end(), [](const server_group& a, const server_group& b) {
    return std::pair(b.servers.size(), a.hash) < std::pair(a.servers.size(), b.hash);
  });
  return groups;
}

}  // namespace

placement ComputePlacement(const config::configuration& config, std::vector<placement_candidate> candidates) {
  placement result;
  result.revision = config.revision;
  result.by_backend_server.resize(config.backend_servers.size());
  if (candidates.empty()) return result;

  std::sort(candidates.begin(), candidates.end(),
            [](const placement_candidate& a, const placement_candidate& b) { return a.id < b.id; });
  std::vector<std::uint64_t> hashes;
  hashes.reserve(candidates.size());
  for (const placement_candidate& candidate : candidates)
    hashes.push_back(base::HashBytes(candidate.id.value));

  const positions positions = FindPositions(config);
  const std::vector<std::size_t> unassigned(config.backend_servers.size(), kNone);
  std::vector<std::size_t> primary = unassigned;
  std::vector<std::size_t> standby = unassigned;
  loads primary_loads{std::vector<std::size_t>(candidates.size()), 0};
  loads standby_loads{std::vector<std::size_t>(candidates.size()), 0};
  for (const pool& pool : MakePools(config, candidates)) {
    const std::vector<server_group> groups = MakeGroups(config, positions, pool);
    PlaceRole(pool, hashes, groups, unassigned, primary_loads, primary);
    PlaceRole(pool, hashes, groups, primary, standby_loads, standby);
  }
  for (std::size_t s = 0; s < primary.size(); ++s) {
    if (primary[s] != kNone) result.by_backend_server[s].primary = candidates[primary[s]].id;
    if (standby[s] != kNone) result.by_backend_server[s].standby = candidates[standby[s]].id;
  }
  return result;
}

std::vector<placement_candidate> PlacementCandidates(const member_table& members, bool self_leaving) {
  std::vector<placement_candidate> candidates;
  candidates.reserve(members.members.size() + 1);
  if (!self_leaving) candidates.push_back({members.self.ref.id, members.self.data_centre});
  for (const auto& [id, member] : members.members) {
    const peer::member_state state = member.info.state;
    if (state != peer::member_state::kAlive && state != peer::member_state::kSuspect) continue;
    if (id != members.self.ref.id) candidates.push_back({id, member.info.data_centre});
  }
  return candidates;
}

}  // namespace limpetrouter::core::membership
