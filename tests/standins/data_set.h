#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace limpetrouter::tests::standins {

/// One document of a data set with its contribution to each total.
struct document {
  std::string key;
  nlohmann::json value;
  std::map<std::string, std::int64_t> totals;
};

/// Generates document `index` of a collection at a snapshot. The result depends only on the arguments, so every
/// stand-in server and every check uses the same data. Collections that are not known here hold generic items.
document MakeDocument(const std::string& collection, std::uint64_t snapshot, std::uint64_t seed, std::uint64_t index);

/// Returns the number of documents of a collection in the generated deployments.
std::uint64_t DocumentCount(const std::string& collection);

/// Generates `count` documents and returns them by shard. The shard of a document is XXH3-64(key) modulo `shards`.
std::vector<std::vector<document>> PlaceDocuments(const std::string& collection, std::uint64_t snapshot,
                                                  std::uint64_t seed, std::uint64_t count, std::size_t shards);

/// Adds the totals of `from` to `into`.
void AddTotals(std::map<std::string, std::int64_t>& into, const std::map<std::string, std::int64_t>& from);

}  // namespace limpetrouter::tests::standins
