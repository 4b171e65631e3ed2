#include "bench/planned_document.h"

#include <fmt/format.h>

namespace limpetrouter::bench {

nlohmann::json MakePlannedDocument(const planned_size& size) {
  using nlohmann::json;
  json centres = json::array();
  for (std::uint32_t i = 0; i < size.data_centres; ++i) {
    centres.push_back({{"id", fmt::format("dc{}", i)}, {"region", i < (size.data_centres + 1) / 2 ? "r1" : "r2"}});
  }
  centres.push_back({{"id", "dcx"}, {"region", "r1"}});
  json services = json::array();
  json shards = json::array();
  for (std::uint32_t i = 0; i < size.shards; ++i) {
    const std::string service = fmt::format("stock-{:03}", i);
    services.push_back({{"id", service}, {"collection", "stock"}});
    shards.push_back({{"id", i}, {"service", service}, {"documents", 100 + i % 50}, {"replicas", json::array()}});
  }
  json servers = json::array();
  for (std::uint32_t i = 0; i < size.backend_servers; ++i) {
    const std::uint32_t shard = i % size.shards;
    const std::uint32_t replica = i / size.shards;
    const std::string id = fmt::format("stock-{:03}-{}", shard, replica);
    servers.push_back({{"id", id},
                       {"service", fmt::format("stock-{:03}", shard)},
                       {"data_centre", fmt::format("dc{}", (shard + replica) % size.data_centres)},
                       {"address", fmt::format("10.1.{}.{}:80", i / 250, i % 250 + 1)},
                       {"slots", 3 + i % 3},
                       {"connections", 40},
                       {"connect_cost_us", 1000}});
    shards[shard]["replicas"].push_back(id);
  }
  json sweep = {{"id", "sweep"},       {"shards", "all"},          {"urgent", false},
                {"repeatable", true},  {"partial", "useless"},     {"canary", false},
                {"deadline_ms", 2000}, {"max_deadline_ms", 30000}, {"max_rows", 2000}};
  json document;
  document["inventory"] = {{"data_centres", centres}, {"services", services}, {"backend_servers", servers}};
  document["rules"] = {{"collections", json::array({{{"id", "stock"}, {"operations", json::array({sweep})}}})},
                       {"limits", {{"max_permits", 1000}}}};
  json snapshots = json::array({{{"id", 1}, {"servable", true}, {"shards", shards}}});
  document["shard_maps"]["collections"] = json::array({{{"id", "stock"}, {"snapshots", snapshots}}});
  return document;
}

core::config::configuration_source MakePlannedSource(std::uint64_t revision, const nlohmann::json& document) {
  return {core::base::revision_id(revision), document.at("inventory").dump(), document.at("rules").dump(),
          document.at("shard_maps").dump()};
}

}  // namespace limpetrouter::bench
