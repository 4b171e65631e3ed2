#include "core/forwarding/store_reader.h"

#include <algorithm>
#include <string>

namespace limpetrouter::core::forwarding {
namespace {

/// How long the service holds a watch without changes. A watch that the service has forgotten, or whose connection fell
/// silent, hides changes for as long, and they must be in force within about three seconds.
constexpr base::duration kWatchTime = std::chrono::milliseconds(2'500);
/// Pause between two watches, so that changes that come together cost one call.
constexpr base::duration kWatchPause = std::chrono::milliseconds(250);
constexpr base::duration kFirstRetry = std::chrono::milliseconds(150);
constexpr base::duration kMaxRetry = std::chrono::milliseconds(1'200);

base::duration RetryDelay(const reader& each, base::random_source& random) {
  base::duration delay = kFirstRetry * (std::int64_t{1} << std::min<std::uint32_t>(each.failures - 1, 6));
  delay = std::min(delay, kMaxRetry);
  // Half to all of the delay, so that instances that failed together do not return together.
  return delay / 2 + base::duration(base::NextBelow(random, static_cast<std::uint64_t>(delay.count() / 2 + 1)));
}

void StartRead(store_reader& store, published_kind kind, instance::context& ctx) {
  reader& each = ReaderOf(store, kind);
  each.started = ctx.now;
  each.read = store.next_read++;
  if (each.needs_list) {
    each.state = reader_state::kListing;
    ctx.out.emplace_back(io::list_published{kind, each.read, !each.needs_fresh_list});
  } else {
    each.state = reader_state::kWatching;
    ctx.out.emplace_back(io::watch_published{kind, each.read, each.revision, kWatchTime});
  }
}

/// Lists anew within a short time, so that the instances do not all read at once.
void ListAfterLoss(reader& each, instance::context& ctx) {
  each.state = reader_state::kIdle;
  each.needs_list = each.needs_fresh_list = true;
  each.next_read = ctx.now + base::duration(base::NextBelow(ctx.random, kFirstRetry.count()));
}

}  // namespace

std::string_view ToString(published_kind kind) { return kind == published_kind::kRouting ? "routing" : "servers"; }

reader& ReaderOf(store_reader& store, published_kind kind) {
  return store.readers[kind == published_kind::kRouting ? 0 : 1];
}

void RunReaders(store_reader& store, instance::context& ctx) {
  for (const published_kind kind : {published_kind::kRouting, published_kind::kServers}) {
    const reader& each = ReaderOf(store, kind);
    if (each.state == reader_state::kIdle && ctx.now >= each.next_read) StartRead(store, kind, ctx);
  }
}

bool NoteRead(store_reader& store, instance::context& ctx, const published_changes& changes) {
  reader& each = ReaderOf(store, changes.kind);
  if (changes.read != each.read || each.state == reader_state::kIdle) return false;
  each.state = reader_state::kIdle;
  if (each.failures > 0) {
    instance::LogDecision(ctx, "store_regained",
                          {{"kind", std::string(ToString(changes.kind))},
                           {"failures", std::to_string(each.failures)},
                           {"revision", std::to_string(changes.revision)}});
  }
  each.failures = 0;
  each.last_success = ctx.now;
  // A stale list may be older than what a watch has told.
  if (!changes.whole || changes.revision >= each.revision) each.needs_list = false;
  if (changes.whole && changes.revision < each.revision) each.needs_fresh_list = true;
  if (!each.needs_list) each.needs_fresh_list = false;
  each.revision = std::max(each.revision, changes.revision);
  each.next_read = changes.whole ? ctx.now : ctx.now + kWatchPause;
  return true;
}

void NoteReadFailed(store_reader& store, instance::context& ctx, const published_read_failed& failed) {
  reader& each = ReaderOf(store, failed.kind);
  if (failed.read != each.read || each.state == reader_state::kIdle) return;
  each.state = reader_state::kIdle;
  if (failed.history_lost) {
    // The service has one history: what the other watches wait for is lost too, though they may not be told.
    for (reader& other : store.readers)
      ListAfterLoss(other, ctx);
  } else {
    ++each.failures;
    if (each.needs_list) each.needs_fresh_list = !each.needs_fresh_list;
    each.next_read = ctx.now + RetryDelay(each, ctx.random);
  }
  if (!failed.history_lost && each.failures != 1) return;
  instance::LogDecision(ctx, "store_lost",
                        {{"kind", std::string(ToString(failed.kind))},
                         {"reason", failed.reason},
                         {"revision", std::to_string(each.revision)}});
}

void ReadAgain(store_reader& store, base::time_point now) {
  for (reader& each : store.readers) {
    each.state = reader_state::kIdle;
    each.next_read = now;
  }
}

}  // namespace limpetrouter::core::forwarding
