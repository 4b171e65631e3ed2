#include "core/entry/start.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "core/base/random.h"
#include "core/entry/answer.h"
#include "core/entry/plan.h"
#include "core/entry/results.h"
#include "core/entry/validate.h"

namespace limpetrouter::core::entry {
namespace {

using base::error_kind;

/// Share of the limit on queries in flight that is reserved for urgent queries.
constexpr double kUrgentReserve = 0.1;
constexpr std::int64_t kMinRetryAfterMs = 10;
constexpr std::int64_t kMaxRetryAfterMs = 1000;
/// Minimum number of calls of a service, including shed calls, for which its share of delayed calls is significant.
constexpr std::uint32_t kMinCallsForQueueState = 10;

/// Delay in milliseconds after which the caller of a refused query may send it again.
std::int64_t RetryAfter(const routing::admission_limit& limit, base::random_source& random) {
  // After about the mean duration of a query some of the queries in flight have ended. The jitter spreads the
  // repetitions of refused queries over time.
  const auto wait = static_cast<std::int64_t>(limit.mean_query_us / 1000 * (0.5 + base::NextUnit(random)));
  return std::clamp(wait, kMinRetryAfterMs, kMaxRetryAfterMs);
}

/// Sets the initial admission limit and its floor. With the initial limit a single entry can load all slots twice over;
/// the adaptive limit corrects the value later. The floor is the share of this entry in a load that keeps all slots
/// busy and lets calls wait for about two call times.
void SetInitialLimit(routing::admission_limit& limit, const instance::context& ctx, const query& query) {
  constexpr double kInitialFactor = 2.0;
  constexpr double kFloorFactor = 2.5;
  const double capacity = SlotCapacity(*query.config, *query.snapshot);
  const auto instances = static_cast<double>(ctx.members.members.size() + 1);
  limit.initial_limit = kInitialFactor * capacity;
  limit.limit = limit.initial_limit;
  limit.floor = std::max(1.0, kFloorFactor * capacity / instances);
}

/// Returns a refusal if this instance has too many queries in flight or the collection is at its admission limit.
std::optional<start_refusal> CheckAdmission(entry_tables& tables, const instance::context& ctx, const query& query) {
  const std::size_t in_flight = tables.queries.queries.size();
  const std::uint32_t bound = query.config->limit.max_queries_in_flight;
  const bool urgent = query.rule->urgent;
  const double usable = urgent ? bound : bound * (1 - kUrgentReserve);
  routing::admission_limit& limit = tables.collections[query.request.collection].admission;
  if (limit.limit == 0) SetInitialLimit(limit, ctx, query);
  std::string detail;
  if (static_cast<double>(in_flight) >= std::floor(usable)) {
    detail = fmt::format("{} queries are in flight at this instance, the limit is {}", in_flight, std::floor(usable));
  } else if (query.config->limit.admission && !routing::Admits(limit, query.weight, urgent)) {
    detail = fmt::format("{} queries of collection \"{}\" are in flight, the current limit is {:.1f} full fan-outs",
                         limit.in_flight, query.request.collection.value, limit.limit);
  } else {
    return std::nullopt;
  }
  ++limit.refused;
  ++limit.refused_in_period;
  return start_refusal{{error_kind::kOverloaded, std::move(detail)}, RetryAfter(limit, ctx.random)};
}

/// Queue state of the most loaded service. The share of delayed calls in the result is the lower end of its confidence
/// interval; otherwise the highest of many noisy shares would always look overloaded.
routing::queue_state WorstQueue(const entry_tables& tables, const collection_state& collection, base::time_point now) {
  routing::queue_state worst;
  for (const std::uint32_t service : collection.services) {
    routing::queue_state state = routing::QueueState(tables.statistics.services[service].queue, now);
    if (state.calls + state.shed < kMinCallsForQueueState) continue;
    const double share = state.delayed_share;
    state.delayed_share = std::max(0.0, share - std::sqrt(share * (1 - share) / std::max(state.calls, 1U)));
    if (state.delayed_share >= worst.delayed_share) worst = state;
  }
  return worst;
}

/// Mean call time of the slowest service of the collection.
base::duration TypicalCallTime(const entry_tables& tables, const collection_state& collection) {
  double longest = 0;
  for (const std::uint32_t service : collection.services) {
    longest = std::max(longest, tables.statistics.services[service].mean_call_us);
  }
  return base::duration(static_cast<std::int64_t>(longest));
}

/// Updates the list of services of a collection if it was made for another configuration.
void ListServices(entry_tables& tables, collection_state& collection, const base::collection_id& id,
                  const config::configuration& config) {
  if (collection.services_config == &config) return;
  collection.services_config = &config;
  collection.services.clear();
  for (const config::service& service : config.services) {
    const auto found = tables.statistics.service_index.find(service.id);
    if (service.collection == id && found != tables.statistics.service_index.end()) {
      collection.services.push_back(found->second);
    }
  }
}

}  // namespace

std::optional<start_refusal> StartQuery(entry_tables& tables, instance::context& ctx, query_start start) {
  query query;
  query.sequence = base::query_sequence(start.sequence);
  query.target = std::move(start.target);
  query.permit_serial = start.permit_serial;
  query.request = std::move(start.request);
  query.fingerprint = FingerprintOf(query.request);
  query.rule = start.rule;
  query.started = ctx.now;
  query.deadline = start.deadline;
  query.proven = !query.rule->canary || IsProven(tables.proven, query.fingerprint);
  if (membership::IsWithheld(ctx.facts, query.fingerprint, ctx.now)) {
    return start_refusal{
        {error_kind::kRequestWithheld, "the request is withheld because it has crashed backend servers"}, 0};
  }
  if (const auto pinned = PinSnapshot(tables, ctx, query); !pinned) return start_refusal{pinned.error(), 0};
  const std::size_t shards = std::max<std::size_t>(query.snapshot->shards.size(), 1);
  query.weight = static_cast<double>(query.targets.size()) / static_cast<double>(shards);
  if (auto refusal = CheckAdmission(tables, ctx, query)) return refusal;
  routing::CountAdmitted(tables.collections[query.request.collection].admission, query.weight);
  const auto inserted = tables.queries.queries.emplace(start.sequence, std::move(query)).first;
  SendFirstCalls(tables, ctx, inserted->second);
  AdvanceQuery(tables, ctx, start.sequence);
  return std::nullopt;
}

std::uint64_t NewSequence(entry_tables& tables, const instance::context& ctx, const peer::query_request& request) {
  const std::uint64_t sequence = tables.queries.next_query++;
  BeginExplanation(tables.explanations, sequence, request.collection.value, request.operation.value, ctx.now);
  return sequence;
}

void Refuse(entry_tables& tables, instance::context& ctx, std::uint64_t sequence, const answer_target& target,
            peer::query_answer answer) {
  decision decision;
  decision.name = "refuse";
  decision.reason = fmt::format("{}: {} (executed {})", base::ToString(answer.failure), answer.detail,
                                base::ToString(answer.executed));
  RecordDecision(tables.explanations, ctx, sequence, std::move(decision));
  Deliver(ctx, target, std::move(answer));
}

void AdjustLimits(entry_tables& tables, const instance::context& ctx) {
  if (ctx.config == nullptr) return;
  for (auto& [id, collection] : tables.collections) {
    if (ctx.now - collection.admission.adjusted < routing::kQueueWindow) continue;
    ListServices(tables, collection, id, *ctx.config);
    routing::AdjustLimit(collection.admission, WorstQueue(tables, collection, ctx.now),
                         TypicalCallTime(tables, collection), ctx.now);
  }
}

}  // namespace limpetrouter::core::entry
