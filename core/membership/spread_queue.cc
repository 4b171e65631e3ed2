#include "core/membership/spread_queue.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <utility>

#include "core/membership/fact_spread.h"
#include "core/membership/member_change.h"
#include "core/membership/membership_tables.h"
#include "core/peer/codec.h"

namespace limpetrouter::core::membership {
namespace {

constexpr std::size_t kAnnounceFanout = 4;
/// Maximum size in bytes of member updates in a message to another data centre, which is about three updates. All
/// members of a data centre together still send hundreds of updates per second to other data centres.
constexpr std::size_t kMaxCrossDcMemberBytes = 320;
/// Together with the first round these make 12 messages per instance: the probability that none of them reaches a given
/// instance is e^-12.
constexpr base::duration kRepeatDelays[] = {std::chrono::milliseconds(100), std::chrono::milliseconds(300)};
/// The token bucket limits the announcement rounds during a burst of changes, to at most 4 x 1,200 bytes per second
/// when the bucket is empty. The remaining changes are carried by probes.
constexpr double kMaxTokens = 16;
constexpr double kTokensPerSecond = 1;

/// New facts of this time share a round of announcements, so that they do not use up the tokens that changes of members
/// need.
constexpr base::duration kFactAnnouncementInterval = std::chrono::milliseconds(20);
constexpr std::size_t kMaxFactsPerMessage = 8;
/// Leaves space for member updates in a message with facts.
constexpr std::size_t kMaxFactBytes = 500;

std::size_t EncodedSize(const std::string& text) { return sizeof(std::uint64_t) + text.size(); }

std::size_t EncodedSize(const peer::member_update& update) {
  return EncodedSize(update.member.id.value) + sizeof(std::uint64_t) + EncodedSize(update.data_centre.value) +
         EncodedSize(update.peer_address) + EncodedSize(update.http_address) + sizeof(update.state) +
         sizeof(update.counter) + sizeof(update.capacity);
}

/// Adds the update to `changes` if it fits into `free_bytes`. Returns false if it does not fit.
bool Append(peer::piggyback& changes, peer::member_update update, std::size_t& free_bytes) {
  const std::size_t size = EncodedSize(update);
  if (size > free_bytes) return false;
  free_bytes -= size;
  changes.members.push_back(std::move(update));
  return true;
}

/// Adds the target itself if this instance considers the target suspect or dead, so that the target can refute this.
void AppendSuspicionNotice(const membership_tables& tables, const base::instance_id& target, peer::piggyback& changes,
                           std::size_t& free_bytes) {
  const member* const entry = FindMember(tables.members, target);
  if (entry == nullptr || entry->info.member.incarnation.value == 0 || !(entry->dead || entry->suspected)) return;
  Append(changes, MakeUpdate(*entry), free_bytes);
}

void AppendMembers(membership_tables& tables, const base::instance_id& target, peer::piggyback& changes,
                   std::size_t& free_bytes) {
  if (tables.spread.members.empty()) return;
  std::vector<std::pair<std::uint32_t, base::instance_id>> order;
  order.reserve(tables.spread.members.size());
  for (const auto& [id, transmissions_left] : tables.spread.members)
    order.emplace_back(transmissions_left, id);
  std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
  for (const auto& [transmissions_left, id] : order) {
    const member* const entry = FindMember(tables.members, id);
    if (entry == nullptr) {
      tables.spread.members.erase(id);
      continue;
    }
    if (id == target) continue;
    if (!Append(changes, MakeUpdate(*entry), free_bytes)) break;
    if (transmissions_left <= 1) {
      tables.spread.members.erase(id);
    } else {
      tables.spread.members[id] = transmissions_left - 1;
    }
  }
}

/// Returns false for an unknown member, because additional updates may help that member to join.
bool IsInOtherDataCentre(const membership_tables& tables, const base::instance_id& id) {
  const member* const entry = FindMember(tables.members, id);
  return entry != nullptr && entry->info.data_centre != tables.members.self.data_centre;
}

void Refill(spread_queue& spread, base::time_point now) {
  const double seconds = std::chrono::duration<double>(now - spread.refilled).count();
  const bool is_first = spread.refilled == base::time_point{};
  spread.tokens = is_first ? kMaxTokens : std::min(kMaxTokens, spread.tokens + seconds * kTokensPerSecond);
  spread.refilled = now;
}

}  // namespace

std::uint32_t TransmissionCount(const membership_tables& tables) {
  // bit_width(n) is ceil(log2(n + 1)), where n includes this instance.
  return 3 * static_cast<std::uint32_t>(std::bit_width(tables.members.members.size() + 1));
}

void EnqueueMember(membership_tables& tables, const base::instance_id& id) {
  tables.spread.members[id] = TransmissionCount(tables);
}

void AnnounceSoon(membership_tables& tables) { tables.spread.announce = true; }

void AnnounceRepeatedly(membership_tables& tables, base::time_point now) {
  tables.spread.announce = true;
  tables.spread.repeats.clear();
  for (const base::duration delay : kRepeatDelays)
    tables.spread.repeats.push_back(now + delay);
}

template <class Body>
void SendDatagram(membership_tables& tables, instance::context& ctx, const base::instance_id& target,
                  const std::string& address, Body body) {
  if (address.empty()) return;
  peer::message message{instance::MakeHeader(ctx), std::move(body)};
  const std::size_t size = peer::EncodeMessage(message).size();
  std::size_t free_bytes = peer::kMaxDatagramBytes - std::min(size, peer::kMaxDatagramBytes);
  peer::piggyback& changes = std::get<Body>(message.body).changes;
  Append(changes, MakeSelfUpdate(tables.members), free_bytes);
  AppendSuspicionNotice(tables, target, changes, free_bytes);
  std::size_t fact_bytes = std::min(free_bytes, kMaxFactBytes);
  free_bytes -= AppendFacts(tables, ctx.now, kMaxFactsPerMessage, fact_bytes, changes);
  if (IsInOtherDataCentre(tables, target)) free_bytes = std::min(free_bytes, kMaxCrossDcMemberBytes);
  AppendMembers(tables, target, changes, free_bytes);
  ctx.out.emplace_back(io::send_peer{target, address, io::transport::kDatagram, std::move(message)});
}

template void SendDatagram(membership_tables&, instance::context&, const base::instance_id&, const std::string&,
                           peer::probe);
template void SendDatagram(membership_tables&, instance::context&, const base::instance_id&, const std::string&,
                           peer::probe_ack);
template void SendDatagram(membership_tables&, instance::context&, const base::instance_id&, const std::string&,
                           peer::indirect_probe);
template void SendDatagram(membership_tables&, instance::context&, const base::instance_id&, const std::string&,
                           peer::announce);

void MergeChanges(membership_tables& tables, instance::context& ctx, const peer::piggyback& changes) {
  for (const peer::member_update& update : changes.members)
    MergeUpdate(tables, ctx, update);
  MergeFacts(tables, ctx, changes.facts);
}

void RunSpread(membership_tables& tables, instance::context& ctx) {
  spread_queue& spread = tables.spread;
  if (ctx.now >= spread.next_fact_announcement || std::exchange(tables.facts.urgent, false)) {
    spread.next_fact_announcement = ctx.now + kFactAnnouncementInterval;
    if (std::exchange(tables.facts.announcement_due, false)) spread.announce = true;
  }
  const auto due = std::partition(spread.repeats.begin(), spread.repeats.end(),
                                  [&ctx](base::time_point time) { return time > ctx.now; });
  if (due != spread.repeats.end()) spread.announce = true;
  spread.repeats.erase(due, spread.repeats.end());
  if (!spread.announce) return;
  Refill(spread, ctx.now);
  if (spread.tokens < 1) return;
  const std::vector<base::instance_id> targets = PickMembers(tables, ctx.random, kAnnounceFanout);
  if (targets.empty()) return;
  spread.tokens -= 1;
  spread.announce = false;
  for (const base::instance_id& target : targets)
    SendDatagram(tables, ctx, target, PeerAddressOf(tables.members, target), peer::announce{});
}

std::vector<base::instance_id> PickMembers(const membership_tables& tables, base::random_source& random,
                                           std::size_t count, const base::instance_id& excluded) {
  std::vector<base::instance_id> usable;
  for (const auto& [id, entry] : tables.members.members) {
    if (entry.info.state != peer::member_state::kDead && id != excluded) usable.push_back(id);
  }
  count = std::min(count, usable.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(usable[i], usable[i + base::NextBelow(random, usable.size() - i)]);
  }
  usable.resize(count);
  return usable;
}

}  // namespace limpetrouter::core::membership
