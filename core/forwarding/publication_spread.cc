#include "core/forwarding/publication_spread.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "core/base/digest.h"

namespace limpetrouter::core::forwarding {
namespace {

using std::chrono::milliseconds;

/// Number of instances of a data centre that read the platform. The second one serves the followers until the loss of
/// the first one is detected.
constexpr std::size_t kReaderCount = 2;
constexpr base::duration kRequestInterval = milliseconds(500);
/// A starting instance knows few others, so that it would take itself for a reader for this time.
constexpr base::duration kSettleTime = milliseconds(500);
/// Data that is older than this may lack a change that must be in force: a reader's watch takes 1.5 s in normal
/// operation, and about 3 s are allowed until a change is in force.
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

void UpdateReaders(forwarding_tables& tables, const instance::context& ctx) {
  publication_spread& spread = tables.spread;
  if (spread.members_version == ctx.members.version && !spread.readers.empty() && spread.leaving == ctx.leaving) return;
  spread.members_version = ctx.members.version;
  spread.leaving = ctx.leaving;
  spread.readers = ChooseReaders(ctx);
}

bool IsReader(const forwarding_tables& tables, const instance::context& ctx) {
  const auto& readers = tables.spread.readers;
  return std::find(readers.begin(), readers.end(), ctx.members.self.ref.id) != readers.end();
}

/// Sends the follower the changes since the revision that it knows.
void SendUpdate(forwarding_tables& tables, instance::context& ctx, const base::instance_id& id, follower& target) {
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

/// Returns the reader that this instance follows.
std::optional<base::instance_id> ChooseReader(publication_spread& spread, const instance::context& ctx) {
  if (spread.readers.empty()) return std::nullopt;
  // A reader that has not answered the last request is skipped.
  if (spread.unanswered_requests > 0) ++spread.reader_offset;
  return spread
      .readers[(spread.reader_offset + base::HashBytes(ctx.members.self.ref.id.value)) % spread.readers.size()];
}

void RequestUpdate(forwarding_tables& tables, instance::context& ctx) {
  publication_spread& spread = tables.spread;
  if (ctx.now < spread.next_request) return;
  // All readers of a data centre may be cut off from the platform, so an instance with outdated data asks any instance.
  const std::optional<base::instance_id> source =
      IsOutdated(tables, ctx.now) ? ChooseAnyInstance(ctx) : ChooseReader(spread, ctx);
  if (!source.has_value()) return;
  spread.next_request = ctx.now + kRequestInterval;
  ++spread.unanswered_requests;
  const std::uint64_t version = tables.routing == nullptr ? 0 : tables.routing->version;
  instance::SendToPeer(ctx, *source, peer::publication_request{tables.store.position, version});
}

}  // namespace

bool MustRead(const forwarding_tables& tables, const instance::context& ctx) {
  if (tables.store.last_success == base::time_point{} || IsOutdated(tables, ctx.now)) return true;
  return IsReader(tables, ctx) && ctx.now - tables.spread.started >= kSettleTime;
}

void RunSpread(forwarding_tables& tables, instance::context& ctx) {
  publication_spread& spread = tables.spread;
  if (spread.started == base::time_point{}) spread.started = ctx.now;
  UpdateReaders(tables, ctx);
  if (!IsReader(tables, ctx) || IsOutdated(tables, ctx.now)) RequestUpdate(tables, ctx);
  std::erase_if(spread.followers, [&ctx](const auto& item) { return ctx.now > item.second.expires_at; });
  if (tables.store.position == spread.sent_position) return;
  spread.sent_position = tables.store.position;
  for (auto& [id, target] : spread.followers) {
    if (target.position < tables.store.position) SendUpdate(tables, ctx, id, target);
  }
}

void HandlePublicationRequest(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                              const peer::publication_request& request) {
  // An instance without data sends no answer, so that the follower asks another reader.
  if (!tables.enabled || tables.store.last_success == base::time_point{}) return;
  follower& target = tables.spread.followers[header.sender.id];
  target = {request.position, request.routing_version, ctx.now + kFollowerTime};
  SendUpdate(tables, ctx, header.sender.id, target);
}

std::optional<published_changes> AcceptPublicationUpdate(forwarding_tables& tables, instance::context& ctx,
                                                         const peer::message_header& /*header*/,
                                                         const peer::publication_update& update) {
  published_changes changes;
  const std::uint64_t version = tables.routing == nullptr ? 0 : tables.routing->version;
  // An update that does not fit is dropped. The next request states the known revision, so that its answer fits.
  const bool fits =
      (update.complete || update.since <= tables.store.position) && update.since_routing_version <= version;
  if (!fits) return std::nullopt;
  tables.spread.unanswered_requests = 0;
  const base::duration age(std::max<std::int64_t>(update.age_us, 0));
  if (!NotePeerRead(tables.store, update.position, age, ctx.now)) return std::nullopt;
  changes.complete = update.complete;
  changes.position = update.position;
  changes.servers = update.servers;
  changes.removed = update.removed;
  if (update.routing.has_value()) changes.routing = std::make_shared<const routing_table>(*update.routing);
  return changes;
}

}  // namespace limpetrouter::core::forwarding
