#include <chrono>
#include <numeric>

#include <fmt/format.h>

#include "bench/planned_document.h"
#include "bench/slope.h"
#include "bench/slope_sections.h"
#include "tests/core/membership/fleet.h"

namespace limpetrouter::bench {
namespace {

namespace membership = core::membership;
namespace base = core::base;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kDataCentres = 5;
constexpr double kSecondsBetweenChanges = 288;
constexpr std::size_t kMembers[] = {10, 50, 150, 450};

std::uint64_t BytesSent(const membership::simulated_fleet& fleet) {
  return std::accumulate(fleet.instances.begin(), fleet.instances.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const auto& instance) { return sum + instance->bytes_sent; });
}

std::uint64_t ServiceCalls(const membership::simulated_fleet& fleet) {
  return std::accumulate(fleet.instances.begin(), fleet.instances.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const auto& instance) { return sum + instance->service_calls; });
}

/// Bytes, messages, processor time and configuration reads over a span, per instance.
struct control_load {
  double bytes = 0;
  double messages = 0;
  double cpu_us = 0;
  double service_calls = 0;
};

control_load MeasureSpan(membership::simulated_fleet& fleet, base::duration span, const std::uint64_t& messages) {
  const auto count = static_cast<double>(fleet.instances.size());
  const double bytes = static_cast<double>(BytesSent(fleet));
  const double calls = static_cast<double>(ServiceCalls(fleet));
  const auto sent = static_cast<double>(messages);
  const double start = ThreadMicroseconds();
  membership::Run(fleet, span);
  return {(static_cast<double>(BytesSent(fleet)) - bytes) / count, (static_cast<double>(messages) - sent) / count,
          (ThreadMicroseconds() - start) / count, (static_cast<double>(ServiceCalls(fleet)) - calls)};
}

double SecondsUntilInForce(membership::simulated_fleet& fleet, std::uint64_t revision) {
  const base::duration taken = membership::RunUntil(
      fleet, seconds(60), [&] { return membership::CountRevision(fleet, revision) == fleet.instances.size(); });
  return std::chrono::duration<double>(taken).count();
}

