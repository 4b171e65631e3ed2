#include "shell/json_codec.h"

#include <utility>

#include <fmt/format.h>

#include "shell/json_fields.h"

namespace limpetrouter::shell {
namespace {

using core::base::error_kind;
using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::size_t kMaxPermitBytes = 256;
constexpr std::size_t kMaxTextBytes = 64 * 1024;
/// One day. A longer deadline is assumed to be in the wrong unit.
constexpr std::int64_t kMaxDeadlineMs = 86'400'000;
constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint32_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();

/// Whether brackets outside strings are nested deeper than kMaxJsonDepth. The computed depth is exact for valid JSON.
/// For invalid JSON, it is never too low before the first syntax error.
bool IsTooDeep(std::string_view text) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
      continue;
    }
    if (c == '"') in_string = true;
    if ((c == '[' || c == '{') && ++depth > kMaxJsonDepth) return true;
    if ((c == ']' || c == '}') && depth > 0) --depth;
  }
  return false;
}

json CoverageToJson(const core::peer::coverage& coverage) {
  const bool complete =
      coverage.documents_answered == coverage.documents_total && coverage.shards_answered == coverage.shards_total;
  return {{"documents_answered", coverage.documents_answered},
          {"documents_total", coverage.documents_total},
          {"shards_answered", coverage.shards_answered},
          {"shards_total", coverage.shards_total},
          {"complete", complete}};
}

/// Writes rows as text without the JSON library: their values already are JSON, and parsing them again would dominate
/// the cost of large answers.
void AppendRows(std::string& out, const std::vector<core::peer::result_row>& rows) {
  out += ",\"rows\":[";
  bool first = true;
  for (const core::peer::result_row& row : rows) {
    if (!first) out += ',';
    first = false;
    out += "{\"key\":";
    out += WriteJson(json(row.key));
    out += ",\"value\":";
    out += row.value.empty() ? "null" : row.value;
    out += '}';
  }
  out += ']';
}

std::string EncodeSuccess(const core::peer::query_answer& answer) {
  json totals = json::object();
  for (const core::peer::result_total& total : answer.totals)
    totals[total.name] = total.value;
  std::string out = "{";
  if (!answer.request_id.empty()) out += "\"request_id\":" + WriteJson(json(answer.request_id)) + ",";
  out += fmt::format("\"query_id\":{},\"status\":\"ok\",\"snapshot\":{},\"revision\":{},\"coverage\":{}",
                     WriteJson(json(answer.query_id)), answer.snapshot.value, answer.revision.value,
                     WriteJson(CoverageToJson(answer.coverage)));
  AppendRows(out, answer.rows);
  out += ",\"totals\":" + WriteJson(totals) + "}";
  return out;
}

std::string EncodeRefusal(const core::peer::query_answer& answer) {
  json document = {{"status", "refused"},
                   {"error", core::base::ToString(answer.failure)},
                   {"executed", core::base::ToString(answer.executed)},
                   {"detail", answer.detail}};
  if (!answer.request_id.empty()) document["request_id"] = answer.request_id;
  if (!answer.query_id.empty()) document["query_id"] = answer.query_id;
  if (answer.retry_after_ms > 0) document["retry_after_ms"] = answer.retry_after_ms;
  if (answer.coverage.shards_total > 0) document["coverage"] = CoverageToJson(answer.coverage);
  return WriteJson(document);
}

void ReadCoverage(json_fields& fields, core::peer::coverage& out, bool required) {
  const json* object = fields.Object("coverage", required);
  if (object == nullptr) return;
  json_fields coverage(*object, error_kind::kAnswerMalformed, "coverage.");
  coverage.Integer<std::uint64_t>("documents_answered", out.documents_answered, 0, kMaxUint64, true);
  coverage.Integer<std::uint64_t>("documents_total", out.documents_total, 0, kMaxUint64, true);
  coverage.Integer<std::uint32_t>("shards_answered", out.shards_answered, 0, kMaxUint32, true);
  coverage.Integer<std::uint32_t>("shards_total", out.shards_total, 0, kMaxUint32, true);
  if (!coverage.ok()) fields.Fail("", coverage.error().detail);
}

