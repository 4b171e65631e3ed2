#include "core/forwarding/server_capacity.h"

#include <map>
#include <vector>

#include <catch2/catch.hpp>

#include "capacity_model.h"

namespace limpetrouter::core::forwarding {
namespace {

struct model_case {
  const char* name;
  /// Share of the slots from which calls slow each other down.
  double knee_share;
  double steepness;
  /// Number of servers that have the knee; the others have none.
  std::size_t with_knee;
  /// Load relative to what the servers can serve.
  double utilization;
};

constexpr std::uint32_t kSlots = 4;
constexpr double kWorkMs = 20;

/// Six servers in three data centres, two of each speed.
std::vector<model_server> MakeServers(const model_case& made) {
  std::vector<model_server> servers;
  for (const double speed : {0.8, 1.0, 1.3, 1.3, 0.8, 1.0}) {
    const double knee = servers.size() < made.with_knee ? made.knee_share * kSlots : kSlots;
    servers.push_back({speed, knee, made.steepness, kSlots, servers.size() % 3, {}});
  }
  return servers;
}

/// Returns the number of requests per second that the servers can serve.
double ServableRate(const std::vector<model_server>& servers) {
  // Mean work of the model relative to its median: log-normal spread of 0.35, and 2.5 times on 0.15 of the calls.
  constexpr double kMeanWork = 1.063 * 1.225;
  double rate = 0;
  for (const model_server& each : servers)
    rate += std::min<double>(each.knee, each.slots) / (each.speed * kWorkMs / 1'000 * kMeanWork);
  return rate;
}

struct phase_counts {
  std::uint64_t before = 0;
  std::uint64_t after = 0;
};

/// Runs the model, and counts the timely answers before a change of the speeds and from 3 s after it.
phase_counts RunChange(const model_case& each, std::uint64_t seed, capacity_model::knowledge known) {
  const std::vector<model_server> servers = MakeServers(each);
  capacity_model model(servers, seed, known);
  model.SetLoads({{each.utilization * ServableRate(servers), kWorkMs, "main"}});
  model.Run(seconds(5));
  model.ResetCounts();
  model.Run(seconds(5));
  phase_counts counts;
  counts.before = model.Timely();
  for (std::size_t i = 0; i < servers.size(); ++i)
    model.ServerAt(i).speed = servers[(i + 2) % servers.size()].speed;
  model.Run(seconds(3));
  model.ResetCounts();
  model.Run(seconds(5));
  counts.after = model.Timely();
  return counts;
}

// Guards against choices that lose requests because speeds or knees are not known: fixed slots send calls to servers
// beyond their knees, and one measure of slowness mixes speed with queueing.
TEST_CASE("timely answers are within 0.9 of those of an oracle, also 3 s after a change of speed") {
  const model_case each = GENERATE(model_case{"no knee", 1, 1, 0, 0.7}, model_case{"no knee, high load", 1, 1, 0, 0.85},
                                   model_case{"knee", 0.5, 1, 6, 0.5}, model_case{"knee", 0.5, 1, 6, 0.7},
                                   model_case{"knee", 0.5, 1, 6, 0.85}, model_case{"three knees", 0.5, 1, 3, 0.7},
                                   model_case{"three knees", 0.5, 1, 3, 0.85}, model_case{"steep knee", 0.5, 2, 6, 0.5},
                                   model_case{"three steep knees", 0.5, 2, 3, 0.7});
  std::map<capacity_model::knowledge, phase_counts> counts;
  using enum capacity_model::knowledge;
  for (const auto known : {kLearned, kTrueServers, kEverything}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const phase_counts run = RunChange(each, seed, known);
      counts[known].before += run.before;
      counts[known].after += run.after;
    }
  }
  const auto share = [](std::uint64_t part, std::uint64_t whole) {
    return static_cast<double>(part) / static_cast<double>(whole);
  };
  const double before = share(counts[kLearned].before, counts[kTrueServers].before);
  const double after = share(counts[kLearned].after, counts[kTrueServers].after);
  CAPTURE(each.name, each.utilization, before, after);
  CAPTURE(counts[kLearned].before, counts[kTrueServers].before, counts[kEverything].before);
  CAPTURE(counts[kLearned].after, counts[kTrueServers].after, counts[kEverything].after);
  CHECK(before >= 0.9);
  CHECK(after >= 0.9);
}

constexpr model_case kNoKnee{"no knee", 1, 1, 0, 0.7};
constexpr model_case kKnee{"knee", 0.5, 1, 6, 0.7};

/// A running model with the load of the case.
capacity_model MakeModel(const model_case& each, std::uint64_t seed = 1) {
  const std::vector<model_server> servers = MakeServers(each);
  capacity_model model(servers, seed, capacity_model::knowledge::kLearned);
  model.SetLoads({{each.utilization * ServableRate(servers), kWorkMs, "main"}});
  return model;
}

// Guards against a server that gets no calls because it is slower than the others or was slow once.
TEST_CASE("each usable server gets calls") {
  const model_case each = GENERATE(as<model_case>{}, kNoKnee, kKnee, model_case{"light load", 1, 1, 0, 0.05});
  capacity_model model = MakeModel(each);
  model.Run(seconds(5));
  for (int i = 0; i < 3; ++i) {
    model.ResetCounts();
    model.Run(seconds(5));
    for (std::size_t server = 0; server < 6; ++server) {
      CAPTURE(each.name, i, server);
      CHECK(model.CallsOf(server) > 0);
    }
  }
}

// Guards against a new server that is left out, or that is flooded because it counts as idle and fast.
TEST_CASE("a new server gets its share within three seconds") {
  capacity_model model = MakeModel(GENERATE(as<model_case>{}, kNoKnee, kKnee));
  model.Run(seconds(5));
  model.AddServer({1, 4, 1, kSlots, 0, {}});
  model.ResetCounts();
  model.Run(seconds(3));
  std::uint64_t calls = 0;
  for (std::size_t server = 0; server < 7; ++server)
    calls += model.CallsOf(server);
  CAPTURE(calls, model.CallsOf(6));
  CHECK(static_cast<double>(model.CallsOf(6)) > 0.5 * static_cast<double>(calls) / 7);
  CHECK(static_cast<double>(model.CallsOf(6)) < 2.5 * static_cast<double>(calls) / 7);
}

// Guards against estimates that take the longer work of another route for a knee or for a slow server.
TEST_CASE("calls of a route with other work times do not shrink the capacity") {
  capacity_model model = MakeModel(kNoKnee);
  const double rate = ServableRate(MakeServers(kNoKnee));
  model.SetLoads({{0.35 * rate, kWorkMs, "main"}, {0.35 * rate / 8, 8 * kWorkMs, "heavy"}});
  model.Run(seconds(12));
  for (std::size_t instance = 0; instance < capacity_model::kInstances; ++instance) {
    for (std::size_t server = 0; server < 6; ++server) {
      CAPTURE(instance, server);
      CHECK(CapacityOf(model.View(instance, server), model.Now()) > 0.75 * kSlots);
      CHECK(SpeedOf(model.View(instance, server), model.Now()) < 2.6);
    }
  }
}

// Guards against pauses that are taken for a knee. A server pauses for 200 ms every 4.5 s.
TEST_CASE("a pause does not shrink the capacity of a server without a knee") {
  capacity_model model = MakeModel(kNoKnee);
  model.Run(seconds(3));
  for (int i = 0; i < 3; ++i) {
    for (std::size_t server = 0; server < 6; ++server)
      model.ServerAt(server).paused_until = model.Now() + milliseconds(200);
    model.Run(milliseconds(4'500));
    for (std::size_t server = 0; server < 6; ++server) {
      CAPTURE(i, server, SpeedOf(model.View(server % 3, server), model.Now()));
      CHECK(CapacityOf(model.View(server % 3, server), model.Now()) > 0.75 * kSlots);
    }
  }
}

// Guards against estimates that swing: calls move between servers, and the estimates follow them. The estimate is that
// of the instances in the data centre of the server, which send it nearly all of its calls.
TEST_CASE("the capacity does not swing under steady load") {
  const model_case each = GENERATE(as<model_case>{}, kNoKnee, kKnee);
  const std::uint64_t seed = GENERATE(1, 2, 3);
  capacity_model model = MakeModel(each, seed);
  model.Run(seconds(15));
  std::vector<double> lowest(6, kSlots);
  std::vector<double> highest(6, 0);
  for (int i = 0; i < 100; ++i) {
    model.Run(milliseconds(100));
    for (std::size_t server = 0; server < 6; ++server) {
      const double capacity = (CapacityOf(model.View(server % 3, server), model.Now()) +
                               CapacityOf(model.View(server % 3 + 3, server), model.Now())) /
                              2;
      lowest[server] = std::min(lowest[server], capacity);
      highest[server] = std::max(highest[server], capacity);
    }
  }
  for (std::size_t server = 0; server < 6; ++server) {
    CAPTURE(each.name, server, lowest[server], highest[server]);
    CHECK(highest[server] - lowest[server] < 0.2 * (lowest[server] + highest[server]) / 2);
  }
}

// Guards against what was learned of a former process, or is learned from its late answers.
TEST_CASE("the estimate restarts with a new incarnation") {
  server each;
  each.learns_capacity = true;
  each.record.slots = kSlots;
  each.record.incarnation = 1;
  base::time_point now{seconds(1'000)};
  for (int i = 0; i < 400; ++i) {
    now += milliseconds(20);
    const std::uint32_t work = 1 + i % 4;
    each.other_work = work - 1;
    each.load_at = now;
    const call_id id(i);
    NoteCallStart(each, {id, now, milliseconds(20)});
    const server_load load{work, 0, kSlots, 1};
    NoteCallEnd(each, id, call_verdict::kServed, milliseconds(20 * std::max<std::uint32_t>(work, 2)), load, now);
  }
  REQUIRE(CapacityOf(each, now) < 0.75 * kSlots);
  NoteCallStart(each, {call_id(1'000), now, milliseconds(20)});
  std::vector<running_call> running = each.running;
  each = server{};
  each.learns_capacity = true;
  each.record.slots = kSlots;
  each.record.incarnation = 2;
  each.running = running;
  CHECK(CapacityOf(each, now) == kSlots);
  NoteCallEnd(each, call_id(1'000), call_verdict::kServed, milliseconds(200), {}, now);
  CHECK(SpeedOf(each, now) == 1);
}

// Guards against a work limit that differs from the slots without a knee, or that lets calls pile up beyond a knee.
TEST_CASE("the work limit follows the capacity") {
  server each;
  each.record.slots = kSlots;
  const base::time_point now{seconds(1'000)};
  each.concurrency.updated = now;
  CHECK(WorkLimitOf(each, 2, now) == Approx(2 * kSlots));
  CHECK(WorkLimitOf(each, 0.5, now) == Approx(0.5 * kSlots));
  each.concurrency.share = 0.5;
  CHECK(WorkLimitOf(each, 2, now) == Approx(0.625 * kSlots));
  CHECK(WorkLimitOf(each, 0.5, now) == Approx(0.25 * kSlots));
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
