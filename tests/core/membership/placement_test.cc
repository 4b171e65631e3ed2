#include "core/membership/placement.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "core/base/random.h"

namespace limpetrouter::core::membership {
namespace {

std::string DataCentreName(std::size_t i) { return "dc" + std::to_string(i); }

/// `services` services of `replicas` servers each, one shard each, spread over `centres` data centres in two regions.
config::configuration MakeConfiguration(std::size_t services, std::size_t replicas, std::size_t data_centres) {
  config::configuration config;
  config.revision.value = 3;
  for (std::size_t i = 0; i < data_centres; ++i) {
    config.data_centres.push_back(
        {base::data_centre_id(DataCentreName(i)), base::region_id(i % 2 == 0 ? "east" : "west")});
  }
  config::shard_map map;
  map.collection = base::collection_id("ledger");
  config::snapshot snapshot;
  snapshot.servable = true;
  for (std::size_t s = 0; s < services; ++s) {
    config::shard shard;
    shard.id.value = static_cast<std::uint32_t>(s);
    for (std::size_t r = 0; r < replicas; ++r) {
      config::backend_server server;
      server.id = base::backend_server_id("s" + std::to_string(s) + "-" + std::to_string(r));
      server.data_centre = base::data_centre_id(DataCentreName((s + r * 2) % data_centres));
      shard.replicas.push_back(static_cast<std::uint32_t>(config.backend_servers.size()));
      config.backend_servers.push_back(server);
    }
    snapshot.shards.push_back(shard);
  }
  map.snapshots = {snapshot};
  config.shard_maps = {map};
  config.shard_map_index = {{map.collection, 0}};
  return config;
}

std::vector<placement_candidate> MakeCandidates(std::size_t per_data_centre, std::size_t data_centres) {
  std::vector<placement_candidate> candidates;
  for (std::size_t i = 0; i < per_data_centre * data_centres; ++i) {
    candidates.push_back(
        {base::instance_id("i" + std::to_string(i)), base::data_centre_id(DataCentreName(i % data_centres))});
  }
  return candidates;
}

bool SameHolders(const holders& a, const holders& b) { return a.primary == b.primary && a.standby == b.standby; }

std::map<base::instance_id, std::size_t> CountServers(const placement& placement, base::instance_id holders::*role) {
  std::map<base::instance_id, std::size_t> loads;
  for (const holders& h : placement.by_backend_server)
    ++loads[h.*role];
  return loads;
}

// Guards against instances with the same member table that compute different holders, and against a primary that is its
// own standby.
TEST_CASE("placement depends on the set of candidates alone and names two different holders") {
  const auto [services, replicas, data_centres, per_data_centre] =
      GENERATE(table<std::size_t, std::size_t, std::size_t, std::size_t>(
          {{800, 4, 5, 90}, {10, 3, 3, 3}, {25, 3, 3, 1}, {9, 3, 1, 2}, {15, 3, 3, 30}}));
  const config::configuration config = MakeConfiguration(services, replicas, data_centres);
  std::vector<placement_candidate> candidates = MakeCandidates(per_data_centre, data_centres);
  const placement first = ComputePlacement(config, candidates);
  base::random_source random{5};
  for (std::size_t i = candidates.size() - 1; i > 0; --i)
    std::swap(candidates[i], candidates[base::NextBelow(random, i + 1)]);
  const placement second = ComputePlacement(config, candidates);
  REQUIRE(first.by_backend_server.size() == services * replicas);
  for (std::size_t s = 0; s < services * replicas; ++s) {
    CHECK(SameHolders(first.by_backend_server[s], second.by_backend_server[s]));
    CHECK_FALSE(first.by_backend_server[s].primary.value.empty());
    CHECK(first.by_backend_server[s].standby.value.empty() == (per_data_centre == 1));
    CHECK(first.by_backend_server[s].primary != first.by_backend_server[s].standby);
  }
}

// Guards against overloaded instances, against mass reconnection after the loss of one instance, and against queries
// that involve more gatherers than needed, at the planned scale.
TEST_CASE("load is capped and the loss of one of 90 instances moves few connections") {
  const config::configuration config = MakeConfiguration(800, 4, 5);
  const std::vector<placement_candidate> all = MakeCandidates(90, 5);
  const placement before = ComputePlacement(config, all);
  const double mean = 3200.0 / 450.0;
  double worst_load_ratio = 0;
  for (const auto role : {&holders::primary, &holders::standby}) {
    for (const auto& [id, load] : CountServers(before, role))
      worst_load_ratio = std::max(worst_load_ratio, static_cast<double>(load) / mean);
  }
  CHECK(worst_load_ratio <= std::ceil(mean * 1.25) / mean);

  std::size_t moved = 0;
  constexpr std::size_t kRounds = 90;
  std::size_t max_changed = 0;
  for (std::size_t removed = 0; removed < kRounds; ++removed) {
    std::vector<placement_candidate> remaining = all;
    remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(removed * 5));
    const placement after = ComputePlacement(config, remaining);
    std::size_t changed = 0;
    for (std::size_t s = 0; s < 3200; ++s) {
      changed += before.by_backend_server[s].primary != after.by_backend_server[s].primary ? 1 : 0;
      changed += before.by_backend_server[s].standby != after.by_backend_server[s].standby ? 1 : 0;
    }
    moved += changed;
    max_changed = std::max(max_changed, changed);
  }
  const double moved_fraction = static_cast<double>(moved) / (kRounds * 2.0 * 640.0);
  INFO("max/mean " << worst_load_ratio << ", moved in the data centre: mean " << moved_fraction << ", worst "
                   << static_cast<double>(max_changed) / 1280.0);
  CHECK(moved_fraction <= 0.06);

