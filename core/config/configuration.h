#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/error_kind.h"
#include "core/base/strong_id.h"
#include "core/base/time.h"

namespace limpetrouter::core::config {

struct data_centre {
  base::data_centre_id id;
  base::region_id region;
};

struct service {
  base::service_id id;
  base::collection_id collection;
};

/// State of a backend server in the inventory.
enum class backend_state : std::uint8_t { kActive, kLeaving };

struct backend_server {
  base::backend_server_id id;
  base::service_id service;
  base::data_centre_id data_centre;
  /// "IP:port" of its HTTP interface.
  std::string address;
  /// Number of calls that the server executes concurrently.
  std::uint32_t slots = 0;
  /// Number of connections that the server accepts from all instances together.
  std::uint32_t connections = 0;
  /// Time that it takes to open one connection.
  base::duration connect_cost{};
  backend_state state = backend_state::kActive;
  /// A higher generation ends the drains that were recorded under a lower one.
  base::generation_id generation;
};

/// Selects the shards to which a request of an operation is sent.
enum class scatter_mode : std::uint8_t { kAllShards, kShardOfKey };

struct operation_rule {
  base::operation_id id;
  scatter_mode scatter = scatter_mode::kAllShards;
  bool urgent = false;
  /// False if a request must be executed at most once, because it is not idempotent.
  bool repeatable = true;
  /// True if an answer below full coverage is useful to the caller.
  bool partial_useful = false;
  /// True if a request that has not succeeded before is sent to one shard first, in case it crashes backend servers.
  bool canary = true;
  base::duration default_deadline{};
  base::duration max_deadline{};
  std::uint32_t max_rows = 0;
};

struct collection {
  base::collection_id id;
  std::vector<operation_rule> operations;
};

/// Tunable limits. Every field has a default, so the rules may omit any of them.
struct limits {
  std::uint32_t holder_group_size = 8;
  double hedge_budget = 0.03;
  double retry_budget = 0.10;
  std::uint32_t max_queries_in_flight = 20'000;
  std::uint32_t max_body_bytes = 64 * 1024;
  std::uint32_t max_permits = 100'000;
  base::duration address_validity = std::chrono::seconds(10);
  base::duration permit_validity = std::chrono::seconds(30);
  base::duration permit_retention = std::chrono::minutes(10);
  base::duration withhold_time = std::chrono::minutes(10);
  /// The policies below can be switched off by an operator, or for a measurement.
  bool admission = true;
  bool ejection = true;
  bool cold_start_ramp = true;
};

struct shard {
  base::shard_id id;
  base::service_id service;
  std::uint64_t documents = 0;
  /// Backend servers that hold the shard, as indices into `configuration::backend_servers`.
  std::vector<std::uint32_t> replicas;
};

struct snapshot {
  base::snapshot_id id;
  /// False while the index of this snapshot is still being loaded by backend servers.
  bool servable = false;
  std::uint64_t documents = 0;
  std::vector<shard> shards;
};

struct shard_map {
  base::collection_id collection;
  /// In ascending order of id.
  std::vector<snapshot> snapshots;
};

/// An accepted or candidate configuration: inventory, rules and shard maps of one revision. Immutable once built.
struct configuration {
  base::revision_id revision;
  /// `HashBytes` of the canonical JSON text of inventory, rules and shard maps.
  std::uint64_t digest = 0;

  std::vector<data_centre> data_centres;
  std::vector<service> services;
  std::vector<backend_server> backend_servers;
  std::vector<collection> collections;
  limits limit;
  std::vector<shard_map> shard_maps;

  std::unordered_map<base::backend_server_id, std::uint32_t> backend_server_index;
  std::unordered_map<base::collection_id, std::uint32_t> collection_index;
  std::unordered_map<base::collection_id, std::uint32_t> shard_map_index;
};

using configuration_ptr = std::shared_ptr<const configuration>;

/// These lookups return null if there is no such entity.
const backend_server* FindBackendServer(const configuration& config, const base::backend_server_id& id);
const operation_rule* FindOperation(const configuration& config, const base::collection_id& collection,
                                    const base::operation_id& operation);
const shard_map* FindShardMap(const configuration& config, const base::collection_id& collection);
const snapshot* FindSnapshot(const configuration& config, const base::collection_id& collection, base::snapshot_id id);
/// Returns the newest servable snapshot, or null if there is none.
const snapshot* NewestSnapshot(const configuration& config, const base::collection_id& collection);
/// Returns the region of a data centre, or an empty id if the data centre is not in the inventory.
base::region_id RegionOf(const configuration& config, const base::data_centre_id& id);
/// Returns the position in `snapshot.shards` of the shard that owns `key`: HashBytes(key) modulo the number of shards.
/// Returns 0 if the snapshot has no shards.
std::size_t ShardOfKey(const snapshot& snapshot, const std::string& key);

}  // namespace limpetrouter::core::config
