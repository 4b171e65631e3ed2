#include "core/forwarding/store_reader.h"

#include <memory>
#include <set>

#include <catch2/catch.hpp>

#include "core/forwarding/publication_spread.h"
#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

struct reader_fixture : forwarding_fixture {
  /// Lists everything at revision 10 and starts a watch from there.
  reader_fixture() {
    Tick();
    Read(Take<io::list_published>().at(0).read, 10, true);
    Tick();
  }
  void Tick(base::duration time = milliseconds(5)) {
    now += time;
    instance::context ctx = Context();
    RunReader(tables.store, ctx);
  }
  bool Read(std::uint64_t read, std::uint64_t at, bool complete) {
    published_changes changes;
    changes.read = read;
    changes.position.revision = at;
    changes.complete = complete;
    instance::context ctx = Context();
    return NoteRead(tables.store, ctx, changes);
  }
  void Fail(std::uint64_t read, bool history_lost) {
    instance::context ctx = Context();
    NoteReadFailed(tables.store, ctx, {read, history_lost, "reason", 0});
  }
};

// Guards against a late configuration when a watch is neither closed nor answered after the store has lost its history
// (seen at the Bureau, scale-2 with seed 498364845397). One watch covers all keys, and its wait is short.
TEST_CASE("a lost history leads to a new list that is not stale") {
  reader_fixture fixture;
  const auto watches = fixture.Take<io::watch_published>();
  REQUIRE(watches.size() == 1);
  CHECK(watches[0].wait <= seconds(2));
  fixture.Fail(watches[0].read, true);
  fixture.Tick(milliseconds(200));
  const auto lists = fixture.Take<io::list_published>();
  REQUIRE(lists.size() == 1);
  CHECK_FALSE(lists[0].stale_allowed);
  // The result of an earlier read comes too late to count.
  CHECK_FALSE(fixture.Read(watches[0].read, 99, false));
  CHECK(fixture.tables.store.position.revision == 10);
}

// Guards against a store that is queried without pause while it is unavailable.
TEST_CASE("failed reads back off and keep their revision") {
  reader_fixture fixture;
  auto watches = fixture.Take<io::watch_published>();
  std::size_t reads = 0;
  for (int i = 0; i < 1'000; ++i) {
    for (const io::watch_published& watch : watches) {
      ++reads;
      CHECK(watch.after == 10);
      fixture.Fail(watch.read, false);
    }
    fixture.Tick(milliseconds(10));
    watches = fixture.Take<io::watch_published>();
  }
  CHECK(reads > 5);
  CHECK(reads < 25);
}

// Guards against a fleet that uses a stale list for ever: a list that is older than what a watch reported is followed
// by one that must not be stale.
TEST_CASE("a list that is older than the known revision is followed by a fresh one") {
  reader_fixture fixture;
  fixture.Take<io::watch_published>();
  fixture.tables.store.needs_list = true;
  RestartRead(fixture.tables.store, fixture.now);
  fixture.Tick();
  auto lists = fixture.Take<io::list_published>();
  REQUIRE(lists.size() == 1);
  fixture.Read(lists[0].read, 5, true);
  fixture.Tick();
  lists = fixture.Take<io::list_published>();
  REQUIRE(lists.size() == 1);
  CHECK_FALSE(lists[0].stale_allowed);
}

// Guards against a store that is listed in every tick because its list stays older than what it has reported.
TEST_CASE("a store whose fresh lists are older than its reports is read with a growing delay") {
  reader_fixture fixture;
  fixture.Take<io::watch_published>();
  fixture.tables.store.needs_list = fixture.tables.store.needs_fresh_list = true;
  RestartRead(fixture.tables.store, fixture.now);
  std::size_t lists = 0;
  for (int i = 0; i < 1'000; ++i) {
    fixture.Tick(milliseconds(10));
    for (const io::list_published& list : fixture.Take<io::list_published>()) {
      ++lists;
      CHECK_FALSE(fixture.Read(list.read, 5, true));
    }
  }
  CHECK(lists > 5);
  CHECK(lists < 25);
  CHECK(fixture.tables.store.position.revision == 10);
}

