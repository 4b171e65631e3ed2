#include "tests/standins/deployment.h"

#include <fstream>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>

#include "core/base/digest.h"

namespace limpetrouter::tests::standins {
namespace {

using nlohmann::json;

/// Adds the shards and the ledger of one snapshot to `result`.
void LoadSnapshot(const std::string& collection, const json& snapshot, std::uint64_t seed, deployment& result) {
  const auto id = snapshot.at("id").get<std::uint64_t>();
  const json& shards = snapshot.at("shards");
  std::uint64_t count = 0;
  for (const json& shard : shards)
    count += shard.at("documents").get<std::uint64_t>();
  auto shard_documents = PlaceDocuments(collection, id, seed, count, shards.size());
  std::map<std::string, std::int64_t> totals;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    if (shard_documents[i].size() != shards[i].at("documents").get<std::uint64_t>()) {
      throw std::runtime_error(
          fmt::format("{} snapshot {} shard {}: the shard map lists {} documents, but the data set has {}", collection,
                      id, i, shards[i].at("documents").dump(), shard_documents[i].size()));
    }
    auto data = std::make_shared<shard_data>();
    data->documents = std::move(shard_documents[i]);
    std::vector<const document*> documents;
    for (const document& entry : data->documents)
      documents.push_back(&entry);
    data->all_documents = MakeContent(documents);
    const shard_key key{collection, id, shards[i].at("id").get<std::uint32_t>()};
    for (const json& replica : shards[i].at("replicas"))
      result.held[replica.get<std::string>()][key] = data;
  }
  for (std::uint64_t i = 0; i < count; ++i)
    AddTotals(totals, MakeDocument(collection, id, seed, i).totals);
  result.ledger[collection][std::to_string(id)] = {{"documents", count}, {"totals", totals}};
}

}  // namespace

answer_content MakeContent(const std::vector<const document*>& documents) {
  answer_content content;
  std::map<std::string, std::int64_t> totals;
  std::string digest_input;
  json rows = json::array();
  for (const document* entry : documents) {
    rows.push_back({{"key", entry->key}, {"value", entry->value}});
    digest_input += entry->key + "\n" + entry->value.dump() + "\n";
    AddTotals(totals, entry->totals);
  }
  for (const auto& [name, value] : totals)
    digest_input += fmt::format("{}={}\n", name, value);
  content.rows = rows.dump();
  content.totals = json(totals).dump();
  if (totals.empty()) content.totals = "{}";
  content.digest = core::base::HexDigest(digest_input);
  return content;
}

json ReadJsonFile(const std::string& path) {
  std::ifstream file(path);
  json value = json::parse(file, nullptr, false);
  if (value.is_discarded()) throw std::runtime_error("cannot read or parse JSON file " + path);
  return value;
}

void WriteJsonFile(const std::string& path, const json& value) {
  std::ofstream file(path);
  file << value.dump(1) << "\n";
  if (!file.flush()) throw std::runtime_error("cannot write JSON file " + path);
}

deployment LoadDeployment(const std::string& directory, std::uint64_t seed) {
  deployment loaded;
  const json inventory = ReadJsonFile(directory + "/inventory.json");
  for (const json& server : inventory.at("backend_servers")) {
    loaded.servers.push_back({server.at("id"), server.at("service"), server.at("data_centre"), server.at("address"),
                              server.at("slots"), server.at("connections"), server.value("connect_cost_us", 0)});
  }
  const json shard_maps = ReadJsonFile(directory + "/shard_maps.json");
  for (const json& map : shard_maps.at("collections")) {
    for (const json& snapshot : map.at("snapshots"))
      LoadSnapshot(map.at("id"), snapshot, seed, loaded);
  }
  return loaded;
}

}  // namespace limpetrouter::tests::standins
