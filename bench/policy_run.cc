#include "bench/policy_run.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "tests/scenario/checkers.h"

namespace limpetrouter::bench {
namespace {

constexpr double kSigma = 0.3;
/// A straggler takes twenty times as long.
constexpr double kStragglerFactor = 20;

/// Slots of the collection's backend servers by shard: every shard's replicas share the load evenly.
double SlotsPerShard(const nlohmann::json& document, const std::string& collection) {
  double slots = 0;
  double shards = 0;
  std::vector<std::string> services;
  for (const auto& service : document.at("inventory").at("services")) {
    if (service.at("collection") == collection) services.push_back(service.at("id"));
  }
  for (const auto& server : document.at("inventory").at("backend_servers")) {
    const std::string service = server.at("service");
    if (std::find(services.begin(), services.end(), service) != services.end())
      slots += server.at("slots").get<double>();
  }
  for (const auto& map : document.at("shard_maps").at("collections")) {
    if (map.at("id") == collection) shards = static_cast<double>(map.at("snapshots").back().at("shards").size());
  }
  return slots / shards;
}

/// Whole queries a second that the collection can answer: each takes one slot for a mean service time on each shard.
double CapacityOf(const nlohmann::json& document, const policy_run& run) {
  // Without stragglers, so that the offered load is the same with and without them.
  const double mean_seconds = static_cast<double>(run.median.count()) / 1e6 * std::exp(kSigma * kSigma / 2);
  return SlotsPerShard(document, run.collection) / mean_seconds;
}

void ApplyRules(nlohmann::json& document, const policy_run& run) {
  for (const auto& [name, value] : run.limits)
    document["rules"]["limits"][name] = value;
  if (run.canary) return;
  for (auto& collection : document["rules"]["collections"]) {
    for (auto& operation : collection["operations"])
      operation["canary"] = false;
  }
}

void AddLoads(scenario::world& world, const policy_run& run, double capacity) {
  constexpr std::uint32_t kDistinctBodies = 200;
  scenario::load_spec normal;
  normal.collection = run.collection;
  normal.operation = run.operation;
  normal.rate = capacity * run.load;
  normal.deadline = run.deadline;
  normal.distinct_bodies = kDistinctBodies;
  normal.to = base::time_point(std::chrono::seconds(1)) + run.length;
  world.AddLoad(normal);
  if (run.urgent_load <= 0) return;
  scenario::load_spec urgent = normal;
  urgent.operation = run.urgent_operation;
  urgent.rate = capacity * run.urgent_load;
  urgent.deadline = run.urgent_deadline;
  urgent.urgent = true;
  world.AddLoad(urgent);
}

/// Largest extra load of a second: calls made in it against shards of the requests sent in it. The arrivals of a second
/// vary by themselves, so a ratio to an average second would measure them and not the extra calls.
double WorstSecondExtra(const scenario::world& world, const policy_run& run, const policy_result& result) {
  const double fan_out =
      static_cast<double>(result.normal.needed_calls + result.urgent.needed_calls) /
      static_cast<double>(std::max<std::uint64_t>(1, result.normal.succeeded + result.urgent.succeeded));
  std::map<std::int64_t, double> needed;
  for (const scenario::caller_request& request : world.record().requests) {
    if (!request.sent_to.empty()) needed[request.sent.time_since_epoch() / std::chrono::seconds(1)] += fan_out;
  }
  double worst = 0;
  for (const auto& [second, calls] : world.record().backend_calls_by_second) {
    const double at = static_cast<double>(second) - 1;
    const bool measured = at >= std::chrono::duration<double>(run.warm_up).count() &&
                          at < std::chrono::duration<double>(run.length).count();
    if (measured && needed[second] > 0) worst = std::max(worst, static_cast<double>(calls) / needed[second] - 1);
  }
  return worst;
}

}  // namespace

policy_result RunPolicy(const policy_run& run) {
  scenario::deployment made = scenario::MakeDeployment(run.deployment, run.instances_per_data_centre, run.shards);
  ApplyRules(made.document, run);
  scenario::world world(run.seed, made.document, made.instances, made.network);
  for (const std::string& id : world.BackendsMatching("*")) {
    scenario::service_time& time = world.backend(id).time;
    time.median = run.median;
    time.sigma = kSigma;
    time.straggler_share = run.straggler_share;
    time.straggler_factor = kStragglerFactor;
  }
  policy_result result;
  result.capacity_per_second = CapacityOf(made.document, run);
  AddLoads(world, run, result.capacity_per_second);
  if (run.faults) run.faults(world);

  world.RunUntil(run.length);
  // Queries of the last second may still be running.
  const base::time_point from = base::time_point(std::chrono::seconds(1)) + run.warm_up;
  const base::time_point to = world.now();
  world.RunUntil(run.length + run.deadline);

  const std::string prefix = run.collection + "/";
  result.normal = scenario::Measure(world, {from, to, prefix + run.operation, false});
  result.urgent = scenario::Measure(world, {from, to, prefix + run.urgent_operation, false});
  result.extra_load = scenario::Measure(world, {from, to, "", false}).ExtraLoad();
  const double seconds = std::chrono::duration<double>(to - from).count();
  result.goodput_per_second = static_cast<double>(result.normal.succeeded + result.urgent.succeeded) / seconds;
  result.crashes = world.record().crashes;
  for (const scenario::property_report& report : scenario::CheckAll(world)) {
    result.property_violations += report.violations.size();
    if (report.property == "drain") result.drain_violations = report.violations.size();
  }
  result.worst_second_extra = WorstSecondExtra(world, run, result);
  return result;
}

}  // namespace limpetrouter::bench
