#include "core/forwarding/cold_servers.h"

#include <catch2/catch.hpp>

#include "cold_fleet.h"

namespace limpetrouter::core::forwarding {
namespace {

constexpr base::duration kColdTime = seconds(300);
/// Instances know the fleet after this time.
constexpr base::duration kStartTime = seconds(6);

struct fleet_size {
  std::size_t instances;
  /// Number of instances that callers are directed to.
  std::size_t entries;
};

// Guards against a cold server that crashes because each instance ignores its rate, applies all of it to itself, or
// makes up for calls that it did not make. Also guards against a cold server that stays unused.
TEST_CASE("all instances together keep to the rate of cold servers") {
  const auto fleet = GENERATE(values<fleet_size>({{3, 3}, {11, 6}, {58, 6}, {58, 58}, {450, 6}, {450, 450}}));
  const double per_second = GENERATE(2.0, 10.0, 50.0);
  // One server, all servers of the own data centre, and all servers.
  const std::size_t cold = GENERATE(as<std::size_t>{}, 1, 2, 4);
  constexpr std::size_t kServers = 4;
  INFO(fleet.instances << " instances, " << fleet.entries << " entries, " << cold << " cold servers, " << per_second
                       << " per second");
  cold_fleet world(fleet.instances, fleet.entries, per_second, 11);
  std::vector<server_record> servers = world.Servers(cold, kColdTime);
  for (std::size_t i = cold; i < kServers; ++i) {
    servers.push_back(world.Server(i, {}));
    if (cold > 1) servers.back().data_centre = base::data_centre_id("b");
  }
  // An instance can use its turns only if it gets requests in them.
  const double rate = std::max(6 * per_second * kServers, 4.0 * static_cast<double>(fleet.entries));
  world.Run(kStartTime);
  world.DeliverAll(servers);
  const base::time_point begin = world.now;
  world.rate = rate;
  world.Run(seconds(5));
  // A quiet time must not be made up for.
  world.rate = 0;
  world.Run(seconds(5));
  world.rate = rate;
  const base::time_point steady = world.now;
  world.Run(seconds(20));
  double used = 0;
  for (std::size_t i = 0; i < cold; ++i) {
    const std::string id = "s" + std::to_string(i);
    CHECK(static_cast<double>(world.MostArrivals(id, begin, world.now)) <= AllowedCold(per_second));
    used += world.ArrivalRate(id, steady, world.now);
  }
  // Another server of the same data centre costs less.
  if (cold > 1) CHECK(used >= 0.25 * per_second * static_cast<double>(cold));
  if (cold == kServers) CHECK(world.limited > 0);
}

// Guards against instances that take all of the rate of a cold server because they see only a part of the fleet.
TEST_CASE("the rate of a cold server holds while the views of the fleet differ") {
  enum class event { kStart, kKill, kKillOfEntries, kPartition, kPartitionOfEntries };
  const auto what =
      GENERATE(event::kStart, event::kKill, event::kKillOfEntries, event::kPartition, event::kPartitionOfEntries);
  const auto fleet = GENERATE(values<fleet_size>({{3, 3}, {11, 6}, {58, 6}, {58, 58}, {450, 6}, {450, 450}}));
  const double per_second = GENERATE(2.0, 10.0, 50.0);
  INFO("event " << static_cast<int>(what) << ", " << fleet.instances << " instances, " << fleet.entries << " entries, "
                << per_second << " per second");
  constexpr std::size_t kServers = 3;
  cold_fleet world(fleet.instances, fleet.entries, per_second, 23);
  world.Run(kStartTime);
  world.DeliverAll(world.Servers(kServers, kColdTime));
  const base::time_point begin = world.now;
  world.rate = 6 * per_second * kServers;
  world.Run(seconds(4));
  const std::size_t count = world.instances.size();
  // Views change a second after the event, as failure detection takes time.
  if (what == event::kStart) {
    for (std::size_t i = 0; i < 30; ++i) {
      world.AddInstance();
      world.instances.back()->view = 1 + i;
      world.Show(1 + i, {});
      world.Deliver(count + i, world.Servers(kServers, kColdTime));
    }
    world.largest = fleet.entries == fleet.instances ? count + 30 : fleet.entries;
    world.Run(seconds(1));
    world.ShowAll(0);
    world.Run(seconds(1));
    for (const auto& each : world.instances)
      each->view = 0;
  } else if (what == event::kKill || what == event::kKillOfEntries) {
    for (std::size_t i = 0; i < count; ++i)
      world.instances[i]->alive = what == event::kKill ? i % 10 == 0 : i >= fleet.entries || i + 1 == count;
    world.Run(seconds(1));
    world.ShowAll(0);
  } else {
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t i = 0; i < count; ++i) {
      const bool is_far = what == event::kPartition ? i % 2 == 1 : i >= count / 2;
      world.instances[i]->view = is_far ? 1 : 0;
      (is_far ? far : near).push_back(i);
    }
    world.ShowAll(1);
    world.Run(seconds(1));
    world.Show(0, near);
    world.Show(1, far);
  }
  world.Run(seconds(40));
  world.ShowAll(0);
  world.ShowAll(1);
  world.Run(seconds(5));
  for (std::size_t i = 0; i < kServers; ++i) {
    const std::string id = "s" + std::to_string(i);
    CHECK(static_cast<double>(world.MostArrivals(id, begin, world.now)) <= AllowedCold(per_second));
  }
}

// Guards against a server that keeps its usual load after it became cold, and against a jump to the usual load at the
// end of the cold time.
TEST_CASE("a server that becomes cold under load gets its cold rate, and returns to its load gradually") {
  const std::size_t count = GENERATE(as<std::size_t>{}, 3, 58);
  const double per_second = 10;
  constexpr base::duration kCold = seconds(8);
  cold_fleet world(count, std::min<std::size_t>(count, 6), per_second, 5);
  world.Run(kStartTime);
  world.DeliverAll(world.Servers(2, {}));
  world.rate = 300;
  world.Run(seconds(3));
  // The instances learn of it within half a second of each other.
  std::vector<base::time_point> learns;
  base::time_point last{};
  for (std::size_t i = 0; i < count; ++i) {
    learns.push_back(world.now + base::duration(base::NextBelow(world.random, 500'000)));
    last = std::max(last, learns.back());
  }
  std::vector<bool> told(count);
  while (world.now <= last) {
    world.Run(cold_fleet::kTick);
    for (std::size_t i = 0; i < count; ++i) {
      if (told[i] || world.now < learns[i]) continue;
      told[i] = true;
      world.Deliver(i, world.Servers(2, kCold, 2));
    }
  }
  const base::time_point known = world.now;
  const base::time_point ends = known + kCold;
  world.Run(kCold + seconds(5));
  CHECK(static_cast<double>(world.MostArrivals("s0", known, ends - milliseconds(600))) <= AllowedCold(per_second));
  CHECK(world.ArrivalRate("s0", known + seconds(1), ends - milliseconds(600)) >= 0.25 * per_second);
  // Half a second after the cold time, the rate has doubled; two seconds after it, the load is the usual one.
  CHECK(static_cast<double>(world.MostArrivals("s0", ends, ends + milliseconds(500))) <= AllowedCold(2 * per_second));
  CHECK(world.ArrivalRate("s0", ends + seconds(2), world.now) >= 100);
}

struct cold_fixture : forwarding_fixture {
  cold_fixture() {
    SetRoute(MakeRoute(repeat_policy::kIdempotent));
    tables.servers.cold_share = 1;
    tables.servers.cold_callers = 1;
  }
  void SetRule(double per_second, base::duration warmup = {}) {
    tables.servers.cold_rules[base::service_id("single")] = {per_second, warmup};
  }
  static server_record Server(base::duration left, std::uint64_t incarnation = 1, std::uint64_t sequence = 1) {
    server_record record = MakeServer("s0", "single", "a");
    record.warmup_left = left;
    record.incarnation = incarnation;
    record.sequence = sequence;
    record.slots = 100;
    return record;
  }
  const server& Target() { return tables.servers.servers.at(base::backend_server_id("s0")); }
  base::duration ColdLeft() { return std::max(ColdUntil(tables.servers, Target()) - now, base::duration{0}); }
  /// Offers a request each 5 ms and returns the number of calls.
  std::size_t CallsWithin(base::duration time) {
    std::size_t calls = 0;
    for (const base::time_point end = now + time; now < end;) {
      Run(milliseconds(5));
      Send();
      for (const io::start_call& call : TakeCalls()) {
        ++calls;
        End(call, Served("0123"));
      }
      TakeReplies();
    }
    return calls;
  }
};

// Guards against a cold time that a stale entry prolongs, that a later entry does not prolong, or that outlives an
// entry that ends it.
TEST_CASE("the cold time follows the entries, and ends by time") {
  cold_fixture fixture;
  fixture.SetRule(10, seconds(4));
  fixture.AddServers({cold_fixture::Server(seconds(3))});
  CHECK(fixture.ColdLeft() == seconds(3));
  fixture.now += seconds(1);
  SECTION("by time") {
    fixture.now += seconds(2);
    CHECK(fixture.ColdLeft() == seconds(0));
    CHECK(ColdRate(fixture.tables.servers, fixture.Target(), fixture.now + milliseconds(500)) == Approx(20));
    CHECK(ColdRate(fixture.tables.servers, fixture.Target(), fixture.now + seconds(1)) == 0);
  }
  SECTION("a later entry prolongs it") {
    fixture.AddServers({cold_fixture::Server(seconds(5), 1, 2)});
    CHECK(fixture.ColdLeft() == seconds(5));
  }
  SECTION("the same entry, read again, does not prolong it") {
    fixture.tables.servers.servers.at(base::backend_server_id("s0")).missing_since = fixture.now;
    fixture.AddServers({cold_fixture::Server(seconds(3), 1, 1)});
    CHECK(fixture.ColdLeft() == seconds(2));
  }
  SECTION("another time with the same number prolongs it") {
    fixture.AddServers({cold_fixture::Server(seconds(4), 1, 1)});
    CHECK(fixture.ColdLeft() == seconds(4));
  }
  SECTION("an older entry changes nothing") {
    fixture.AddServers({cold_fixture::Server(seconds(1), 1, 5)});
    fixture.AddServers({cold_fixture::Server(seconds(9), 1, 4)});
    CHECK(fixture.ColdLeft() == seconds(1));
  }
  SECTION("an entry that states 0 ends it") {
    fixture.AddServers({cold_fixture::Server({}, 1, 2)});
    CHECK(fixture.ColdLeft() == seconds(0));
    CHECK(ColdRate(fixture.tables.servers, fixture.Target(), fixture.now + seconds(1)) == 0);
  }
  SECTION("a restart without a stated time makes the server cold for the time of its service") {
    fixture.AddServers({cold_fixture::Server({}, 2, 1)});
    CHECK(fixture.ColdLeft() == seconds(4));
    fixture.now += seconds(1);
    fixture.AddServers({cold_fixture::Server({}, 2, 2)});
    CHECK(fixture.ColdLeft() == seconds(3));
  }
  SECTION("a restart with a stated time") {
    fixture.AddServers({cold_fixture::Server(seconds(1), 2, 1)});
    CHECK(fixture.ColdLeft() == seconds(1));
  }
}

// Guards against operators who cannot tell why a server gets few requests, and against a line for each call.
TEST_CASE("a cold server is logged when it becomes cold and when it no longer is, and is reported") {
  cold_fixture fixture;
  fixture.SetRule(10);
  const auto changes = [&fixture] {
    instance::context ctx = fixture.Context();
    UpdateColdServers(fixture.tables.servers, ctx);
    std::vector<std::string> found;
    for (const io::log_decision& line : fixture.Take<io::log_decision>()) {
      if (line.decision != "cold_server") continue;
      for (const auto& [name, value] : line.fields) {
        if (name == "change") found.push_back(value);
      }
    }
    return found;
  };
  fixture.AddServers({cold_fixture::Server(seconds(2))});
  CHECK(changes() == std::vector<std::string>{"began"});
  CHECK(CountColdServers(fixture.tables.servers, fixture.now) == 1);
  CHECK(fixture.CallsWithin(seconds(1)) > 1);
  CHECK(changes().empty());
  const nlohmann::json report = ReportServers(fixture.tables, fixture.now);
  CHECK(report.at(0).at("cold_left_ms") == 1'000);
  CHECK(report.at(0).at("cold_per_second") == 10);
  fixture.now += seconds(1);
  CHECK(changes() == std::vector<std::string>{"ended"});
  CHECK(changes().empty());
  CHECK(CountColdServers(fixture.tables.servers, fixture.now) == 0);
}

// Guards against a limit where the configuration states none, and against one that ignores a new configuration, a
// lower rate that the server states, or missing rules.
TEST_CASE("the limit of a cold server follows the configuration and the rate that the server states") {
  cold_fixture fixture;
  fixture.AddServers({cold_fixture::Server(seconds(60))});
  SECTION("no rule") { CHECK(fixture.CallsWithin(seconds(2)) >= 390); }
  SECTION("rate 0") {
    fixture.SetRule(0, seconds(5));
    CHECK(fixture.CallsWithin(seconds(2)) >= 390);
  }
  SECTION("a rate that changes") {
    fixture.SetRule(10);
    CHECK(fixture.CallsWithin(seconds(4)) == Approx(40).margin(2));
    fixture.SetRule(40);
    CHECK(fixture.CallsWithin(seconds(4)) == Approx(160).margin(4));
    fixture.SetRule(5);
    CHECK(fixture.CallsWithin(seconds(4)) == Approx(20).margin(2));
  }
  SECTION("a lower stated rate") {
    fixture.SetRule(20);
    instance::context ctx = fixture.Context();
    NoteRateLimit(fixture.tables.servers, fixture.tables.servers.servers.begin()->second, ctx, {request_rate{5}},
                  fixture.now);
    fixture.now += seconds(1);
    CHECK(fixture.CallsWithin(seconds(4)) == Approx(20).margin(2));
  }
  SECTION("a higher stated rate") {
    fixture.SetRule(5);
    instance::context ctx = fixture.Context();
    NoteRateLimit(fixture.tables.servers, fixture.tables.servers.servers.begin()->second, ctx, {request_rate{50}},
                  fixture.now);
    fixture.now += seconds(1);
    CHECK(fixture.CallsWithin(seconds(4)) == Approx(20).margin(2));
  }
}

// Guards against a cold server that gets many calls at once while its rate is not known.
TEST_CASE("a cold server whose rules are unknown gets one call at a time") {
  cold_fixture fixture;
  fixture.tables.servers.cold_rules_unknown = true;
  fixture.AddServers({cold_fixture::Server(seconds(60))});
  fixture.Send();
  fixture.Send();
  const std::vector<io::start_call> first = fixture.TakeCalls();
  REQUIRE(first.size() == 1);
  fixture.End(first[0], forwarding_fixture::Served("0123"));
  fixture.Run(milliseconds(5));
  CHECK(fixture.TakeCalls().size() == 1);
}

// Guards against callers that wait for their deadline, and against callers that are not told when there is room.
TEST_CASE("a request beyond the rates of cold servers is refused at once with the time after which there is room") {
  cold_fixture fixture;
  fixture.SetRule(4);
  fixture.AddServers({cold_fixture::Server(seconds(60))});
  fixture.Send();
  REQUIRE(fixture.TakeCalls().size() == 1);
  fixture.Run(milliseconds(100));
  fixture.Send();
  const std::vector<io::reply_forwarded> replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == 503);
  CHECK(replies[0].answer.executed == base::executed_state::kNo);
  REQUIRE(replies[0].answer.retry_after.has_value());
  CHECK(*replies[0].answer.retry_after == milliseconds(150));
}

// Guards against hedges that use up the calls of a cold server.
TEST_CASE("a hedge is never sent to a cold server") {
  cold_fixture fixture;
  fixture.SetRule(1'000);
  server_record warm = forwarding_fixture::MakeServer("warm", "single", "a");
  fixture.AddServers({cold_fixture::Server(seconds(60)), warm});
  fixture.Send();
  const std::vector<io::start_call> first = fixture.TakeCalls();
  REQUIRE(first.size() == 1);
  REQUIRE(first[0].server.value == "warm");
  fixture.Run(milliseconds(500));
  CHECK(fixture.TakeCalls().empty());
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
