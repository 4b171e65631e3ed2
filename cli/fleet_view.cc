#include "cli/fleet_view.h"

#include <fmt/format.h>

#include "cli/http_client.h"

namespace limpetrouter::cli {
namespace {

using nlohmann::json;

/// The decoded answer, or null with `failure` set.
json AskOne(const std::string& address, const std::string& path, std::int64_t timeout_ms, std::string& failure) {
  const http_result answer = Get(address, path, timeout_ms);
  if (!answer.has_value()) {
    failure = answer.error().what;
    return nullptr;
  }
  json document = json::parse(answer->body, nullptr, false);
  if (answer->status == 200 && !document.is_discarded()) return document;
  failure = fmt::format("{}: HTTP status {}: {}", address, answer->status, answer->body);
  return nullptr;
}

}  // namespace

json AskFirst(const options& chosen, const std::string& path) {
  for (const std::string& address : chosen.addresses) {
    std::string failure;
    json document = AskOne(address, path, chosen.timeout_ms, failure);
    if (!document.is_null()) return document;
    fmt::print(stderr, "limpetctl: {}\n", failure);
  }
  return nullptr;
}

std::vector<instance_report> AskAll(const options& chosen, const std::string& path) {
  std::vector<instance_report> reports;
  const json view = AskFirst(chosen, "/v1/status/instances");
  if (view.is_null()) return reports;
  json members = view.value("instances", json::array());
  if (view.contains("self")) members.insert(members.begin(), view["self"]);
  for (const json& member : members) {
    if (member.value("state", "") == "dead") continue;
    instance_report entry{member.value("id", ""), member.value("http_address", ""), nullptr, {}};
    entry.report = AskOne(entry.address, path, chosen.timeout_ms, entry.failure);
    reports.push_back(std::move(entry));
  }
  return reports;
}

void PrintUnreachable(const std::vector<instance_report>& reports) {
  for (const instance_report& entry : reports) {
    if (entry.report.is_null()) fmt::print(stderr, "limpetctl: {} did not answer: {}\n", entry.instance, entry.failure);
  }
}

json MergeReports(const std::vector<instance_report>& reports) {
  json merged = json::object();
  for (const instance_report& entry : reports)
    merged[entry.instance] = entry.report;
  return merged;
}

}  // namespace limpetrouter::cli
