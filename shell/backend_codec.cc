#include "shell/backend_codec.h"

#include <array>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/base/digest.h"
#include "shell/json_codec.h"
#include "shell/json_fields.h"

namespace limpetrouter::shell {
namespace {

using core::base::error_kind;
using core::base::executed_state;
using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint32_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();

struct refusal_name {
  std::string_view name;
  error_kind kind;
};

/// Values of `error` in a backend server's refusal, with the error kinds that they stand for.
constexpr std::array<refusal_name, 7> kRefusals = {{{"shed", error_kind::kBackendShed},
                                                    {"draining", error_kind::kBackendDraining},
                                                    {"snapshot_gone", error_kind::kSnapshotGone},
                                                    {"wrong_shard", error_kind::kBackendWrongShard},
                                                    {"rejected", error_kind::kBackendRejected},
                                                    {"deadline", error_kind::kDeadlineExceeded},
                                                    {"cancelled", error_kind::kCancelled}}};

core::peer::attempt_result DecodeRefusal(const core::io::call_backend& call, const json& document) {
  std::string error;
  std::string executed;
  json_fields fields(document, error_kind::kAnswerMalformed);
  fields.Text("error", error, kMaxNameBytes, true);
  fields.Text("executed", executed, kMaxNameBytes, false);
  bool draining = false;
  fields.Boolean("draining", draining, false);
  // A missing or unreadable value counts as unknown: only an explicit "no" may be reported as not executed.
  const executed_state state = core::base::ParseExecutedState(executed).value_or(executed_state::kUnknown);
  for (const refusal_name& refusal : kRefusals) {
    if (!fields.ok() || refusal.name != error) continue;
    core::peer::attempt_result result = MakeFailure(call, refusal.kind, state);
    result.draining = draining || refusal.kind == error_kind::kBackendDraining;
    return result;
  }
  return MakeFailure(call, error_kind::kAnswerMalformed, executed_state::kUnknown);
}

/// Fields of an answer that identify the call to which it belongs.
struct answer_echo {
  std::string entry;
  std::uint64_t incarnation = 0;
  std::uint64_t query = 0;
  std::uint64_t attempt = 0;
  std::uint64_t snapshot = 0;
  std::uint32_t shard = 0;
};

answer_echo ReadEcho(json_fields& fields) {
  answer_echo echo;
  fields.Text("entry", echo.entry, kMaxNameBytes, true);
  fields.Integer<std::uint64_t>("incarnation", echo.incarnation, 0, kMaxUint64, true);
  fields.Integer<std::uint64_t>("query", echo.query, 0, kMaxUint64, true);
  fields.Integer<std::uint64_t>("attempt", echo.attempt, 0, kMaxUint64, true);
  fields.Integer<std::uint64_t>("snapshot", echo.snapshot, 0, kMaxUint64, true);
  fields.Integer<std::uint32_t>("shard", echo.shard, 0, kMaxUint32, true);
  return echo;
}

bool MatchesCall(const answer_echo& echo, const core::io::call_backend& call) {
  return echo.entry == call.entry.id.value && echo.incarnation == call.entry.incarnation.value &&
         echo.query == call.query.value && echo.attempt == call.attempt.value && echo.snapshot == call.snapshot.value &&
         echo.shard == call.shard.value;
}

}  // namespace

std::string EncodeRun(const core::io::call_backend& call) {
  std::string out = "{\"entry\":" + WriteJson(json(call.entry.id.value));
  out += fmt::format(",\"incarnation\":{},\"query\":{},\"attempt\":{}", call.entry.incarnation.value, call.query.value,
                     call.attempt.value);
  out += ",\"collection\":" + WriteJson(json(call.collection.value));
  out += ",\"operation\":" + WriteJson(json(call.operation.value));
  out += fmt::format(",\"snapshot\":{},\"shard\":{}", call.snapshot.value, call.shard.value);
  out += ",\"key\":" + WriteJson(json(call.key));
  // The body already is JSON text. Parsing it once per shard would cost more than the rest of the call.
  out += ",\"body\":" + (call.body.empty() ? std::string("{}") : call.body);
  out += fmt::format(",\"deadline_ms\":{},\"repeatable\":{}}}", core::base::ToMilliseconds(call.remaining),
                     call.repeatable ? "true" : "false");
  return out;
}

std::string EncodeCancel(const core::io::cancel_backend_call& cancel) {
  return WriteJson({{"entry", cancel.entry.id.value},
                    {"incarnation", cancel.entry.incarnation.value},
                    {"attempt", cancel.attempt.value}});
}

core::peer::attempt_result MakeAttemptResult(const core::io::call_backend& call) {
  core::peer::attempt_result result;
  result.attempt = call.attempt;
  result.shard = call.shard;
  result.backend_server = call.backend_server;
  result.snapshot = call.snapshot;
  return result;
}

core::peer::attempt_result MakeFailure(const core::io::call_backend& call, error_kind failure,
                                       executed_state executed) {
  core::peer::attempt_result result = MakeAttemptResult(call);
  result.failure = failure;
  result.executed = executed;
  return result;
}

core::peer::attempt_result DecodeRunAnswer(const core::io::call_backend& call, int status, std::string_view text) {
  const core::base::result<json> document = ParseJson(text, error_kind::kAnswerMalformed);
  if (!document.has_value()) return MakeFailure(call, error_kind::kAnswerMalformed, executed_state::kUnknown);
  if (status != 200) return DecodeRefusal(call, *document);
  json_fields fields(*document, error_kind::kAnswerMalformed);
  const answer_echo echo = ReadEcho(fields);
  if (!fields.ok()) return MakeFailure(call, error_kind::kAnswerMalformed, executed_state::kUnknown);
  if (!MatchesCall(echo, call)) return MakeFailure(call, error_kind::kAnswerMismatched, executed_state::kUnknown);
  core::peer::attempt_result result = MakeAttemptResult(call);
  std::string digest;
  fields.Integer<std::uint64_t>("documents", result.documents, 0, kMaxUint64, true);
  fields.Text("digest", digest, kMaxNameBytes, true);
  fields.Boolean("draining", result.draining, false);
  ReadRowsAndTotals(fields, result.rows, result.totals);
  if (!fields.ok()) return MakeFailure(call, error_kind::kAnswerMalformed, executed_state::kUnknown);
  if (AnswerDigest(result.rows, result.totals) != digest) {
    return MakeFailure(call, error_kind::kAnswerMalformed, executed_state::kUnknown);
  }
  result.succeeded = true;
  result.executed = executed_state::kYes;
  return result;
}

std::string AnswerDigest(const std::vector<core::peer::result_row>& rows,
                         const std::vector<core::peer::result_total>& totals) {
  std::string text;
  for (const core::peer::result_row& row : rows) {
    text += row.key;
    text += '\n';
    text += row.value;
    text += '\n';
  }
  for (const core::peer::result_total& total : totals)
    text += fmt::format("{}={}\n", total.name, total.value);
  return core::base::HexDigest(text);
}

core::base::result<core::io::load_report> DecodeLoad(std::string_view text) {
  const core::base::result<json> document = ParseJson(text, error_kind::kAnswerMalformed);
  if (!document.has_value()) return tl::make_unexpected(document.error());
  core::io::load_report report;
  json_fields fields(*document, error_kind::kAnswerMalformed);
  fields.Integer<std::uint32_t>("slots_in_use", report.slots_in_use, 0, kMaxUint32, true);
  fields.Integer<std::uint32_t>("queued", report.queued, 0, kMaxUint32, true);
  fields.Boolean("draining", report.draining, true);
  fields.Integer<std::uint64_t>("boot", report.boot, 0, kMaxUint64, true);
  if (!fields.ok()) return tl::make_unexpected(fields.error());
  return report;
}

}  // namespace limpetrouter::shell
