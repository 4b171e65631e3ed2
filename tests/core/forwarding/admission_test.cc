#include <cstdio>

#include <catch2/catch.hpp>

#include "load_world.h"

namespace limpetrouter::core::forwarding {
namespace {

constexpr base::duration kWindow = seconds(2);

void Print(const load_world& world, base::time_point from, base::time_point to) {
  for (const load_kind& kind : world.kinds) {
    std::printf("  %-7s", kind.name.c_str());
    for (base::time_point at = from; at < to; at += kWindow) {
      const kind_counts counts = world.Counts(at, at + kWindow, kind.name);
      std::printf(" | sent %4zu in time %4zu late %4zu refused %4zu timed out %3zu", counts.sent, counts.InTime(),
                  counts.Of(caller_outcome::kLate), counts.Of(caller_outcome::kRefused),
                  counts.Of(caller_outcome::kTimedOut));
    }
    std::printf("\n");
  }
}

}  // namespace

/// Prints what the model gives at each load, for docs/design/admission.md. Run by name only.
TEST_CASE("print the outcome of the load model", "[.][load_report]") {
  struct layout {
    const char* title;
    std::size_t shards;
    std::uint32_t slots;
  };
  for (const layout& each : {layout{"one service, 4 slots", 0, 4}, layout{"36 shards, 4 slots", 36, 4},
                             layout{"36 shards, 2 slots", 36, 2}}) {
    for (const double slow : {1.0, 5.0}) {
      for (const double load : {1.0, 2.0, 3.0, 4.0}) {
        std::vector<load_kind> kinds = {HeavyKind(each.shards), UrgentKind(each.shards)};
        if (each.shards == 0) kinds.push_back(SlowKind());
        load_world world({}, kinds, ShardServices(std::max<std::size_t>(each.shards, 1), each.slots));
        world.Run(seconds(4));
        const base::time_point start = world.now;
        world.SlowThird(slow);
        world.load = load;
        world.Run(seconds(6));
        const base::time_point end = world.now;
        world.load = 1;
        world.Run(seconds(10));
        std::printf("%s, slow %.0f, load %.0f\n", each.title, slow, load);
        Print(world, start, end);
      }
    }
  }
}

}  // namespace limpetrouter::core::forwarding
