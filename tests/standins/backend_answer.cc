#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

#include "core/base/digest.h"
#include "tests/standins/backend_server.h"

namespace limpetrouter::tests::standins {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 10> kAnswerKinds = {
    "normal",        "late",        "silent",         "truncated",    "doubled",
    "wrong_attempt", "wrong_shard", "wrong_snapshot", "wrong_digest", "wrong_documents"};

/// Returns true if the document has all the given fields with the given values.
bool Matches(const document& entry, const json& required_fields) {
  return std::all_of(required_fields.items().begin(), required_fields.items().end(), [&entry](const auto& item) {
    const auto field = entry.value.find(item.key());
    return field != entry.value.end() && *field == item.value();
  });
}

/// Returns what the request asks for: the document with its key, the documents that match its body, or all documents.
/// A non-repeatable request is answered with a receipt that contains the digest of its body.
answer_content SelectContent(const json& request, const shard_data& data) {
  const std::string key = request.value("key", "");
  const json body = request.value("body", json::object());
  const json required_fields = body.value("match", json::object());
  if (!request.value("repeatable", true)) {
    document receipt;
    receipt.key = key;
    receipt.value = {{"recorded", true}, {"details", core::base::HexDigest(body.dump())}};
    receipt.totals = {{"recorded", 1}};
    return MakeContent({&receipt});
  }
  if (key.empty() && required_fields.empty()) return data.all_documents;
  std::vector<const document*> selected;
  for (const document& entry : data.documents) {
    if ((key.empty() || entry.key == key) && Matches(entry, required_fields)) selected.push_back(&entry);
  }
  return MakeContent(selected);
}

/// Replaces the value of a field by a different one of the same type.
std::string ReplaceField(const std::string& body, const std::string& name) {
  json changed = json::parse(body);
  if (changed[name].is_string()) {
    changed[name] = "ffffffffffffffff";
  } else {
    changed[name] = changed[name].get<std::uint64_t>() + 1;
  }
  return changed.dump();
}

}  // namespace

bool IsAnswerKind(const std::string& name) {
  return std::find(kAnswerKinds.begin(), kAnswerKinds.end(), name) != kAnswerKinds.end();
}

std::string MakeAnswer(const json& request, const shard_data& data, bool draining, bool empty) {
  static const shard_data no_data{{}, MakeContent({})};
  const shard_data& answered_data = empty ? no_data : data;
  const answer_content content = SelectContent(request, answered_data);
  return fmt::format(R"({{"entry":{},"incarnation":{},"query":{},"attempt":{},"snapshot":{},"shard":{},"documents":{},)"
                     R"("rows":{},"totals":{},"digest":"{}","draining":{}}})",
                     request["entry"].dump(), request["incarnation"].dump(), request["query"].dump(),
                     request["attempt"].dump(), request["snapshot"].dump(), request["shard"].dump(),
                     answered_data.documents.size(), content.rows, content.totals, content.digest, draining);
}

void SendAnswer(const run_call& call, const std::string& fault, std::string body) {
  if (fault == "silent") return;
  if (fault == "truncated") {
    const std::string response = RawResponse(200, body);
    SendRaw(call.connection, response.substr(0, response.size() - body.size() / 2 - 1));
    CloseConnection(call.connection);
    return;
  }
  if (fault == "doubled") {
    const std::string response = RawResponse(200, body);
    SendRaw(call.connection, response + response);
    return;
  }
  if (fault.starts_with("wrong_")) body = ReplaceField(body, fault.substr(6));
  SendJson(*call.writer, 200, body);
}

}  // namespace limpetrouter::tests::standins
