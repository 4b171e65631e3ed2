#pragma once

#include <cstdint>
#include <string>

namespace limpetrouter::tests::scenario {

/// The data of the fakes is a pure function, so that a checker can compute what the true answer is.

/// Units (litres, parts) in one shard of one snapshot.
std::int64_t TrueUnits(const std::string& collection, std::uint64_t snapshot, std::uint32_t shard);

/// Key of the one row that a shard returns.
std::string RowKey(std::uint32_t shard);

/// Value of that row: names its snapshot, shard and request, so that a mixed or crossed answer shows.
std::string RowValue(std::uint64_t snapshot, std::uint32_t shard, const std::string& key, const std::string& body);

}  // namespace limpetrouter::tests::scenario
