#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cli/options.h"

namespace limpetrouter::cli {

/// The first answer to GET `path` that one of the given instances gives. Null if none answers; the failures have then
/// been printed.
nlohmann::json AskFirst(const options& chosen, const std::string& path);

/// What one instance answered.
struct instance_report {
  std::string instance;
  std::string address;
  /// Null if the instance did not answer.
  nlohmann::json report;
  std::string failure;
};

/// Asks every instance of the fleet that the first reachable instance knows as not dead. Empty if none is reachable.
std::vector<instance_report> AskAll(const options& chosen, const std::string& path);

/// Prints the instances that did not answer, to standard error.
void PrintUnreachable(const std::vector<instance_report>& reports);

/// The reports as one JSON document by instance.
nlohmann::json MergeReports(const std::vector<instance_report>& reports);

}  // namespace limpetrouter::cli
