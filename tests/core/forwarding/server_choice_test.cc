#include "core/forwarding/server_choice.h"

#include <map>

#include <catch2/catch.hpp>

#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

const base::service_id kService("svc");

struct choice_world {
  server_table table;
  base::random_source random{3};
  base::time_point now{seconds(1'000)};
  std::vector<base::backend_server_id> excluded;
  choice_rules rules;
  std::uint64_t next_call = 1;

  choice_world() {
    published_changes changes;
    changes.revision = 1;
    for (const char* const data_centre : {"a", "b", "c"}) {
      server_record record = forwarding_world::MakeServer(data_centre, "svc", data_centre);
      record.revision = 1;
      record.slots = 4;
      changes.servers.push_back(record);
    }
    ApplyRecords(table, changes, now);
    rules.own_data_centre = base::data_centre_id("a");
    rules.max_running = 8;
    rules.excluded = &excluded;
  }
  server& At(const std::string& id) { return table.servers.at(base::backend_server_id(id)); }
  choice Choose() { return ChooseServer(table, kService, rules, now, random); }
  call_id Start(const std::string& id) {
    const call_id call(next_call++);
    NoteCallStart(At(id), {call, now, milliseconds(30)});
    return call;
  }
  void End(const std::string& id, call_id call, call_verdict verdict, base::duration elapsed) {
    NoteCallEnd(At(id), call, verdict, elapsed, std::nullopt, now);
  }
};

// Guards against bytes between data centres while the own one has room, and against a queue in the own one while
// others are idle.
TEST_CASE("the own data centre comes first until its queue is long") {
  choice_world world;
  std::map<std::string, int> chosen;
  for (int i = 0; i < 12; ++i) {
    const choice each = world.Choose();
    REQUIRE(each.state == choice_state::kChosen);
    ++chosen[each.server.value];
    world.Start(each.server.value);
  }
  CHECK(chosen["a"] >= 4);
  CHECK(chosen["b"] + chosen["c"] >= 2);
}

// Guards against new work for a server that has fallen silent (a pause, a crash without a reset) before any call to it
// has failed.
TEST_CASE("a server with an overdue call is passed over") {
  choice_world world;
  world.Start("a");
  world.now += milliseconds(200);
  CHECK(world.Choose().server.value != "a");
}

// Guards against servers that are given up for ever, and against a burst of calls at one that may still be broken.
TEST_CASE("a server that cannot be reached is left out, tried with one call, and taken back") {
  choice_world world;
  world.End("a", world.Start("a"), call_verdict::kUnreachable, milliseconds(1));
  CHECK(world.Choose().server.value != "a");
  world.excluded = {base::backend_server_id("b"), base::backend_server_id("c")};
  CHECK(world.Choose().state == choice_state::kNone);
  world.now += seconds(4);
  REQUIRE(world.Choose().server.value == "a");
  const call_id trial = world.Start("a");
  CHECK(world.Choose().state == choice_state::kFull);
  world.End("a", trial, call_verdict::kServed, milliseconds(30));
  CHECK(world.Choose().state == choice_state::kChosen);
}

// Guards against a slow server that keeps its share of the work (work on it takes eight times as long).
TEST_CASE("a slow server is passed over, and tried again after a while") {
  choice_world world;
  for (int i = 0; i < 6; ++i) {
    const call_id call = world.Start("a");
    world.now += milliseconds(20);
    world.End("a", call, call_verdict::kServed, milliseconds(240));
  }
  CHECK(world.Choose().server.value != "a");
  world.now += seconds(15);
  CHECK(world.Choose().server.value == "a");
}

// Guards against work for servers that leave, that were replaced, or that the caller has tried.
TEST_CASE("unusable servers are never chosen") {
  choice_world world;
  world.At("a").record.draining = true;
  world.At("b").misdirected = true;
  CHECK(world.Choose().server.value == "c");
  world.excluded = {base::backend_server_id("c")};
  CHECK(world.Choose().state == choice_state::kNone);
}

// Guards against servers that are given up because they accept no more connections (the whole fleet of the Cooperative
// lost its power, and the connections of the lost instances still counted).
TEST_CASE("a server that refuses a connection is down only if it has not served lately") {
  choice_world world;
  const bool served_lately = GENERATE(true, false);
  if (served_lately) world.End("a", world.Start("a"), call_verdict::kServed, milliseconds(30));
  const call_id kept = world.Start("a");
  world.End("a", world.Start("a"), call_verdict::kConnectionRefused, milliseconds(3));
  world.excluded = {base::backend_server_id("b"), base::backend_server_id("c")};
  CHECK(world.Choose().state == (served_lately ? choice_state::kFull : choice_state::kNone));
  world.End("a", kept, call_verdict::kServed, milliseconds(30));
  if (served_lately) CHECK(world.Choose().state == choice_state::kChosen);
}

// Guards against hedges that add to a queue: they take a free slot or nothing.
TEST_CASE("a hedge needs a free slot") {
  choice_world world;
  world.rules.needs_free_slot = true;
  for (const char* const id : {"a", "b", "c"}) {
    for (int i = 0; i < 4; ++i)
      world.Start(id);
  }
  CHECK(world.Choose().state == choice_state::kFull);
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
