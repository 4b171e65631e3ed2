#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "core/config/parse.h"

namespace limpetrouter::core::config {

/// A small valid configuration: two data centres, one collection, two services with two backend servers each.
inline nlohmann::json MakeTestDocument() {
  return nlohmann::json::parse(R"({
    "inventory": {
      "deployment": "test",
      "data_centres": [{"id": "dc1", "region": "r1"}, {"id": "dc2", "region": "r1"}],
      "services": [{"id": "s1", "collection": "ledger"}, {"id": "s2", "collection": "ledger"}],
      "backend_servers": [
        {"id": "s1-a", "service": "s1", "data_centre": "dc1", "address": "127.0.0.1:18001", "slots": 5, "connections": 40},
        {"id": "s1-b", "service": "s1", "data_centre": "dc2", "address": "127.0.0.1:18002", "slots": 5, "connections": 40},
        {"id": "s2-a", "service": "s2", "data_centre": "dc1", "address": "127.0.0.1:18003", "slots": 5, "connections": 40,
         "connect_cost_us": 6000, "state": "leaving"},
        {"id": "s2-b", "service": "s2", "data_centre": "dc2", "address": "[::1]:18004", "slots": 5, "connections": 40}]},
    "rules": {
      "collections": [{"id": "ledger", "operations": [
        {"id": "sweep", "shards": "all", "repeatable": true, "deadline_ms": 2000},
        {"id": "transfer", "shards": "key", "urgent": true, "repeatable": false, "partial": "useless", "canary": true,
         "deadline_ms": 1000, "max_deadline_ms": 5000, "max_rows": 10}]}],
      "limits": {"hedge_budget_percent": 2.5}},
    "shard_maps": {
      "collections": [{"id": "ledger", "snapshots": [
        {"id": 42, "servable": false, "shards": [{"id": 0, "service": "s1", "documents": 7, "replicas": ["s1-a"]}]},
        {"id": 41, "servable": true, "shards": [
          {"id": 0, "service": "s1", "documents": 100, "replicas": ["s1-a", "s1-b"]},
          {"id": 1, "service": "s2", "documents": 20, "replicas": ["s2-a", "s2-b"]}]}]}]}})");
}

inline configuration_source MakeSource(std::uint64_t revision, const nlohmann::json& document) {
  return {base::revision_id(revision), document["inventory"].dump(), document["rules"].dump(),
          document["shard_maps"].dump()};
}

}  // namespace limpetrouter::core::config
