#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "tests/standins/data_set.h"

namespace limpetrouter::tests::standins {

/// A backend server of inventory.json. `slots` is the number of calls that run at once, `connections` the limit of open
/// connections, and `connect_cost_us` the time until a new connection is usable.
struct server_entry {
  std::string id;
  std::string service;
  std::string data_centre;
  std::string address;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  std::int64_t connect_cost_us = 0;
};

/// The part of an answer that the digest covers, as serialized JSON.
struct answer_content {
  std::string rows = "[]";
  std::string totals = "{}";
  std::string digest;
};

/// Returns the content of an answer that contains `documents`.
answer_content MakeContent(const std::vector<const document*>& documents);

/// The documents that a backend server holds of one shard.
struct shard_data {
  std::vector<document> documents;
  /// Content of an answer with all documents, computed once because sweeps request it repeatedly.
  answer_content all_documents;
};

/// Collection, snapshot ID and shard ID.
using shard_key = std::tuple<std::string, std::uint64_t, std::uint32_t>;
using held_shards = std::map<shard_key, std::shared_ptr<const shard_data>>;

/// The backend servers of a deployment with their data.
struct deployment {
  std::vector<server_entry> servers;
  /// Shards that each backend server holds, by ID of the server.
  std::map<std::string, held_shards> held;
  /// Document count and true totals by collection and snapshot, computed over the data set without regard to shards.
  nlohmann::json ledger;
};

/// Reads a JSON file. Throws std::runtime_error with the path if it can't be read or parsed.
nlohmann::json ReadJsonFile(const std::string& path);
/// Writes a JSON file, indented by one space. Throws std::runtime_error with the path if the write fails.
void WriteJsonFile(const std::string& path, const nlohmann::json& value);

/// Reads inventory.json and shard_maps.json of `directory` and generates the data. Throws std::runtime_error if the
/// number of documents of a shard differs between the shard map and the data set.
deployment LoadDeployment(const std::string& directory, std::uint64_t seed);

}  // namespace limpetrouter::tests::standins
