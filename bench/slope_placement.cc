#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>

#include "bench/planned_document.h"
#include "bench/slope.h"
#include "bench/slope_sections.h"
#include "core/base/random.h"
#include "core/membership/placement.h"

namespace limpetrouter::bench {
namespace {

namespace base = core::base;
namespace membership = core::membership;

constexpr std::uint32_t kDataCentres = 5;

struct placement_size {
  std::uint32_t instances;
  std::uint32_t backend_servers;
  std::uint32_t shards;
};

std::vector<membership::placement_candidate> MakeCandidates(std::uint32_t count) {
  std::vector<membership::placement_candidate> made;
  for (std::uint32_t i = 0; i < count; ++i) {
    made.push_back(
        {base::instance_id(fmt::format("k{}", i)), base::data_centre_id(fmt::format("dc{}", i % kDataCentres))});
  }
  return made;
}

double MaxOverMean(const membership::placement& placed, base::instance_id membership::holders::*role,
                   std::uint32_t instances) {
  std::map<base::instance_id, double> loads;
  double most = 0;
  for (const membership::holders& h : placed.by_backend_server)
    most = std::max(most, ++loads[h.*role]);
  return most * instances / static_cast<double>(placed.by_backend_server.size());
}

/// Holdings, of primary and standby together, that are elsewhere in `after`. An exchange of the two roles counts twice.
double Moved(const membership::placement& before, const membership::placement& after) {
  double moved = 0;
  for (std::size_t s = 0; s < before.by_backend_server.size(); ++s) {
    moved += before.by_backend_server[s].primary != after.by_backend_server[s].primary ? 1 : 0;
    moved += before.by_backend_server[s].standby != after.by_backend_server[s].standby ? 1 : 0;
  }
  return moved;
}

double MovedWithoutInstance(const core::config::configuration& config,
                            const std::vector<membership::placement_candidate>& all,
                            const membership::placement& before) {
  constexpr std::size_t kTries = 10;
  double moved = 0;
  for (std::size_t i = 0; i < kTries; ++i) {
    auto rest = all;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(i * all.size() / kTries));
    moved += Moved(before, membership::ComputePlacement(config, rest)) / kTries;
  }
  return moved;
}

/// Gatherers of a query whose replicas are chosen evenly.
double Touched(const core::config::configuration& config, const membership::placement& placed) {
  base::random_source random{3};
  constexpr int kQueries = 50;
  double touched = 0;
  for (int i = 0; i < kQueries; ++i) {
    std::set<base::instance_id> gatherers;
    for (const core::config::shard& shard : config.shard_maps.front().snapshots.front().shards) {
      const std::uint32_t server = shard.replicas[base::NextBelow(random, shard.replicas.size())];
      gatherers.insert(placed.by_backend_server[server].primary);
    }
    touched += static_cast<double>(gatherers.size()) / kQueries;
  }
  return touched;
}

}  // namespace

void MeasurePlacement() {
  std::vector<slope_point> time;
  std::vector<slope_point> primary;
  std::vector<slope_point> standby;
  std::vector<slope_point> moved;
  std::vector<slope_point> moved_centre;
  std::vector<slope_point> touched;
  constexpr placement_size kSizes[] = {{50, 356, 97}, {100, 711, 193}, {200, 1422, 387}, {450, 3200, 870}};
  for (const auto& [instances, servers, shards] : kSizes) {
    const auto parsed =
        core::config::ParseConfiguration(MakePlannedSource(1, MakePlannedDocument({servers, shards, kDataCentres})));
    if (!parsed) {
      fmt::print(stderr, "the planned configuration is refused: {}\n", parsed.error().detail);
      return;
    }
    const core::config::configuration& config = **parsed;
    const auto all = MakeCandidates(instances);
    constexpr int kRounds = 20;
    membership::placement placed;
    const double start = ThreadMicroseconds();
    for (int i = 0; i < kRounds; ++i)
      placed = membership::ComputePlacement(config, all);
    const double size = instances;
    time.push_back({size, (ThreadMicroseconds() - start) / kRounds / 1000});
    primary.push_back({size, MaxOverMean(placed, &membership::holders::primary, instances)});
    standby.push_back({size, MaxOverMean(placed, &membership::holders::standby, instances)});
    moved.push_back({size, MovedWithoutInstance(config, all, placed)});
    auto rest = all;
    std::erase_if(rest, [](const auto& candidate) { return candidate.data_centre.value == "dc1"; });
    moved_centre.push_back({size, Moved(placed, membership::ComputePlacement(config, rest)) / 2 / servers});
    touched.push_back({size, Touched(config, placed)});
  }
  PrintTableHead("Placement, by instances (7.1 backend servers each, 3.7 replicas a shard, 5 data centres)");
  PrintSlope("time of one placement", "ms", time);
  PrintSlope("primary load, max/mean", "ratio", primary);
  PrintSlope("standby load, max/mean", "ratio", standby);
  PrintSlope("holdings that move when one instance goes", "holdings", moved);
  PrintSlope("share of all holdings that move when one data centre goes", "share", moved_centre);
  PrintSlope("gatherers of a query to all shards, replicas chosen evenly", "gatherers", touched);
  fmt::print("\nEach backend server has 2 holders: a primary and a standby.\n");
}

}  // namespace limpetrouter::bench
