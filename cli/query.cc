#include <algorithm>

#include <fmt/format.h>

#include "cli/commands.h"
#include "cli/fleet_view.h"
#include "cli/http_client.h"
#include "cli/table.h"
#include "shell/json_codec.h"

namespace limpetrouter::cli {
namespace {

using nlohmann::json;

/// Time beyond the deadline in which the answer must arrive.
constexpr std::int64_t kAnswerMarginMs = 1'000;

json AskAddresses(const options& chosen, std::int64_t permits) {
  std::string path = "/v1/addresses?caller=" + EncodePercent(chosen.caller);
  if (permits != 0) path += fmt::format("&permits={}", permits);
  return AskFirst(chosen, path);
}

std::vector<std::string> OrderOf(const json& answer) {
  std::vector<std::string> order;
  for (const json& entry : answer.value("addresses", json::array()))
    order.push_back(CellOf(entry, "address"));
  return order;
}

core::peer::query_request MakeRequest(const options& chosen, const std::string& permit) {
  core::peer::query_request request;
  request.request_id = chosen.request_id;
  request.collection = core::base::collection_id(chosen.arguments[0]);
  request.operation = core::base::operation_id(chosen.arguments[1]);
  request.key = chosen.key;
  request.body = chosen.body;
  request.deadline_ms = chosen.deadline_ms;
  request.permit = permit;
  return request;
}

/// True if another address may be tried: the instance told that it does not serve.
bool ShouldMoveOn(const json& answer) {
  const std::string error = CellOf(answer, "error");
  return error == "instance_leaving" || error == "warming_up";
}

void PrintAnswer(const json& answer, std::int64_t most_rows) {
  const json coverage = answer.value("coverage", json::object());
  fmt::print("query      {}\n", CellOf(answer, "query_id"));
  fmt::print("snapshot   {} at revision {}\n", CellOf(answer, "snapshot"), CellOf(answer, "revision"));
  fmt::print("coverage   {} of {} documents, {} of {} shards: {}\n", CellOf(coverage, "documents_answered"),
             CellOf(coverage, "documents_total"), CellOf(coverage, "shards_answered"), CellOf(coverage, "shards_total"),
             coverage.value("complete", false) ? "complete" : "PARTIAL");
  for (const auto& [name, value] : answer.value("totals", json::object()).items()) {
    fmt::print("total      {} = {}\n", name, CellOf(value));
  }
  const json rows = answer.value("rows", json::array());
  table shown{{"KEY", "VALUE"}, {}};
  for (const json& row : rows) {
    if (static_cast<std::int64_t>(shown.rows.size()) >= most_rows) break;
    shown.rows.push_back({CellOf(row, "key"), row.value("value", json()).dump()});
  }
  if (!shown.rows.empty()) PrintTable(shown, "");
  if (rows.size() > shown.rows.size()) fmt::print("… and {} more rows\n", rows.size() - shown.rows.size());
}

void PrintRefusal(const json& answer) {
  fmt::print("query      {}\nrefused    {}: {}\nexecuted   {}\n", CellOf(answer, "query_id"), CellOf(answer, "error"),
             CellOf(answer, "detail"), CellOf(answer, "executed"));
  if (answer.contains("retry_after_ms")) fmt::print("retry      after {} ms\n", CellOf(answer, "retry_after_ms"));
}

int PrintResult(const options& chosen, const json& answer, const std::string& permit) {
  const bool succeeded = answer.value("status", "") == "ok";
  if (chosen.json) {
    json printed = answer;
    if (chosen.get_permit) printed["permit"] = permit;
    fmt::print("{}\n", printed.dump(2));
  } else {
    if (chosen.get_permit) fmt::print("permit     {}\n", permit);
    if (succeeded) {
      PrintAnswer(answer, chosen.rows);
    } else {
      PrintRefusal(answer);
    }
  }
  return succeeded ? kExitOk : kExitRefused;
}

}  // namespace

int RunQuery(const options& chosen) {
  if (!chosen.body.empty() && !json::parse(chosen.body, nullptr, false).is_object()) {
    fmt::print(stderr, "limpetctl query: --body is not a JSON object\n");
    return kExitUsage;
  }
  const json addresses = AskAddresses(chosen, chosen.get_permit ? 1 : 0);
  if (addresses.is_null()) return kExitUnreachable;
  std::string permit = chosen.permit;
  if (chosen.get_permit) {
    const json permits = addresses.value("permits", json::array());
    if (permits.empty()) {
      fmt::print(stderr, "limpetctl query: the instance gave no permit\n");
      return kExitRefused;
    }
    permit = CellOf(permits[0]);
  }
  const std::string body = shell::EncodeQueryRequest(MakeRequest(chosen, permit));
  const std::int64_t timeout = std::max(chosen.timeout_ms, chosen.deadline_ms + kAnswerMarginMs);
  json last;
  for (const std::string& address : OrderOf(addresses)) {
    const http_result answer = Post(address, "/v1/query", body, timeout);
    if (!answer.has_value()) {
      fmt::print(stderr, "limpetctl: {}\n", answer.error().what);
      if (answer.error().not_connected) continue;
      // The request may have run. The permit is printed so that the same request can be sent again safely.
      if (!permit.empty()) fmt::print(stderr, "limpetctl: send it again only with --permit {}\n", permit);
      return kExitUnreachable;
    }
    last = json::parse(answer->body, nullptr, false);
    if (!last.is_object()) {
      fmt::print(stderr, "limpetctl: {}: the answer is not JSON (HTTP status {})\n", address, answer->status);
      return kExitUnreachable;
    }
    if (!ShouldMoveOn(last)) return PrintResult(chosen, last, permit);
  }
  if (last.is_null()) return kExitUnreachable;
  return PrintResult(chosen, last, permit);
}

int ShowAddresses(const options& chosen) {
  const json answer = AskAddresses(chosen, chosen.permits);
  if (answer.is_null()) return kExitUnreachable;
  if (chosen.json) {
    fmt::print("{}\n", answer.dump(2));
    return kExitOk;
  }
  table shown{{"INSTANCE", "ADDRESS"}, {}};
  for (const json& entry : answer.value("addresses", json::array())) {
    shown.rows.push_back({CellOf(entry, "instance"), CellOf(entry, "address")});
  }
  PrintTable(shown, "no addresses");
  fmt::print("valid for {} ms\n", CellOf(answer, "valid_for_ms"));
  for (const json& permit : answer.value("permits", json::array()))
    fmt::print("permit {}\n", CellOf(permit));
  if (answer.contains("permits_valid_for_ms") && chosen.permits != 0) {
    fmt::print("permits valid for {} ms\n", CellOf(answer, "permits_valid_for_ms"));
  }
  return kExitOk;
}

}  // namespace limpetrouter::cli
