#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "tests/scenario/world.h"

namespace limpetrouter::tests::scenario {

/// A deployment with the instances and the network that go with it.
struct deployment {
  nlohmann::json document;
  std::vector<instance_spec> instances;
  network_spec network;
};

/// "bureau" and "cooperative" have the sizes of today, "small" is one replicated collection and one flat one, and
/// "wide" is one replicated collection of `shards` shards. Throws std::invalid_argument for another name.
deployment MakeDeployment(const std::string& name, std::uint32_t instances_per_data_centre, std::uint32_t shards = 870);

/// Adds a snapshot with the same shards as the newest one and makes it the newest. With `move_replicas` each shard's
/// replicas move by one server, as after a repartition.
void AddSnapshot(nlohmann::json& document, const std::string& collection, std::uint64_t id, bool move_replicas);

/// Removes a snapshot.
void RemoveSnapshot(nlohmann::json& document, const std::string& collection, std::uint64_t id);

}  // namespace limpetrouter::tests::scenario
