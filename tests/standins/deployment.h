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

struct server_entry {
  std::string id;
  std::string service;
  std::string data_centre;
  std::string address;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  std::int64_t connect_cost_us = 0;
};

/// The part of an answer that the digest covers, ready to be sent.
struct answer_content {
  std::string rows = "[]";
  std::string totals = "{}";
  std::string digest;
};

/// Content of an answer that lists `documents`.
answer_content MakeContent(const std::vector<const document*>& documents);

struct shard_data {
  std::vector<document> documents;
  /// Content of an answer with all documents, which a sweep asks for again and again.
  answer_content whole;
};

/// Collection, snapshot, shard.
using shard_key = std::tuple<std::string, std::uint64_t, std::uint32_t>;
using held_shards = std::map<shard_key, std::shared_ptr<const shard_data>>;

struct deployment {
  std::vector<server_entry> servers;
  /// By id of the backend server.
  std::map<std::string, held_shards> held;
  /// True totals by collection and snapshot, computed over the data set without regard to shards.
  nlohmann::json ledger;
};

/// Reads a JSON file. Throws std::runtime_error naming the file.
nlohmann::json ReadJsonFile(const std::string& path);
/// Writes a JSON file, indented by one space. Throws std::runtime_error naming the file.
void WriteJsonFile(const std::string& path, const nlohmann::json& value);

/// Reads inventory.json and shard_maps.json of `directory` and generates the data. Throws std::runtime_error if the
/// documents of a shard map are not those of the data set.
deployment LoadDeployment(const std::string& directory, std::uint64_t seed);

}  // namespace limpetrouter::tests::standins
