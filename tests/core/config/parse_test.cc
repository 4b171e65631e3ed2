#include "core/config/parse.h"

#include <catch2/catch.hpp>

#include "tests/core/config/test_configuration.h"

namespace limpetrouter::core::config {
namespace {

TEST_CASE("a valid configuration is read with its defaults and indices") {
  const auto parsed = ParseConfiguration(MakeSource(7, MakeTestDocument()));
  REQUIRE(parsed.has_value());
  const configuration& config = **parsed;
  CHECK(config.revision.value == 7);
  CHECK(config.backend_servers.at(config.backend_server_index.at(base::backend_server_id("s2-a"))).state ==
        backend_state::kLeaving);
  CHECK(config.collections.at(0).operations.at(0).canary);
  CHECK(config.collections.at(0).operations.at(0).max_deadline == std::chrono::seconds(2));
  CHECK(config.limit.hedge_budget == Approx(0.025));
  CHECK(config.limit.holder_group_size == 8);
  // Snapshots are sorted whatever their order in the value.
  REQUIRE(config.shard_maps.at(0).snapshots.size() == 2);
  CHECK(config.shard_maps[0].snapshots[0].id.value == 41);
  CHECK(config.shard_maps[0].snapshots[0].documents == 120);
  CHECK(config.shard_maps[0].snapshots[0].shards[1].replicas == std::vector<std::uint32_t>{2, 3});
}

}  // namespace
}  // namespace limpetrouter::core::config