// Guards against a server that has left and is in use again: an instance reads the platform itself and gets a result
// that is older than what another instance has told it meanwhile.
TEST_CASE("a result that is older than what is known changes nothing") {
  reader_fixture fixture;
  const auto watches = fixture.Take<io::watch_published>();
  REQUIRE(watches.size() == 1);
  const bool by_peer = GENERATE(true, false);
  const std::uint64_t late = GENERATE(as<std::uint64_t>{}, 11, 12);
  instance::context ctx = fixture.Context();
  const auto update = [](std::uint64_t since, std::uint64_t until) {
    peer::publication_update result;
    result.since = {0, since};
    result.position = {0, until};
    return result;
  };
  peer::publication_update newest = update(10, 13);
  newest.removed.emplace_back("gone", 13);
  HandlePublicationUpdate(fixture.tables, ctx, {}, newest);
  server_record record = forwarding_fixture::MakeServer("gone", "svc", "a");
  record.revision = 11;
  if (by_peer) {
    peer::publication_update older = update(10, late);
    older.servers.push_back(record);
    HandlePublicationUpdate(fixture.tables, ctx, {}, older);
  } else {
    published_changes changes;
    changes.read = watches[0].read;
    changes.position.revision = late;
    changes.servers.push_back(record);
    HandlePublished(fixture.tables, ctx, {changes});
  }
  CHECK(fixture.tables.servers.servers.empty());
  CHECK(fixture.tables.store.position.revision == 13);
}

/// Simulates four instances of a data centre. Messages between them arrive at once. The first two read the platform.
struct spread_fixture {
  std::vector<std::unique_ptr<forwarding_fixture>> instances;
  /// Messages to and from these instances are lost.
  std::set<std::size_t> unreachable;

  spread_fixture() {
    for (std::size_t i = 0; i < 4; ++i) {
      auto created = std::make_unique<forwarding_fixture>();
      JoinFleet(*created, i, 4);
      instances.push_back(std::move(created));
    }
  }
  /// Moves instances to another data centre, as seen by all.
  void Move(const std::set<std::size_t>& moved, const base::data_centre_id& to) {
    for (std::size_t i = 0; i < instances.size(); ++i) {
      if (moved.contains(i)) instances[i]->members.self.data_centre = to;
      for (const std::size_t j : moved) {
        const auto found = instances[i]->members.members.find(FleetInstanceId(j));
        if (found != instances[i]->members.members.end()) found->second.info.data_centre = to;
      }
    }
  }
  /// Instance `i` reads everything up to `at` from the platform.
  void Publish(std::size_t i, std::uint64_t at) {
    forwarding_fixture& fixture = *instances[i];
    auto table = std::make_shared<routing_table>();
    table->version = at;
    published_changes changes;
    changes.read = ++fixture.tables.store.read;
    fixture.tables.store.state = reader_state::kWatching;
    changes.position.revision = at;
    changes.routing = table;
    server_record record = forwarding_fixture::MakeServer("s" + std::to_string(at), "svc", "a");
    record.revision = at;
    changes.servers.push_back(record);
    instance::context ctx = fixture.Context();
    HandlePublished(fixture.tables, ctx, {changes});
  }
  void Run(base::duration time) {
    for (base::duration passed{}; passed < time; passed += milliseconds(5)) {
      for (const auto& fixture : instances) {
        fixture->now += milliseconds(5);
        instance::context ctx = fixture->Context();
        RunSpread(fixture->tables, ctx);
      }
      Deliver();
    }
  }
  void Deliver() {
    for (std::size_t i = 0; i < instances.size(); ++i) {
      for (const io::send_peer& send : instances[i]->Take<io::send_peer>()) {
        for (std::size_t j = 0; j < instances.size(); ++j) {
          if (send.target == FleetInstanceId(j) && !unreachable.contains(j) && !unreachable.contains(i))
            ReceivePublication(*instances[j], send.message);
        }
      }
    }
  }
  bool MustReadPlatform(std::size_t i) {
    instance::context ctx = instances[i]->Context();
    return MustRead(instances[i]->tables, ctx);
  }
};