void MeasureSteadyState() {
  std::vector<slope_point> start_bytes;
  std::vector<slope_point> start_cpu;
  std::vector<slope_point> restart_bytes;
  std::vector<slope_point> bytes;
  std::vector<slope_point> messages;
  std::vector<slope_point> cpu;
  std::vector<slope_point> calls;
  std::vector<slope_point> change_bytes;
  std::vector<slope_point> with_changes;
  std::vector<slope_point> in_force;
  std::vector<slope_point> in_force_cut;
  for (const std::size_t members : kMembers) {
    const auto size = static_cast<double>(members);
    std::uint64_t sent = 0;
    membership::simulated_fleet fleet = membership::MakeFleet(members, 11, kDataCentres);
    fleet.is_partitioned = [&sent](std::size_t, std::size_t) {
      ++sent;
      return false;
    };
    membership::Publish(fleet, 1);
    constexpr double kSpan = 20;
    membership::Run(fleet, seconds(40));
    const control_load started = MeasureSpan(fleet, seconds(20), sent);
    start_bytes.push_back({size, started.bytes / kSpan});
    start_cpu.push_back({size, started.cpu_us / kSpan});
    // The news of all starts is sent at a bounded rate, which takes longer in a larger fleet.
    membership::Run(fleet, milliseconds(1500) * static_cast<int>(members));
    const control_load steady = MeasureSpan(fleet, seconds(20), sent);
    bytes.push_back({size, steady.bytes / kSpan});
    messages.push_back({size, steady.messages / kSpan});
    cpu.push_back({size, steady.cpu_us / kSpan});
    calls.push_back({size, steady.service_calls / kSpan});

    const double before = static_cast<double>(BytesSent(fleet)) / size;
    membership::Publish(fleet, 2);
    const double taken = SecondsUntilInForce(fleet, 2);
    in_force.push_back({size, taken});
    membership::Run(fleet, seconds(5));
    const double change = static_cast<double>(BytesSent(fleet)) / size - before - steady.bytes / kSpan * (taken + 5);
    change_bytes.push_back({size, change});
    with_changes.push_back({size, steady.bytes / kSpan + change / kSecondsBetweenChanges});

    const double before_restart = static_cast<double>(BytesSent(fleet)) / size;
    // The counter of the restarted instance starts at zero again.
    const std::size_t restarted = members / 2;
    const auto lost = static_cast<double>(fleet.instances[restarted]->bytes_sent) / size;
    membership::Restart(fleet, restarted);
    constexpr double kRestartSpan = 60;
    membership::Run(fleet, seconds(60));
    restart_bytes.push_back({size, static_cast<double>(BytesSent(fleet)) / size + lost - before_restart -
                                       steady.bytes / kSpan * kRestartSpan});

    fleet.is_service_unreachable = [](std::size_t index) { return index % 10 == 0; };
    membership::Run(fleet, seconds(25));
    membership::Publish(fleet, 3);
    in_force_cut.push_back({size, SecondsUntilInForce(fleet, 3)});
  }
  PrintSlope("bytes sent per instance and second, 40 to 60 s after a start of all", "bytes/s", start_bytes);
  PrintSlope("processor time per instance and second, 40 to 60 s after a start of all", "us/s", start_cpu);
  PrintSlope("bytes sent per instance and second, steady state", "bytes/s", bytes);
  PrintSlope("messages sent per instance and second, steady state", "messages/s", messages);
  PrintSlope("processor time per instance and second, with encoding and the loop", "us/s", cpu);
  PrintSlope("configuration reads per second, whole fleet", "calls/s", calls);
  PrintSlope("bytes sent per instance for one small configuration change", "bytes", change_bytes);
  PrintSlope("bytes sent per instance for the restart of one instance, within 60 s", "bytes", restart_bytes);
  PrintSlope("bytes sent per instance and second with a change every 288 s", "bytes/s", with_changes);
  PrintSlope("small change in force on all instances", "s", in_force);
  PrintSlope("same, a tenth cut from the service", "s", in_force_cut);
}

/// A change of one server's slots in a configuration of the planned size: difference, parsing and time.
void MeasurePlannedChange() {
  std::vector<slope_point> change_bytes;
  std::vector<slope_point> in_force;
  std::vector<slope_point> cpu;
  nlohmann::json document = MakePlannedDocument({});
  for (const std::size_t members : {10U, 20U, 35U, 50U}) {
    const auto size = static_cast<double>(members);
    membership::simulated_fleet fleet = membership::MakeFleet(members, 17, kDataCentres);
    std::uint64_t sent = 0;
    fleet.source = MakePlannedSource(1, document);
    membership::Run(fleet, seconds(20));
    const control_load steady = MeasureSpan(fleet, seconds(10), sent);
    document["inventory"]["backend_servers"][members]["slots"] = 7;
    fleet.source = MakePlannedSource(2, document);
    const double before = static_cast<double>(BytesSent(fleet)) / size;
    const double start = ThreadMicroseconds();
    const double taken = SecondsUntilInForce(fleet, 2);
    membership::Run(fleet, seconds(5));
    const double spent = (ThreadMicroseconds() - start) / size - steady.cpu_us / 10 * (taken + 5);
    in_force.push_back({size, taken});
    cpu.push_back({size, spent / 1000});
    change_bytes.push_back(
        {size, static_cast<double>(BytesSent(fleet)) / size - before - steady.bytes / 10 * (taken + 5)});
  }
  PrintSlope("one change of a 3,200-server configuration: bytes per instance", "bytes", change_bytes);
  PrintSlope("same: processor time per instance", "ms", cpu);
  PrintSlope("same: in force on all instances (virtual clock, without parse time)", "s", in_force);
}

}  // namespace

void MeasureControl() {
  PrintTableHead("Control traffic, by members (5 data centres, 2 regions, 40 ms between regions)");
  MeasureSteadyState();
  MeasurePlannedChange();
}

}  // namespace limpetrouter::bench
