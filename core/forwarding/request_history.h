#pragma once

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/base/time.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

using decision_fields = std::vector<std::pair<std::string, std::string>>;

/// The latest decisions about requests, so that operators can look up a request by its id.
struct request_history {
  struct entry {
    base::time_point at{};
    std::string attempt;
    std::string decision;
    decision_fields fields;
  };
  std::deque<entry> entries;
};

/// Logs a decision about a request and keeps it for a while.
void LogRequest(request_history& history, instance::context& ctx, const std::string& attempt, std::string decision,
                decision_fields fields);

/// Returns all kept decisions about the request in their order, or nothing if there are none.
std::optional<nlohmann::json> ExplainRequest(const request_history& history, const std::string& attempt,
                                             base::time_point now);

}  // namespace limpetrouter::core::forwarding