void ReadSuccess(json_fields& fields, core::peer::query_answer& answer) {
  answer.succeeded = true;
  answer.executed = core::base::executed_state::kYes;
  fields.Integer<std::uint64_t>("snapshot", answer.snapshot.value, 0, kMaxUint64, true);
  fields.Integer<std::uint64_t>("revision", answer.revision.value, 0, kMaxUint64, true);
  ReadCoverage(fields, answer.coverage, true);
  ReadRowsAndTotals(fields, answer.rows, answer.totals);
}

void ReadRefusal(json_fields& fields, core::peer::query_answer& answer) {
  std::string error;
  std::string executed;
  fields.Text("error", error, kMaxNameBytes, true);
  fields.Text("executed", executed, kMaxNameBytes, true);
  fields.Text("detail", answer.detail, kMaxTextBytes, false);
  fields.Integer<std::int64_t>("retry_after_ms", answer.retry_after_ms, 0, kMaxInt64, false);
  ReadCoverage(fields, answer.coverage, false);
  if (!fields.ok()) return;
  const auto kind = core::base::ParseErrorKind(error);
  const auto state = core::base::ParseExecutedState(executed);
  if (!kind.has_value()) return fields.Fail("error", fmt::format("\"{}\" is not a known error kind", error));
  if (!state.has_value())
    return fields.Fail("executed", fmt::format("is \"{}\" (allowed: no, yes, unknown)", executed));
  answer.failure = *kind;
  answer.executed = *state;
}

}  // namespace

core::base::result<json> ParseJson(std::string_view text, error_kind kind) {
  if (IsTooDeep(text)) return core::base::Fail(kind, fmt::format("nested deeper than {} levels", kMaxJsonDepth));
  try {
    return json::parse(text);
  } catch (const json::exception& e) {
    // The library's message may quote input that is not UTF-8. Answers and log lines must be valid UTF-8, so
    // `WriteJson` replaces such bytes.
    std::string escaped = WriteJson(json(std::string_view(e.what()).substr(0, 200)));
    return core::base::Fail(kind, fmt::format("not valid JSON: {}", escaped.substr(1, escaped.size() - 2)));
  }
}

