#include "core/forwarding/server_table.h"

#include <catch2/catch.hpp>

#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

struct table_fixture {
  server_table table;
  base::time_point now{seconds(1'000)};
  std::uint64_t revision = 10;

  published_changes Changes() {
    published_changes changes;
    changes.position.revision = ++revision;
    return changes;
  }
  std::vector<server_change> Apply(published_changes changes) { return ApplyRecords(table, changes, now); }
  void Add(int count, std::uint64_t incarnation = 1) {
    published_changes changes = Changes();
    for (int i = 0; i < count; ++i) {
      server_record record = forwarding_fixture::MakeServer("s" + std::to_string(i), "svc", "a");
      record.revision = revision;
      record.incarnation = incarnation;
      record.sequence = 7;
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
  void EndRemovalDoubt() { now += seconds(30); }
};

// Guards against late writes of a server, or of an earlier incarnation, that restore an old address or end a drain.
TEST_CASE("records of an earlier incarnation, an older statement or an older revision are ignored") {
  table_fixture fixture;
  fixture.Add(1, 5);
  struct row {
    std::uint64_t incarnation;
    std::uint64_t sequence;
    std::uint64_t revision;
    bool applied;
  };
  const auto r = GENERATE(values<row>({{4, 9, 100, false},
                                       {5, 7, 5, false},
                                       {5, 7, 100, true},
                                       {5, 8, 100, true},
                                       {5, 6, 100, false},
                                       {6, 1, 100, true}}));
  published_changes changes = fixture.Changes();
  server_record record = forwarding_fixture::MakeServer("s0", "svc", "a");
  record.address = "10.9.9.9:1";
  record.incarnation = r.incarnation;
  record.sequence = r.sequence;
  record.revision = r.revision;
  changes.servers.push_back(record);
  fixture.Apply(changes);
  const server& known = fixture.table.servers.at(base::backend_server_id("s0"));
  CHECK((known.record.address == "10.9.9.9:1") == r.applied);
}

// Guards against calls to a removed server, and against the loss of all servers when entries expire together or while
// the service registry was unavailable.
TEST_CASE("a removal takes effect at once unless entries may have expired") {
  table_fixture fixture;
  fixture.Add(20);
  fixture.EndRemovalDoubt();
  SECTION("one removal takes effect at once while the contact is uninterrupted") {
    fixture.Remove({3});
    CHECK_FALSE(fixture.Has(3));
  }
  SECTION("many removals together are doubted, and entries that reappear are kept") {
    fixture.Remove({0, 1, 2, 3, 4, 5, 6, 7});
    CHECK(fixture.Has(3));
    fixture.now += seconds(1);
    published_changes back = fixture.Changes();
    server_record record = forwarding_fixture::MakeServer("s3", "svc", "a");
    record.revision = fixture.revision;
    record.incarnation = 1;
    record.sequence = 8;
    back.servers.push_back(record);
    fixture.Apply(back);
    fixture.now += seconds(2);
    UpdateDoubtful(fixture.table, seconds(5), fixture.now);
    CHECK(fixture.Has(3));
    CHECK_FALSE(fixture.Has(4));
    CHECK(ServersOf(fixture.table, base::service_id("svc")).size() == 13);
  }
  SECTION("a removal just after an outage is doubted for about two seconds") {
    NoteContactLost(fixture.table, fixture.now);
    fixture.now += milliseconds(500);
    fixture.Remove({3});
    CHECK(fixture.Has(3));
    fixture.now += milliseconds(2'600);
    UpdateDoubtful(fixture.table, seconds(5), fixture.now);
    CHECK_FALSE(fixture.Has(3));
  }
  SECTION("a draining server is removed at once") {
    published_changes drain = fixture.Changes();
    server_record record = forwarding_fixture::MakeServer("s3", "svc", "a");
    record.revision = fixture.revision;
    record.incarnation = 1;
    record.sequence = 8;
    record.draining = true;
    drain.servers.push_back(record);
    fixture.Apply(drain);
    NoteContactLost(fixture.table, fixture.now);
    fixture.Remove({3});
    CHECK_FALSE(fixture.Has(3));
  }
}

// Guards against a stale list that undoes changes that a watch has reported.
TEST_CASE("an older list changes nothing") {
  table_fixture fixture;
  fixture.Add(2);
  fixture.EndRemovalDoubt();
  published_changes list;
  list.complete = true;
  list.position.revision = 3;
  CHECK(fixture.Apply(list).empty());
  CHECK(fixture.Has(0));
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
