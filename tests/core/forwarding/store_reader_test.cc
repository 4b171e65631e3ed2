#include "core/forwarding/store_reader.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

struct reader_world : forwarding_world {
  /// Both kinds are listed and watched from revision 10.
  reader_world() {
    Tick();
    for (const io::list_published& list : Take<io::list_published>())
      Read(list.kind, list.read, 10, true);
    Tick();
  }
  void Tick(base::duration time = milliseconds(5)) {
    now += time;
    instance::context ctx = Context();
    RunReaders(tables.store, ctx);
  }
  bool Read(published_kind kind, std::uint64_t read, std::uint64_t at, bool whole) {
    published_changes changes;
    changes.kind = kind;
    changes.read = read;
    changes.revision = at;
    changes.whole = whole;
    instance::context ctx = Context();
    return NoteRead(tables.store, ctx, changes);
  }
  void Fail(published_kind kind, std::uint64_t read, bool history_lost) {
    instance::context ctx = Context();
    NoteReadFailed(tables.store, ctx, {kind, read, history_lost, "reason"});
  }
};

// Guards against a configuration that is late because its watch is neither cut nor answered after the store has lost
// its history (Bureau, scale-2 with seed 498364845397).
TEST_CASE("a lost history is read anew by all watches") {
  reader_world world;
  const auto watches = world.Take<io::watch_published>();
  REQUIRE(watches.size() == 2);
  world.Fail(published_kind::kServers, watches[1].read, true);
  world.Tick(milliseconds(200));
  const auto lists = world.Take<io::list_published>();
  REQUIRE(lists.size() == 2);
  CHECK(std::none_of(lists.begin(), lists.end(), [](const auto& list) { return list.stale_allowed; }));
  // The watch that was given up comes too late to count.
  CHECK_FALSE(world.Read(watches[0].kind, watches[0].read, 99, false));
  CHECK(ReaderOf(world.tables.store, watches[0].kind).revision == 10);
}

// Guards against a store that is asked without pause while it is down.
TEST_CASE("failed reads back off and keep their revision") {
  reader_world world;
  auto watches = world.Take<io::watch_published>();
  std::size_t reads = 0;
  for (int i = 0; i < 1'000; ++i) {
    for (const io::watch_published& watch : watches) {
      ++reads;
      CHECK(watch.after == 10);
      world.Fail(watch.kind, watch.read, false);
    }
    world.Tick(milliseconds(10));
    watches = world.Take<io::watch_published>();
  }
  CHECK(reads > 10);
  CHECK(reads < 50);
}

// Guards against a fleet that believes in a stale list for ever: a list that is older than what a watch told is
// followed by one that must not be stale.
TEST_CASE("a stale list that is too old is read again") {
  reader_world world;
  world.Take<io::watch_published>();
  ReaderOf(world.tables.store, published_kind::kServers).needs_list = true;
  ReadAgain(world.tables.store, world.now);
  world.Tick();
  auto lists = world.Take<io::list_published>();
  REQUIRE(lists.size() == 1);
  world.Read(lists[0].kind, lists[0].read, 5, true);
  world.Tick();
  lists = world.Take<io::list_published>();
  REQUIRE(lists.size() == 1);
  CHECK_FALSE(lists[0].stale_allowed);
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
