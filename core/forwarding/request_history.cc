#include "core/forwarding/request_history.h"

namespace limpetrouter::core::forwarding {
namespace {

/// About one minute of decisions at the planned load of an instance. Each takes a few hundred bytes.
constexpr std::size_t kMaxEntries = 5'000;

}  // namespace

void LogRequest(request_history& history, instance::context& ctx, const std::string& attempt, std::string decision,
                decision_fields fields) {
  fields.insert(fields.begin(), {"request", attempt});
  history.entries.push_back({ctx.now, attempt, decision, fields});
  if (history.entries.size() > kMaxEntries) history.entries.pop_front();
  instance::LogDecision(ctx, std::move(decision), std::move(fields));
}

std::optional<nlohmann::json> ExplainRequest(const request_history& history, const std::string& attempt,
                                             base::time_point now) {
  nlohmann::json decisions = nlohmann::json::array();
  for (const request_history::entry& each : history.entries) {
    if (each.attempt != attempt) continue;
    nlohmann::json decision = {{"decision", each.decision}, {"age_ms", base::ToMilliseconds(now - each.at)}};
    for (const auto& [name, value] : each.fields)
      decision[name] = value;
    decisions.push_back(std::move(decision));
  }
  if (decisions.empty()) return std::nullopt;
  return nlohmann::json{{"request", attempt}, {"decisions", std::move(decisions)}};
}

}  // namespace limpetrouter::core::forwarding
