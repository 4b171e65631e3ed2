#include <algorithm>
#include <chrono>
#include <numeric>

#include <fmt/format.h>

#include "bench/slope.h"
#include "bench/slope_sections.h"
#include "tests/core/membership/fleet.h"

namespace limpetrouter::bench {
namespace {

namespace membership = core::membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kDataCentres = 5;
constexpr std::size_t kMembers[] = {10, 50, 150, 450};

std::uint64_t Sum(const membership::simulated_fleet& fleet, std::uint64_t membership::simulated_instance::*counter) {
  return std::accumulate(fleet.instances.begin(), fleet.instances.end(), std::uint64_t{0},
                         [counter](std::uint64_t sum, const auto& instance) { return sum + (*instance).*counter; });
}

bool IsFirstRegion(std::size_t index) { return index % kDataCentres < (kDataCentres + 1) / 2; }

/// Runs in steps of 100 ms until the condition holds; `each_second` sees the end of each second.
template <class Condition, class EachSecond>
double SecondsUntil(membership::simulated_fleet& fleet, Condition condition, EachSecond each_second) {
  constexpr int kLimit = 1200;
  for (int step = 0; step < kLimit; ++step) {
    if (condition()) return step / 10.0;
    membership::Run(fleet, milliseconds(100));
    if (step % 10 == 9) each_second();
  }
  return kLimit / 10.0;
}

/// Largest increase of a counter in one second.
struct peak_counter {
  std::uint64_t last = 0;
  std::uint64_t peak = 0;

  void Add(std::uint64_t value) {
    peak = std::max(peak, value - last);
    last = value;
  }
};

}  // namespace

void MeasureRecovery() {
  std::vector<slope_point> ready;
  std::vector<slope_point> whole;
  std::vector<slope_point> calls;
  std::vector<slope_point> start_bytes;
  std::vector<slope_point> cut_bytes;
  std::vector<slope_point> heal;
  std::vector<slope_point> heal_peak;
  std::vector<slope_point> heal_bytes;
  for (const std::size_t members : kMembers) {
    const auto size = static_cast<double>(members);
    membership::simulated_fleet fleet = membership::MakeFleet(members, 23, kDataCentres);
    membership::Publish(fleet, 1);
    peak_counter reads;
    peak_counter bytes;
    const auto each_second = [&] {
      reads.Add(Sum(fleet, &membership::simulated_instance::service_calls));
      bytes.Add(Sum(fleet, &membership::simulated_instance::bytes_sent));
    };
    ready.push_back({size, SecondsUntil(
                               fleet,
                               [&fleet] {
                                 return std::all_of(fleet.instances.begin(), fleet.instances.end(),
                                                    [&fleet](const auto& instance) {
                                                      return membership::IsReady(instance->tables, fleet.now);
                                                    });
                               },
                               each_second)});
    whole.push_back({size, ready.back().y + SecondsUntil(
                                                fleet, [&] { return membership::IsConverged(fleet); }, each_second)});
    each_second();
    calls.push_back({size, static_cast<double>(reads.peak)});
    start_bytes.push_back({size, static_cast<double>(bytes.peak) / size});

    membership::Run(fleet, seconds(30));
    fleet.is_partitioned = [](std::size_t a, std::size_t b) { return IsFirstRegion(a) != IsFirstRegion(b); };
    membership::Run(fleet, seconds(30));
    const std::uint64_t before_cut = Sum(fleet, &membership::simulated_instance::bytes_sent);
    membership::Run(fleet, seconds(30));
    const std::uint64_t at_heal = Sum(fleet, &membership::simulated_instance::bytes_sent);
    cut_bytes.push_back({size, static_cast<double>(at_heal - before_cut) / 30 / size});
    fleet.is_partitioned = [](std::size_t, std::size_t) { return false; };
    peak_counter healing{at_heal, 0};
    const double healed = SecondsUntil(
        fleet, [&] { return membership::IsConverged(fleet); },
        [&] { healing.Add(Sum(fleet, &membership::simulated_instance::bytes_sent)); });
    for (int i = 0; i < 10; ++i) {
      membership::Run(fleet, seconds(1));
      healing.Add(Sum(fleet, &membership::simulated_instance::bytes_sent));
    }
    heal.push_back({size, healed});
    heal_peak.push_back({size, static_cast<double>(healing.peak) / size});
    heal_bytes.push_back({size, static_cast<double>(healing.last - at_heal) / (healed + 10) / size});
  }
  PrintTableHead("Restart of the whole fleet, and a cut between the regions, by members");
  PrintSlope("whole restart: all instances ready", "s", ready);
  PrintSlope("whole restart: all see each other", "s", whole);
  PrintSlope("whole restart: most configuration reads in a second", "calls/s", calls);
  PrintSlope("whole restart: most bytes sent in a second, per instance", "bytes/s", start_bytes);
  PrintSlope("regions cut: bytes sent per instance and second", "bytes/s", cut_bytes);
  PrintSlope("regions healed: all see each other", "s", heal);
  PrintSlope("regions healed: most bytes sent in a second, per instance", "bytes/s", heal_peak);
  PrintSlope("regions healed: mean bytes per instance and second until 10 s after", "bytes/s", heal_bytes);
}

}  // namespace limpetrouter::bench