// Guards against a number of calls to the platform that grows with the fleet, and against followers that miss a change.
TEST_CASE("few instances read the platform and the others follow them") {
  spread_fixture fixture;
  for (const std::size_t reader : {0U, 1U})
    fixture.Publish(reader, 5);
  fixture.Run(seconds(1));
  for (const std::size_t follower : {2U, 3U}) {
    CHECK_FALSE(fixture.MustReadPlatform(follower));
    REQUIRE(fixture.instances[follower]->tables.routing != nullptr);
    CHECK(fixture.instances[follower]->tables.routing->version == 5);
  }
  CHECK(fixture.MustReadPlatform(0));
  for (const std::size_t reader : {0U, 1U})
    fixture.Publish(reader, 6);
  fixture.Run(milliseconds(20));
  for (const std::size_t follower : {2U, 3U}) {
    CHECK(fixture.instances[follower]->tables.routing->version == 6);
    CHECK(fixture.instances[follower]->tables.servers.servers.size() == 2);
  }
}

// Guards against followers that rely on a reader that is cut off from the platform or is unreachable.
TEST_CASE("a follower without recent updates reads the platform itself within two seconds") {
  spread_fixture fixture;
  for (const std::size_t reader : {0U, 1U})
    fixture.Publish(reader, 5);
  fixture.Run(seconds(1));
  REQUIRE_FALSE(fixture.MustReadPlatform(2));
  SECTION("its readers are cut off from the platform") {}
  SECTION("its readers are unreachable") { fixture.unreachable = {0, 1}; }
  fixture.Run(milliseconds(1'500));
  CHECK(fixture.MustReadPlatform(2));
}

// Guards against calls to servers that drain and against old configurations, because an instance that reads the
// platform for its data centre is cut off from it and asks no other instance.
TEST_CASE("an instance that is cut off from the platform learns of changes from any other instance") {
  const bool whole_data_centre_cut = GENERATE(false, true);
  spread_fixture fixture;
  std::vector<std::size_t> cut = {0};
  if (whole_data_centre_cut) {
    cut = {0, 1};
    fixture.Move({2, 3}, base::data_centre_id("b"));
  }
  for (std::size_t i = 0; i < fixture.instances.size(); ++i)
    fixture.Publish(i, 5);
  for (int second = 0; second < 4; ++second) {
    for (std::size_t i = cut.size(); i < fixture.instances.size(); ++i)
      fixture.Publish(i, 6 + static_cast<std::uint64_t>(second));
    fixture.Run(seconds(1));
  }
  for (const std::size_t i : cut) {
    INFO("instance " << i);
    CHECK(fixture.instances[i]->tables.routing->version >= 8);
    CHECK(fixture.instances[i]->tables.servers.servers.size() >= 4);
  }
}

// Guards against a restarted instance that applies an update meant for its former incarnation, and so skips all earlier
// changes (seen at the Cooperative, reshard-with-restarts --vary --seed 1051718547918: version 4 was served instead of
// 11).
TEST_CASE("an update that starts after the known revision is dropped") {
  spread_fixture fixture;
  fixture.Publish(0, 5);
  fixture.Publish(1, 5);
  fixture.Run(seconds(1));
  const std::size_t restarted = 2;
  auto restarted_instance = std::make_unique<forwarding_fixture>();
  restarted_instance->members = fixture.instances[restarted]->members;
  restarted_instance->now = fixture.instances[restarted]->now;
  restarted_instance->tables.spread.next_request = restarted_instance->now + milliseconds(400);
  fixture.instances[restarted] = std::move(restarted_instance);
  fixture.Publish(0, 9);
  fixture.Publish(1, 9);
  fixture.Run(milliseconds(20));
  const forwarding_tables& tables = fixture.instances[restarted]->tables;
  CHECK(tables.store.position.revision == 0);
  CHECK(fixture.MustReadPlatform(restarted));
  fixture.Run(seconds(1));
  CHECK(tables.store.position.revision == 9);
  REQUIRE(tables.routing != nullptr);
  CHECK(tables.routing->version == 9);
  CHECK(tables.servers.servers.size() == 2);
}

// Guards against followers that miss changes after the loss of one reader: they ask the other one.
TEST_CASE("a follower of an unreachable reader switches to the other reader") {
  spread_fixture fixture;
  for (const std::size_t reader : {0U, 1U})
    fixture.Publish(reader, 5);
  fixture.Run(milliseconds(600));
  fixture.unreachable = {0};
  for (int i = 0; i < 6; ++i) {
    fixture.Publish(1, 6 + static_cast<std::uint64_t>(i));
    fixture.Run(seconds(1));
  }
  for (const std::size_t follower : {2U, 3U}) {
    CHECK_FALSE(fixture.MustReadPlatform(follower));
    CHECK(fixture.instances[follower]->tables.routing->version >= 10);
  }
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
