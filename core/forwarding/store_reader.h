#pragma once

#include <cstdint>

#include "core/base/time.h"
#include "core/forwarding/messages.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

enum class reader_state : std::uint8_t { kIdle, kListing, kWatching };

/// Reads what the platform publishes: a whole list first, then watches for changes.
struct store_reader {
  reader_state state = reader_state::kIdle;
  /// A list is needed before the next watch.
  bool needs_list = true;
  /// The history after our revision is lost, or the last list failed: the list must not be a stale one.
  bool needs_fresh_list = false;
  std::uint64_t revision = 0;
  /// The read that is waited for; the results of earlier ones come too late.
  std::uint64_t read = 0;
  base::time_point next_read{};
  std::uint32_t failures = 0;
  /// When the platform last said that `revision` is the newest, to us or to the instance that we follow.
  base::time_point last_success{};
};

/// Starts the read that is due.
void RunReader(store_reader& reader, instance::context& ctx);
/// A read ended with changes, which may be none. Returns false if the read was given up before.
bool NoteRead(store_reader& reader, instance::context& ctx, const published_changes& changes);
void NoteReadFailed(store_reader& reader, instance::context& ctx, const published_read_failed& failed);
/// Another instance told what it read up to `revision`, `age` ago.
void NotePeerRead(store_reader& reader, std::uint64_t revision, base::duration age, base::time_point now);
/// Gives up the read that runs and reads again at once, because the process was paused.
void RestartRead(store_reader& reader, base::time_point now);

}  // namespace limpetrouter::core::forwarding
