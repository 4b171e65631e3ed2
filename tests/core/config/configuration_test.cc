#include "core/config/configuration.h"

#include <catch2/catch.hpp>

#include "core/base/digest.h"

namespace limpetrouter::core::config {
namespace {

configuration MakeConfiguration() {
  configuration config;
  config.data_centres = {{base::data_centre_id("north"), base::region_id("island")}};
  backend_server server;
  server.id = base::backend_server_id("s1");
  config.backend_servers = {server};
  config.backend_server_index = {{server.id, 0}};
  operation_rule rule;
  rule.id = base::operation_id("sweep");
  config.collections = {{base::collection_id("ledger"), {rule}}};
  config.collection_index = {{base::collection_id("ledger"), 0}};
  shard_map map;
  map.collection = base::collection_id("ledger");
  for (const auto& [id, servable] : {std::pair{40U, true}, std::pair{41U, true}, std::pair{43U, false}}) {
    snapshot s;
    s.id.value = id;
    s.servable = servable;
    s.shards.resize(7);
    map.snapshots.push_back(s);
  }
  config.shard_maps = {map};
  config.shard_map_index = {{map.collection, 0}};
  return config;
}

// Guards against a query that is pinned to an index which backend servers are still loading.
TEST_CASE("the newest servable snapshot is found, and any snapshot by its id") {
  const configuration config = MakeConfiguration();
  const base::collection_id ledger("ledger");
  REQUIRE(NewestSnapshot(config, ledger) != nullptr);
  CHECK(NewestSnapshot(config, ledger)->id.value == 41);
  for (const std::uint64_t id : {40U, 41U, 43U}) {
    REQUIRE(FindSnapshot(config, ledger, base::snapshot_id(id)) != nullptr);
    CHECK(FindSnapshot(config, ledger, base::snapshot_id(id))->id.value == id);
  }
  for (const std::uint64_t id : {0U, 42U, 44U}) {
    CHECK(FindSnapshot(config, ledger, base::snapshot_id(id)) == nullptr);
  }
}

// Guards against a crash or a wrong entity when a caller sends a name that does not exist.
TEST_CASE("lookups of unknown names return null") {
  const configuration config = MakeConfiguration();
  CHECK(FindBackendServer(config, base::backend_server_id("s1")) != nullptr);
  CHECK(FindBackendServer(config, base::backend_server_id("s2")) == nullptr);
  CHECK(FindOperation(config, base::collection_id("ledger"), base::operation_id("sweep")) != nullptr);
  CHECK(FindOperation(config, base::collection_id("ledger"), base::operation_id("none")) == nullptr);
  CHECK(FindOperation(config, base::collection_id("none"), base::operation_id("sweep")) == nullptr);
  CHECK(NewestSnapshot(config, base::collection_id("none")) == nullptr);
  CHECK(RegionOf(config, base::data_centre_id("north")) == base::region_id("island"));
  CHECK(RegionOf(config, base::data_centre_id("none")).value.empty());
}

// Guards against instances that look for the same key in different shards.
TEST_CASE("the shard of a key is its hash modulo the number of shards") {
  const configuration config = MakeConfiguration();
  const snapshot& s = config.shard_maps[0].snapshots[0];
  CHECK(ShardOfKey(s, "tank-7") == base::HashBytes("tank-7") % 7);
  CHECK(ShardOfKey(snapshot{}, "tank-7") == 0);
}

}  // namespace
}  // namespace limpetrouter::core::config
