#include <string>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/commands.h"
#include "cli/http_client.h"
#include "cli/table.h"

namespace limpetrouter::cli {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

/// What one address answers; null, with the reason printed, if it does not.
json Ask(const options& chosen, const std::string& address, const std::string& path) {
  const http_result got = Get(address, path, chosen.timeout_ms);
  if (!got.has_value()) {
    fmt::print(stderr, "limpetctl: {}: {}\n", address, got.error().what);
    return {};
  }
  if (got->status != kOk) return {};
  return json::parse(got->body, nullptr, false);
}

void PrintForwarding(const json& report) {
  const json& routing = report.at("routing");
  const json& read = routing.at("read");
  fmt::print(
      "{}: configuration {} since {} ms, {} routes; epoch {} revision {} read {} ms ago, {} failed reads, {} "
      "followers\n",
      CellOf(report, "instance"), CellOf(routing, "version"), CellOf(routing, "age_ms"), CellOf(routing, "routes"),
      CellOf(read, "epoch"), CellOf(read, "revision"), CellOf(read, "age_ms"), CellOf(read, "failures"),
      CellOf(read, "followers"));
  for (const json& order : routing.value("evacuations", json::array())) {
    fmt::print("data centre {} is evacuated since {} ms (revision {})\n", CellOf(order, "data_centre"),
               CellOf(order, "age_ms"), CellOf(order, "revision"));
  }
  table servers{{"BACKEND SERVER", "SERVICE", "ADDRESS", "REVISION", "ENTRY AGE MS", "RUNNING", "CAPACITY", "SLOTS",
                 "SPEED", "CAPACITY AGE MS", "EJECTED MS", "STATE"},
                {}};
  for (const json& each : report.at("backend_servers")) {
    std::string state = "in use";
    if (each.value("limit_age_ms", std::int64_t{-1}) >= 0)
      state = fmt::format("limited to {:.1f} per second", each.value("limit_per_second", 0.0));
    if (const auto left = each.value("cold_left_ms", std::int64_t{0}); left > 0)
      state = fmt::format("cold until {} ms from now", left);
    if (each.value("missing_ms", std::int64_t{-1}) >= 0) state = "missing";
    if (each.value("evacuated", false)) state = "evacuated";
    if (each.value("misdirected", false)) state = "replaced";
    if (each.value("draining", false)) state = "draining";
    servers.rows.push_back({CellOf(each, "id"), CellOf(each, "service"), CellOf(each, "address"),
                            CellOf(each, "revision"), CellOf(each, "entry_age_ms"), CellOf(each, "running"),
                            fmt::format("{:.1f}", each.value("capacity", 0.0)), CellOf(each, "slots"),
                            fmt::format("{:.2f}", each.value("speed", 1.0)), CellOf(each, "capacity_age_ms"),
                            CellOf(each, "ejected_for_ms"), state});
  }
  PrintTable(servers, "no backend servers");
  table budgets{{"SERVICE", "REQUESTS", "REPEATED", "ALLOWANCE", "DENIED"}, {}};
  for (const json& each : report.at("budgets")) {
    budgets.rows.push_back({CellOf(each, "service"), CellOf(each, "requests"), CellOf(each, "repeated"),
                            CellOf(each, "allowance"), CellOf(each, "denied")});
  }
  PrintTable(budgets, "no repeated sends");
}

void PrintDecisions(const json& report) {
  for (const json& decision : report.at("decisions")) {
    std::string line = fmt::format("{:>8} ms ago  {}", CellOf(decision, "age_ms"), CellOf(decision, "decision"));
    for (const auto& [name, value] : decision.items()) {
      if (name != "age_ms" && name != "decision" && name != "request")
        line += " " + name + "=" + CellOf(decision, name);
    }
    fmt::print("{}\n", line);
  }
}

}  // namespace

int ShowForwarding(const options& chosen) {
  bool reached = false;
  for (const std::string& address : chosen.addresses) {
    const json report = Ask(chosen, address, "/v1/status/forwarding");
    if (!report.is_object()) continue;
    reached = true;
    if (chosen.json) {
      fmt::print("{}\n", report.dump(2));
    } else {
      PrintForwarding(report);
    }
  }
  return reached ? kExitOk : kExitUnreachable;
}

int ExplainRequest(const options& chosen) {
  for (const std::string& address : chosen.addresses) {
    const json report = Ask(chosen, address, "/v1/explain?query=" + EncodePercent(chosen.arguments[0]));
    if (!report.is_object() || !report.contains("decisions")) continue;
    if (chosen.json) {
      fmt::print("{}\n", report.dump(2));
    } else {
      PrintDecisions(report);
    }
    return kExitOk;
  }
  fmt::print(stderr, "limpetctl: none of the given instances remembers request {}\n", chosen.arguments[0]);
  return kExitRefused;
}

}  // namespace limpetrouter::cli
