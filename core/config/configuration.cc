#include "core/config/configuration.h"

#include <algorithm>

#include "core/base/digest.h"

namespace limpetrouter::core::config {
namespace {

/// Returns the element of `items` at the position that `index` gives for `id`, or null if there is none.
template <class Index, class Id, class Item>
const Item* Lookup(const Index& index, const Id& id, const std::vector<Item>& items) {
  const auto found = index.find(id);
  if (found == index.end() || found->second >= items.size()) return nullptr;
  return &items[found->second];
}

}  // namespace

const backend_server* FindBackendServer(const configuration& config, const base::backend_server_id& id) {
  return Lookup(config.backend_server_index, id, config.backend_servers);
}

const operation_rule* FindOperation(const configuration& config, const base::collection_id& collection,
                                    const base::operation_id& operation) {
  const auto* const found = Lookup(config.collection_index, collection, config.collections);
  if (found == nullptr) return nullptr;
  const auto rule = std::find_if(found->operations.begin(), found->operations.end(),
                                 [&](const operation_rule& r) { return r.id == operation; });
  return rule == found->operations.end() ? nullptr : &*rule;
}

const shard_map* FindShardMap(const configuration& config, const base::collection_id& collection) {
  return Lookup(config.shard_map_index, collection, config.shard_maps);
}

const snapshot* FindSnapshot(const configuration& config, const base::collection_id& collection, base::snapshot_id id) {
  const shard_map* const map = FindShardMap(config, collection);
  if (map == nullptr) return nullptr;
  const auto found = std::lower_bound(map->snapshots.begin(), map->snapshots.end(), id,
                                      [](const snapshot& s, const base::snapshot_id& wanted) { return s.id < wanted; });
  if (found == map->snapshots.end() || found->id != id) return nullptr;
  return &*found;
}

const snapshot* NewestSnapshot(const configuration& config, const base::collection_id& collection) {
  const shard_map* const map = FindShardMap(config, collection);
  if (map == nullptr) return nullptr;
  const auto newest =
      std::find_if(map->snapshots.rbegin(), map->snapshots.rend(), [](const snapshot& s) { return s.servable; });
  return newest == map->snapshots.rend() ? nullptr : &*newest;
}

base::region_id RegionOf(const configuration& config, const base::data_centre_id& id) {
  const auto found = std::find_if(config.data_centres.begin(), config.data_centres.end(),
                                  [&](const data_centre& dc) { return dc.id == id; });
  return found == config.data_centres.end() ? base::region_id() : found->region;
}

std::size_t ShardOfKey(const snapshot& snapshot, const std::string& key) {
  if (snapshot.shards.empty()) return 0;
  return base::HashBytes(key) % snapshot.shards.size();
}

}  // namespace limpetrouter::core::config
