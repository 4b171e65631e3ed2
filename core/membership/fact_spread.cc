#include "core/membership/fact_spread.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/membership/membership_tables.h"

namespace limpetrouter::core::membership {
namespace {

/// Bounds the memory that facts of other instances can take.
constexpr std::size_t kMaxFacts = 8192;
constexpr std::size_t kMaxSubjectLength = 128;
/// A fact with a shorter remaining lifetime is not passed on, so that instances that have already removed it do not add
/// it again.
constexpr base::duration kMinLifetime = std::chrono::seconds(1);

std::size_t EncodedSize(const peer::fact& fact) {
  return sizeof(std::uint8_t) + sizeof(std::uint64_t) + fact.subject.size() + 3 * sizeof(std::uint64_t);
}

bool Expires(const peer::fact& fact) { return fact.kind != peer::fact_kind::kBackendDraining; }

/// Copies the fact with its remaining lifetime to `fact`. Returns false if that lifetime is too short to be passed on.
bool ToMessage(const known_fact& known, base::time_point now, peer::fact& fact) {
  fact = known.fact;
  fact.expires_in_us = 0;
  if (!Expires(fact)) return true;
  const base::duration remaining = known.expires - now;
  fact.expires_in_us = remaining.count();
  return remaining >= kMinLifetime;
}

/// True if the service registry has ended the drain by a higher generation of the registry entry. A drain of a server
/// that is not listed is kept, because a later revision may list the server again.
bool IsOutdated(const membership_tables& tables, const peer::fact& fact) {
  if (fact.kind != peer::fact_kind::kBackendDraining || tables.store.in_force == nullptr) return false;
  const config::backend_server* const server =
      config::FindBackendServer(*tables.store.in_force, base::backend_server_id(fact.subject));
  return server != nullptr && fact.revision < server->generation.value;
}

}  // namespace

std::size_t AppendFacts(membership_tables& tables, base::time_point now, std::size_t count, std::size_t bytes,
                        peer::piggyback& changes) {
  std::vector<known_fact*> order;
  for (auto& [key, known] : tables.facts.facts) {
    if (known.transmissions_left > 0) order.push_back(&known);
  }
  std::stable_sort(order.begin(), order.end(), [](const known_fact* a, const known_fact* b) {
    return a->transmissions_left > b->transmissions_left;
  });
  std::size_t used = 0;
  for (known_fact* const known : order) {
    if (changes.facts.size() >= count) break;
    peer::fact fact;
    if (!ToMessage(*known, now, fact)) {
      known->transmissions_left = 0;
      continue;
    }
    const std::size_t size = EncodedSize(fact);
    if (used + size > bytes) continue;
    used += size;
    --known->transmissions_left;
    changes.facts.push_back(std::move(fact));
  }
  return used;
}

std::vector<peer::fact> AllFacts(const membership_tables& tables, base::time_point now) {
  std::vector<peer::fact> facts;
  for (const auto& [key, known] : tables.facts.facts) {
    peer::fact fact;
    if (ToMessage(known, now, fact)) facts.push_back(std::move(fact));
  }
  return facts;
}

void MergeFacts(membership_tables& tables, instance::context& ctx, const std::vector<peer::fact>& facts) {
  for (const peer::fact& fact : facts) {
    if (fact.subject.empty() || fact.subject.size() > kMaxSubjectLength || IsOutdated(tables, fact)) continue;
    if (Expires(fact) && base::duration(fact.expires_in_us) < kMinLifetime) continue;
    const bool known = tables.facts.facts.contains({fact.kind, fact.subject});
    if (!known && tables.facts.facts.size() >= kMaxFacts) continue;
    MergeFact(tables.facts, fact, ctx.now);
  }
}

void CleanUpFacts(membership_tables& tables, base::time_point now) {
  ExpireFacts(tables.facts, now);
  std::erase_if(tables.facts.facts, [&tables](const auto& entry) { return IsOutdated(tables, entry.second.fact); });
}

}  // namespace limpetrouter::core::membership
