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

}  // namespace
}  // namespace limpetrouter::core::forwarding