std::string WriteJson(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

core::base::result<core::peer::query_request> DecodeQueryRequest(std::string_view text) {
  const core::base::result<json> document = ParseJson(text, error_kind::kInvalidRequest);
  if (!document.has_value()) return tl::make_unexpected(document.error());
  core::peer::query_request request;
  json_fields fields(*document, error_kind::kInvalidRequest);
  fields.Text("request_id", request.request_id, kMaxNameBytes, false);
  fields.Text("collection", request.collection.value, kMaxNameBytes, true);
  fields.Text("operation", request.operation.value, kMaxNameBytes, true);
  fields.Text("key", request.key, kMaxKeyBytes, false);
  fields.Integer<std::int64_t>("deadline_ms", request.deadline_ms, 1, kMaxDeadlineMs, false);
  fields.Text("permit", request.permit, kMaxPermitBytes, false);
  const json* body = fields.Object("body", false);
  if (!fields.ok()) return tl::make_unexpected(fields.error());
  request.body = body == nullptr ? "{}" : WriteJson(*body);
  return request;
}

std::string EncodeQueryRequest(const core::peer::query_request& request) {
  json document = {{"collection", request.collection.value}, {"operation", request.operation.value}};
  if (!request.request_id.empty()) document["request_id"] = request.request_id;
  if (!request.key.empty()) document["key"] = request.key;
  if (!request.permit.empty()) document["permit"] = request.permit;
  if (request.deadline_ms > 0) document["deadline_ms"] = request.deadline_ms;
  if (!request.body.empty()) document["body"] = json::parse(request.body, nullptr, false);
  return WriteJson(document);
}

std::string EncodeQueryAnswer(const core::peer::query_answer& answer) {
  return answer.succeeded ? EncodeSuccess(answer) : EncodeRefusal(answer);
}

core::base::result<core::peer::query_answer> DecodeQueryAnswer(std::string_view text) {
  const core::base::result<json> document = ParseJson(text, error_kind::kAnswerMalformed);
  if (!document.has_value()) return tl::make_unexpected(document.error());
  core::peer::query_answer answer;
  std::string status;
  json_fields fields(*document, error_kind::kAnswerMalformed);
  fields.Text("status", status, kMaxNameBytes, true);
  fields.Text("request_id", answer.request_id, kMaxNameBytes, false);
  fields.Text("query_id", answer.query_id, kMaxTextBytes, false);
  if (fields.ok() && status == "ok") {
    ReadSuccess(fields, answer);
  } else if (fields.ok() && status == "refused") {
    ReadRefusal(fields, answer);
  } else {
    fields.Fail("status", fmt::format("is \"{}\" (allowed: ok, refused)", status));
  }
  if (!fields.ok()) return tl::make_unexpected(fields.error());
  return answer;
}

std::string EncodeAddresses(const core::io::addresses_answer& answer) {
  json addresses = json::array();
  for (const core::io::caller_address& address : answer.addresses) {
    addresses.push_back({{"instance", address.instance.value}, {"address", address.http_address}});
  }
  json document = {{"addresses", std::move(addresses)},
                   {"valid_for_ms", core::base::ToMilliseconds(answer.validity)},
                   {"permits", answer.permits}};
  if (!answer.permits.empty()) document["permits_valid_for_ms"] = core::base::ToMilliseconds(answer.permit_validity);
  return WriteJson(document);
}

core::base::result<core::io::addresses_answer> DecodeAddresses(std::string_view text) {
  const core::base::result<json> document = ParseJson(text, error_kind::kAnswerMalformed);
  if (!document.has_value()) return tl::make_unexpected(document.error());
  core::io::addresses_answer answer;
  json_fields fields(*document, error_kind::kAnswerMalformed);
  std::int64_t valid_ms = 0;
  std::int64_t permits_ms = 0;
  fields.Integer<std::int64_t>("valid_for_ms", valid_ms, 0, kMaxDeadlineMs, true);
  fields.Integer<std::int64_t>("permits_valid_for_ms", permits_ms, 0, kMaxDeadlineMs, false);
  answer.validity = std::chrono::milliseconds(valid_ms);
  answer.permit_validity = std::chrono::milliseconds(permits_ms);
  const json* addresses = fields.Array("addresses", true);
  const json* permits = fields.Array("permits", false);
  if (!fields.ok()) return tl::make_unexpected(fields.error());
  for (const json& item : *addresses) {
    json_fields entry(item, error_kind::kAnswerMalformed, fmt::format("addresses[{}].", answer.addresses.size()));
    core::io::caller_address address;
    entry.Text("instance", address.instance.value, kMaxNameBytes, true);
    entry.Text("address", address.http_address, kMaxNameBytes, true);
    if (!entry.ok()) return tl::make_unexpected(entry.error());
    answer.addresses.push_back(std::move(address));
  }
  if (permits == nullptr) return answer;
  for (const json& permit : *permits) {
    if (!permit.is_string())
      return core::base::Fail(error_kind::kAnswerMalformed, "permits has an element that is not a string");
    answer.permits.push_back(permit.get<std::string>());
  }
  return answer;
}

std::string EncodeError(const core::base::error& error, core::base::executed_state executed) {
  return WriteJson({{"status", "refused"},
                    {"error", core::base::ToString(error.kind)},
                    {"executed", core::base::ToString(executed)},
                    {"detail", error.detail}});
}

}  // namespace limpetrouter::shell
