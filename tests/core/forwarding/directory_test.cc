#include "core/forwarding/directory.h"

#include <catch2/catch.hpp>

#include "core/membership/fact_table.h"
#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

/// Creates a fleet of `large` instances with half a core and `small` ones with an eighth of a core. This instance
/// itself is one more small one.
forwarding_fixture MakeFleet(std::size_t large, std::size_t small) {
  forwarding_fixture fixture;
  fixture.SetRoute(forwarding_fixture::MakeRoute(repeat_policy::kIdempotent));
  fixture.tables.servers.known = true;
  fixture.members.self.capacity = 120;
  for (std::size_t i = 0; i < large + small; ++i) {
    const base::instance_id id("10.1.0." + std::to_string(i));
    membership::member& entry = fixture.members.members[id];
    entry.info.member = {id, base::incarnation_id(1)};
    entry.info.data_centre = base::data_centre_id(i % 2 == 0 ? "a" : "b");
    entry.info.http_address = id.value + ":80";
    entry.info.state = peer::member_state::kAlive;
    entry.info.capacity = i < large ? 500 : 120;
  }
  return fixture;
}

std::vector<std::string> QueryAddresses(forwarding_fixture& fixture) {
  instance::context ctx = fixture.Context();
  HandleEntryAddresses(fixture.tables, ctx, {base::reply_handle(1), base::data_centre_id("b")});
  return fixture.Take<io::reply_entry_addresses>().at(0).addresses;
}

// Guards against callers that choose at random between a large instance and one that takes four times as long, and
// against all load on a few large instances whose capacity does not suffice.
TEST_CASE("callers are directed to the largest instances that suffice") {
  struct row {
    std::size_t large, small, busy, expected;
  };
  const auto r = GENERATE(values<row>({{6, 20, 0, 6},
                                       {6, 20, 1, 5},
                                       {6, 20, 2, 4},
                                       {6, 20, 3, 27},
                                       {4, 20, 1, 3},
                                       {4, 20, 2, 25},
                                       {3, 20, 0, 24},
                                       {0, 8, 0, 9}}));
  forwarding_fixture fixture = MakeFleet(r.large, r.small);
  for (std::size_t i = 0; i < r.busy; ++i)
    membership::RecordBusy(fixture.facts, base::instance_id("10.1.0." + std::to_string(i)), seconds(3), fixture.now);
  CHECK(QueryAddresses(fixture).size() == r.expected);
}

// Guards against callers that are directed to an instance that is leaving or dead.
TEST_CASE("leaving and dead instances are left out, and instances of the caller's data centre come first") {
  forwarding_fixture fixture = MakeFleet(6, 0);
  fixture.members.members.at(base::instance_id("10.1.0.0")).info.state = peer::member_state::kLeaving;
  fixture.members.members.at(base::instance_id("10.1.0.1")).info.state = peer::member_state::kDead;
  const auto addresses = QueryAddresses(fixture);
  CHECK(addresses == std::vector<std::string>{"10.1.0.3:80", "10.1.0.5:80", "10.1.0.2:80", "10.1.0.4:80"});
}

// Guards against callers that stay with one overloaded instance among others that have processor time left, as happens
// while some large instances restart and their callers all move to the remaining ones.
TEST_CASE("an instance whose calls saturate their thread reports that it is busy") {
  struct row {
    double load;
    milliseconds age;
    bool busy;
  };
  const auto r = GENERATE(values<row>({{0.5, milliseconds(5), false},
                                       {0.85, milliseconds(5), false},
                                       {0.95, milliseconds(5), true},
                                       {0.95, seconds(2), false}}));
  forwarding_fixture fixture = MakeFleet(2, 2);
  fixture.AddServers({forwarding_fixture::MakeServer("s1", "single", "a")});
  fixture.Send();
  call_result result = forwarding_fixture::Served();
  result.call_thread_load = r.load;
  fixture.End(fixture.TakeCalls().at(0), std::move(result));
  fixture.tables.last_tick = fixture.now + r.age - milliseconds(5);
  fixture.now += r.age;
  instance::context ctx = fixture.Context();
  RunLoadReport(fixture.tables, ctx);
  CHECK(membership::IsBusy(fixture.facts, fixture.members.self.ref.id, fixture.now) == r.busy);
}

// Guards against a saturated instance that the other instances do not know of.
TEST_CASE("an instance whose ticks are late reports that it is busy") {
  forwarding_fixture fixture = MakeFleet(0, 2);
  for (int i = 0; i < 400; ++i) {
    fixture.now += milliseconds(5);
    instance::context ctx = fixture.Context();
    RunLoadReport(fixture.tables, ctx);
  }
  CHECK_FALSE(membership::IsBusy(fixture.facts, fixture.members.self.ref.id, fixture.now));
  for (int i = 0; i < 400; ++i) {
    fixture.now += milliseconds(40);
    instance::context ctx = fixture.Context();
    RunLoadReport(fixture.tables, ctx);
  }
  CHECK(membership::IsBusy(fixture.facts, fixture.members.self.ref.id, fixture.now));
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
