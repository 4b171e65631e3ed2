#include "tests/scenario/deployment.h"

#include <stdexcept>

#include <fmt/format.h>

namespace limpetrouter::tests::scenario {
namespace {

using nlohmann::json;

constexpr std::uint64_t kFirstSnapshot = 1;

/// Size of a collection and of its backend servers.
struct collection_spec {
  std::string id;
  /// Services with three replicas each, or one service whose shards are on two of its servers.
  bool replicated = true;
  std::uint32_t count = 0;
  std::uint32_t slots = 3;
  std::uint32_t connections = 40;
  std::uint32_t connect_cost_us = 1000;
  json operations;
};

json Operation(const char* id, const char* shards, bool urgent, bool repeatable, const char* partial) {
  return {{"id", id},           {"shards", shards},    {"urgent", urgent},         {"repeatable", repeatable},
          {"partial", partial}, {"deadline_ms", 2000}, {"max_deadline_ms", 30000}, {"max_rows", 2000}};
}

json Backend(const collection_spec& spec, const std::string& service, const std::string& id, const std::string& dc,
             std::size_t number) {
  return {{"id", id},
          {"service", service},
          {"data_centre", dc},
          {"address", fmt::format("10.0.{}.{}:80", number / 250, number % 250 + 1)},
          {"slots", spec.slots},
          {"connections", spec.connections},
          {"connect_cost_us", spec.connect_cost_us}};
}

void AddCollection(json& document, const collection_spec& spec, const std::vector<std::string>& data_centres) {
  json& servers = document["inventory"]["backend_servers"];
  json& services = document["inventory"]["services"];
  json shards = json::array();
  const auto documents = [](std::uint32_t shard) { return 100 + shard * 7 % 50; };
  if (spec.replicated) {
    for (std::uint32_t i = 0; i < spec.count; ++i) {
      const std::string service = fmt::format("{}-{:03}", spec.id, i);
      services.push_back({{"id", service}, {"collection", spec.id}});
      json replicas = json::array();
      for (std::size_t r = 0; r < data_centres.size(); ++r) {
        const std::string id = fmt::format("{}-{}", service, static_cast<char>('a' + r));
        servers.push_back(Backend(spec, service, id, data_centres[r], servers.size()));
        replicas.push_back(id);
      }
      shards.push_back({{"id", i}, {"service", service}, {"documents", documents(i)}, {"replicas", replicas}});
    }
  } else {
    services.push_back({{"id", spec.id}, {"collection", spec.id}});
    const auto name = [&spec](std::uint32_t i) { return fmt::format("{}-s{:02}", spec.id, i % spec.count); };
    for (std::uint32_t i = 0; i < spec.count; ++i) {
      servers.push_back(Backend(spec, spec.id, name(i), data_centres[i % data_centres.size()], servers.size()));
      shards.push_back({{"id", i},
                        {"service", spec.id},
                        {"documents", documents(i)},
                        {"replicas", json::array({name(i), name(i + 1)})}});
    }
  }
  document["rules"]["collections"].push_back({{"id", spec.id}, {"operations", spec.operations}});
  json snapshots = json::array({{{"id", kFirstSnapshot}, {"servable", true}, {"shards", shards}}});
  document["shard_maps"]["collections"].push_back({{"id", spec.id}, {"snapshots", snapshots}});
}

std::vector<collection_spec> Collections(const std::string& name, std::uint32_t shards) {
  const json sweep = Operation("sweep", "all", false, true, "useless");
  const json check = Operation("check", "all", true, true, "useful");
  const json lookup = Operation("lookup", "key", false, true, "useless");
  const json transfer = Operation("transfer", "key", false, false, "useless");
  const json search = Operation("search", "all", false, true, "useful");
  if (name == "bureau") {
    return {{"stock-ledger", true, 10, 5, 40, 6000, json::array({sweep, check})},
            {"berth-scheduling", true, 15, 5, 40, 6000, json::array({search, lookup})},
            {"custody-archive", false, 25, 3, 110, 1000, json::array({search, lookup, transfer})},
            {"inspector-roster", false, 13, 3, 110, 1000, json::array({search, lookup})}};
  }
  if (name == "cooperative") {
    return {{"bench-search", true, 10, 3, 30, 6000, json::array({search, check})},
            {"volunteer-rosters", true, 15, 3, 30, 6000, json::array({search, lookup})},
            {"job-board", false, 20, 3, 40, 1000, json::array({search, lookup, transfer})},
            {"donor-ledger", false, 9, 3, 40, 1000, json::array({sweep, lookup})}};
  }
  if (name == "small") {
    return {{"stock", true, 4, 3, 40, 6000, json::array({sweep, check, search, lookup})},
            {"archive", false, 6, 3, 40, 1000, json::array({search, lookup, transfer})}};
  }
  if (name == "wide") return {{"stock", true, shards, 3, 40, 1000, json::array({sweep, check, search})}};
  throw std::invalid_argument(fmt::format("no deployment '{}'; there are bureau, cooperative, small, wide", name));
}

json& CollectionMap(json& document, const std::string& collection) {
  for (json& map : document["shard_maps"]["collections"]) {
    if (map.at("id") == collection) return map;
  }
  throw std::invalid_argument(fmt::format("no collection '{}'", collection));
}

}  // namespace

deployment MakeDeployment(const std::string& name, std::uint32_t instances_per_data_centre, std::uint32_t shards) {
  deployment made;
  const std::vector<std::string> data_centres = {"dc1", "dc2", "dc3"};
  json& inventory = made.document["inventory"];
  inventory = {{"services", json::array()}, {"backend_servers", json::array()}, {"data_centres", json::array()}};
  made.document["rules"]["collections"] = json::array();
  made.document["shard_maps"]["collections"] = json::array();
  for (const std::string& dc : data_centres)
    inventory["data_centres"].push_back({{"id", dc}, {"region", "south"}});
  for (const collection_spec& spec : Collections(name, shards))
    AddCollection(made.document, spec, data_centres);
  for (std::uint32_t i = 0; i < instances_per_data_centre * data_centres.size(); ++i) {
    made.instances.push_back({fmt::format("k{}", i + 1), data_centres[i % data_centres.size()]});
  }
  if (name == "cooperative") {
    made.network.between = std::chrono::microseconds(500);
    made.network.from_callers = std::chrono::milliseconds(1);
  }
  return made;
}

void AddSnapshot(json& document, const std::string& collection, std::uint64_t id, bool move_replicas) {
  json& snapshots = CollectionMap(document, collection)["snapshots"];
  json added = snapshots.back();
  added["id"] = id;
  if (move_replicas) {
    // Each shard gives up its first replica, as when a shard is moved off a server.
    for (json& shard : added["shards"]) {
      if (shard["replicas"].size() > 1) shard["replicas"].erase(0);
      shard["documents"] = shard["documents"].get<int>() + 1;
    }
  }
  snapshots.push_back(added);
}

void RemoveSnapshot(json& document, const std::string& collection, std::uint64_t id) {
  json& snapshots = CollectionMap(document, collection)["snapshots"];
  for (std::size_t i = 0; i < snapshots.size(); ++i) {
    if (snapshots[i].at("id") == id) {
      snapshots.erase(i);
      return;
    }
  }
  throw std::invalid_argument(fmt::format("collection '{}' has no snapshot {}", collection, id));
}

}  // namespace limpetrouter::tests::scenario
