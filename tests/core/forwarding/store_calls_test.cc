#include "core/forwarding/publication_spread.h"

#include <catch2/catch.hpp>

#include "store_world.h"

namespace limpetrouter::core::forwarding {
namespace {

// Guards against a start of a large fleet that reads the platform several times an instance: all instances watch it
// until the operator has written the first configuration, although they would get it from the readers.
TEST_CASE("a starting instance that is no reader reads the platform once, also before there is a configuration") {
  constexpr std::size_t kInstances = 20;
  store_world world(kInstances, false);
  for (int i = 0; i < 10; ++i) {
    world.Run(milliseconds(100));
    world.store.Write(store_world::Server(6 + i));
  }
  world.store.Configure(3);
  world.Run(milliseconds(500));
  for (std::size_t i = 0; i < kInstances; ++i)
    CHECK(world.VersionOf(i) == 3);
  CHECK(world.reads - world.full_reads == kInstances);
  // Two readers list the platform again and watch it.
  CHECK(world.full_reads <= 12);
  CHECK(world.UsedServers(kInstances - 1).size() == 16);
}

// Guards against calls to the platform that two instances of a data centre make for the same purpose.
TEST_CASE("one instance of a data centre reads the platform, and the next one only in its place") {
  store_world world(10);
  const std::size_t before = world.reads;
  constexpr int kSeconds = 30;
  for (int i = 0; i < kSeconds; ++i) {
    world.Run(seconds(1));
    if (i % 10 == 5) world.store.Write(store_world::Server(7));
  }
  // A watch lasts at least 1.2 s without a change, and each change ends one.
  CHECK(world.reads - before <= kSeconds * 10 / 12 + 3);
}

// Guards against changes that arrive late because the one instance that reads the platform for its data centre fails.
TEST_CASE("changes are known in time while the reader of a data centre fails") {
  enum class failure { kNone, kStopped, kCutOff, kCutOffSilently };
  const auto what = GENERATE(failure::kNone, failure::kStopped, failure::kCutOff, failure::kCutOffSilently);
  // The change comes at different times after the failure.
  const auto delay = GENERATE(milliseconds(1), milliseconds(300), milliseconds(900), milliseconds(1'500), seconds(6));
  INFO("failure " << static_cast<int>(what) << ", change after " << delay.count() << " ms");
  store_world world(10);
  world.Run(milliseconds(700));
  if (what == failure::kStopped) world.stopped = {0};
  if (what == failure::kCutOff || what == failure::kCutOffSilently) world.cut = {0};
  world.silent = what == failure::kCutOffSilently;
  const std::size_t before = world.reads;
  world.Run(delay);
  world.store.Configure(8);
  // A change must be in force within 3 s, with a margin for the requests that are on their way.
  world.Run(milliseconds(2'600));
  for (std::size_t i = 0; i < world.count; ++i) {
    INFO("instance " << i);
    if (!world.stopped.contains(i)) CHECK(world.VersionOf(i) == 8);
  }
  const std::size_t during = world.reads;
  world.Run(seconds(10));
  // In place of the reader, the next instance reads; the reader itself goes on trying.
  CHECK(world.reads - during <= 40);
  CHECK(during - before <= 60);
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
