#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "core/base/time.h"
#include "core/forwarding/messages.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

enum class reader_state : std::uint8_t { kIdle, kListing, kWatching };

/// Reads one kind of what the platform publishes: a whole list first, then watches for changes.
struct reader {
  reader_state state = reader_state::kIdle;
  /// A list is needed before the next watch.
  bool needs_list = true;
  /// The history after our revision is lost, or the last list failed: the list must not be a stale one.
  bool needs_fresh_list = false;
  std::uint64_t revision = 0;
  /// The read that is waited for; the results of earlier ones come too late.
  std::uint64_t read = 0;
  base::time_point next_read{};
  base::time_point started{};
  std::uint32_t failures = 0;
  /// When a read last succeeded.
  base::time_point last_success{};
};

struct store_reader {
  std::uint64_t next_read = 1;
  std::array<reader, 2> readers;
};

std::string_view ToString(published_kind kind);
reader& ReaderOf(store_reader& store, published_kind kind);

/// Starts the reads that are due.
void RunReaders(store_reader& store, instance::context& ctx);
/// A read ended with changes, which may be none. Returns false if the read was given up before.
bool NoteRead(store_reader& store, instance::context& ctx, const published_changes& changes);
void NoteReadFailed(store_reader& store, instance::context& ctx, const published_read_failed& failed);
/// Gives up the reads that run and reads again at once, because the process was paused.
void ReadAgain(store_reader& store, base::time_point now);

}  // namespace limpetrouter::core::forwarding
