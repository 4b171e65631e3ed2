#include "core/gather/second_run.h"

#include <algorithm>
#include <cstddef>
#include <vector>

#include "core/base/random.h"
#include "core/gather/guards.h"

namespace limpetrouter::core::gather {
namespace {

/// Covers a call of a typical service, the detection of its crash, and the transmission of the report between regions.
constexpr base::duration kDelayPerReplica = std::chrono::milliseconds(100);

const config::shard* FindShard(const config::configuration& config, const call& call) {
  const config::snapshot* const snapshot =
      config::FindSnapshot(config, call.request->collection, call.request->snapshot);
  if (snapshot == nullptr) return nullptr;
  const auto found = std::find_if(snapshot->shards.begin(), snapshot->shards.end(),
                                  [&](const config::shard& shard) { return shard.id == call.shard; });
  return found == snapshot->shards.end() ? nullptr : &*found;
}

}  // namespace

base::duration SecondExecutionDelay(const instance::context& ctx, const call& call) {
  const auto suspicion = membership::FindSuspicion(ctx.facts, call.request->fingerprint, ctx.now);
  if (!suspicion.has_value() || ctx.config == nullptr) return {};
  const config::shard* const shard = FindShard(*ctx.config, call);
  if (shard == nullptr || shard->replicas.size() < 2) return {};
  const std::size_t count = shard->replicas.size();
  // Entries begin with the replica after this position. It applies if the crashed server is not a replica of this
  // shard.
  std::size_t crashed_position = (base::MixHash(call.request->fingerprint.value, shard->id.value) + count - 1) % count;
  std::size_t own_position = count;
  for (std::size_t i = 0; i < count; ++i) {
    const base::backend_server_id& id = ctx.config->backend_servers.at(shard->replicas[i]).id;
    if (ServerHash(id) == suspicion->crashed_server) crashed_position = i;
    if (id == call.server) own_position = i;
  }
  if (own_position == count || own_position == crashed_position) return {};
  // Draining replicas in between are not counted, because entries send them no calls.
  int replicas_before = 0;
  for (std::size_t i = (crashed_position + 1) % count; i != own_position; i = (i + 1) % count) {
    const base::backend_server_id& id = ctx.config->backend_servers.at(shard->replicas[i]).id;
    if (!membership::IsDraining(ctx.facts, *ctx.config, id)) ++replicas_before;
  }
  const base::duration remaining = call.deadline - ctx.now;
  return std::min<base::duration>(replicas_before * kDelayPerReplica, remaining / 2);
}

}  // namespace limpetrouter::core::gather
