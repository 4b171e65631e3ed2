#include <map>
#include <set>

#include <fmt/format.h>

#include "cli/commands.h"
#include "cli/fleet_view.h"
#include "cli/http_client.h"
#include "cli/table.h"

namespace limpetrouter::cli {
namespace {

using nlohmann::json;

void PrintDocument(const json& document) { fmt::print("{}\n", document.dump(2)); }

/// Asks all instances and prints the reports with `print`, or as JSON.
template <class Print>
int ShowReports(const options& chosen, const std::string& path, Print print) {
  const std::vector<instance_report> reports = AskAll(chosen, path);
  if (reports.empty()) return kExitUnreachable;
  PrintUnreachable(reports);
  if (chosen.json) {
    PrintDocument(MergeReports(reports));
  } else {
    print(reports);
  }
  return kExitOk;
}

std::string Join(const std::set<std::string>& names) {
  std::string joined;
  for (const std::string& name : names)
    joined += (joined.empty() ? "" : ", ") + name;
  return joined.empty() ? "-" : joined;
}

void PrintConfigurations(const std::vector<instance_report>& reports) {
  table shown{{"INSTANCE", "REVISION", "DIGEST", "WATCHES", "READ FAILURES", "CONFLICTS", "REFUSED"}, {}};
  std::uint64_t newest = 0;
  for (const instance_report& entry : reports) {
    if (!entry.report.is_null()) newest = std::max(newest, entry.report.value("revision", std::uint64_t{0}));
  }
  std::string notes;
  for (const instance_report& entry : reports) {
    if (entry.report.is_null()) continue;
    const json& report = entry.report;
    const json refused = report.value("refused", json());
    shown.rows.push_back({entry.instance, CellOf(report, "revision"), CellOf(report, "digest"),
                          CellOf(report, "watching"), CellOf(report, "read_failures"), CellOf(report, "conflicts"),
                          refused.is_object() ? CellOf(refused, "revision") : "-"});
    if (refused.is_object()) {
      notes += fmt::format("{} refused revision {}: {}: {}\n", entry.instance, CellOf(refused, "revision"),
                           CellOf(refused, "error"), CellOf(refused, "reason"));
    }
    if (report.value("revision", std::uint64_t{0}) < newest) {
      notes += fmt::format("{} lags: it has revision {}, the newest is {}\n", entry.instance,
                           CellOf(report, "revision"), newest);
    }
  }
  PrintTable(shown, "no instance answered");
  fmt::print("{}", notes);
}

/// What all instances together say about one backend server.
struct server_view {
  std::string service = "-";
  std::set<std::string> primary;
  std::set<std::string> standby;
  json holding = json::object();
  std::int64_t outstanding = 0;
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  std::size_t ejected_by = 0;
  bool draining = false;
};

std::map<std::string, server_view> MergeServers(const std::vector<instance_report>& reports) {
  std::map<std::string, server_view> servers;
  for (const instance_report& entry : reports) {
    if (entry.report.is_null()) continue;
    for (const auto& [id, statistics] : entry.report.value("statistics", json::object()).items()) {
      server_view& server = servers[id];
      server.service = CellOf(statistics, "service");
      server.outstanding += statistics.value("outstanding", std::int64_t{0});
      server.calls += statistics.value("calls", std::uint64_t{0});
      server.failures += statistics.value("failures", std::uint64_t{0});
      server.ejected_by += statistics.value("ejected_for_ms", std::int64_t{0}) > 0 ? 1 : 0;
      server.draining = server.draining || statistics.value("draining", false);
    }
    for (const auto& [id, holding] : entry.report.value("holdings", json::object()).items()) {
      server_view& server = servers[id];
      const std::string role = CellOf(holding, "role");
      if (role == "primary") server.primary.insert(entry.instance);
      if (role == "standby") server.standby.insert(entry.instance);
      if (role == "primary" || server.holding.empty()) server.holding = holding;
      server.draining = server.draining || holding.value("draining", false);
    }
  }
  return servers;
}

void PrintServers(const std::vector<instance_report>& reports) {
  table shown{{"BACKEND SERVER", "SERVICE", "PRIMARY", "STANDBY", "RUNNING", "SLOTS", "MEAN CALL US", "CALLS",
               "FAILURES", "EJECTED BY", "STATE"},
              {}};
  for (const auto& [id, server] : MergeServers(reports)) {
    std::string state = "in use";
    if (server.holding.value("cold", false)) state = "cold";
    if (server.holding.value("connect_failing", false)) state = "no connection";
    if (server.draining) state = "draining";
    shown.rows.push_back({id, server.service, Join(server.primary), Join(server.standby),
                          CellOf(server.holding, "running"), CellOf(server.holding, "slots"),
                          CellOf(server.holding, "mean_call_us"), std::to_string(server.calls),
                          std::to_string(server.failures), std::to_string(server.ejected_by), state});
  }
  PrintTable(shown, "no backend servers");
}

void PrintDrains(const std::vector<instance_report>& reports) {
  std::map<std::string, std::set<std::string>> recorded;
  std::map<std::string, std::set<std::string>> inventory;
  for (const instance_report& entry : reports) {
    if (entry.report.is_null()) continue;
    for (const json& drain : entry.report.value("recorded", json::array())) {
      recorded[CellOf(drain, "backend_server")].insert(entry.instance);
    }
    for (const json& id : entry.report.value("inventory", json::array()))
      inventory[CellOf(id)].insert(entry.instance);
  }
  table shown{{"BACKEND SERVER", "SOURCE", "KNOWN TO INSTANCES"}, {}};
  for (const auto& [id, instances] : recorded)
    shown.rows.push_back({id, "own word", std::to_string(instances.size())});
  for (const auto& [id, instances] : inventory)
    shown.rows.push_back({id, "inventory", std::to_string(instances.size())});
  PrintTable(shown, "no backend server is draining");
}

void PrintWithheld(const std::vector<instance_report>& reports) {
  std::map<std::string, std::pair<std::int64_t, std::size_t>> withheld;
  for (const instance_report& entry : reports) {
    if (entry.report.is_null()) continue;
    for (const json& request : entry.report.value("withheld", json::array())) {
      auto& [remaining, count] = withheld[CellOf(request, "fingerprint")];
      remaining = std::max(remaining, request.value("remaining_ms", std::int64_t{0}));
      ++count;
    }
  }
  table shown{{"FINGERPRINT", "REMAINING MS", "KNOWN TO INSTANCES"}, {}};
  for (const auto& [fingerprint, entry] : withheld) {
    shown.rows.push_back({fingerprint, std::to_string(entry.first), std::to_string(entry.second)});
  }
  PrintTable(shown, "no request is withheld");
}

void PrintBudgets(const std::vector<instance_report>& reports) {
  table shown{{"INSTANCE", "COLLECTION", "IN FLIGHT", "LIMIT", "ADMITTED", "REFUSED", "RECENT CALLS", "HEDGES",
               "HEDGES DENIED", "RETRIES", "RETRIES DENIED"},
              {}};
  for (const instance_report& entry : reports) {
    if (entry.report.is_null()) continue;
    for (const auto& [id, collection] : entry.report.value("collections", json::object()).items()) {
      const json hedges = collection.value("hedges", json::object());
      const json retries = collection.value("retries", json::object());
      shown.rows.push_back({entry.instance, id, CellOf(collection, "in_flight"), CellOf(collection, "limit"),
                            CellOf(collection, "admitted"), CellOf(collection, "refused"),
                            CellOf(hedges, "recent_calls"), CellOf(hedges, "recent_extra"), CellOf(hedges, "denied"),
                            CellOf(retries, "recent_extra"), CellOf(retries, "denied")});
    }
  }
  PrintTable(shown, "no collection has been queried");
}

void PrintExplanation(const json& report) {
  fmt::print("query {}: {} {}\n", CellOf(report, "query_id"), CellOf(report, "collection"),
             CellOf(report, "operation"));
  table shown{{"AT US", "DECISION", "SNAPSHOT", "SHARD", "BACKEND SERVER", "GATHERER", "REASON"}, {}};
  for (const json& line : report.value("decisions", json::array())) {
    shown.rows.push_back({CellOf(line, "at_us"), CellOf(line, "decision"), CellOf(line, "snapshot"),
                          CellOf(line, "shard"), CellOf(line, "backend_server"), CellOf(line, "gatherer"),
                          CellOf(line, "reason")});
  }
  PrintTable(shown, "no decisions are recorded");
  if (report.contains("decisions_dropped")) {
    fmt::print("{} more decisions were not kept\n", CellOf(report, "decisions_dropped"));
  }
}

}  // namespace

int ShowInstances(const options& chosen) {
  const json view = AskFirst(chosen, "/v1/status/instances");
  if (view.is_null()) return kExitUnreachable;
  if (chosen.json) {
    PrintDocument(view);
    return kExitOk;
  }
  const json self = view.value("self", json::object());
  table shown{{"INSTANCE", "DATA CENTRE", "STATE", "REVISION", "LAST CONTACT MS", "HTTP", "PEER"}, {}};
  const auto add = [&shown](const json& member, const std::string& contact) {
    shown.rows.push_back({CellOf(member, "id"), CellOf(member, "data_centre"), CellOf(member, "state"),
                          CellOf(member, "revision"), contact, CellOf(member, "http_address"),
                          CellOf(member, "peer_address")});
  };
  add(self, "-");
  for (const json& member : view.value("instances", json::array()))
    add(member, CellOf(member, "last_contact_ms"));
  fmt::print("as {} sees them:\n", CellOf(self, "id"));
  PrintTable(shown, "no instances");
  return kExitOk;
}

int ShowBackendServers(const options& chosen) {
  return ShowReports(chosen, "/v1/status/backend_servers", PrintServers);
}

int ShowConfiguration(const options& chosen) {
  return ShowReports(chosen, "/v1/status/configuration", PrintConfigurations);
}

int ShowDrains(const options& chosen) { return ShowReports(chosen, "/v1/status/drains", PrintDrains); }

int ShowWithheld(const options& chosen) { return ShowReports(chosen, "/v1/status/withheld", PrintWithheld); }

int ShowBudgets(const options& chosen) { return ShowReports(chosen, "/v1/status/budgets", PrintBudgets); }

int ExplainQuery(const options& chosen) {
  const std::vector<instance_report> reports =
      AskAll(chosen, "/v1/explain?query=" + EncodePercent(chosen.arguments[0]));
  if (reports.empty()) return kExitUnreachable;
  for (const instance_report& entry : reports) {
    if (entry.report.is_null()) continue;
    if (chosen.json) {
      PrintDocument(entry.report);
    } else {
      PrintExplanation(entry.report);
    }
    return kExitOk;
  }
  fmt::print(stderr, "limpetctl: no instance remembers query {}\n", chosen.arguments[0]);
  return kExitRefused;
}

}  // namespace limpetrouter::cli
