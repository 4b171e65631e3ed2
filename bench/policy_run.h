#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "tests/scenario/deployment.h"
#include "tests/scenario/measure.h"
#include "tests/scenario/world.h"

namespace limpetrouter::bench {

namespace scenario = tests::scenario;
namespace base = core::base;

/// One measured run: a deployment under a share of its capacity, with faults and with policies switched off.
struct policy_run {
  std::string deployment = "bureau";
  std::uint32_t shards = 870;
  std::uint32_t instances_per_data_centre = 3;
  /// Collection under load, its normal and its urgent operation.
  std::string collection = "stock-ledger";
  std::string operation = "sweep";
  std::string urgent_operation = "check";
  /// Offered load of the normal operation as a share of the capacity of the collection.
  double load = 0.3;
  /// Offered load of the urgent operation, as a share too.
  double urgent_load = 0.02;
  base::duration median = std::chrono::milliseconds(20);
  double straggler_share = 0;
  base::duration deadline = std::chrono::seconds(2);
  base::duration urgent_deadline = std::chrono::milliseconds(500);
  /// Queries before this are not measured.
  base::duration warm_up = std::chrono::seconds(5);
  base::duration length = std::chrono::seconds(20);
  std::uint64_t seed = 1;
  /// Names of rules' limits with the value that switches a policy off.
  std::vector<std::pair<std::string, nlohmann::json>> limits;
  bool canary = true;
  /// Adds faults before the run starts.
  std::function<void(scenario::world&)> faults;
};

struct policy_result {
  scenario::measures normal;
  scenario::measures urgent;
  /// Backend calls above the needed ones, as a share of the needed ones, in the measured time.
  double extra_load = 0;
  /// Extra load of the worst second, as a share of the calls needed in it.
  double worst_second_extra = 0;
  double goodput_per_second = 0;
  double capacity_per_second = 0;
  std::uint64_t crashes = 0;
  std::uint64_t drain_violations = 0;
  std::uint64_t property_violations = 0;
};

policy_result RunPolicy(const policy_run& run);

}  // namespace limpetrouter::bench
