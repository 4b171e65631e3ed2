#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/instance/instance.h"

namespace limpetrouter::bench {

/// Counts over all instances of a `core_fleet`.
struct core_counts {
  std::uint64_t backend_calls = 0;
  std::uint64_t replies = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t gather_requests = 0;
  std::uint64_t gather_answers = 0;
  std::uint64_t items = 0;
  std::uint64_t results = 0;
  std::uint64_t request_bytes = 0;
  std::uint64_t answer_bytes = 0;
};

/// A few whole instances with instant fakes around them, on a virtual clock in steps of 1 ms. Instance 0 is in a data
/// centre without backend servers, so it is an entry only; the others are gatherers only.
struct core_fleet {
  std::vector<std::unique_ptr<core::instance::instance>> instances;
  /// Processor time inside the decision core in microseconds, by instance.
  std::vector<double> core_us;
  std::map<std::string, std::size_t> index_of;
  std::vector<std::vector<core::io::event>> due;
  std::multimap<core::base::time_point, std::pair<std::size_t, core::io::event>> events;
  core::config::configuration_source source;
  core::base::time_point now{std::chrono::seconds(1)};
  core::base::random_source random{7};
  core_counts counts;
  std::uint64_t next_handle = 1;
  /// Gather requests are lost, so that queries stay in flight at the entry.
  bool lose_requests = false;
};

/// Besides the entry, `gatherers` instances spread evenly over the data centres of the document.
core_fleet MakeCoreFleet(const nlohmann::json& document, std::uint32_t data_centres, std::uint32_t gatherers = 6);
/// Runs for `span`, with `queries_per_second` to the entry.
void RunCoreFleet(core_fleet& fleet, core::base::duration span, double queries_per_second);
/// Sends one query to the entry at once.
void SendQuery(core_fleet& fleet);

}  // namespace limpetrouter::bench
