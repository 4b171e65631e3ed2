#include "core/membership/configuration_reader.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "core/base/digest.h"
#include "core/membership/configuration_fetch.h"
#include "core/membership/membership_tables.h"

namespace limpetrouter::core::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Number of watchers per data centre. The second one compensates for a frozen one until that is declared dead.
constexpr std::size_t kWatchers = 2;
/// How long the service may hold the read of a watcher open.
constexpr base::duration kWatchDuration = seconds(20);
/// With this interval, 450 instances make 7.5 calls per second of the 2,000 that the service can handle.
constexpr base::duration kPollInterval = seconds(60);
/// A retry waits between half and all of a delay that doubles from the initial to the maximum value.
constexpr base::duration kInitialRetryDelay = milliseconds(400);
constexpr base::duration kMaxRetryDelay = seconds(5);
/// A read counts as failed if it is not answered within its `wait` plus this time.
constexpr base::duration kReadTimeout = seconds(10);
/// Spreads out the first reads when the whole fleet restarts.
constexpr base::duration kStartJitter = milliseconds(250);
/// A watch that ends sooner without a newer revision is retried like a failure, so that a faulty service
/// that answers at once is not flooded with reads.
constexpr base::duration kMinWatchDuration = seconds(1);

base::duration Jitter(base::random_source& random, base::duration span) {
  return base::duration(base::NextBelow(random, static_cast<std::uint64_t>(span.count()) + 1));
}

/// True if this instance is among the first `kWatchers` usable instances of its data centre in rendezvous order.
bool IsWatcher(const membership_tables& tables, bool leaving) {
  const member_table& table = tables.members;
  if (leaving || table.self_leaving) return false;
  const auto weight = [&table](const base::instance_id& id) {
    return base::MixHash(base::HashBytes(id.value), base::HashBytes(table.self.data_centre.value));
  };
  const std::uint64_t own_weight = weight(table.self.ref.id);
  std::size_t ranked_higher = 0;
  for (const auto& [id, entry] : table.members) {
    const bool usable =
        entry.info.state == peer::member_state::kAlive || entry.info.state == peer::member_state::kSuspect;
    if (usable && entry.info.data_centre == table.self.data_centre && weight(id) > own_weight) ++ranked_higher;
  }
  return ranked_higher < kWatchers;
}

void UpdateWatching(membership_tables& tables, instance::context& ctx) {
  configuration_reader& reader = tables.reader;
  if (reader.members_version == tables.members.version) return;
  reader.members_version = tables.members.version;
  const bool watching = IsWatcher(tables, ctx.leaving);
  if (watching == reader.watching) return;
  reader.watching = watching;
  if (watching && !reader.reading)
    reader.next_read = std::min(reader.next_read, ctx.now + Jitter(ctx.random, kStartJitter));
  instance::LogDecision(
      ctx, "watch",
      {{"watching", watching ? "true" : "false"}, {"data_centre", tables.members.self.data_centre.value}});
}

/// Delay until the next poll, with a jitter of a fifth either way.
base::duration PollDelay(base::random_source& random) {
  return kPollInterval * 4 / 5 + Jitter(random, kPollInterval * 2 / 5);
}

base::duration RetryDelay(const configuration_reader& reader, base::random_source& random) {
  const std::uint32_t doublings = std::min<std::uint32_t>(reader.failures, 4);
  const base::duration delay = std::min(kMaxRetryDelay, kInitialRetryDelay * (1 << doublings));
  return delay / 2 + Jitter(random, delay / 2);
}

void ScheduleRetry(membership_tables& tables, instance::context& ctx) {
  configuration_reader& reader = tables.reader;
  const bool urgent = reader.watching || tables.store.in_force == nullptr;
  reader.next_read = ctx.now + (urgent ? RetryDelay(reader, ctx.random) : PollDelay(ctx.random));
  ++reader.failures;
}

/// Ends the read in progress. `is_newer` is true if the read returned a revision above the one that it asked for.
void FinishRead(membership_tables& tables, instance::context& ctx, bool is_newer) {
  configuration_reader& reader = tables.reader;
  if (!reader.reading) return;
  reader.reading = false;
  if (!is_newer && reader.wait > base::duration{} && ctx.now - reader.read_sent < kMinWatchDuration) {
    ScheduleRetry(tables, ctx);
    return;
  }
  reader.failures = 0;
  reader.next_read = reader.watching ? ctx.now : ctx.now + PollDelay(ctx.random);
}

void StartRead(membership_tables& tables, instance::context& ctx) {
  configuration_reader& reader = tables.reader;
  const config::configuration_store& store = tables.store;
  reader.after = store.in_force == nullptr ? base::revision_id() : store.in_force->revision;
  // A refused revision is not read again.
  if (store.refused.has_value()) reader.after = std::max(reader.after, store.refused->revision);
  reader.wait = reader.watching && reader.after.value != 0 ? kWatchDuration : base::duration{};
  reader.reading = true;
  reader.read_sent = ctx.now;
  ctx.out.emplace_back(io::read_configuration{reader.after, reader.wait});
}

}  // namespace

void HandleReadResult(membership_tables& tables, instance::context& ctx, const config::configuration_source& source) {
  const bool is_newer = source.revision > tables.reader.after;
  const bool refused_before = tables.store.refused.has_value() && tables.store.refused->revision == source.revision;
  if (!refused_before) HandleOfferResult(tables, ctx, config::OfferSource(tables.store, source), "service");
  FinishRead(tables, ctx, is_newer);
}

void HandleReadFailure(membership_tables& tables, instance::context& ctx, const base::error& reason) {
  if (reason.kind == base::error_kind::kConfigurationStale) {
    FinishRead(tables, ctx, false);
    return;
  }
  tables.reader.reading = false;
  if (tables.reader.failures == 0) {
    instance::LogDecision(ctx, "configuration", {{"read_failed", reason.detail}});
  }
  ScheduleRetry(tables, ctx);
}

void ReadSoon(membership_tables& tables, instance::context& ctx) {
  tables.reader.reading = false;
  tables.reader.next_read = ctx.now + Jitter(ctx.random, kStartJitter);
}

void RunReader(membership_tables& tables, instance::context& ctx) {
  configuration_reader& reader = tables.reader;
  UpdateWatching(tables, ctx);
  if (reader.reading && ctx.now - reader.read_sent > reader.wait + kReadTimeout) {
    reader.reading = false;
    ScheduleRetry(tables, ctx);
  }
  if (!reader.reading && ctx.now >= reader.next_read) StartRead(tables, ctx);
}

}  // namespace limpetrouter::core::membership
