#include <chrono>
#include <memory>

#include <fmt/format.h>

#include "bench/core_fleet.h"
#include "bench/planned_document.h"
#include "bench/slope.h"
#include "bench/slope_sections.h"
#include "core/config/store.h"
#include "tests/core/membership/fleet.h"

namespace limpetrouter::bench {
namespace {

namespace base = core::base;
using std::chrono::seconds;

constexpr std::uint32_t kDataCentres = 5;

planned_size SizeOf(std::uint32_t backend_servers) { return {backend_servers, backend_servers / 4, kDataCentres}; }

std::unique_ptr<core::instance::instance> MakeAlone(const core::config::configuration_source& source) {
  core::membership::identity self;
  self.ref = {base::instance_id("k0"), base::incarnation_id(1)};
  self.data_centre.value = "dc0";
  self.peer_address = "10.0.0.1:9101";
  base::time_point now{seconds(1)};
  auto made = std::make_unique<core::instance::instance>(core::instance::MakeInstance(self, 1, now));
  core::io::command_list commands;
  for (int i = 0; i < 1000; ++i) {
    now += core::instance::kTickInterval;
    if (i == 1) core::instance::HandleEvent(*made, core::io::configuration_read{source}, now, commands);
    core::instance::RunTick(*made, now, commands);
    commands.clear();
  }
  return made;
}

void MeasureServers() {
  std::vector<slope_point> by_server;
  std::vector<slope_point> by_byte;
  std::vector<slope_point> bytes;
  std::vector<slope_point> parse;
  std::vector<slope_point> whole;
  for (const std::uint32_t servers : {100U, 400U, 1600U, 3200U}) {
    const auto source = MakePlannedSource(1, MakePlannedDocument(SizeOf(servers)));
    const auto size = static_cast<double>(source.inventory.size() + source.rules.size() + source.shard_maps.size());
    const double before = HeapBytes();
    core::config::configuration_store store;
    const double start = ThreadMicroseconds();
    if (!core::config::OfferSource(store, source)) fmt::print(stderr, "the planned configuration is refused\n");
    parse.push_back({static_cast<double>(servers), (ThreadMicroseconds() - start) / 1000});
    const double used = HeapBytes() - before;
    by_server.push_back({static_cast<double>(servers), used});
    by_byte.push_back({size, used});
    bytes.push_back({static_cast<double>(servers), size});
    const double before_instance = HeapBytes();
    const auto alone = MakeAlone(source);
    whole.push_back({static_cast<double>(servers), HeapBytes() - before_instance - used});
  }
  PrintSlope("configuration text, by backend servers", "bytes", bytes);
  PrintSlope("parse and validate a configuration, by backend servers", "ms", parse);
  PrintSlope("configuration store, by backend servers", "bytes", by_server);
  PrintSlope("configuration store, by bytes of configuration text", "bytes", by_byte);
  PrintSlope("rest of an instance that holds all servers, by backend servers", "bytes", whole);
}

void MeasureMembers() {
  std::vector<slope_point> points;
  for (const std::size_t members : {10U, 50U, 150U, 450U}) {
    const double before = HeapBytes();
    core::membership::simulated_fleet fleet = core::membership::MakeFleet(members, 3, kDataCentres);
    core::membership::Publish(fleet, 1);
    core::membership::Run(fleet, seconds(15));
    points.push_back({static_cast<double>(members), (HeapBytes() - before) / static_cast<double>(members)});
  }
  PrintSlope("peer role of one instance with a small configuration, by members", "bytes", points);
}

double BytesInFlight(std::uint32_t fan_out, std::uint32_t queries) {
  nlohmann::json document = MakePlannedDocument({fan_out * 3, fan_out, 3});
  document["rules"]["limits"]["admission"] = false;
  core_fleet fleet = MakeCoreFleet(document, 3);
  RunCoreFleet(fleet, seconds(6), 0);
  fleet.lose_requests = true;
  const double before = HeapBytes();
  for (std::uint32_t i = 0; i < queries; ++i)
    SendQuery(fleet);
  RunCoreFleet(fleet, std::chrono::milliseconds(2), 0);
  if (fleet.instances[0]->entry.queries.queries.size() != queries) fmt::print(stderr, "queries were not admitted\n");
  return HeapBytes() - before;
}

void MeasureQueries() {
  std::vector<slope_point> by_query;
  std::vector<slope_point> by_fan_out;
  for (const std::uint32_t queries : {25U, 50U, 100U, 200U})
    by_query.push_back({static_cast<double>(queries), BytesInFlight(870, queries)});
  for (const std::uint32_t fan_out : {10U, 25U, 100U, 300U, 870U})
    by_fan_out.push_back({static_cast<double>(fan_out), BytesInFlight(fan_out, 50) / 50});
  PrintSlope("entry: queries of 870 shards in flight", "bytes", by_query);
  PrintSlope("entry: one query in flight, by shards (50 in flight)", "bytes", by_fan_out);
}

}  // namespace

void MeasureMemory() {
  PrintTableHead("Heap in use");
  MeasureServers();
  MeasureMembers();
  MeasureQueries();
}

}  // namespace limpetrouter::bench
