#include "core/forwarding/publication_spread.h"

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "core/base/digest.h"
#include "core/forwarding/cold_rules.h"

namespace limpetrouter::core::forwarding {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Number of readers of a data centre. The first one reads the platform. The second one stands by: it reads while the
/// first one does not answer or is cut off from the platform, and serves the followers meanwhile.
constexpr std::size_t kReaderCount = 2;
constexpr base::duration kRequestInterval = milliseconds(500);
/// The reader that stands by asks more often, so that it reads before the followers turn to it.
constexpr base::duration kStandbyInterval = milliseconds(250);
constexpr std::uint32_t kMaxUnansweredByStandby = 2;
/// The reader that stands by reads for this time after the reader has shown that it is cut off from the platform.
constexpr base::duration kStandbyHoldTime = seconds(1);
/// A reader whose data are older than this is cut off from the platform: a watch ends after 1.5 s at most.
constexpr base::duration kMaxReaderAge = milliseconds(1'700);
/// A starting instance knows few others, so that it would take itself for a reader for this time.
constexpr base::duration kSettleTime = milliseconds(500);
/// Data that is older than this may lack a change that must be in force: about 3 s are allowed until a change is in
/// force.
constexpr base::duration kMaxAge = milliseconds(1'900);
/// A follower that has not sent a request for this long gets no more updates.
constexpr base::duration kFollowerTime = milliseconds(1'700);

/// Chooses the readers of the own data centre: the largest instances first, so that updates are sent over fast links,
/// and among equal ones in the order of rendezvous hashing.
std::vector<base::instance_id> ChooseReaders(const instance::context& ctx) {
  struct ranked {
    std::uint32_t capacity;
    std::uint64_t weight;
    base::instance_id id;
  };
  const membership::identity& self = ctx.members.self;
  const auto weight = [&self](const base::instance_id& id) {
    return base::MixHash(base::HashBytes(id.value), base::HashBytes(self.data_centre.value));
  };
  std::vector<ranked> order;
  if (!ctx.leaving) order.push_back({self.capacity, weight(self.ref.id), self.ref.id});
  for (const auto& [id, entry] : ctx.members.members) {
    const bool usable = entry.info.state == peer::member_state::kAlive && entry.info.member.incarnation.value != 0;
    if (usable && entry.info.data_centre == self.data_centre) order.push_back({entry.info.capacity, weight(id), id});
  }
  std::sort(order.begin(), order.end(), [](const ranked& a, const ranked& b) {
    return std::tie(a.capacity, a.weight) > std::tie(b.capacity, b.weight);
  });
  std::vector<base::instance_id> readers;
  for (std::size_t i = 0; i < std::min(kReaderCount, order.size()); ++i)
    readers.push_back(order[i].id);
  return readers;
}

spread_role ChooseRole(const publication_spread& spread, const base::instance_id& self) {
  for (std::size_t i = 0; i < spread.readers.size(); ++i) {
    if (spread.readers[i] == self) return i == 0 ? spread_role::kReader : spread_role::kStandby;
  }
  return spread_role::kFollower;
}

std::string ToString(spread_role role) {
  switch (role) {
    case spread_role::kReader:
      return "reader";
    case spread_role::kStandby:
      return "standby";
    case spread_role::kFollower:
      break;
  }
  return "follower";
}

void UpdateReaders(forwarding_tables& tables, instance::context& ctx) {
  publication_spread& spread = tables.spread;
  if (spread.members_version == ctx.members.version && !spread.readers.empty() && spread.leaving == ctx.leaving) return;
  spread.members_version = ctx.members.version;
  spread.leaving = ctx.leaving;
  std::vector<base::instance_id> readers = ChooseReaders(ctx);
  if (readers == spread.readers) return;
  spread.readers = std::move(readers);
  spread.reader_offset = 0;
  spread.reader_outdated_at = {};
  spread.role = ChooseRole(spread, ctx.members.self.ref.id);
  instance::LogDecision(ctx, "store_role",
                        {{"role", ToString(spread.role)},
                         {"reader", spread.readers.empty() ? "" : spread.readers[0].value},
                         {"data_age_ms", std::to_string(base::ToMilliseconds(ctx.now - tables.store.last_success))}});
}

/// True if this instance stands by and the reader does not answer or is cut off from the platform.
bool ReplacesReader(const forwarding_tables& tables, base::time_point now) {
  const publication_spread& spread = tables.spread;
  if (spread.role != spread_role::kStandby) return false;
  const bool reader_cut_off =
      spread.reader_outdated_at != base::time_point{} && now - spread.reader_outdated_at < kStandbyHoldTime;
  return reader_cut_off || spread.unanswered_requests >= kMaxUnansweredByStandby ||
         now - tables.store.last_success > kMaxReaderAge;
}

/// Logs when this instance begins and ends to read in place of the reader.
void NoteReplacement(forwarding_tables& tables, instance::context& ctx) {
  publication_spread& spread = tables.spread;
  const bool replaces = ReplacesReader(tables, ctx.now);
  if (replaces == spread.replaces_reader) return;
  spread.replaces_reader = replaces;
  instance::LogDecision(ctx, "store_standby",
                        {{"reads", replaces ? "true" : "false"},
                         {"reader", spread.readers.empty() ? "" : spread.readers[0].value},
                         {"unanswered", std::to_string(spread.unanswered_requests)},
                         {"data_age_ms", std::to_string(base::ToMilliseconds(ctx.now - tables.store.last_success))}});
}

void SendEvacuations(const forwarding_tables& tables, instance::context& ctx, const base::instance_id& id) {
  const evacuation_table& evacuations = tables.servers.evacuations;
  instance::SendToPeer(ctx, id, peer::evacuation_update{evacuations.position, EvacuationRecords(evacuations)});
}

/// Sends the follower the changes since the revision that it knows.
void SendUpdate(forwarding_tables& tables, instance::context& ctx, const base::instance_id& id, follower& target,
                bool answers_request) {
  // The rules arrive ahead of their configuration, so that it never is in force without them.
  SendColdRules(tables, ctx, id, target, answers_request);
  const published_changes changes = ChangesSince(tables.servers, target.position);
  peer::publication_update update;
  update.since = target.position;
  update.since_routing_version = target.routing_version;
  update.position = tables.store.position;
  update.age_us = (ctx.now - tables.store.last_success).count();
  update.complete = changes.complete;
  update.servers = changes.servers;
  update.removed = changes.removed;
  if (tables.routing != nullptr && tables.routing->version > target.routing_version) update.routing = *tables.routing;
  target.position = tables.store.position;
  target.routing_version = tables.routing == nullptr ? 0 : tables.routing->version;
  instance::SendToPeer(ctx, id, std::move(update));
  // Orders in force are repeated, as a message may be lost. A follower asks by itself whether they have been lifted.
  const evacuation_table& evacuations = tables.servers.evacuations;
  if (evacuations.orders.empty() && target.evacuations == evacuations.position) return;
  target.evacuations = evacuations.position;
  SendEvacuations(tables, ctx, id);
}

/// True if this instance has data, but neither the platform nor another instance has confirmed them recently.
bool IsOutdated(const forwarding_tables& tables, base::time_point now) {
  return tables.store.last_success != base::time_point{} && now - tables.store.last_success > kMaxAge;
}

/// Chooses a live instance at random. Returns nothing if no other instance is known.
std::optional<base::instance_id> ChooseAnyInstance(const instance::context& ctx) {
  std::optional<base::instance_id> chosen;
  std::uint64_t seen = 0;
  for (const auto& [id, entry] : ctx.members.members) {
    if (entry.info.state != peer::member_state::kAlive || entry.info.member.incarnation.value == 0) continue;
    if (base::NextBelow(ctx.random, ++seen) == 0) chosen = id;
  }
  return chosen;
}

/// Returns the reader that this instance follows: the first one, until it does not answer or is cut off.
std::optional<base::instance_id> ChooseReader(publication_spread& spread) {
  if (spread.readers.empty()) return std::nullopt;
  if (spread.role == spread_role::kStandby) return spread.readers[0];
  if (spread.unanswered_requests > 0) ++spread.reader_offset;
  return spread.readers[spread.reader_offset % spread.readers.size()];
}

void RequestUpdate(forwarding_tables& tables, instance::context& ctx) {
  publication_spread& spread = tables.spread;
  if (ctx.now < spread.next_request) return;
  // All readers of a data centre may be cut off from the platform, so an instance with outdated data asks any instance.
  const std::optional<base::instance_id> source =
      IsOutdated(tables, ctx.now) ? ChooseAnyInstance(ctx) : ChooseReader(spread);
  if (!source.has_value()) return;
  spread.next_request = ctx.now + (spread.role == spread_role::kStandby ? kStandbyInterval : kRequestInterval);
  ++spread.unanswered_requests;
  const std::uint64_t version = tables.routing == nullptr ? 0 : tables.routing->version;
  instance::SendToPeer(ctx, *source, peer::publication_request{tables.store.position, version});
  const evacuation_table& evacuations = tables.servers.evacuations;
  if (!evacuations.orders.empty()) instance::SendToPeer(ctx, *source, peer::evacuation_request{evacuations.position});
}

}  // namespace

bool MustRead(const forwarding_tables& tables, const instance::context& ctx) {
  const publication_spread& spread = tables.spread;
  if (tables.store.last_success == base::time_point{} || IsOutdated(tables, ctx.now)) return true;
  if (ctx.now - spread.started < kSettleTime) return false;
  return spread.role == spread_role::kReader || ReplacesReader(tables, ctx.now);
}

void RunSpread(forwarding_tables& tables, instance::context& ctx) {
  publication_spread& spread = tables.spread;
  if (spread.started == base::time_point{}) spread.started = ctx.now;
  UpdateReaders(tables, ctx);
  NoteReplacement(tables, ctx);
  if (spread.role != spread_role::kReader || IsOutdated(tables, ctx.now)) RequestUpdate(tables, ctx);
  std::erase_if(spread.followers, [&ctx](const auto& item) { return ctx.now > item.second.expires_at; });
  // Each own read is passed on, also without changes, because it confirms the data of the followers.
  const bool confirmed = tables.store.last_own_success > spread.sent_success;
  if (tables.store.position == spread.sent_position && !confirmed) return;
  spread.sent_position = tables.store.position;
  spread.sent_success = tables.store.last_own_success;
  for (auto& [id, target] : spread.followers) {
    if (confirmed || target.position < tables.store.position) SendUpdate(tables, ctx, id, target, false);
  }
}

void HandlePublicationRequest(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                              const peer::publication_request& request) {
  // An instance without data sends no answer, so that the follower asks another reader.
  if (!tables.enabled || tables.store.last_success == base::time_point{}) return;
  follower& target = tables.spread.followers[header.sender.id];
  target.position = request.position;
  target.routing_version = request.routing_version;
  target.expires_at = ctx.now + kFollowerTime;
  // A follower that has restarted, or has lost the configuration, has not received its rules either.
  if (request.routing_version < target.rules_version) target.rules_version = 0;
  SendUpdate(tables, ctx, header.sender.id, target, true);
}

void HandleEvacuationRequest(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                             const peer::evacuation_request& request) {
  const evacuation_table& evacuations = tables.servers.evacuations;
  // Orders in force are sent with each update.
  if (!tables.enabled || !evacuations.orders.empty() || evacuations.position < request.position) return;
  SendEvacuations(tables, ctx, header.sender.id);
}

std::optional<published_changes> AcceptPublicationUpdate(forwarding_tables& tables, instance::context& ctx,
                                                         const peer::message_header& header,
                                                         const peer::publication_update& update) {
  published_changes changes;
  const std::uint64_t version = tables.routing == nullptr ? 0 : tables.routing->version;
  // An update that does not fit is dropped. The next request states the known revision, so that its answer fits.
  const bool fits =
      (update.complete || update.since <= tables.store.position) && update.since_routing_version <= version;
  if (!fits) return std::nullopt;
  publication_spread& spread = tables.spread;
  spread.unanswered_requests = 0;
  const base::duration age(std::max<std::int64_t>(update.age_us, 0));
  if (age > kMaxReaderAge) {
    ++spread.reader_offset;
    if (!spread.readers.empty() && header.sender.id == spread.readers[0]) spread.reader_outdated_at = ctx.now;
  }
  if (!NotePeerRead(tables.store, update.position, age, ctx.now)) return std::nullopt;
  changes.complete = update.complete;
  changes.position = update.position;
  changes.servers = update.servers;
  changes.removed = update.removed;
  if (update.routing.has_value()) changes.routing = std::make_shared<const routing_table>(*update.routing);
  return changes;
}

}  // namespace limpetrouter::core::forwarding
