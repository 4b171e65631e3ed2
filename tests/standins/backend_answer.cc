#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

#include "core/base/digest.h"
#include "tests/standins/backend_server.h"

namespace limpetrouter::tests::standins {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 10> kFaults = {"normal",       "late",           "silent",      "truncated",
                                                      "doubled",      "wrong_attempt",  "wrong_shard", "wrong_snapshot",
                                                      "wrong_digest", "wrong_documents"};

bool Matches(const document& entry, const json& match) {
  return std::all_of(match.items().begin(), match.items().end(), [&entry](const auto& item) {
    const auto field = entry.value.find(item.key());
    return field != entry.value.end() && *field == item.value();
  });
}

answer_content SelectContent(const json& request, const shard_data& data) {
  const std::string key = request.value("key", "");
  const json body = request.value("body", json::object());
  const json match = body.value("match", json::object());
  if (!request.value("repeatable", true)) {
    document written;
    written.key = key;
    written.value = {{"recorded", true}, {"details", core::base::HexDigest(body.dump())}};
    written.totals = {{"recorded", 1}};
    return MakeContent({&written});
  }
  if (key.empty() && match.empty()) return data.whole;
  std::vector<const document*> selected;
  for (const document& entry : data.documents) {
    if ((key.empty() || entry.key == key) && Matches(entry, match)) selected.push_back(&entry);
  }
  return MakeContent(selected);
}

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

bool IsAnswerFault(const std::string& name) { return std::find(kFaults.begin(), kFaults.end(), name) != kFaults.end(); }

std::string MakeAnswer(const json& request, const shard_data& data, bool draining, bool empty) {
  static const shard_data no_data{{}, MakeContent({})};
  const shard_data& used = empty ? no_data : data;
  const answer_content content = SelectContent(request, used);
  return fmt::format(R"({{"entry":{},"incarnation":{},"query":{},"attempt":{},"snapshot":{},"shard":{},"documents":{},)"
                     R"("rows":{},"totals":{},"digest":"{}","draining":{}}})",
                     request["entry"].dump(), request["incarnation"].dump(), request["query"].dump(),
                     request["attempt"].dump(), request["snapshot"].dump(), request["shard"].dump(),
                     used.documents.size(), content.rows, content.totals, content.digest, draining);
}

void SendAnswer(const run_call& call, const std::string& fault, std::string body) {
  if (fault == "silent") return;
  if (fault == "truncated") {
    const std::string whole = RawResponse(200, body);
    SendRaw(call.connection, whole.substr(0, whole.size() - body.size() / 2 - 1));
    CloseConnection(call.connection);
    return;
  }
  if (fault == "doubled") {
    const std::string whole = RawResponse(200, body);
    SendRaw(call.connection, whole + whole);
    return;
  }
  if (fault.starts_with("wrong_")) body = ReplaceField(body, fault.substr(6));
  SendJson(*call.writer, 200, body);
}

}  // namespace limpetrouter::tests::standins