  std::set<base::instance_id> touched;
  for (std::size_t s = 0; s < 800; ++s)
    touched.insert(before.by_backend_server[s * 4].primary);
  INFO("gatherers for one replica of each of 800 shards: " << touched.size());
  CHECK(touched.size() < 450);
}

// Guards against a placement that is too slow to be recomputed on every change of members.
TEST_CASE("placement for 450 instances and 3,200 servers is fast") {
  const config::configuration config = MakeConfiguration(800, 4, 5);
  const std::vector<placement_candidate> all = MakeCandidates(90, 5);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 20; ++i)
    REQUIRE(ComputePlacement(config, all).by_backend_server.size() == 3200);
  const std::chrono::duration<double, std::milli> spent = std::chrono::steady_clock::now() - start;
  INFO("placement: " << spent.count() / 20 << " ms");
  // The target is 5 ms; the bound of 50 ms allows for a busy machine.
  CHECK(spent.count() / 20 < 50);
}

// Guards against servers without holders when a data centre or a region has lost all of its instances.
TEST_CASE("servers without instances in their data centre are held in the region, then anywhere") {
  const config::configuration config = MakeConfiguration(12, 3, 5);
  std::vector<placement_candidate> candidates = MakeCandidates(3, 5);
  const auto remaining = GENERATE(as<std::string>(), "dc2", "dc3");
  std::erase_if(candidates,
                [&](const auto& c) { return c.data_centre.value != remaining && c.data_centre.value != "dc4"; });
  const placement result = ComputePlacement(config, candidates);
  for (std::size_t s = 0; s < config.backend_servers.size(); ++s) {
    INFO(config.backend_servers[s].id.value);
    const holders& h = result.by_backend_server[s];
    CHECK_FALSE(h.standby.value.empty());
    CHECK(h.primary != h.standby);
    const auto holder =
        std::find_if(candidates.begin(), candidates.end(), [&](const auto& c) { return c.id == h.primary; });
    REQUIRE(holder != candidates.end());
    const auto region = config::RegionOf(config, config.backend_servers[s].data_centre);
    const bool region_has_instances = region.value == "east" || remaining == "dc3";
    if (region_has_instances) CHECK(config::RegionOf(config, holder->data_centre) == region);
  }
  CHECK(ComputePlacement(config, {}).by_backend_server[0].primary.value.empty());
}

// Guards against backend servers that are placed on leaving or dead instances.
TEST_CASE("candidates are this instance and members that are alive or suspect") {
  member_table table;
  table.self.ref.id = base::instance_id("self");
  using peer::member_state;
  for (const auto& [name, state] : {std::pair{"a", member_state::kAlive}, std::pair{"l", member_state::kLeaving},
                                    std::pair{"s", member_state::kSuspect}, std::pair{"d", member_state::kDead}}) {
    table.members[base::instance_id(name)].info.state = state;
  }
  CHECK(PlacementCandidates(table, false).size() == 3);
  const auto without_self = PlacementCandidates(table, true);
  REQUIRE(without_self.size() == 2);
  CHECK(without_self[0].id.value == "a");
  CHECK(without_self[1].id.value == "s");
}

}  // namespace
}  // namespace limpetrouter::core::membership
