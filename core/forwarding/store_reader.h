#pragma once

#include <cstdint>

#include "core/base/time.h"
#include "core/forwarding/messages.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

enum class reader_state : std::uint8_t { kIdle, kListing, kWatching };

/// Reads what the platform publishes: a complete list first, then watches for changes.
struct store_reader {
  reader_state state = reader_state::kIdle;
  /// True if a list is needed before the next watch.
  bool needs_list = true;
  /// True if the next list must not be stale, because the history after `position` is lost or the last list failed.
  bool needs_fresh_list = false;
  /// True if the current list may be stale.
  bool stale_list = false;
  /// Everything up to here is known. Initially zero. The epoch of a first list that may be stale is not known: the list
  /// may show the history before a restoration although it states the new epoch. It counts as zero, so that the store
  /// is listed again as after a restoration.
  store_position position;
  /// Latest epoch of the store that an answer stated. If it is later than that of `position`, the store was restored
  /// and must be listed again.
  std::uint64_t epoch = 0;
  /// Number of the current read. Results of earlier reads are ignored.
  std::uint64_t read = 0;
  base::time_point next_read{};
  std::uint32_t failures = 0;
  /// When the platform last stated that `position` is the newest one, to this instance or to the one that it follows.
  base::time_point last_success{};
  /// When a read of this instance last succeeded.
  base::time_point last_own_success{};
};

/// Starts the next read if it is due.
void RunReader(store_reader& reader, instance::context& ctx);
/// Handles the end of a successful read, which may have found no changes. Returns false if the result must not be
/// applied: the read had been given up, more is known already, or the store was restored and its complete state is
/// needed. Otherwise the result is to be applied as of `reader.position`.
bool NoteRead(store_reader& reader, instance::context& ctx, const published_changes& changes);
void NoteReadFailed(store_reader& reader, instance::context& ctx, const published_read_failed& failed);
/// Records an update from another instance, which read the platform up to `position`, `age` ago. Returns false if the
/// update must not be applied, because more is known already or the store has been restored since.
bool NotePeerRead(store_reader& reader, const store_position& position, base::duration age, base::time_point now);
/// Makes the next read a list that is not stale, because a watch would not show all that is missing here.
void RequireCompleteList(store_reader& reader);
/// Gives up the current read and reads again at once, because the process was paused.
void RestartRead(store_reader& reader, base::time_point now);

}  // namespace limpetrouter::core::forwarding
