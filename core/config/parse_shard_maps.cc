#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/config/parse_sections.h"

namespace limpetrouter::core::config {
namespace {

/// Largest integer that every JSON reader represents exactly, also one that stores numbers as doubles.
constexpr std::uint64_t kMaxExactInteger = (1ULL << 53) - 1;

using service_index = std::map<std::string, const service*>;

void CheckService(const service_index& services, const base::service_id& id, const base::collection_id& collection,
                  const std::string& path, parse_state& state) {
  const auto it = services.find(id.value);
  if (it == services.end()) {
    AddError(state, path, fmt::format("inconsistent configuration: service \"{}\" is not in the inventory", id.value));
  } else if (it->second->collection != collection) {
    AddError(state, path,
             fmt::format("service \"{}\" belongs to collection \"{}\", not to \"{}\"", id.value,
                         it->second->collection.value, collection.value));
  }
}

void ParseReplicas(object_reader& reader, shard& parsed, const configuration& config, parse_state& state) {
  const auto& array = reader.Array("replicas");
  if (array.empty()) AddError(state, reader.PathOf("replicas"), "is empty, a shard needs at least one replica");
  for (std::size_t i = 0; i < array.size(); ++i) {
    const std::string path = reader.PathOf("replicas", i);
    const auto* const text = array[i].get_ptr<const std::string*>();
    if (text == nullptr) {
      AddError(state, path, "is not the id of a backend server");
      return;
    }
    const auto it = config.backend_server_index.find(base::backend_server_id(*text));
    if (it == config.backend_server_index.end()) {
      AddError(state, path, fmt::format("backend server \"{}\" is not in the inventory", *text));
      return;
    }
    const backend_server& server = config.backend_servers[it->second];
    if (server.service != parsed.service) {
      AddError(state, path,
               fmt::format("backend server \"{}\" belongs to service \"{}\", not to \"{}\"", *text,
                           server.service.value, parsed.service.value));
    }
    if (std::find(parsed.replicas.begin(), parsed.replicas.end(), it->second) != parsed.replicas.end()) {
      AddError(state, path, fmt::format("backend server \"{}\" is listed twice", *text));
    }
    parsed.replicas.push_back(it->second);
  }
}

snapshot ParseSnapshot(object_reader& reader, const base::collection_id& collection, const service_index& services,
                       const configuration& config, parse_state& state) {
  snapshot parsed;
  parsed.id.value = reader.Integer("id", 1, kMaxExactInteger);
  parsed.servable = reader.Bool("servable");
  duplicate_checker ids(state);
  const auto& array = reader.Array("shards");
  if (array.empty()) AddError(state, reader.PathOf("shards"), "is empty, a snapshot needs at least one shard");
  parsed.shards.reserve(array.size());
  for (std::size_t i = 0; i < array.size() && !state.error.has_value(); ++i) {
    object_reader element(array[i], reader.PathOf("shards", i), state);
    shard element_shard;
    element_shard.id.value = static_cast<std::uint32_t>(element.Integer("id", 0, UINT32_MAX));
    element_shard.service.value = element.Id("service");
    element_shard.documents = element.Integer("documents", 0, kMaxExactInteger);
    ids.Add(std::to_string(element_shard.id.value), element.PathOf("id"));
    CheckService(services, element_shard.service, collection, element.PathOf("service"), state);
    ParseReplicas(element, element_shard, config, state);
    element.RejectUnknownFields();
    // Both operands are at most 2^53, so the sum cannot overflow before it is checked.
    parsed.documents += element_shard.documents;
    if (parsed.documents > kMaxExactInteger) {
      AddError(state, reader.PathOf("shards"),
               fmt::format("the sum of documents exceeds the allowed {}", kMaxExactInteger));
    }
    parsed.shards.push_back(std::move(element_shard));
  }
  reader.RejectUnknownFields();
  return parsed;
}

shard_map ParseShardMap(object_reader& reader, const service_index& services, const configuration& config,
                        parse_state& state) {
  shard_map parsed;
  parsed.collection.value = reader.Id("id");
  if (!state.error.has_value() && !config.collection_index.contains(parsed.collection)) {
    AddError(state, reader.PathOf("id"),
             fmt::format("inconsistent configuration: collection \"{}\" is not in the rules", parsed.collection.value));
  }
  duplicate_checker ids(state);
  const auto& array = reader.Array("snapshots");
  for (std::size_t i = 0; i < array.size() && !state.error.has_value(); ++i) {
    object_reader element(array[i], reader.PathOf("snapshots", i), state);
    parsed.snapshots.push_back(ParseSnapshot(element, parsed.collection, services, config, state));
    ids.Add(std::to_string(parsed.snapshots.back().id.value), element.PathOf("id"));
  }
  reader.RejectUnknownFields();
  std::sort(parsed.snapshots.begin(), parsed.snapshots.end(),
            [](const snapshot& a, const snapshot& b) { return a.id < b.id; });
  return parsed;
}

}  // namespace

void ParseShardMaps(const nlohmann::json& value, configuration& config, parse_state& state) {
  service_index services;
  for (const service& known : config.services)
    services.emplace(known.id.value, &known);

  object_reader reader(value, "shard_maps", state);
  duplicate_checker ids(state);
  const auto& array = reader.Array("collections");
  for (std::size_t i = 0; i < array.size() && !state.error.has_value(); ++i) {
    object_reader element(array[i], reader.PathOf("collections", i), state);
    shard_map parsed = ParseShardMap(element, services, config, state);
    ids.Add(parsed.collection.value, element.PathOf("id"));
    config.shard_map_index.emplace(parsed.collection, static_cast<std::uint32_t>(i));
    config.shard_maps.push_back(std::move(parsed));
  }
  reader.RejectUnknownFields();
}

}  // namespace limpetrouter::core::config
