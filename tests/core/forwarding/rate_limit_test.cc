#include "core/forwarding/rate_limit.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include <catch2/catch.hpp>

#include "core/forwarding/directory.h"
#include "core/forwarding/retry_budget.h"
#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

/// The platform's rule: from `kSettleTime` after a server has first stated its limit, it must not get more than
/// `kTolerance` times what the limit allows, plus `kExtraRequests`, within any `kRuleWindow`.
constexpr base::duration kSettleTime = seconds(4);
constexpr base::duration kRuleWindow = seconds(4);
constexpr double kTolerance = 1.5;
constexpr double kExtraRequests = 5;
/// The rule counts calls of instances that had passed on an answer with the limit this long before.
constexpr base::duration kNoticeTime = milliseconds(500);

/// Simulates instances that know each other, and servers that state limits. Callers send requests to random instances.
struct limit_world {
  struct pending_call {
    std::size_t instance;
    std::uint64_t incarnation;
    io::start_call call;
    base::time_point ends;
  };
  struct arrival {
    base::time_point at;
    /// True if the calling instance had known the limit for `kNoticeTime`.
    bool informed;
  };
  struct server_state {
    std::optional<double> limit;
    base::time_point limited_since{};
    std::vector<arrival> arrivals;
    /// When each instance first got an answer with the limit.
    std::map<std::size_t, base::time_point> informed;
  };

