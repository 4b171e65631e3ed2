#include "core/forwarding/directory.h"

#include <catch2/catch.hpp>

#include "core/membership/fact_table.h"
#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

/// A fleet of `large` instances of half a core and `small` ones of an eighth, the own instance a small one.
forwarding_world MakeFleet(std::size_t large, std::size_t small) {
  forwarding_world world;
  world.SetRoute(forwarding_world::MakeRoute(repeat_policy::kIdempotent));
  world.tables.servers.known = true;
  world.members.self.capacity = 120;
  for (std::size_t i = 0; i < large + small; ++i) {
    const base::instance_id id("10.1.0." + std::to_string(i));
    membership::member& entry = world.members.members[id];
    entry.info.member = {id, base::incarnation_id(1)};
    entry.info.data_centre = base::data_centre_id(i % 2 == 0 ? "a" : "b");
    entry.info.http_address = id.value + ":80";
    entry.info.state = peer::member_state::kAlive;
    entry.info.capacity = i < large ? 500 : 120;
  }
  return world;
}

std::vector<std::string> Ask(forwarding_world& world) {
  instance::context ctx = world.Context();
  HandleEntryAddresses(world.tables, ctx, {base::reply_handle(1), base::data_centre_id("b")});
  return world.Take<io::reply_entry_addresses>().at(0).addresses;
}

// Guards against callers that choose at random between a large instance and one that needs four times as long, and
// against a few large ones that must carry everything when they cannot.
TEST_CASE("callers are sent to the largest instances that suffice") {
  struct row {
    std::size_t large, small, busy, expected;
  };
  const auto r = GENERATE(values<row>({{6, 20, 0, 6}, {6, 20, 2, 6}, {6, 20, 3, 27}, {3, 20, 0, 24}, {0, 8, 0, 9}}));
  forwarding_world world = MakeFleet(r.large, r.small);
  for (std::size_t i = 0; i < r.busy; ++i)
    membership::RecordBusy(world.facts, base::instance_id("10.1.0." + std::to_string(i)), seconds(3), world.now);
  CHECK(Ask(world).size() == r.expected);
}

// Guards against callers that are sent to an instance that leaves or is gone.
TEST_CASE("instances that leave or are dead are not answered, near ones come first") {
  forwarding_world world = MakeFleet(6, 0);
  world.members.members.at(base::instance_id("10.1.0.0")).info.state = peer::member_state::kLeaving;
  world.members.members.at(base::instance_id("10.1.0.1")).info.state = peer::member_state::kDead;
  const auto addresses = Ask(world);
  CHECK(addresses == std::vector<std::string>{"10.1.0.3:80", "10.1.0.5:80", "10.1.0.2:80", "10.1.0.4:80"});
}

// Guards against an exhausted instance that nobody knows of.
TEST_CASE("an instance whose ticks are late says that it is busy") {
  forwarding_world world = MakeFleet(0, 2);
  for (int i = 0; i < 400; ++i) {
    world.now += milliseconds(5);
    instance::context ctx = world.Context();
    RunLoadReport(world.tables, ctx);
  }
  CHECK_FALSE(membership::IsBusy(world.facts, world.members.self.ref.id, world.now));
  for (int i = 0; i < 400; ++i) {
    world.now += milliseconds(40);
    instance::context ctx = world.Context();
    RunLoadReport(world.tables, ctx);
  }
  CHECK(membership::IsBusy(world.facts, world.members.self.ref.id, world.now));
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
