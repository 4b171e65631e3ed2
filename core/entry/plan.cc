#include "core/entry/plan.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "core/base/random.h"
#include "core/entry/attempts.h"
#include "core/entry/holders.h"
#include "core/routing/ejection.h"

namespace limpetrouter::core::entry {
namespace {

using routing::replica_candidate;
using routing::replica_rank;

/// How long the drain state of a backend server is cached. A drain must take effect within a few seconds, and checking
/// the facts for each call would be costly.
constexpr base::duration kDrainCheckInterval = std::chrono::milliseconds(50);

/// True if the backend server is draining, or has reported so recently. Uses the cached drain state.
bool IsDrainingCached(entry_tables& tables, const instance::context& ctx, const query& query, std::uint32_t server) {
  routing::server_statistics& statistics = tables.statistics.servers[query.view->servers[server]];
  if (statistics.drain_hint_until > ctx.now) return true;
  const bool never_checked = statistics.drain_checked == base::time_point{};
  if (never_checked || ctx.now - statistics.drain_checked >= kDrainCheckInterval) {
    const config::configuration& config = ctx.config != nullptr ? *ctx.config : *query.config;
    statistics.draining = membership::IsDraining(ctx.facts, config, statistics.id);
    statistics.drain_checked = ctx.now;
  }
  return statistics.draining;
}

/// True if the configuration in force no longer contains the backend server.
bool IsRemoved(const instance::context& ctx, const query& query, std::uint32_t server) {
  if (ctx.config.get() == query.config.get() || ctx.config == nullptr) return false;
  return !ctx.config->backend_server_index.contains(query.config->backend_servers[server].id);
}

/// Rank of the replica at `position` in the list of replicas, on the given server.
replica_rank RankOf(entry_tables& tables, const instance::context& ctx, const query& query, const shard_task& task,
                    std::uint32_t position, std::uint32_t server) {
  const std::uint64_t bit = std::uint64_t{1} << (position % 64);
  if ((task.snapshot_missing & bit) != 0 || IsRemoved(ctx, query, server)) return replica_rank::kUnusable;
  if (IsDrainingCached(tables, ctx, query, server)) return replica_rank::kDraining;
  if ((task.tried & bit) != 0) return replica_rank::kTried;
  const routing::server_statistics& statistics = tables.statistics.servers[query.view->servers[server]];
  if (routing::IsEjected(statistics, ctx.now)) return replica_rank::kEjected;
  if (statistics.on_probation && statistics.outstanding > 0) return replica_rank::kOnProbation;
  return replica_rank::kGood;
}

/// Ranks and scores all replicas of a shard.
std::vector<replica_candidate> Candidates(entry_tables& tables, const instance::context& ctx, const query& query,
                                          std::uint32_t shard) {
  const std::vector<std::uint32_t>& replicas = query.targets[shard]->replicas;
  std::vector<replica_candidate> candidates;
  candidates.reserve(replicas.size());
  for (std::uint32_t i = 0; i < replicas.size(); ++i) {
    replica_candidate candidate;
    candidate.position = i;
    candidate.rank = RankOf(tables, ctx, query, query.shards[shard], i, replicas[i]);
    const routing::server_statistics& statistics = tables.statistics.servers[query.view->servers[replicas[i]]];
    candidate.score =
        (statistics.outstanding + 1) * routing::EffectiveLatencyUs(tables.statistics, statistics, ctx.now);
    candidates.push_back(candidate);
  }
  return candidates;
}

/// Rank of a replica for an unproven request. Most local observations are ignored, since other entries do not share
/// them. The exception is a backend server that is ejected because it does not answer: all entries eject such a server
/// and continue with the next one.
replica_rank SharedRank(const entry_tables& tables, const query& query, std::uint32_t shard,
                        const replica_candidate& candidate) {
  if (candidate.rank > replica_rank::kEjected) return candidate.rank;
  if (candidate.rank < replica_rank::kEjected) return replica_rank::kGood;
  const std::uint32_t server = query.targets[shard]->replicas[candidate.position];
  return tables.statistics.servers[query.view->servers[server]].ejected_as_slow ? replica_rank::kEjected
                                                                                : replica_rank::kGood;
}

/// Chooses the first replica of the best rank, in the order that starts at the hash of fingerprint and shard.
std::optional<std::uint32_t> NextInFingerprintOrder(const entry_tables& tables, const query& query, std::uint32_t shard,
                                                    const std::vector<replica_candidate>& candidates,
                                                    replica_rank worst) {
  const std::size_t count = candidates.size();
  const auto start =
      static_cast<std::size_t>(base::MixHash(query.fingerprint.value, query.targets[shard]->id.value) % count);
  const replica_candidate* best = nullptr;
  replica_rank best_rank = replica_rank::kUnusable;
  for (std::size_t i = 0; i < count; ++i) {
    const replica_candidate& candidate = candidates[(start + i) % count];
    const replica_rank rank = SharedRank(tables, query, shard, candidate);
    if (rank >= best_rank) continue;
    best = &candidate;
    best_rank = rank;
  }
  if (best == nullptr || best_rank > worst) return std::nullopt;
  return best->position;
}

/// True if the operation requires a canary and the request is not proven.
bool NeedsCanary(const query& query) { return query.rule->canary && !query.proven; }

/// Sends a call to a replica of each of the shards. A shard without a usable replica fails.
void SendTo(entry_tables& tables, instance::context& ctx, query& query, const std::vector<std::uint32_t>& shards,
            attempt_kind kind, const char* reason) {
  std::vector<planned_call> calls;
  calls.reserve(shards.size());
  for (const std::uint32_t shard : shards) {
    shard_task& task = query.shards[shard];
    task.state = shard_state::kOpen;
    const auto replica = PickReplica(tables, ctx, query, shard, replica_rank::kDraining);
    if (!replica) {
      task.state = shard_state::kFailed;
      ++query.failed;
      continue;
    }
    calls.push_back({shard, *replica, kind, reason});
  }
  SendCalls(tables, ctx, query, calls);
}

}  // namespace

base::result<void> PinSnapshot(entry_tables& tables, const instance::context& ctx, query& query) {
  const config::snapshot* snapshot = config::NewestSnapshot(*ctx.config, query.request.collection);
  if (snapshot == nullptr) {
    return base::Fail(base::error_kind::kUnknownSnapshot,
                      fmt::format("collection \"{}\" has no servable snapshot", query.request.collection.value));
  }
  const bool one_shard = query.rule->scatter == config::scatter_mode::kShardOfKey;
  if (one_shard && snapshot->shards.empty()) {
    return base::Fail(base::error_kind::kUnknownSnapshot, fmt::format("snapshot {} has no shards", snapshot->id.value));
  }
  if (tables.view == nullptr || tables.view->config != ctx.config) {
    tables.view = routing::MakeStatisticsView(tables.statistics, ctx.config);
  }
  query.config = ctx.config;
  query.view = tables.view;
  query.snapshot = snapshot;
  query.targets.clear();
  query.documents_total = 0;
  if (one_shard) {
    query.targets.push_back(&snapshot->shards[config::ShardOfKey(*snapshot, query.request.key)]);
  } else {
    for (const config::shard& shard : snapshot->shards)
      query.targets.push_back(&shard);
  }
  for (const config::shard* shard : query.targets)
    query.documents_total += shard->documents;
  query.shards.assign(query.targets.size(), shard_task{});
  query.answered = 0;
  query.failed = 0;
  query.documents_answered = 0;
  query.rows.clear();
  query.totals.clear();
  query.retries.clear();
  query.restart_pending = false;
  return {};
}

void SendFirstCalls(entry_tables& tables, instance::context& ctx, query& query) {
  if (query.targets.empty()) return;
  if (!NeedsCanary(query)) {
    query.canary = canary_state::kNotNeeded;
    SendHeldCalls(tables, ctx, query);
    return;
  }
  query.canary = canary_state::kRunning;
  query.canary_shard = static_cast<std::uint32_t>(query.fingerprint.value % query.targets.size());
  SendTo(tables, ctx, query, {query.canary_shard}, attempt_kind::kCanary, "unproven request");
}

void SendHeldCalls(entry_tables& tables, instance::context& ctx, query& query) {
  std::vector<std::uint32_t> held;
  for (std::uint32_t shard = 0; shard < query.shards.size(); ++shard) {
    if (query.shards[shard].state == shard_state::kHeld) held.push_back(shard);
  }
  if (!held.empty()) SendTo(tables, ctx, query, held, attempt_kind::kFirst, "");
}

std::optional<std::uint32_t> PickReplica(entry_tables& tables, const instance::context& ctx, const query& query,
                                         std::uint32_t shard, replica_rank worst) {
  std::vector<replica_candidate> candidates = Candidates(tables, ctx, query, shard);
  if (candidates.empty()) return std::nullopt;
  while (true) {
    const auto picked = NeedsCanary(query) ? NextInFingerprintOrder(tables, query, shard, candidates, worst)
                                           : routing::ChooseReplica(candidates, worst, ctx.random);
    if (!picked) return std::nullopt;
    // Holders are checked for the picked replica only, since checking all replicas of each call would be too costly.
    replica_candidate& candidate = candidates[*picked];
    const std::uint32_t server = query.targets[shard]->replicas[*picked];
    if (candidate.rank >= replica_rank::kNoHolder || HasUsableHolder(tables, ctx, query, server)) return picked;
    candidate.rank = replica_rank::kNoHolder;
  }
}

double SlotCapacity(const config::configuration& config, const config::snapshot& snapshot) {
  // Slots and number of shards by service.
  std::map<base::service_id, std::pair<std::uint32_t, std::uint32_t>> slots_and_shards;
  for (const config::shard& shard : snapshot.shards)
    ++slots_and_shards[shard.service].second;
  for (const config::backend_server& server : config.backend_servers) {
    const auto found = slots_and_shards.find(server.service);
    if (found != slots_and_shards.end()) found->second.first += server.slots;
  }
  double smallest = 1e9;
  for (const auto& [service, counts] : slots_and_shards) {
    smallest = std::min(smallest, static_cast<double>(counts.first) / counts.second);
  }
  return std::max(1.0, smallest);
}

}  // namespace limpetrouter::core::entry
