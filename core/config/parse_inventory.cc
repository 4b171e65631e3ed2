#include <set>
#include <utility>

#include <fmt/format.h>

#include "core/config/parse_sections.h"

namespace limpetrouter::core::config {
namespace {

constexpr std::int64_t kMaxGeneration = 1'000'000'000;
constexpr std::uint64_t kMaxSlots = 1024;
constexpr std::uint64_t kMaxConnections = 65'535;
constexpr std::uint64_t kMaxConnectCostUs = 10'000'000;

void ParseDataCentres(object_reader& inventory, configuration& config, parse_state& state) {
  duplicate_checker ids(state);
  const auto& array = inventory.Array("data_centres");
  config.data_centres.reserve(array.size());
  for (std::size_t i = 0; i < array.size(); ++i) {
    object_reader reader(array[i], inventory.PathOf("data_centres", i), state);
    data_centre parsed;
    parsed.id.value = reader.Id("id");
    parsed.region.value = reader.Id("region");
    reader.RejectUnknownFields();
    ids.Add(parsed.id.value, reader.PathOf("id"));
    config.data_centres.push_back(std::move(parsed));
  }
}

void ParseServices(object_reader& inventory, configuration& config, parse_state& state) {
  duplicate_checker ids(state);
  const auto& array = inventory.Array("services");
  config.services.reserve(array.size());
  for (std::size_t i = 0; i < array.size(); ++i) {
    object_reader reader(array[i], inventory.PathOf("services", i), state);
    service parsed;
    parsed.id.value = reader.Id("id");
    parsed.collection.value = reader.Id("collection");
    reader.RejectUnknownFields();
    ids.Add(parsed.id.value, reader.PathOf("id"));
    config.services.push_back(std::move(parsed));
  }
}

backend_server ParseBackendServer(object_reader& reader) {
  backend_server parsed;
  parsed.id.value = reader.Id("id");
  parsed.service.value = reader.Id("service");
  parsed.data_centre.value = reader.Id("data_centre");
  parsed.address = reader.Address("address");
  parsed.slots = static_cast<std::uint32_t>(reader.Integer("slots", 1, kMaxSlots));
  parsed.connections = static_cast<std::uint32_t>(reader.Integer("connections", 1, kMaxConnections));
  parsed.connect_cost = base::duration(reader.Integer("connect_cost_us", 0, kMaxConnectCostUs, 0));
  parsed.state = static_cast<backend_state>(reader.Choice("state", {"active", "leaving"}, 0));
  parsed.generation.value = static_cast<std::uint64_t>(reader.Integer("generation", 0, kMaxGeneration, 0));
  reader.RejectUnknownFields();
  return parsed;
}

void ParseBackendServers(object_reader& inventory, configuration& config, parse_state& state) {
  std::set<std::string> services;
  std::set<std::string> data_centres;
  for (const service& known : config.services)
    services.insert(known.id.value);
  for (const data_centre& known : config.data_centres)
    data_centres.insert(known.id.value);

  duplicate_checker ids(state);
  // The slots of one server would be used twice if two entries had the same address.
  duplicate_checker addresses(state);
  const auto& array = inventory.Array("backend_servers");
  config.backend_servers.reserve(array.size());
  for (std::size_t i = 0; i < array.size(); ++i) {
    object_reader reader(array[i], inventory.PathOf("backend_servers", i), state);
    backend_server parsed = ParseBackendServer(reader);
    if (state.error.has_value()) return;
    ids.Add(parsed.id.value, reader.PathOf("id"));
    addresses.Add(parsed.address, reader.PathOf("address"));
    if (!services.contains(parsed.service.value)) {
      AddError(state, reader.PathOf("service"),
               fmt::format("service \"{}\" is not in inventory.services", parsed.service.value));
    }
    if (!data_centres.contains(parsed.data_centre.value)) {
      AddError(state, reader.PathOf("data_centre"),
               fmt::format("data centre \"{}\" is not in inventory.data_centres", parsed.data_centre.value));
    }
    config.backend_server_index.emplace(parsed.id, static_cast<std::uint32_t>(i));
    config.backend_servers.push_back(std::move(parsed));
  }
}

}  // namespace

void ParseInventory(const nlohmann::json& value, configuration& config, parse_state& state) {
  object_reader reader(value, "inventory", state);
  reader.OptionalId("deployment");
  ParseDataCentres(reader, config, state);
  ParseServices(reader, config, state);
  if (state.error.has_value()) return;
  ParseBackendServers(reader, config, state);
  reader.RejectUnknownFields();
}

}  // namespace limpetrouter::core::config
