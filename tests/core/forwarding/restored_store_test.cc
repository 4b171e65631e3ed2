#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "store_world.h"

namespace limpetrouter::core::forwarding {
namespace {

// Guards against an instance that keeps an old configuration because the store was restored from an older copy and has
// given out the revision that the instance knows again, for other content.
TEST_CASE("a restored store's contents are in force everywhere within three seconds") {
  struct row {
    const char* name;
    /// Revision of the store when the instances reach it again, relative to the one that they know.
    int ahead;
    std::size_t restorations;
    bool silent;
  };
  const auto r = GENERATE(values<row>({{"the known revision does not exist", -2, 1, false},
                                       {"the known revision is the newest one", 0, 1, false},
                                       {"the known revision has been passed", 3, 1, false},
                                       {"two restorations while no instance reaches the store", 0, 2, false},
                                       {"watches from before the restoration answer after it", 2, 1, true}}));
  INFO(r.name);
  store_world world;
  const store_contents copy = world.store;
  world.store.Configure(4);
  for (int i = 0; i < 9; ++i)
    world.store.Write(store_world::Server(i % 6));
  world.store.Write(store_world::Server(6));
  world.Run(seconds(2));
  const std::uint64_t known = world.store.revision;
  for (std::size_t i = 0; i < store_world::kInstances; ++i)
    REQUIRE(world.VersionOf(i) == 4);
  world.CutAll();
  world.silent = r.silent;
  world.Run(milliseconds(100));
  for (std::size_t i = 0; i < r.restorations; ++i)
    world.Restore(copy);
  world.store.Configure(4);
  world.store.Configure(9);
  world.store.Write(store_world::Server(7));
  while (world.store.revision < known + static_cast<std::uint64_t>(r.ahead))
    world.store.Write(store_world::Server(0));
  REQUIRE(static_cast<int>(world.store.revision) - static_cast<int>(known) == r.ahead);
  world.Run(milliseconds(500));
  world.cut.clear();
  const std::size_t reads = world.reads;
  world.Run(seconds(3));
  for (std::size_t i = 0; i < store_world::kInstances; ++i) {
    INFO("instance " << i);
    CHECK(world.VersionOf(i) == 9);
  }
  CHECK_FALSE(world.regressed);
  // A list and a watch of about one second for each reader, not a list in every tick.
  CHECK(world.reads - reads < 40);
  // A server without an entry may still register again for about two seconds after the store is reached.
  world.Run(seconds(1));
  for (std::size_t i = 0; i < store_world::kInstances; ++i) {
    INFO("instance " << i);
    CHECK(world.UsedServers(i) == std::set<std::string>{"s0", "s1", "s2", "s3", "s4", "s5", "s7"});
  }
}

// Guards against an instance that starts right after a restoration and keeps what the store had lost: its first read
// may be stale, states the new epoch and shows the former history.
TEST_CASE("an instance that starts with a stale list of the former history soon has the restored contents") {
  // Revisions that the store has given out since its restoration, and how many instances start.
  const int written = GENERATE(2, 12);
  const std::size_t started = GENERATE(as<std::size_t>{}, 1, 2, 4);
  INFO("revisions " << written << ", instances " << started);
  store_world world;
  const store_contents copy = world.store;
  world.store.Configure(4);
  for (int i = 0; i < 5; ++i)
    world.store.Write(store_world::Server(6 + i));
  world.Run(seconds(2));
  world.stale = world.store;
  world.Restore(copy);
  world.store.Configure(9);
  while (world.store.revision < copy.revision + static_cast<std::uint64_t>(written))
    world.store.Write(store_world::Server(0));
  for (std::size_t i = 0; i < started; ++i)
    world.Restart(i);
  world.Run(seconds(3));
  for (std::size_t i = 0; i < store_world::kInstances; ++i) {
    INFO("instance " << i);
    CHECK(world.VersionOf(i) == 9);
  }
  world.Run(seconds(2));
  for (std::size_t i = 0; i < store_world::kInstances; ++i) {
    INFO("instance " << i);
    CHECK(world.UsedServers(i) == std::set<std::string>{"s0", "s1", "s2", "s3", "s4", "s5"});
  }
}

// Guards against requests to a server that has left or drains, because the store was restored from a copy in which it
// is ready, and against a server that is lost because its entry comes only from the copy.
TEST_CASE("a copy of the store brings back neither a server that has left nor one that drains") {
  enum class loss { kDrains, kLeaves, kDrainsAndLeaves, kExpires };
  enum class return_of { kNothing, kEntryLapses, kServerWritesAgain, kServerRestarts };
  struct row {
    loss lost;
    return_of next;
    bool used_soon;
    bool used_later;
  };
  // The entry of a server that left lapses, unless the server lives and had only been silent.
  const auto r = GENERATE(values<row>({{loss::kDrains, return_of::kNothing, false, false},
                                       {loss::kDrains, return_of::kServerRestarts, true, true},
                                       {loss::kLeaves, return_of::kEntryLapses, false, false},
                                       {loss::kLeaves, return_of::kNothing, false, true},
                                       {loss::kLeaves, return_of::kServerWritesAgain, true, true},
                                       {loss::kLeaves, return_of::kServerRestarts, true, true},
                                       {loss::kDrainsAndLeaves, return_of::kEntryLapses, false, false},
                                       {loss::kExpires, return_of::kNothing, false, true}}));
  INFO("loss " << static_cast<int>(r.lost) << ", then " << static_cast<int>(r.next));
  store_world world;
  const store_contents copy = world.store;
  world.Run(seconds(30));
  const bool drains = r.lost == loss::kDrains || r.lost == loss::kDrainsAndLeaves;
  world.store.Write(store_world::Server(1, drains, 2));
  world.Run(seconds(1));
  if (r.lost == loss::kExpires) {
    // Entries that vanish together are doubted, so that the server is still known when the store is restored.
    for (int i = 0; i < 4; ++i)
      world.store.Remove("s" + std::to_string(i));
    world.Run(milliseconds(500));
  } else {
    if (r.lost != loss::kDrains) world.store.Remove("s1");
    world.Run(seconds(4));
    REQUIRE_FALSE(world.IsUsed("s1"));
  }
  world.Restore(copy);
  world.Run(milliseconds(1'500));
  CHECK(world.IsUsed("s1") == (r.lost == loss::kExpires));
  if (r.next == return_of::kServerWritesAgain) world.store.Write(store_world::Server(1, false, 3));
  if (r.next == return_of::kServerRestarts) {
    server_record restarted = store_world::Server(1);
    restarted.incarnation = 2;
    world.store.Write(restarted);
  }
  for (int i = 0; i < 20; ++i) {
    world.Run(milliseconds(100));
    CHECK((!world.IsUsed("s1") || r.used_soon || r.lost == loss::kExpires));
  }
  CHECK(world.IsUsed("s1") == r.used_soon);
  if (r.next == return_of::kEntryLapses) world.store.Remove("s1");
  world.Run(seconds(5));
  CHECK(world.IsUsed("s1") == r.used_later);
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
