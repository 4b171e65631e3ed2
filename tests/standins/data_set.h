#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace limpetrouter::tests::standins {

/// One document of a data set with what it adds to each total.
struct document {
  std::string key;
  nlohmann::json value;
  std::map<std::string, std::int64_t> totals;
};

/// Makes document `index` of a collection at a snapshot. The result depends on the arguments alone, so every stand-in
/// server and every check sees the same data. Collections without a data set of their own hold plain items.
document MakeDocument(const std::string& collection, std::uint64_t snapshot, std::uint64_t seed, std::uint64_t index);

/// Number of documents of a collection in the generated deployments.
std::uint64_t DocumentCount(const std::string& collection);

/// All `count` documents, placed in the `shards` shards by XXH3-64(key) modulo the number of shards.
std::vector<std::vector<document>> PlaceDocuments(const std::string& collection, std::uint64_t snapshot,
                                                  std::uint64_t seed, std::uint64_t count, std::size_t shards);

/// Adds the totals of `from` to `into`.
void AddTotals(std::map<std::string, std::int64_t>& into, const std::map<std::string, std::int64_t>& from);

}  // namespace limpetrouter::tests::standins
