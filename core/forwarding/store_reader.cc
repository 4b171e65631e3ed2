#include "core/forwarding/store_reader.h"

#include <algorithm>
#include <string>

namespace limpetrouter::core::forwarding {
namespace {

/// How long the platform holds a watch without changes. A watch that the platform has lost, or whose connection has
/// become unresponsive, hides changes for this time, and changes must be in force everywhere within about 3 s.
constexpr base::duration kWatchTime = std::chrono::milliseconds(1'200);
/// Pause between two watches, so that changes in quick succession cost one call.
constexpr base::duration kWatchPause = std::chrono::milliseconds(250);
constexpr base::duration kFirstRetry = std::chrono::milliseconds(150);
constexpr base::duration kMaxRetry = std::chrono::milliseconds(1'200);

base::duration RetryDelay(const store_reader& reader, base::random_source& random) {
  base::duration delay = kFirstRetry * (std::int64_t{1} << std::min<std::uint32_t>(reader.failures - 1, 6));
  delay = std::min(delay, kMaxRetry);
  // The delay is random between half and all of the computed one, so that instances that failed together do not retry
  // together.
  return delay / 2 + base::duration(base::NextBelow(random, static_cast<std::uint64_t>(delay.count() / 2 + 1)));
}

/// Logs a change of the store's epoch. `revision` is what the answer stated, or 0 if it stated none.
void NoteEpoch(store_reader& reader, instance::context& ctx, std::uint64_t epoch, std::uint64_t revision) {
  if (epoch == 0 || epoch == reader.epoch) return;
  instance::LogDecision(ctx, "store_epoch",
                        {{"epoch", std::to_string(epoch)},
                         {"replaces", std::to_string(reader.epoch)},
                         {"revision", std::to_string(revision)},
                         {"known_revision", std::to_string(reader.revision)}});
  reader.epoch = epoch;
}

}  // namespace

void RunReader(store_reader& reader, instance::context& ctx) {
  if (reader.state != reader_state::kIdle || ctx.now < reader.next_read) return;
  ++reader.read;
  if (reader.needs_list) {
    reader.state = reader_state::kListing;
    ctx.out.emplace_back(io::list_published{reader.read, !reader.needs_fresh_list});
  } else {
    reader.state = reader_state::kWatching;
    ctx.out.emplace_back(io::watch_published{reader.read, reader.revision, kWatchTime});
  }
}

bool NoteRead(store_reader& reader, instance::context& ctx, const published_changes& changes) {
  if (changes.read != reader.read || reader.state == reader_state::kIdle) return false;
  reader.state = reader_state::kIdle;
  NoteEpoch(reader, ctx, changes.epoch, changes.revision);
  if (reader.failures > 0) {
    instance::LogDecision(
        ctx, "store_regained",
        {{"failures", std::to_string(reader.failures)}, {"revision", std::to_string(changes.revision)}});
  }
  reader.failures = 0;
  reader.last_success = ctx.now;
  // A stale list may be older than what a watch has reported.
  if (!changes.complete || changes.revision >= reader.revision) reader.needs_list = false;
  reader.needs_fresh_list = reader.needs_list;
  reader.revision = std::max(reader.revision, changes.revision);
  reader.next_read = changes.complete ? ctx.now : ctx.now + kWatchPause;
  return true;
}

void NoteReadFailed(store_reader& reader, instance::context& ctx, const published_read_failed& failed) {
  if (failed.read != reader.read || reader.state == reader_state::kIdle) return;
  reader.state = reader_state::kIdle;
  NoteEpoch(reader, ctx, failed.epoch, 0);
  if (failed.history_lost) {
    reader.needs_list = reader.needs_fresh_list = true;
    // The next read starts after a short random delay, so that the instances do not all read at once.
    reader.next_read = ctx.now + base::duration(base::NextBelow(ctx.random, kFirstRetry.count()));
  } else {
    ++reader.failures;
    if (reader.needs_list) reader.needs_fresh_list = !reader.needs_fresh_list;
    reader.next_read = ctx.now + RetryDelay(reader, ctx.random);
  }
  if (!failed.history_lost && reader.failures != 1) return;
  instance::LogDecision(ctx, "store_lost",
                        {{"reason", failed.reason},
                         {"revision", std::to_string(reader.revision)},
                         {"age_ms", std::to_string(base::ToMilliseconds(ctx.now - reader.last_success))}});
}

void NotePeerRead(store_reader& reader, std::uint64_t revision, base::duration age, base::time_point now) {
  reader.last_success = std::max(reader.last_success, now - age);
  if (revision < reader.revision) return;
  reader.revision = revision;
  reader.needs_list = reader.needs_fresh_list = false;
}

void RestartRead(store_reader& reader, base::time_point now) {
  reader.state = reader_state::kIdle;
  reader.next_read = now;
}

}  // namespace limpetrouter::core::forwarding
