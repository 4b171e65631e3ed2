#include "core/forwarding/server_choice.h"

#include <map>

#include <catch2/catch.hpp>

#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

const base::service_id kService("svc");

struct choice_fixture {
  server_table table;
  base::random_source random{3};
  base::time_point now{seconds(1'000)};
  std::vector<base::backend_server_id> excluded;
  choice_rules rules;
  std::uint64_t next_call = 1;

  choice_fixture() {
    published_changes changes;
    changes.position.revision = 1;
    for (const char* const data_centre : {"a", "b", "c"}) {
      server_record record = forwarding_fixture::MakeServer(data_centre, "svc", data_centre);
      record.revision = 1;
      record.slots = 4;
      changes.servers.push_back(record);
    }
    ApplyRecords(table, changes, now);
    rules.own_data_centre = base::data_centre_id("a");
    rules.max_running = 8;
    rules.excluded = &excluded;
  }
  server& FindServer(const std::string& id) { return table.servers.at(base::backend_server_id(id)); }
  choice Choose() { return ChooseServer(table, kService, rules, now, random); }
  call_id Start(const std::string& id) {
    const call_id call(next_call++);
    NoteCallStart(FindServer(id), {call, now, milliseconds(30)});
    return call;
  }
  void End(const std::string& id, call_id call, call_verdict verdict, base::duration elapsed) {
    NoteCallEnd(FindServer(id), call, verdict, elapsed, std::nullopt, now);
  }
};

// Guards against traffic between data centres while the own one has free capacity, and against a queue in the own one
// while others are idle.
TEST_CASE("the own data centre comes first until its queue is long") {
  choice_fixture fixture;
  std::map<std::string, int> chosen;
  for (int i = 0; i < 12; ++i) {
    const choice each = fixture.Choose();
    REQUIRE(each.state == choice_state::kChosen);
    ++chosen[each.server.value];
    fixture.Start(each.server.value);
  }
  CHECK(chosen["a"] >= 4);
  CHECK(chosen["b"] + chosen["c"] >= 2);
}

// Guards against new calls to a server that has become unresponsive (a pause, or a crash without a connection reset)
// before any call to it has failed.
TEST_CASE("a server with an overdue call is not chosen") {
  choice_fixture fixture;
  fixture.Start("a");
  fixture.now += milliseconds(200);
  CHECK(fixture.Choose().server.value != "a");
}

// Guards against servers that stay ejected for ever, and against a burst of calls to one that may still be broken.
TEST_CASE("an unreachable server is ejected, probed with one call, and readmitted") {
  choice_fixture fixture;
  fixture.End("a", fixture.Start("a"), call_verdict::kUnreachable, milliseconds(1));
  CHECK(fixture.Choose().server.value != "a");
  fixture.excluded = {base::backend_server_id("b"), base::backend_server_id("c")};
  CHECK(fixture.Choose().state == choice_state::kNone);
  fixture.now += seconds(4);
  REQUIRE(fixture.Choose().server.value == "a");
  const call_id trial = fixture.Start("a");
  CHECK(fixture.Choose().state == choice_state::kFull);
  fixture.End("a", trial, call_verdict::kServed, milliseconds(30));
  CHECK(fixture.Choose().state == choice_state::kChosen);
}

// Guards against a slow server that keeps its share of the calls. Calls to the server take eight times as long.
TEST_CASE("a slow server is not chosen, and is tried again after a while") {
  choice_fixture fixture;
  for (int i = 0; i < 6; ++i) {
    const call_id call = fixture.Start("a");
    fixture.now += milliseconds(20);
    fixture.End("a", call, call_verdict::kServed, milliseconds(240));
  }
  CHECK(fixture.Choose().server.value != "a");
  fixture.now += seconds(15);
  CHECK(fixture.Choose().server.value == "a");
}

// Guards against calls to servers that are draining, were replaced, or have been tried for the request.
TEST_CASE("unusable servers are never chosen") {
  choice_fixture fixture;
  fixture.FindServer("a").record.draining = true;
  fixture.FindServer("b").misdirected = true;
  CHECK(fixture.Choose().server.value == "c");
  fixture.excluded = {base::backend_server_id("c")};
  CHECK(fixture.Choose().state == choice_state::kNone);
}

// Guards against servers that are ejected only because they accept no more connections. This happened when the whole
// fleet of the Cooperative lost power and the connections of the lost instances still counted.
TEST_CASE("a server that refuses a connection is down only if it has not served a call recently") {
  choice_fixture fixture;
  const bool served_lately = GENERATE(true, false);
  if (served_lately) fixture.End("a", fixture.Start("a"), call_verdict::kServed, milliseconds(30));
  const call_id kept = fixture.Start("a");
  fixture.End("a", fixture.Start("a"), call_verdict::kConnectionRefused, milliseconds(3));
  fixture.excluded = {base::backend_server_id("b"), base::backend_server_id("c")};
  CHECK(fixture.Choose().state == (served_lately ? choice_state::kFull : choice_state::kNone));
  fixture.End("a", kept, call_verdict::kServed, milliseconds(30));
  if (served_lately) CHECK(fixture.Choose().state == choice_state::kChosen);
}

// Guards against hedges that lengthen a queue: a hedge is sent only to a free slot.
TEST_CASE("a hedge requires a free slot") {
  choice_fixture fixture;
  fixture.rules.is_hedge = true;
  for (const char* const id : {"a", "b", "c"}) {
    for (int i = 0; i < 4; ++i)
      fixture.Start(id);
  }
  CHECK(fixture.Choose().state == choice_state::kFull);
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
