#include "core/forwarding/evacuation.h"

#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/forwarding/answers.h"
#include "core/forwarding/relay.h"
#include "core/forwarding/server_choice.h"
#include "store_world.h"

namespace limpetrouter::core::forwarding {
namespace {

using base::data_centre_id;

const data_centre_id kA("a");
const data_centre_id kB("b");
constexpr base::time_point kNow{seconds(1'000)};

evacuation_changes Complete(store_position position, std::vector<evacuation_record> ordered) {
  return {true, position, std::move(ordered), {}};
}
evacuation_changes Events(store_position position, std::vector<evacuation_record> ordered,
                          std::vector<std::pair<data_centre_id, std::uint64_t>> lifted = {}) {
  return {false, position, std::move(ordered), std::move(lifted)};
}

std::set<std::string> Evacuated(const evacuation_table& table) {
  std::set<std::string> names;
  for (const evacuation_record& record : EvacuationRecords(table))
    names.insert(record.data_centre.value);
  return names;
}

// Guards against orders that are missed, and against lifted ones that stay in force, for each way in which changes
// arrive: lists and watches, one or several at a time, repeated, in the wrong order, and of a restored store.
TEST_CASE("the evacuated data centres follow the latest position of the store") {
  struct row {
    std::string what;
    std::vector<evacuation_changes> changes;
    std::set<std::string> evacuated;
  };
  const auto r = GENERATE(values<row>({
      {"nothing", {Complete({0, 5}, {})}, {}},
      {"a list with an order", {Complete({0, 5}, {{kA, 3}})}, {"a"}},
      {"a watch with an order", {Complete({0, 5}, {}), Events({0, 7}, {{kA, 7}})}, {"a"}},
      {"a watch with a removal", {Complete({0, 5}, {{kA, 3}}), Events({0, 7}, {}, {{kA, 7}})}, {}},
      {"an order and its removal in one list later", {Complete({0, 5}, {{kA, 3}}), Complete({0, 9}, {})}, {}},
      {"order, removal, order",
       {Events({0, 5}, {{kA, 5}}), Events({0, 6}, {}, {{kA, 6}}), Events({0, 7}, {{kA, 7}})},
       {"a"}},
      {"a removal older than the order", {Complete({0, 9}, {{kA, 8}}), Events({0, 9}, {}, {{kA, 7}})}, {"a"}},
      {"an older list", {Complete({0, 9}, {{kA, 8}}), Complete({0, 7}, {})}, {"a"}},
      {"an older order", {Complete({0, 9}, {}), Events({0, 7}, {{kA, 7}})}, {}},
      {"the same changes twice", {Events({0, 5}, {{kA, 5}}), Events({0, 5}, {{kA, 5}})}, {"a"}},
      {"two data centres, one lifted", {Events({0, 5}, {{kA, 4}, {kB, 5}}), Events({0, 6}, {}, {{kA, 6}})}, {"b"}},
      {"a restored store without the order", {Complete({1, 9}, {{kA, 8}}), Complete({2, 4}, {})}, {"a"}},
      {"a restored store that lifts the order",
       {Complete({1, 9}, {{kA, 8}}), Complete({2, 4}, {}), Events({2, 5}, {}, {{kA, 5}})},
       {}},
      {"a restored store with an order that had been lifted",
       {Complete({1, 9}, {}), Complete({2, 4}, {{kA, 3}})},
       {"a"}},
      {"events of a restored store before its list",
       {Complete({1, 9}, {{kA, 8}}), Events({2, 4}, {}, {{kA, 4}})},
       {"a"}},
  }));
  INFO(r.what);
  evacuation_table table;
  for (const evacuation_changes& changes : r.changes)
    ApplyEvacuations(table, changes, kNow);
  CHECK(Evacuated(table) == r.evacuated);
}

// Guards against an evacuation that ends by a restoration of the store alone, and against one that never ends because
// the restored store does not hold its order.
TEST_CASE("an order that a restored store lacks ends unless it is written again in time") {
  const bool rewritten = GENERATE(true, false);
  evacuation_table table;
  ApplyEvacuations(table, Complete({1, 9}, {{kA, 8}}), kNow);
  ApplyEvacuations(table, Complete({2, 4}, {}), kNow);
  CHECK(ExpireMissingOrders(table, kNow + seconds(2)).empty());
  if (rewritten) ApplyEvacuations(table, Events({2, 5}, {{kA, 5}}), kNow + seconds(2));
  CHECK(ExpireMissingOrders(table, kNow + seconds(3)).size() == (rewritten ? 0 : 1));
  CHECK(IsEvacuated(table, kA) == rewritten);
}

/// Returns the number of instances that hold an order for data centre a.
std::size_t CountEvacuating(const store_world& world) {
  std::size_t evacuating = 0;
  for (std::size_t i = 0; i < world.count; ++i) {
    if (!world.stopped.contains(i) && IsEvacuated(world.instances[i]->tables.servers.evacuations, kA)) ++evacuating;
  }
  return evacuating;
}

// Guards against instances that send requests to an evacuated data centre more than five seconds after the order, or
// stay away from it after the order was lifted: instances 0 and 1 read the store and the others follow them.
TEST_CASE("all instances obey an order and its removal in time") {
  struct row {
    std::string what;
    void (*disturb)(store_world&);
    void (*after_order)(store_world&);
    base::duration bound;
  };
  const auto nothing = [](store_world&) {};
  const auto r = GENERATE_COPY(values<row>({
      {"in calm", nothing, nothing, seconds(2)},
      {"the reader is stopped before the order", [](store_world& w) { w.stopped = {0}; }, nothing, seconds(5)},
      {"both readers are cut off",
       [](store_world& w) {
         w.cut = {0, 1};
       },
       nothing, seconds(5)},
      {"the reader is cut off silently",
       [](store_world& w) {
         w.cut = {0};
         w.silent = true;
       },
       nothing, seconds(5)},
      {"a follower restarts after the order", nothing, [](store_world& w) { w.Restart(3); }, seconds(5)},
      {"the reader restarts after the order", nothing, [](store_world& w) { w.Restart(0); }, seconds(5)},
      {"the store was restored just before", [](store_world& w) { w.Restore(w.store); }, nothing, seconds(5)},
  }));
  INFO(r.what);
  store_world world;
  r.disturb(world);
  world.Run(milliseconds(300));
  world.store.Evacuate("a");
  world.Run(milliseconds(20));
  r.after_order(world);
  const std::size_t running = world.count - world.stopped.size();
  world.Run(r.bound);
  const std::size_t reached = world.cut.empty() ? running : world.count - world.cut.size();
  CHECK(CountEvacuating(world) >= reached);
  world.store.EndEvacuation("a");
  world.Run(r.bound);
  CHECK(CountEvacuating(world) == 0);
}

// Guards against an order that is given, or lifted, while no instance reaches the store and that is missed afterwards.
TEST_CASE("an order that was given or lifted during an outage is obeyed after it") {
  const bool lifted = GENERATE(false, true);
  store_world world;
  if (lifted) world.store.Evacuate("a");
  world.Run(seconds(2));
  REQUIRE(CountEvacuating(world) == (lifted ? world.count : 0));
  world.CutAll();
  world.Run(seconds(2));
  if (lifted) {
    world.store.EndEvacuation("a");
  } else {
    world.store.Evacuate("a");
  }
  world.Run(seconds(4));
  CHECK(CountEvacuating(world) == (lifted ? world.count : 0));
  world.cut.clear();
  world.Run(seconds(3));
  CHECK(CountEvacuating(world) == (lifted ? 0 : world.count));
}

// Guards against an order that is lost when a follower whose reader did not pass it on begins to read with a watch,
// which shows only later orders.
TEST_CASE("an instance that lacks orders lists the store before it watches") {
  store_world world;
  world.store.Evacuate("a");
  world.Run(seconds(2));
  forwarding_fixture& follower = *world.instances[3];
  follower.tables.servers.evacuations = {};
  world.stopped = {0, 1, 2};
  world.Run(seconds(4));
  CHECK(IsEvacuated(follower.tables.servers.evacuations, kA));
}

// Guards against more calls to the store than before where no data centre is ever evacuated.
TEST_CASE("evacuations cost no reads where there are none") {
  store_world world;
  world.store.Write(store_world::Server(1, false, 2));
  world.Run(seconds(5));
  const std::size_t lists_before = world.reads - world.full_reads;
  world.stopped = {0};
  world.Run(seconds(5));
  world.stopped = {};
  world.Run(seconds(5));
  CHECK(world.reads - world.full_reads == lists_before);
}

/// An instance in data centre a with a plain or sharded route and a server of each service in data centres a, b and c.
struct evacuation_fixture : forwarding_fixture {
  explicit evacuation_fixture(std::size_t shards = 0) {
    SetRoute(MakeRoute(repeat_policy::kIdempotent, shards));
    for (const char* data_centre : {"a", "b", "c"}) {
      std::vector<server_record> records;
      if (shards == 0) records.push_back(MakeServer(std::string("single-") + data_centre, "single", data_centre));
      for (std::size_t i = 0; i < shards; ++i) {
        const std::string service = "shard" + std::to_string(i);
        records.push_back(MakeServer(service + "-" + data_centre, service, data_centre));
      }
      AddServers(std::move(records));
    }
  }
  void Evacuate(const std::vector<std::string>& data_centres) {
    std::vector<evacuation_record> ordered;
    for (const std::string& each : data_centres)
      ordered.push_back({data_centre_id(each), ++revision});
    ApplyEvacuations(tables.servers.evacuations, Complete({0, revision}, ordered), now);
  }
  std::string DataCentreOf(const io::start_call& call) const {
    return tables.servers.servers.at(call.server).record.data_centre.value;
  }
};

// Guards against requests to an evacuated data centre on any path: first calls, retries, hedges, and parts that waited
// for a free slot when the order came.
TEST_CASE("no call goes to an evacuated data centre after the order") {
  evacuation_fixture fixture;
  // The servers have two slots each, so that the last of these requests wait.
  for (int i = 0; i < 40; ++i)
    fixture.Send();
  const std::vector<io::start_call> before = fixture.TakeCalls();
  REQUIRE(before.size() < 40);
  fixture.Evacuate({"a"});
  for (const io::start_call& call : before)
    fixture.End(call, fixture.DataCentreOf(call) == "a"
                          ? forwarding_fixture::Failed(base::error_kind::kBackendShed, base::executed_state::kNo)
                          : forwarding_fixture::Served());
  for (int i = 0; i < 10; ++i)
    fixture.Send();
  std::size_t after = 0;
  for (int round = 0; round < 20; ++round) {
    // Long enough for hedges.
    fixture.Run(milliseconds(120));
    for (const io::start_call& call : fixture.TakeCalls()) {
      ++after;
      CHECK(fixture.DataCentreOf(call) != "a");
      fixture.End(call, forwarding_fixture::Served());
    }
  }
  CHECK(after >= 10);
}

// Guards against work that an evacuation cuts.
TEST_CASE("a call that runs in an evacuated data centre goes on and its answer is used") {
  evacuation_fixture fixture;
  fixture.Send();
  const std::vector<io::start_call> calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 1);
  REQUIRE(fixture.DataCentreOf(calls[0]) == "a");
  fixture.Evacuate({"a"});
  fixture.Run(milliseconds(5));
  CHECK(fixture.Take<io::cancel_call>().empty());
  fixture.End(calls[0], forwarding_fixture::Served("answer"));
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == 200);
}

// Guards against callers that wait until their deadline for servers that they are not to get, and against an answer
// that does not tell why.
TEST_CASE("a request whose last servers are evacuated is refused at once") {
  struct row {
    std::size_t shards;
    std::vector<std::string> evacuated;
    bool refused;
  };
  const auto r = GENERATE(values<row>({
      {0, {"a", "b"}, false},
      {0, {"a", "b", "c"}, true},
      {4, {"b"}, false},
      {4, {"a", "b", "c"}, true},
  }));
  evacuation_fixture fixture(r.shards);
  fixture.Evacuate(r.evacuated);
  fixture.Send();
  CHECK(fixture.TakeCalls().empty() == r.refused);
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.empty() != r.refused);
  if (!r.refused) return;
  CHECK(replies[0].answer.status == 503);
  CHECK(replies[0].answer.executed == base::executed_state::kNo);
  CHECK(replies[0].answer.retry_after.has_value());
  CHECK(replies[0].answer.failure->detail.find("evacuated data centres: a,b,c") != std::string::npos);
}

// Guards against an order that does not hold for servers that come later, or that holds for a server that has left the
// data centre.
TEST_CASE("an order holds for the present data centre of a server") {
  evacuation_fixture fixture;
  fixture.Evacuate({"a"});
  const auto accepts = [&fixture](const std::string& id) {
    const server_table& table = fixture.tables.servers;
    return AcceptsRequests(table, table.servers.at(base::backend_server_id(id)), fixture.now);
  };
  CHECK_FALSE(accepts("single-a"));
  CHECK(accepts("single-b"));
  fixture.AddServers({forwarding_fixture::MakeServer("late", "single", "a")});
  CHECK_FALSE(accepts("late"));
  server_record moved = forwarding_fixture::MakeServer("single-a", "single", "b");
  moved.incarnation = 2;
  fixture.AddServers({moved});
  CHECK(accepts("single-a"));
  moved = forwarding_fixture::MakeServer("single-b", "single", "a");
  moved.incarnation = 2;
  fixture.AddServers({moved});
  CHECK_FALSE(accepts("single-b"));
  fixture.Evacuate({});
  CHECK(accepts("single-b"));
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
