#include "core/membership/anti_entropy.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string_view>
#include <utility>

#include "core/base/digest.h"
#include "core/membership/fact_spread.h"
#include "core/membership/member_change.h"
#include "core/membership/membership_tables.h"
#include "core/membership/spread_queue.h"

namespace limpetrouter::core::membership {
namespace {

/// A table of 450 members takes about 45 KB, so one exchange per interval stays near the control budget of 4 KB/s.
constexpr base::duration kExchangeInterval = std::chrono::seconds(10);
constexpr base::duration kRetryInterval = std::chrono::seconds(1);
/// Tables differ for a short time after each change. Only differences that outlast the dissemination of a change lead
/// to an exchange.
constexpr base::duration kSettleTime = std::chrono::seconds(3);
/// Number of consecutive mismatches that leads to an exchange once the own table has settled.
constexpr std::uint32_t kMismatchThreshold = 2;
/// Number of consecutive mismatches that leads to an exchange while the own table keeps changing, for example when the
/// whole fleet restarts.
constexpr std::uint32_t kUnsettledMismatchThreshold = 8;

std::uint64_t HashMember(const peer::member_update& update) {
  const std::uint64_t incarnation_hash = base::HashBytes(update.member.id.value, update.member.incarnation.value);
  return base::MixHash(incarnation_hash, update.state == peer::member_state::kLeaving ? 1 : 0);
}

std::uint64_t HashFact(const peer::fact& fact) {
  const std::uint64_t seed = base::MixHash(static_cast<std::uint64_t>(fact.kind), fact.revision);
  return base::MixHash(base::HashBytes(fact.subject, seed), fact.boot);
}

/// The complete member table, without seeds that have not been contacted (incarnation 0).
std::vector<peer::member_update> AllMembers(const membership_tables& tables) {
  std::vector<peer::member_update> members{MakeSelfUpdate(tables.members)};
  for (const auto& [id, entry] : tables.members.members) {
    if (entry.info.member.incarnation.value != 0) members.push_back(MakeUpdate(entry));
  }
  return members;
}

/// Members that `partner_members` lacks or has in another state.
std::vector<peer::member_update> MissingMembers(const membership_tables& tables,
                                                const std::vector<peer::member_update>& partner_members) {
  std::map<std::string_view, const peer::member_update*> known;
  for (const peer::member_update& update : partner_members)
    known.emplace(update.member.id.value, &update);
  std::vector<peer::member_update> missing = AllMembers(tables);
  std::erase_if(missing, [&known](const peer::member_update& update) {
    const auto it = known.find(update.member.id.value);
    if (it == known.end()) return update.state == peer::member_state::kDead;
    const peer::member_update& other = *it->second;
    return other.member == update.member && other.state == update.state && other.counter == update.counter;
  });
  return missing;
}

}  // namespace

std::uint64_t DigestOfTables(const membership_tables& tables, base::time_point now) {
  // A sum of hashes does not depend on the order of the members and facts.
  std::uint64_t digest = HashMember(MakeSelfUpdate(tables.members));
  for (const auto& [id, entry] : tables.members.members) {
    if (entry.info.state != peer::member_state::kDead) digest += HashMember(MakeUpdate(entry));
  }
  for (const peer::fact& fact : AllFacts(tables, now))
    digest += HashFact(fact);
  return digest;
}

void RequestExchange(membership_tables& tables, const base::instance_id& id) {
  if (tables.exchange.partner.value.empty()) tables.exchange.partner = id;
}

void CompareDigest(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                   std::uint64_t digest) {
  anti_entropy& exchange = tables.exchange;
  const std::uint64_t own = DigestOfTables(tables, ctx.now);
  if (own != exchange.digest) {
    exchange.digest = own;
    exchange.digest_since = ctx.now;
  }
  if (digest == own) {
    exchange.mismatches = 0;
    return;
  }
  ++exchange.mismatches;
  const bool settled = ctx.now - exchange.digest_since >= kSettleTime;
  if (exchange.mismatches < (settled ? kMismatchThreshold : kUnsettledMismatchThreshold)) return;
  exchange.mismatches = 0;
  RequestExchange(tables, sender);
}

void MergeTables(membership_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 const peer::table_exchange& exchange) {
  tables.exchange.joined = true;
  for (const peer::member_update& update : exchange.members)
    MergeUpdate(tables, ctx, update);
  MergeFacts(tables, ctx, exchange.facts);
  if (!exchange.reply_wanted) return;
  instance::SendToPeer(
      ctx, sender, peer::table_exchange{MissingMembers(tables, exchange.members), AllFacts(tables, ctx.now), false});
}

void HandleExchangeFailure(membership_tables& tables, base::time_point now) {
  tables.exchange.not_before = std::min(tables.exchange.not_before, now + kRetryInterval);
}

void RunAntiEntropy(membership_tables& tables, instance::context& ctx) {
  anti_entropy& exchange = tables.exchange;
  if (ctx.now < exchange.not_before) return;
  if (exchange.partner.value.empty() && !exchange.joined) {
    const std::vector<base::instance_id> picked = PickMembers(tables, ctx.random, 1);
    if (!picked.empty()) exchange.partner = picked.front();
  }
  if (exchange.partner.value.empty()) return;
  const base::instance_id partner = std::exchange(exchange.partner, {});
  if (!IsReachable(tables.members, partner)) return;
  exchange.not_before = ctx.now + kExchangeInterval;
  instance::SendToPeer(ctx, partner, peer::table_exchange{AllMembers(tables), AllFacts(tables, ctx.now), true});
}

}  // namespace limpetrouter::core::membership
