#include <chrono>
#include <numeric>

#include <fmt/format.h>

#include "bench/core_fleet.h"
#include "bench/planned_document.h"
#include "bench/slope.h"
#include "bench/slope_sections.h"
#include "core/peer/codec.h"

namespace limpetrouter::bench {
namespace {

namespace peer = core::peer;
using std::chrono::seconds;

constexpr std::uint32_t kDataCentres = 3;
/// The same load of backend servers at every fan-out.
constexpr double kCallsPerSecond = 10'000;
constexpr seconds kSettle{6};
constexpr seconds kMeasured{5};

struct core_cost {
  double entry_us = 0;
  double gatherer_us = 0;
  core_counts counts;
};

/// Runs idle and then under load; the idle time (ticks, membership, the clock) is subtracted.
core_cost MeasureFanOut(std::uint32_t fan_out, std::uint32_t gatherer_count = 6) {
  core_fleet fleet =
      MakeCoreFleet(MakePlannedDocument({fan_out * 3, fan_out, kDataCentres}), kDataCentres, gatherer_count);
  RunCoreFleet(fleet, kSettle, 0);
  const auto entry = [&fleet] { return fleet.core_us[0]; };
  const auto gatherers = [&fleet] { return std::accumulate(fleet.core_us.begin() + 1, fleet.core_us.end(), 0.0); };
  const double entry_start = entry();
  const double gatherers_start = gatherers();
  RunCoreFleet(fleet, kMeasured, 0);
  const double entry_idle = entry() - entry_start;
  const double gatherers_idle = gatherers() - gatherers_start;
  RunCoreFleet(fleet, seconds(2), kCallsPerSecond / fan_out);
  const double entry_before = entry();
  const double gatherers_before = gatherers();
  fleet.counts = {};
  RunCoreFleet(fleet, kMeasured, kCallsPerSecond / fan_out);
  return {entry() - entry_before - entry_idle, gatherers() - gatherers_before - gatherers_idle, fleet.counts};
}

/// Time to encode and decode a gather answer of `results` results.
double CodecMicroseconds(std::size_t results) {
  peer::gather_answer answer;
  for (std::size_t i = 0; i < results; ++i) {
    peer::attempt_result result;
    result.backend_server.value = fmt::format("stock-{:03}-1", i);
    result.succeeded = true;
    result.rows = {{fmt::format("row-{:05}", i), R"({"tank":"T-17","volume":12345})"}};
    result.totals = {{"volume", 12345}};
    answer.results.push_back(result);
  }
  const peer::message message{{}, answer};
  const std::size_t rounds = 20'000 / results;
  const double start = ThreadMicroseconds();
  for (std::size_t i = 0; i < rounds; ++i) {
    const std::string bytes = peer::EncodeMessage(message);
    if (!peer::DecodeMessage(bytes, peer::kMaxStreamMessageBytes)) fmt::print(stderr, "a message does not decode\n");
  }
  return (ThreadMicroseconds() - start) / static_cast<double>(rounds);
}

/// A query of the planned fan-out over more and more gatherers, so more and smaller messages.
void MeasureGatherers() {
  constexpr std::uint32_t kFanOut = 870;
  std::vector<slope_point> entry;
  std::vector<slope_point> gatherer_call;
  std::vector<slope_point> requests;
  std::vector<slope_point> request_bytes;
  for (const std::uint32_t gatherers : {6U, 15U, 30U, 60U}) {
    const core_cost cost = MeasureFanOut(kFanOut, gatherers);
    const auto queries = static_cast<double>(cost.counts.replies);
    const double size = gatherers;
    entry.push_back({size, cost.entry_us / queries});
    gatherer_call.push_back(
        {2.0 * 3 * kFanOut / size, cost.gatherer_us / static_cast<double>(cost.counts.backend_calls)});
    requests.push_back({size, static_cast<double>(cost.counts.gather_requests) / queries});
    request_bytes.push_back({size, static_cast<double>(cost.counts.request_bytes) / queries});
  }
  PrintSlope("870 shards: entry time per query, by gatherers", "us", entry);
  PrintSlope("870 shards: gatherer time per backend call, by backend servers held", "us", gatherer_call);
  PrintSlope("870 shards: gather requests per query, by gatherers", "messages", requests);
  PrintSlope("870 shards: bytes of gather requests per query, by gatherers", "bytes", request_bytes);
}

}  // namespace

void MeasureCore() {
  std::vector<slope_point> entry;
  std::vector<slope_point> gatherer;
  std::vector<slope_point> gatherer_call;
  std::vector<slope_point> request_bytes;
  std::vector<slope_point> answer_bytes;
  std::vector<slope_point> answers;
  std::vector<slope_point> requests;
  std::vector<slope_point> extra;
  std::vector<slope_point> failed;
  for (const std::uint32_t fan_out : {10U, 25U, 100U, 300U, 870U}) {
    const core_cost cost = MeasureFanOut(fan_out);
    const auto queries = static_cast<double>(cost.counts.replies);
    const double size = fan_out;
    entry.push_back({size, cost.entry_us / queries});
    gatherer.push_back({size, cost.gatherer_us / queries});
    // Three replicas with two holders each over six gatherers: each holds as many backend servers as there are shards.
    gatherer_call.push_back({size, cost.gatherer_us / static_cast<double>(cost.counts.backend_calls)});
    request_bytes.push_back({size, static_cast<double>(cost.counts.request_bytes) / queries});
    answer_bytes.push_back({size, static_cast<double>(cost.counts.answer_bytes) / queries});
    requests.push_back({size, static_cast<double>(cost.counts.gather_requests) / queries});
    answers.push_back({size, static_cast<double>(cost.counts.gather_answers) / queries});
    extra.push_back({size, static_cast<double>(cost.counts.backend_calls) / queries});
    failed.push_back({size, static_cast<double>(cost.counts.replies - cost.counts.succeeded)});
  }
  PrintTableHead("Decision core and messages between instances, by shards of a query");
  PrintSlope("entry: processor time per query", "us", entry);
  PrintSlope("gatherers together: processor time per query", "us", gatherer);
  PrintSlope("gatherer: processor time per backend call, by backend servers held", "us", gatherer_call);
  PrintSlope("backend calls per query", "calls", extra);
  PrintSlope("gather requests per query (6 gatherers)", "messages", requests);
  PrintSlope("gather answers per query (6 gatherers)", "messages", answers);
  PrintSlope("bytes of gather requests per query", "bytes", request_bytes);
  PrintSlope("bytes of gather answers per query", "bytes", answer_bytes);
  PrintSlope("queries without success", "queries", failed);
  MeasureGatherers();
  std::vector<slope_point> codec;
  for (const std::size_t results : {1U, 4U, 16U, 64U, 145U})
    codec.push_back({static_cast<double>(results), CodecMicroseconds(results)});
  PrintSlope("encode and decode a gather answer, by results", "us", codec);
}

}  // namespace limpetrouter::bench