  std::vector<std::unique_ptr<forwarding_fixture>> instances;
  std::vector<std::uint64_t> incarnations;
  std::map<std::string, server_state> servers;
  std::deque<pending_call> pending;
  route shared_route;
  std::vector<server_record> records;
  base::random_source random{11};
  base::time_point now{seconds(1'000)};
  /// Requests per second to all instances together.
  double rate = 0;
  double due_requests = 0;
  base::duration service_time = milliseconds(20);
  std::map<int, std::size_t> statuses;
  std::vector<base::duration> refusal_times;
  std::vector<base::duration> retry_afters;
  std::map<std::string, base::time_point> sent;
  std::size_t next_request = 0;

  limit_world(std::size_t count, route to, std::vector<server_record> all)
      : shared_route(std::move(to)), records(std::move(all)) {
    incarnations.resize(count);
    for (const server_record& record : records)
      servers[record.id.value];
    for (std::size_t i = 0; i < count; ++i)
      instances.push_back(MakeInstance(i));
  }

  static base::instance_id Id(std::size_t i) { return base::instance_id("10.0.0." + std::to_string(i)); }

  std::unique_ptr<forwarding_fixture> MakeInstance(std::size_t i) const {
    auto created = std::make_unique<forwarding_fixture>();
    created->now = now;
    created->random.state = base::MixHash(i, incarnations[i]);
    created->members.self.ref.id = Id(i);
    created->members.self.capacity = 250;
    for (std::size_t j = 0; j < incarnations.size(); ++j) {
      if (j == i) continue;
      membership::member& entry = created->members.members[Id(j)];
      entry.info.member = {Id(j), base::incarnation_id(1)};
      entry.info.http_address = Id(j).value + ":80";
      entry.info.state = peer::member_state::kAlive;
      entry.info.capacity = 250;
    }
    created->SetRoute(shared_route);
    created->AddServers(records);
    return created;
  }

  void Restart(std::size_t i) {
    ++incarnations[i];
    instances[i] = MakeInstance(i);
  }

  void Limit(const std::string& id, std::optional<double> per_second) {
    server_state& each = servers.at(id);
    if (!each.limit.has_value()) each.limited_since = now;
    each.limit = per_second;
  }

  void Run(base::duration time) {
    const base::time_point end = now + time;
    while (now < end) {
      now += milliseconds(5);
      for (const auto& each : instances) {
        each->now = now;
        instance::context ctx = each->Context();
        RunForwarding(each->tables, ctx);
      }
      EndCalls();
      constexpr double kTickSeconds = 0.005;
      for (due_requests += rate * kTickSeconds; due_requests >= 1; --due_requests)
        SendRequest(base::NextBelow(random, instances.size()));
      for (std::size_t i = 0; i < instances.size(); ++i)
        Collect(i);
    }
  }

  void SendRequest(std::size_t i) {
    const std::string attempt = std::to_string(++next_request);
    instances[i]->next_handle = next_request;
    sent["attempt" + attempt] = now;
    instances[i]->Send();
  }

  void Collect(std::size_t i) {
    for (io::start_call& call : instances[i]->TakeCalls()) {
      server_state& target = servers.at(call.server.value);
      const auto told = target.informed.find(i);
      target.arrivals.push_back({now, told != target.informed.end() && now - told->second >= kNoticeTime});
      const auto spread = static_cast<std::uint64_t>(service_time.count());
      const base::duration time = service_time / 2 + base::duration(base::NextBelow(random, spread));
      pending.push_back({i, incarnations[i], std::move(call), now + time});
    }
    for (const io::reply_forwarded& reply : instances[i]->TakeReplies()) {
      ++statuses[reply.answer.status];
      if (reply.answer.status != 503) continue;
      refusal_times.push_back(now - sent.at(reply.request->attempt));
      if (reply.answer.retry_after.has_value()) retry_afters.push_back(*reply.answer.retry_after);
    }
    instances[i]->out.clear();
  }

  void EndCalls() {
    std::vector<pending_call> ended;
    std::erase_if(pending, [this, &ended](pending_call& each) {
      if (now < each.ends) return false;
      ended.push_back(std::move(each));
      return true;
    });
    for (const pending_call& each : ended) {
      if (each.incarnation != incarnations[each.instance]) continue;
      call_result result = forwarding_fixture::Served("0123");
      server_state& target = servers.at(each.call.server.value);
      result.rate_limit = rate_limit_statement{};
      if (target.limit.has_value()) {
        result.rate_limit->limit = request_rate{*target.limit};
        target.informed.emplace(each.instance, now);
      }
      instances[each.instance]->End(each.call, std::move(result));
    }
  }

  /// Returns the largest number of requests that the server got within one window of the rule since `from`, or since
  /// its limit has settled if that is later. `informed_only` leaves out calls that the rule does not count.
  std::size_t MostArrivals(const std::string& id, base::time_point from = {}, bool informed_only = false) const {
    const server_state& each = servers.at(id);
    const base::time_point begin = std::max(from, each.limited_since + kSettleTime);
    std::size_t most = 0;
    std::deque<base::time_point> window;
    for (const auto& [at, informed] : each.arrivals) {
      if (at < begin || (informed_only && !informed)) continue;
      window.push_back(at);
      while (at - window.front() > kRuleWindow)
        window.pop_front();
      most = std::max(most, window.size());
    }
    return most;
  }
};

double Allowed(double per_second) {
  return kTolerance * per_second * std::chrono::duration<double>(kRuleWindow).count() + kExtraRequests;
}

std::vector<server_record> Servers(const std::string& service, std::size_t count, std::uint32_t slots) {
  std::vector<server_record> all;
  for (std::size_t i = 0; i < count; ++i) {
    server_record record = forwarding_fixture::MakeServer(service + "-" + std::to_string(i), service, "a");
    record.slots = slots;
    all.push_back(record);
  }
  return all;
}

// Guards against a backend server that states a limit for all instances together and gets more requests than that,
// because each instance ignores the limit or applies all of it to itself.
TEST_CASE("all instances together keep to the rate limit that a server states") {
  struct row {
    std::size_t instances;
    std::size_t servers;
    std::size_t limited;
    double rate;
    double limit;
    /// True if instances learn of the limit so late that their first calls, which the rule does not count, matter.
    bool learn_late = false;
  };
  // Usual traffic, limits on all servers, a limit below one request a second for each instance, and large fleets.
  const auto r = GENERATE(values<row>({{9, 3, 2, 180, 31.8},
                                       {9, 3, 3, 180, 31.8},
                                       {9, 19, 13, 45, 1.25},
                                       {64, 3, 2, 140, 20},
                                       {64, 3, 3, 140, 5},
                                       {100, 3, 3, 140, 2, true},
                                       {40, 19, 19, 100, 1, true}}));
  INFO(r.instances << " instances, " << r.limited << " of " << r.servers << " servers limited to " << r.limit);
  limit_world world(r.instances, forwarding_fixture::MakeRoute(repeat_policy::kIdempotent),
                    Servers("single", r.servers, 3));
  world.rate = r.rate;
  world.Run(seconds(2));
  for (std::size_t i = 0; i < r.limited; ++i)
    world.Limit("single-" + std::to_string(i), r.limit);
  world.Run(seconds(16));
  for (std::size_t i = 0; i < r.limited; ++i)
    CHECK(static_cast<double>(world.MostArrivals("single-" + std::to_string(i), {}, r.learn_late)) <= Allowed(r.limit));
}

// Guards against a server that gets too many requests because its limit changes, traffic jumps or instances restart
// while the limit is in force, and against a server that stays unused after its limit has ended.
TEST_CASE("a rate limit holds through changes, restarts and a burst, and its end is noticed") {
  enum class event { kFalls, kRises, kRestarts, kBurst, kStartsInBurst };
  const auto what = GENERATE(event::kFalls, event::kRises, event::kRestarts, event::kBurst, event::kStartsInBurst);
  const std::size_t count = GENERATE(as<std::size_t>{}, 9, 40);
  INFO("event " << static_cast<int>(what) << ", " << count << " instances");
  limit_world world(count, forwarding_fixture::MakeRoute(repeat_policy::kIdempotent), Servers("single", 3, 3));
  const std::string server = "single-0";
  constexpr double kUsualRate = 150;
  constexpr double kBurstRate = 600;
  double limit = 20;
  world.rate = what == event::kBurst || what == event::kStartsInBurst ? 15 : kUsualRate;
  world.Run(seconds(2));
  if (what == event::kStartsInBurst) world.rate = kBurstRate;
  world.Limit(server, limit);
  world.Run(seconds(8));
  const base::time_point changed = world.now;
  if (what == event::kFalls) world.Limit(server, limit = 6);
  if (what == event::kRises) world.Limit(server, limit = 32);
  if (what == event::kBurst) world.rate = kBurstRate;
  for (std::size_t i = 0; i < 6; ++i) {
    if (what == event::kRestarts) world.Restart(i);
    world.Run(seconds(1));
  }
  world.Run(seconds(6));
  const base::time_point from = what == event::kFalls ? changed + kSettleTime : base::time_point{};
  CHECK(static_cast<double>(world.MostArrivals(server, from)) <= Allowed(limit));
  world.Limit(server, {});
  world.rate = kUsualRate;
  world.Run(seconds(12));
  const base::time_point ended = world.now - seconds(4);
  const auto& arrivals = world.servers.at(server).arrivals;
  const auto recent =
      std::count_if(arrivals.begin(), arrivals.end(), [ended](const auto& each) { return each.at > ended; });
  CHECK(static_cast<double>(recent) > 0.7 * kUsualRate / 3 * 4);
}

// Guards against requests that wait until their deadline although every server that could take them has used up its
// limit, and against limits that are not used because parts of refused requests have been sent.
TEST_CASE("a request beyond the limits of all servers is refused at once, and the limits are used") {
  const bool sharded = GENERATE(false, true);
  const std::size_t services = sharded ? 4 : 1;
  std::vector<server_record> servers;
  for (std::size_t i = 0; i < services; ++i) {
    for (server_record& each : Servers(sharded ? "shard" + std::to_string(i) : "single", 3, 3))
      servers.push_back(std::move(each));
  }
  limit_world world(9, forwarding_fixture::MakeRoute(repeat_policy::kIdempotent, sharded ? services : 0), servers);
  constexpr double kRate = 150;
  constexpr double kLimit = 20;
  world.rate = kRate;
  world.Run(seconds(2));
  // With half of the shards limited, an answer without them does not reach the minimum coverage.
  for (const server_record& each : servers) {
    if (!sharded || each.service.value < "shard2") world.Limit(each.id.value, kLimit);
  }
  world.Run(seconds(3));
  world.statuses.clear();
  world.refusal_times.clear();
  world.retry_afters.clear();
  constexpr int kSeconds = 10;
  world.Run(seconds(kSeconds));
  CHECK(world.statuses.size() == 2);
  CHECK(static_cast<double>(world.statuses[200]) >= 0.85 * 3 * kLimit * kSeconds);
  CHECK(world.statuses[503] == world.refusal_times.size());
  CHECK(*std::max_element(world.refusal_times.begin(), world.refusal_times.end()) <= milliseconds(5));
  REQUIRE(world.retry_afters.size() == world.refusal_times.size());
  CHECK(*std::max_element(world.retry_afters.begin(), world.retry_afters.end()) <= seconds(1));
  CHECK(*std::min_element(world.retry_afters.begin(), world.retry_afters.end()) > milliseconds(0));
}

// Guards against callers that are all refused although their servers still accept a part of the load: the instances
// are so many that the share of each is less than one call a second, and a sharded request needs the share of most
// shards at the same time.
TEST_CASE("low rate limits on all servers of all shards are used, also by many instances") {
  struct row {
    std::size_t instances;
    std::size_t shards;
    std::size_t servers;
    double limit;
  };
  const auto r =
      GENERATE(values<row>({{18, 12, 3, 10}, {18, 12, 3, 4}, {60, 8, 3, 20}, {60, 8, 3, 5}, {60, 0, 11, 3}}));
  INFO(r.instances << " instances, " << r.shards << " shards, servers limited to " << r.limit);
  std::vector<server_record> servers;
  for (std::size_t i = 0; i < std::max<std::size_t>(r.shards, 1); ++i) {
    for (server_record& each : Servers(r.shards > 0 ? "shard" + std::to_string(i) : "single", r.servers, 3))
      servers.push_back(std::move(each));
  }
  limit_world world(r.instances, forwarding_fixture::MakeRoute(repeat_policy::kIdempotent, r.shards), servers);
  const double allowed = r.limit * static_cast<double>(r.servers);
  world.rate = 6 * allowed;
  world.Run(seconds(2));
  for (const server_record& each : servers)
    world.Limit(each.id.value, r.limit);
  world.Run(seconds(4));
  world.statuses.clear();
  constexpr int kSeconds = 20;
  world.Run(seconds(kSeconds));
  CHECK(world.statuses[200] >= 0.7 * allowed * kSeconds);
  for (const server_record& each : servers)
    CHECK(static_cast<double>(world.MostArrivals(each.id.value)) <= Allowed(r.limit));
}

// Guards against a limit that an answer from before the limit raises or ends, and against a limit that never ends.
TEST_CASE("only the answer to a newer call raises or ends a rate limit") {
  struct row {
    std::optional<double> stated;
    /// Start of the call, relative to the last statement.
    base::duration started;
    std::optional<double> known;
  };
  const auto r = GENERATE(values<row>({{20.0, milliseconds(-10), 20.0},
                                       {10.0, milliseconds(-10), 10.0},
                                       {30.0, milliseconds(-10), 20.0},
                                       {30.0, milliseconds(10), 30.0},
                                       {{}, milliseconds(-10), 20.0},
                                       {{}, milliseconds(10), {}}}));
  forwarding_fixture fixture;
  instance::context ctx = fixture.Context();
  server_table table;
  table.limit_share = 0.5;
  server target;
  const base::time_point stated_at = ctx.now;
  NoteRateLimit(table, target, ctx, {request_rate{20}}, stated_at - milliseconds(30));
  ctx.now += milliseconds(50);
  rate_limit_statement statement;
  if (r.stated.has_value()) statement.limit = request_rate{*r.stated};
  NoteRateLimit(table, target, ctx, statement, stated_at + r.started);
  REQUIRE(target.limit.has_value() == r.known.has_value());
  if (r.known.has_value()) CHECK(target.limit->rate.per_second == *r.known);
}

// Guards against hedges that use up the calls that a server in need still accepts.
TEST_CASE("a hedge is never sent to a server that states a rate limit") {
  forwarding_fixture fixture;
  fixture.SetRoute(forwarding_fixture::MakeRoute(repeat_policy::kIdempotent));
  fixture.AddServers(Servers("single", 2, 3));
  instance::context ctx = fixture.Context();
  for (auto& [id, each] : fixture.tables.servers.servers)
    NoteRateLimit(fixture.tables.servers, each, ctx, {request_rate{1'000}}, fixture.now);
  fixture.now += seconds(1);
  fixture.Send();
  REQUIRE(fixture.TakeCalls().size() == 1);
  fixture.Run(milliseconds(500));
  CHECK(fixture.TakeCalls().empty());
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
