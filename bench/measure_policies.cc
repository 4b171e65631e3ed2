#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "bench/policy_run.h"

namespace {

using limpetrouter::bench::policy_result;
using limpetrouter::bench::policy_run;
using limpetrouter::bench::RunPolicy;
namespace scenario = limpetrouter::tests::scenario;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A run with the figure that its bound applies to.
struct measurement {
  std::string group;
  std::string name;
  std::string seed;
  policy_run run;
  policy_result result;
};

struct bound_check {
  std::string bound;
  std::string measured;
  bool met = false;
};

struct collection_case {
  const char* deployment;
  const char* collection;
  const char* operation;
  const char* urgent;
};

constexpr collection_case kCases[] = {{"bureau", "stock-ledger", "sweep", "check"},
                                      {"cooperative", "bench-search", "search", "check"}};

policy_run BaseRun(const collection_case& chosen, std::uint64_t seed) {
  policy_run run;
  run.deployment = chosen.deployment;
  run.collection = chosen.collection;
  run.operation = chosen.operation;
  run.urgent_operation = chosen.urgent;
  run.seed = seed;
  return run;
}

policy_run WideRun(std::uint64_t seed) {
  policy_run run;
  run.deployment = "wide";
  run.collection = "stock";
  run.operation = "sweep";
  run.urgent_load = 0;
  run.median = milliseconds(60);
  run.load = 0.1;
  run.warm_up = seconds(4);
  run.length = seconds(12);
  run.seed = seed;
  return run;
}

/// Backend servers of one replica of a third of the services of a collection.
std::vector<std::string> ThirdOfReplicas(const scenario::world& world, const std::string& collection) {
  std::vector<std::string> chosen;
  const std::vector<std::string> all = world.BackendsMatching(collection + "*");
  constexpr std::size_t kReplicas = 3;
  for (std::size_t service = 0; service * kReplicas < all.size(); service += 3) {
    chosen.push_back(all[service * kReplicas + service % kReplicas]);
  }
  return chosen;
}

void Add(std::vector<measurement>& out, const std::string& group, const std::string& name, const policy_run& run) {
  out.push_back({group, name, std::to_string(run.seed), run, {}});
}

policy_run Without(policy_run run, const std::string& policy) {
  if (policy == "hedging") run.limits.emplace_back("hedge_budget_percent", 0);
  if (policy == "retries") run.limits.emplace_back("retry_budget_percent", 0);
  if (policy == "admission" || policy == "ejection" || policy == "cold_start_ramp")
    run.limits.emplace_back(policy, false);
  if (policy == "canary") run.canary = false;
  return run;
}

void AddStragglers(std::vector<measurement>& out, std::uint64_t seed) {
  for (const collection_case& chosen : kCases) {
    for (const double load : {0.3, 0.7}) {
      policy_run run = BaseRun(chosen, seed);
      run.load = load;
      const std::string group = fmt::format("{} stragglers {:.0f}%", chosen.deployment, load * 100);
      Add(out, group, "fault-free", run);
      run.straggler_share = 0.01;
      // The offered load stays that of the fault-free run.
      Add(out, group, "hedging on", run);
      Add(out, group, "hedging off", Without(run, "hedging"));
    }
  }
}

void AddWide(std::vector<measurement>& out, std::uint64_t seed) {
  policy_run run = WideRun(seed);
  Add(out, "fan-out 870 stragglers", "fault-free", run);
  run.straggler_share = 0.01;
  Add(out, "fan-out 870 stragglers", "hedging on", run);
  Add(out, "fan-out 870 stragglers", "hedging off", Without(run, "hedging"));
}

void AddFrozen(std::vector<measurement>& out, std::uint64_t seed) {
  for (const collection_case& chosen : kCases) {
    policy_run run = BaseRun(chosen, seed);
    run.urgent_load = 0.05;
    run.warm_up = seconds(7);
    run.faults = [collection = run.collection](scenario::world& world) {
      world.At(seconds(6), [&world, collection] {
        for (const std::string& id : ThirdOfReplicas(world, collection))
          world.SetBackendFrozen(id, true);
      });
    };
    const std::string group = fmt::format("{} replicas frozen", chosen.deployment);
    Add(out, group, "all policies", run);
    for (const char* policy : {"hedging", "ejection", "retries"}) {
      Add(out, group, fmt::format("{} off", policy), Without(run, policy));
    }
  }
}

void AddDataCentreLost(std::vector<measurement>& out, std::uint64_t seed) {
  for (const collection_case& chosen : kCases) {
    policy_run run = BaseRun(chosen, seed);
    run.load = 0.4;
    run.faults = [](scenario::world& world) {
      world.At(seconds(6), [&world] {
        for (const std::string& id : world.BackendsMatching("dc:dc2"))
          world.SetBackendUp(id, false);
        for (const std::string& id : world.InstancesMatching("dc:dc2"))
          world.Kill(id);
      });
    };
    const std::string group = fmt::format("{} data centre lost", chosen.deployment);
    Add(out, group, "from the loss", run);
    run.warm_up = seconds(11);
    Add(out, group, "5 s after the loss", run);
  }
}

void AddOverload(std::vector<measurement>& out, std::uint64_t seed) {
  for (const collection_case& chosen : kCases) {
    policy_run run = BaseRun(chosen, seed);
    run.load = 1.2;
    run.length = seconds(15);
    const std::string group = fmt::format("{} load 120%", chosen.deployment);
    Add(out, group, "admission on", run);
    Add(out, group, "admission off", Without(run, "admission"));
  }
}

void AddCrash(std::vector<measurement>& out, std::uint64_t seed) {
  for (const collection_case& chosen : kCases) {
    policy_run run = BaseRun(chosen, seed);
    run.load = 0.1;
    run.faults = [collection = run.collection, operation = run.operation](scenario::world& world) {
      scenario::load_spec crash;
      crash.collection = collection;
      crash.operation = operation;
      crash.rate = 10;
      crash.from = world.now() + seconds(6);
      crash.to = world.now() + seconds(11);
      crash.distinct_bodies = 1;
      crash.crashes = true;
      world.AddLoad(crash);
    };
    const std::string group = fmt::format("{} crashing request", chosen.deployment);
    Add(out, group, "canary on", run);
    Add(out, group, "canary off", Without(run, "canary"));
  }
}

void AddDrain(std::vector<measurement>& out, std::uint64_t seed) {
  for (const collection_case& chosen : kCases) {
    policy_run run = BaseRun(chosen, seed);
    run.faults = [collection = run.collection](scenario::world& world) {
      world.At(seconds(4), [&world] { world.SetPlatformDown(true); });
      world.At(seconds(6), [&world, collection] {
        for (const std::string& id : ThirdOfReplicas(world, collection))
          world.SetBackendDraining(id, true);
      });
    };
    Add(out, fmt::format("{} drain, service down", chosen.deployment), "all policies", run);
  }
}

void RunAll(std::vector<measurement>& all, unsigned threads) {
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> workers;
  for (unsigned i = 0; i < threads; ++i) {
    workers.emplace_back([&all, &next] {
      for (std::size_t index = next++; index < all.size(); index = next++) {
        all[index].result = RunPolicy(all[index].run);
      }
    });
  }
  for (std::thread& worker : workers)
    worker.join();
}

const measurement* FindRun(const std::vector<measurement>& all, const measurement& like, const std::string& name) {
  for (const measurement& m : all) {
    if (m.group == like.group && m.seed == like.seed && m.name == name) return &m;
  }
  return nullptr;
}

void CheckStraggler(const std::vector<measurement>& all, const measurement& m, std::vector<bound_check>& out) {
  const measurement* fault_free = FindRun(all, m, "fault-free");
  const measurement* off = FindRun(all, m, "hedging off");
  const double ratio = m.result.normal.p99_ms / fault_free->result.normal.p99_ms;
  if (m.group.find("70%") != std::string::npos) {
    const double against = m.result.normal.p99_ms / off->result.normal.p99_ms;
    out.push_back({"p99 no worse than with hedging off", fmt::format("{:.2f} of it", against), against <= 1.0});
    return;
  }
  const bool wide = m.group.find("870") != std::string::npos;
  const double max_ratio = wide ? 1.5 : 1.4;
  const double max_extra = wide ? 0.04 : 0.03;
  out.push_back({fmt::format("p99 <= {} x fault-free", max_ratio), fmt::format("{:.2f} x", ratio), ratio <= max_ratio});
  out.push_back({fmt::format("extra load <= {:.0f}%", max_extra * 100),
                 fmt::format("{:.2f}%", m.result.extra_load * 100), m.result.extra_load <= max_extra});
}

void CheckCoverage(const measurement& m, std::vector<bound_check>& out) {
  const double coverage = m.result.normal.min_coverage;
  out.push_back({"coverage 100%", fmt::format("{:.2f}%", coverage * 100), coverage >= 1.0});
  const double refused = static_cast<double>(m.result.normal.refused + m.result.normal.unanswered);
  out.push_back({"no request refused", fmt::format("{:.0f}", refused), refused == 0});
}

/// Bounds of the stated targets that apply to this run.
std::vector<bound_check> CheckBounds(const std::vector<measurement>& all, const measurement& m) {
  std::vector<bound_check> out;
  const auto in_group = [&m](const char* text) { return m.group.find(text) != std::string::npos; };
  if (in_group("stragglers") && m.name == "hedging on") CheckStraggler(all, m, out);
  if (in_group("replicas frozen") && m.name == "all policies") {
    CheckCoverage(m, out);
    const double p99 = m.result.urgent.p99_ms;
    out.push_back({"urgent p99 <= 500 ms", fmt::format("{:.1f} ms", p99), p99 > 0 && p99 <= 500});
  }
  if (in_group("data centre lost")) {
    CheckCoverage(m, out);
    out.push_back({"extra load in any second <= 10%", fmt::format("{:.1f}%", m.result.worst_second_extra * 100),
                   m.result.worst_second_extra <= 0.1});
  }
  if (in_group("load 120%") && m.name == "admission on") {
    const double goodput = m.result.goodput_per_second / m.result.capacity_per_second;
    out.push_back({"goodput >= 95% of capacity", fmt::format("{:.1f}%", goodput * 100), goodput >= 0.95});
    const double share = m.result.normal.worst_refusal_share;
    out.push_back({"refusals within a tenth of the deadline", fmt::format("{:.1f}%", share * 100), share <= 0.1});
    const auto& urgent = m.result.urgent;
    out.push_back({"urgent unaffected", fmt::format("{} of {}", urgent.succeeded, urgent.requests),
                   urgent.requests > 0 && urgent.succeeded == urgent.requests});
  }
  if (in_group("crashing request") && m.name == "canary on") {
    out.push_back({"crashes <= 2", std::to_string(m.result.crashes), m.result.crashes <= 2});
  }
  if (in_group("drain")) {
    out.push_back({"no new work after 2 s", fmt::format("{} servers late", m.result.drain_violations),
                   m.result.drain_violations == 0});
    CheckCoverage(m, out);
  }
  if (!out.empty()) {
    out.push_back({"all invariants hold", fmt::format("{} violations", m.result.property_violations),
                   m.result.property_violations == 0});
  }
  return out;
}

std::string Refusals(const scenario::measures& m) {
  std::string text;
  for (const auto& [kind, count] : m.refusals)
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", kind, count);
  return text.empty() ? "-" : text;
}

void PrintRows(const std::vector<measurement>& all) {
  fmt::print(
      "| case | policy | seed | queries | p50 ms | p99 ms | p99.9 ms | urgent p99 ms | coverage mean / least % | "
      "extra load % | goodput of capacity % | refusals |\n");
  fmt::print("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (const measurement& m : all) {
    const policy_result& r = m.result;
    fmt::print("| {} | {} | {} | {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.2f} / {:.2f} | {:.2f} | {:.1f} | {} |\n",
               m.group, m.name, m.seed, r.normal.requests, r.normal.p50_ms, r.normal.p99_ms, r.normal.p999_ms,
               r.urgent.p99_ms, r.normal.mean_coverage * 100, r.normal.min_coverage * 100, r.extra_load * 100,
               r.goodput_per_second / r.capacity_per_second * 100, Refusals(r.normal));
  }
}

bool PrintBounds(const std::vector<measurement>& all) {
  bool all_met = true;
  fmt::print("\n| case | seed | bound | measured | verdict |\n|---|---|---|---|---|\n");
  for (const measurement& m : all) {
    for (const bound_check& check : CheckBounds(all, m)) {
      fmt::print("| {}, {} | {} | {} | {} | {} |\n", m.group, m.name, m.seed, check.bound, check.measured,
                 check.met ? "met" : "MISSED");
      all_met = all_met && check.met;
    }
  }
  return all_met;
}

}  // namespace

// Usage: measure_policies [--seeds N] [--threads N] [--only TEXT]. Prints two tables in Markdown. Exit code 1 if a
// bound is missed.
int main(int argc, char** argv) {
  std::uint64_t seeds = 3;
  unsigned threads = 4;
  std::string only;
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string option = argv[i];
    if (option == "--seeds") seeds = std::strtoull(argv[i + 1], nullptr, 10);
    if (option == "--threads") threads = static_cast<unsigned>(std::strtoul(argv[i + 1], nullptr, 10));
    if (option == "--only") only = argv[i + 1];
  }
  std::vector<measurement> all;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    AddStragglers(all, seed);
    AddWide(all, seed);
    AddFrozen(all, seed);
    AddDataCentreLost(all, seed);
    AddOverload(all, seed);
    AddCrash(all, seed);
    AddDrain(all, seed);
  }
  std::erase_if(all, [&only](const measurement& m) { return m.group.find(only) == std::string::npos; });
  RunAll(all, threads);
  PrintRows(all);
  return PrintBounds(all) ? 0 : 1;
}
