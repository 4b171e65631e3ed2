#include "core/routing/concurrency_estimate.h"

#include <algorithm>
#include <cmath>

#include <catch2/catch.hpp>

#include "core/base/random.h"

namespace limpetrouter::core::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 8;

/// Calls to one server whose work is spread evenly from 1 to its slots.
struct estimate_fixture {
  concurrency_estimate estimate;
  base::random_source random{5};
  base::time_point now{seconds(1'000)};

  explicit estimate_fixture(std::uint64_t seed = 5) : random{seed} { estimate.updated = now; }
  double Concurrency() const { return ConcurrencyOf(estimate, kSlots, now); }
  double Speed() const { return SpeedOf(estimate, now); }
  void Add(double work, double latency) { AddSample(estimate, {work, latency}, kSlots, now); }
  /// Latency is 2.5 times as long on 0.15 of the calls, and otherwise differs by a quarter either way.
  void RunCalls(int calls, double speed, double knee, base::duration gap = milliseconds(50)) {
    for (int i = 0; i < calls; ++i) {
      now += gap;
      const double work = 1 + static_cast<double>(base::NextBelow(random, kSlots));
      double latency = speed * std::max(1.0, work / knee) * (0.75 + 0.5 * base::NextUnit(random));
      if (base::NextUnit(random) < 0.15) latency *= 2.5;
      Add(work, latency);
    }
  }
};

// Guards against an estimate that does not find the knee, or that takes the spread of latencies for one.
TEST_CASE("the estimate finds the concurrency from which latency grows") {
  const double knee = GENERATE(2.0, 4.0, 8.0);
  const double speed = GENERATE(0.8, 1.0, 1.3, 4.0);
  estimate_fixture fixture;
  fixture.RunCalls(200, speed, knee);
  CAPTURE(knee, speed, fixture.Concurrency(), fixture.Speed());
  CHECK(fixture.Concurrency() == Approx(knee).epsilon(0.25));
  CHECK(fixture.Speed() == Approx(speed).epsilon(0.4));
}

// Guards against an estimate that swings while the load is steady.
TEST_CASE("the estimate is steady under steady load") {
  const double knee = GENERATE(4.0, 8.0);
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  estimate_fixture fixture(seed);
  fixture.RunCalls(200, 1, knee);
  double lowest = kSlots;
  double highest = 0;
  for (int i = 0; i < 400; ++i) {
    fixture.RunCalls(1, 1, knee);
    lowest = std::min(lowest, fixture.Concurrency());
    highest = std::max(highest, fixture.Concurrency());
  }
  CAPTURE(knee, seed, lowest, highest);
  CHECK(highest - lowest < 0.2 * (lowest + highest) / 2);
}

// Guards against a single slow call that takes capacity away, also from a server of which little is known.
TEST_CASE("a single slow call does not shrink the estimate") {
  const int calls_before = GENERATE(0, 1, 5, 50);
  const double latency = GENERATE(1.5, 2.0, 3.0, 5.0, 20.0);
  const double work = GENERATE(1.0, 4.0, 8.0, 12.0);
  estimate_fixture fixture;
  for (int i = 0; i < calls_before; ++i)
    fixture.Add(1 + i % kSlots, 1);
  fixture.Add(work, latency * std::max(1.0, work / kSlots));
  CAPTURE(calls_before, latency, work, fixture.Concurrency());
  CHECK(fixture.Concurrency() >= 0.9 * kSlots);
}

// Guards against a pause that takes capacity away: the calls that it delays end together, much later than usual.
TEST_CASE("a pause of 200 ms does not shrink the estimate") {
  estimate_fixture fixture;
  for (int pauses = 0; pauses < 5; ++pauses) {
    fixture.RunCalls(90, 1, kSlots);
    fixture.now += milliseconds(200);
    for (int i = 1; i <= 8; ++i)
      fixture.Add(i, 1 + 10.0 * (9 - i) / 8);
    CHECK(fixture.Concurrency() >= 0.9 * kSlots);
  }
}

// Guards against limits outside of what the server states, and against a server that gets no calls.
TEST_CASE("the estimate is from 1 to the stated slots") {
  const std::uint32_t slots = GENERATE(0, 1, 2, 4, 64);
  estimate_fixture fixture;
  for (int i = 0; i < 300; ++i) {
    fixture.now += milliseconds(20);
    const double work = 1 + i % 8;
    AddSample(fixture.estimate, {work, 0.5 * work * work}, slots, fixture.now);
    const double concurrency = ConcurrencyOf(fixture.estimate, slots, fixture.now);
    REQUIRE(concurrency >= 1);
    REQUIRE(concurrency <= std::max<std::uint32_t>(slots, 1));
  }
}

// Guards against knowledge that outlives its reason: the server may have changed while it got no calls.
TEST_CASE("the estimate is forgotten after some seconds without samples") {
  estimate_fixture fixture;
  fixture.RunCalls(300, 1.3, 4);
  REQUIRE(fixture.Concurrency() < 0.7 * kSlots);
  fixture.now += seconds(15);
  CHECK(fixture.Concurrency() >= 0.9 * kSlots);
  CHECK(fixture.Speed() < 1);
  CHECK(fixture.Speed() > 0.6);
}

// Guards against an estimate that keeps a former speed for more than 3 s, at 20 calls a second, or a former knee for
// more than 8 s. A knee shows only in the calls that meet much work, so it takes more calls.
TEST_CASE("the estimate follows a change") {
  estimate_fixture fixture;
  fixture.RunCalls(400, 0.8, 8);
  fixture.RunCalls(60, 1.3, 8);
  CHECK(fixture.Speed() > 1.0);
  fixture.RunCalls(160, 1.3, 4);
  CAPTURE(fixture.Concurrency(), fixture.Speed());
  CHECK(fixture.Concurrency() < 0.75 * kSlots);
  fixture.RunCalls(160, 0.8, 8);
  CAPTURE(fixture.Concurrency(), fixture.Speed());
  CHECK(fixture.Concurrency() > 0.75 * kSlots);
  CHECK(fixture.Speed() < 1.1);
}

}  // namespace
}  // namespace limpetrouter::core::routing
