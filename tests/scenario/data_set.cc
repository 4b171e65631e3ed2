#include "tests/scenario/data_set.h"

#include <fmt/format.h>

#include "core/base/digest.h"
#include "core/base/random.h"

namespace limpetrouter::tests::scenario {

std::int64_t TrueUnits(const std::string& collection, std::uint64_t snapshot, std::uint32_t shard) {
  const std::uint64_t hash = core::base::MixHash(core::base::HashBytes(collection, snapshot), shard);
  return static_cast<std::int64_t>(hash % 1'000'000'000);
}

std::string RowKey(std::uint32_t shard) { return fmt::format("shard-{:04}", shard); }

std::string RowValue(std::uint64_t snapshot, std::uint32_t shard, const std::string& key, const std::string& body) {
  return fmt::format(R"({{"request":"{}","shard":{},"snapshot":{}}})", core::base::HexDigest(key + '\n' + body), shard,
                     snapshot);
}

}  // namespace limpetrouter::tests::scenario
