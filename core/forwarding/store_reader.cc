#include "core/forwarding/store_reader.h"

#include <algorithm>
#include <string>

#include <fmt/format.h>

namespace limpetrouter::core::forwarding {
namespace {

/// How long the platform holds a watch without changes. A watch that the platform has lost, or whose connection has
/// become unresponsive, hides changes for this time, and changes must be in force everywhere within about 3 s.
constexpr base::duration kWatchTime = std::chrono::milliseconds(1'200);
/// The first watch after a failure is short, because only its answer shows whether the store was restored meanwhile.
constexpr base::duration kFirstWatchTime = std::chrono::milliseconds(50);
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

/// Records the position that an answer stated; its revision is 0 if the answer stated none.
void NoteEpoch(store_reader& reader, instance::context& ctx, const store_position& stated) {
  if (stated.epoch <= reader.epoch) return;
  instance::LogDecision(ctx, "store_epoch",
                        {{"epoch", std::to_string(stated.epoch)},
                         {"replaces", std::to_string(reader.epoch)},
                         {"revision", std::to_string(stated.revision)},
                         {"known_epoch", std::to_string(reader.position.epoch)},
                         {"known_revision", std::to_string(reader.position.revision)}});
  reader.epoch = stated.epoch;
}

/// True if the store was restored after `position` was read, so that its revisions are no longer those of `position`.
bool IsRestored(const store_reader& reader) {
  return reader.position != store_position{} && reader.position.epoch < reader.epoch;
}

/// Requires a new list that is not stale. It starts after a short random delay, so that the instances do not all read
/// at once.
void RequireFreshList(store_reader& reader, instance::context& ctx) {
  reader.needs_list = reader.needs_fresh_list = true;
  reader.next_read = ctx.now + base::duration(base::NextBelow(ctx.random, kFirstRetry.count()));
}

void LogLost(const store_reader& reader, instance::context& ctx, const std::string& reason) {
  instance::LogDecision(ctx, "store_lost",
                        {{"reason", reason},
                         {"epoch", std::to_string(reader.position.epoch)},
                         {"revision", std::to_string(reader.position.revision)},
                         {"age_ms", std::to_string(base::ToMilliseconds(ctx.now - reader.last_success))}});
}

void NoteFailure(store_reader& reader, instance::context& ctx, const std::string& reason) {
  ++reader.failures;
  reader.next_read = ctx.now + RetryDelay(reader, ctx.random);
  if (reader.failures == 1) LogLost(reader, ctx, reason);
}

/// Handles a result that is older than what is known.
void NoteOlderResult(store_reader& reader, instance::context& ctx, const published_changes& changes) {
  if (!changes.complete) {
    reader.next_read = ctx.now + kWatchPause;
  } else if (reader.stale_list) {
    reader.needs_fresh_list = true;
    reader.next_read = ctx.now;
  } else {
    NoteFailure(reader, ctx,
                fmt::format("the store lists revision {} of epoch {}, which is older than what it has reported",
                            changes.position.revision, changes.position.epoch));
  }
}

}  // namespace

void RunReader(store_reader& reader, instance::context& ctx) {
  if (reader.state != reader_state::kIdle || ctx.now < reader.next_read) return;
  ++reader.read;
  if (reader.needs_list || IsRestored(reader)) {
    reader.state = reader_state::kListing;
    reader.stale_list = !reader.needs_fresh_list && !IsRestored(reader);
    ctx.out.emplace_back(io::list_published{reader.read, reader.stale_list});
  } else {
    reader.state = reader_state::kWatching;
    ctx.out.emplace_back(
        io::watch_published{reader.read, reader.position.revision, reader.failures > 0 ? kFirstWatchTime : kWatchTime});
  }
}

bool NoteRead(store_reader& reader, instance::context& ctx, const published_changes& changes) {
  if (changes.read != reader.read || reader.state == reader_state::kIdle) return false;
  reader.state = reader_state::kIdle;
  NoteEpoch(reader, ctx, changes.position);
  // The events of a watch follow a revision of the former history, and a stale list may show that history.
  if (IsRestored(reader) && (!changes.complete || reader.stale_list)) {
    RequireFreshList(reader, ctx);
    return false;
  }
  if (changes.position < reader.position) {
    NoteOlderResult(reader, ctx, changes);
    return false;
  }
  if (reader.failures > 0) {
    instance::LogDecision(
        ctx, "store_regained",
        {{"failures", std::to_string(reader.failures)}, {"revision", std::to_string(changes.position.revision)}});
  }
  reader.failures = 0;
  reader.last_success = reader.last_own_success = ctx.now;
  if (changes.complete) reader.needs_list = reader.needs_fresh_list = false;
  const bool epoch_unknown = changes.complete && reader.stale_list && reader.position == store_position{};
  reader.position = changes.position;
  if (epoch_unknown) reader.position.epoch = 0;
  reader.next_read = changes.complete ? ctx.now : ctx.now + kWatchPause;
  return true;
}

void NoteReadFailed(store_reader& reader, instance::context& ctx, const published_read_failed& failed) {
  if (failed.read != reader.read || reader.state == reader_state::kIdle) return;
  reader.state = reader_state::kIdle;
  NoteEpoch(reader, ctx, {failed.epoch, 0});
  if (failed.history_lost) {
    RequireFreshList(reader, ctx);
    return LogLost(reader, ctx, failed.reason);
  }
  if (reader.needs_list) reader.needs_fresh_list = !reader.needs_fresh_list;
  NoteFailure(reader, ctx, failed.reason);
}

bool NotePeerRead(store_reader& reader, const store_position& position, base::duration age, base::time_point now) {
  if (position < reader.position || position.epoch < reader.epoch) return false;
  reader.last_success = std::max(reader.last_success, now - age);
  reader.position = position;
  reader.epoch = position.epoch;
  reader.needs_list = reader.needs_fresh_list = false;
  return true;
}

void RequireCompleteList(store_reader& reader) {
  if (reader.state != reader_state::kIdle || reader.needs_list) return;
  reader.needs_list = reader.needs_fresh_list = true;
}

void RestartRead(store_reader& reader, base::time_point now) {
  reader.state = reader_state::kIdle;
  reader.next_read = now;
}

}  // namespace limpetrouter::core::forwarding
