#include "core/forwarding/server_table.h"

#include <catch2/catch.hpp>

#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

struct table_world {
  server_table table;
  base::time_point now{seconds(1'000)};
  std::uint64_t revision = 10;

  published_changes Changes() {
    published_changes changes;
    changes.revision = ++revision;
    return changes;
  }
  std::vector<server_change> Apply(published_changes changes) { return ApplyRecords(table, changes, now); }
  void Add(int count, std::uint64_t incarnation = 1) {
    published_changes changes = Changes();
    for (int i = 0; i < count; ++i) {
      server_record record = forwarding_world::MakeServer("s" + std::to_string(i), "svc", "a");
      record.revision = revision;
      record.incarnation = incarnation;
      changes.servers.push_back(record);
    }
    Apply(changes);
  }
  void Remove(std::initializer_list<int> which) {
    published_changes changes = Changes();
    for (const int i : which)
      changes.removed.emplace_back("s" + std::to_string(i), revision);
    Apply(changes);
  }
  bool Has(int i) const { return table.servers.contains(base::backend_server_id("s" + std::to_string(i))); }
  void Settle() { now += seconds(30); }
};

// Guards against late writes of an earlier start that bring back an old address or end a drain.
TEST_CASE("what an earlier start wrote is old news") {
  table_world world;
  world.Add(1, 5);
  struct row {
    std::uint64_t incarnation;
    std::uint64_t revision;
    bool applied;
  };
  const auto r = GENERATE(values<row>({{4, 100, false}, {5, 5, false}, {5, 100, true}, {6, 100, true}}));
  published_changes changes = world.Changes();
  server_record record = forwarding_world::MakeServer("s0", "svc", "a");
  record.address = "10.9.9.9:1";
  record.incarnation = r.incarnation;
  record.revision = r.revision;
  changes.servers.push_back(record);
  world.Apply(changes);
  const server& known = world.table.servers.at(base::backend_server_id("s0"));
  CHECK((known.record.address == "10.9.9.9:1") == r.applied);
}

// Guards against work for a server that has left, and against the loss of all servers when entries lapse together or
// while the register was away.
TEST_CASE("a removal counts at once unless entries may have lapsed") {
  table_world world;
  world.Add(20);
  world.Settle();
  SECTION("one removal in steady contact") {
    world.Remove({3});
    CHECK_FALSE(world.Has(3));
  }
  SECTION("many removals together are doubted, and entries that come back are kept") {
    world.Remove({0, 1, 2, 3, 4, 5, 6, 7});
    CHECK(world.Has(3));
    world.now += seconds(1);
    published_changes back = world.Changes();
    server_record record = forwarding_world::MakeServer("s3", "svc", "a");
    record.revision = world.revision;
    record.incarnation = 1;
    back.servers.push_back(record);
    world.Apply(back);
    world.now += seconds(2);
    ExpireMissing(world.table, world.now);
    CHECK(world.Has(3));
    CHECK_FALSE(world.Has(4));
    CHECK(ServersOf(world.table, base::service_id("svc")).size() == 13);
  }
  SECTION("a removal just after an outage is doubted for about two seconds") {
    NoteContactLost(world.table, world.now);
    world.now += milliseconds(500);
    world.Remove({3});
    CHECK(world.Has(3));
    world.now += milliseconds(2'600);
    ExpireMissing(world.table, world.now);
    CHECK_FALSE(world.Has(3));
  }
  SECTION("a server that announced its end is not waited for") {
    published_changes drain = world.Changes();
    server_record record = forwarding_world::MakeServer("s3", "svc", "a");
    record.revision = world.revision;
    record.incarnation = 1;
    record.draining = true;
    drain.servers.push_back(record);
    world.Apply(drain);
    NoteContactLost(world.table, world.now);
    world.Remove({3});
    CHECK_FALSE(world.Has(3));
  }
}

// Guards against a stale list that goes back behind what a watch has told.
TEST_CASE("an older list changes nothing") {
  table_world world;
  world.Add(2);
  world.Settle();
  published_changes list;
  list.complete = true;
  list.revision = 3;
  CHECK(world.Apply(list).empty());
  CHECK(world.Has(0));
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
