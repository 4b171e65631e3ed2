#pragma once

#include <cstdint>

#include <nlohmann/json.hpp>

#include "core/config/parse.h"

namespace limpetrouter::bench {

/// Size of a synthetic configuration: one collection whose shards have their replicas in different data centres.
struct planned_size {
  std::uint32_t backend_servers = 3200;
  std::uint32_t shards = 870;
  std::uint32_t data_centres = 5;
};

/// A configuration of this size. Data centre "dcN" is in region "r1" for the first half of them (rounded up) and in
/// "r2" for the rest; a last data centre "dcx" has no backend servers.
nlohmann::json MakePlannedDocument(const planned_size& size);

core::config::configuration_source MakePlannedSource(std::uint64_t revision, const nlohmann::json& document);

}  // namespace limpetrouter::bench
