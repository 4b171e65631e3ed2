#include "shell/backend_client.h"

#include <mutex>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "core/base/random.h"
#include "scripted_server.h"
#include "shell/backend_codec.h"
#include "shell/json_codec.h"

namespace limpetrouter::shell {
namespace {

using core::base::error_kind;
using core::base::executed_state;
using core::peer::attempt_result;
using nlohmann::json;
using std::chrono::milliseconds;

core::io::call_backend MakeCall(const std::string& address, std::uint64_t attempt = 99, bool repeatable = true) {
  core::io::call_backend call;
  call.entry = {core::base::instance_id("k1"), core::base::incarnation_id(5)};
  call.attempt = core::base::attempt_sequence(attempt);
  call.query = core::base::query_sequence(42);
  call.backend_server = core::base::backend_server_id("stock-01-a");
  call.address = address;
  call.snapshot = core::base::snapshot_id(41);
  call.shard = core::base::shard_id(3);
  call.body = R"({"a":1})";
  call.repeatable = repeatable;
  call.remaining = milliseconds(2000);
  return call;
}

/// Returns the correct answer to a call of `MakeCall`.
json MakeAnswer(std::uint64_t attempt = 99) {
  json answer = {{"entry", "k1"},
                 {"incarnation", 5},
                 {"query", 42},
                 {"attempt", attempt},
                 {"snapshot", 41},
                 {"shard", 3},
                 {"documents", 120},
                 {"rows", {{{"key", "r"}, {"value", {{"b", 1}, {"a", 2}}}}}},
                 {"totals", {{"litres", 7}}},
                 {"draining", false}};
  answer["digest"] = AnswerDigest({{"r", R"({"a":2,"b":1})"}}, {{"litres", 7}});
  return answer;
}

/// Collects the events of a client. Thread-safe.
struct event_collector {
  std::mutex mutex;
  std::vector<core::io::event> events;

  std::function<void(core::io::event)> Callback() {
    return [this](core::io::event event) {
      const std::lock_guard lock(mutex);
      events.push_back(std::move(event));
    };
  }
  std::size_t Size() {
    const std::lock_guard lock(mutex);
    return events.size();
  }
  attempt_result Result(std::size_t index) {
    const std::lock_guard lock(mutex);
    return std::get<core::io::backend_call_ended>(events.at(index)).result;
  }
};

attempt_result CallOnce(const core::io::call_backend& call) {
  event_collector collector;
  backend_client client(collector.Callback());
  client.Call(call);
  REQUIRE(Eventually([&] { return collector.Size() == 1; }));
  return collector.Result(0);
}

// Guards against an accepted answer that loses rows, totals or documents.
TEST_CASE("a correct answer is accepted") {
  scripted_server server([](const std::string&) { return scripted_reply{HttpAnswer(200, MakeAnswer().dump())}; });
  const attempt_result result = CallOnce(MakeCall(server.Address()));
  CHECK(result.succeeded);
  CHECK(result.executed == executed_state::kYes);
  CHECK(result.documents == 120);
  REQUIRE(result.rows.size() == 1);
  CHECK(result.rows[0].value == R"({"a":2,"b":1})");
  REQUIRE(result.totals.size() == 1);
  CHECK(result.totals[0].value == 7);
  const std::string request = server.Requests().at(0);
  const json body = json::parse(request.substr(request.find("\r\n\r\n") + 4));
  CHECK(body["attempt"] == 99);
  CHECK(body["body"] == json{{"a", 1}});
  CHECK(body["deadline_ms"] == 2000);
}

// Guards against a failed call that is reported as not executed without proof, or with another error kind.
TEST_CASE("each failure of a call has its kind and its execution state") {
  struct row {
    std::string name;
    scripted_reply reply;
    error_kind failure;
    executed_state executed;
  };
  const std::string complete = HttpAnswer(200, MakeAnswer().dump());
  json mismatched = MakeAnswer(98);
  json damaged = MakeAnswer();
  damaged["totals"]["litres"] = 8;
  const auto r = GENERATE_COPY(values<row>({
      {"closed without answer", {"", true}, error_kind::kConnectionLost, executed_state::kUnknown},
      {"truncated header", {complete.substr(0, 20), true}, error_kind::kConnectionLost, executed_state::kUnknown},
      {"truncated body",
       {complete.substr(0, complete.size() - 5), true},
       error_kind::kAnswerTruncated,
       executed_state::kUnknown},
      {"mismatched", {HttpAnswer(200, mismatched.dump())}, error_kind::kAnswerMismatched, executed_state::kUnknown},
      {"damaged", {HttpAnswer(200, damaged.dump())}, error_kind::kAnswerMalformed, executed_state::kUnknown},
      {"not JSON", {HttpAnswer(200, "{")}, error_kind::kAnswerMalformed, executed_state::kUnknown},
      {"not HTTP", {"nonsense\r\n\r\n", true}, error_kind::kAnswerMalformed, executed_state::kUnknown},
      {"too large",
       {HttpAnswer(200, std::string(5'000'000, ' '))},
       error_kind::kAnswerMalformed,
       executed_state::kUnknown},
      {"shed", {HttpAnswer(429, R"({"error":"shed","executed":"no"})")}, error_kind::kBackendShed, executed_state::kNo},
      {"draining",
       {HttpAnswer(503, R"({"error":"draining","executed":"no"})")},
       error_kind::kBackendDraining,
       executed_state::kNo},
      {"execution state missing",
       {HttpAnswer(410, R"({"error":"snapshot_gone"})")},
       error_kind::kSnapshotGone,
       executed_state::kUnknown},
      {"executed",
       {HttpAnswer(504, R"({"error":"deadline","executed":"yes"})")},
       error_kind::kDeadlineExceeded,
       executed_state::kYes},
      {"execution state unknown",
       {HttpAnswer(400, R"({"error":"rejected","executed":"maybe"})")},
       error_kind::kBackendRejected,
       executed_state::kUnknown},
      {"unknown error",
       {HttpAnswer(500, R"({"error":"odd","executed":"no"})")},
       error_kind::kAnswerMalformed,
       executed_state::kUnknown},
  }));
  INFO(r.name);
  scripted_server server([&r](const std::string&) { return r.reply; });
  const attempt_result result = CallOnce(MakeCall(server.Address()));
  CHECK_FALSE(result.succeeded);
  CHECK(core::base::ToString(result.failure) == core::base::ToString(r.failure));
  CHECK(core::base::ToString(result.executed) == core::base::ToString(r.executed));
  CHECK(result.draining == (r.failure == error_kind::kBackendDraining));
}

// Guards against the state "unknown" for a call that was certainly not executed, which a caller could not send again.
TEST_CASE("a call that was never sent is reported as not executed") {
  core::io::call_backend refused = MakeCall(FreeAddress());
  CHECK(CallOnce(refused).failure == error_kind::kConnectFailed);
  CHECK(CallOnce(refused).executed == executed_state::kNo);

  scripted_server server([](const std::string&) { return scripted_reply{}; });
  core::io::call_backend late = MakeCall(server.Address());
  late.remaining = milliseconds(0);
  const attempt_result result = CallOnce(late);
  CHECK(result.failure == error_kind::kDeadlineExceeded);
  CHECK(result.executed == executed_state::kNo);
  CHECK(server.Requests().empty());
}

// Guards against a call that outlives its deadline, and against an answer to it that arrives later on the same
// connection.
TEST_CASE("a call that times out closes its connection") {
  scripted_server server([](const std::string&) { return scripted_reply{"", false, milliseconds(3000)}; });
  core::io::call_backend call = MakeCall(server.Address());
  call.remaining = milliseconds(100);
  const attempt_result result = CallOnce(call);
  CHECK(result.failure == error_kind::kDeadlineExceeded);
  CHECK(result.executed == executed_state::kUnknown);
  CHECK(result.called_us >= 100'000);
  CHECK(result.called_us < 1'000'000);
}

// Guards against a cancelled call that ends twice or never, and against a backend server that is not notified.
TEST_CASE("a cancelled call ends once and the backend server is notified") {
  scripted_server server([](const std::string& request) {
    if (request.find("/v1/cancel") != std::string::npos) return scripted_reply{HttpAnswer(200, "{}")};
    return scripted_reply{HttpAnswer(200, MakeAnswer().dump()), false, milliseconds(3000)};
  });
  event_collector collector;
  backend_client client(collector.Callback());
  const core::io::call_backend call = MakeCall(server.Address());
  client.Call(call);
  REQUIRE(Eventually([&] { return server.Requests().size() == 1; }));
  client.Cancel({call.entry, call.attempt, call.address});
  client.Cancel({call.entry, core::base::attempt_sequence(1), call.address});
  REQUIRE(Eventually([&] { return collector.Size() == 1 && server.Requests().size() == 2; }));
  CHECK(collector.Result(0).failure == error_kind::kCancelled);
  CHECK(collector.Result(0).executed == executed_state::kUnknown);
  CHECK(server.Requests().at(1).find(R"({"attempt":99,"entry":"k1","incarnation":5})") != std::string::npos);
  client.Stop();
  CHECK(collector.Size() == 1);
}

// Guards against the retry that libcurl does by itself when a reused connection turns out to be dead: it could execute
// a request twice that must be executed at most once.
TEST_CASE("a request that is not repeatable is written once, on its own connection") {
  std::atomic<int> executions{0};
  // The server reads a request that is not repeatable and closes the connection without an answer, as if the connection
  // had been idle for too long.
  scripted_server server([&executions](const std::string& request) {
    const bool at_most_once = request.find(R"("repeatable":false)") != std::string::npos;
    if (at_most_once) ++executions;
    return at_most_once ? scripted_reply{"", true} : scripted_reply{HttpAnswer(200, MakeAnswer().dump())};
  });
  event_collector collector;
  backend_client client(collector.Callback());
  client.Call(MakeCall(server.Address()));
  REQUIRE(Eventually([&] { return collector.Size() == 1; }));
  client.Call(MakeCall(server.Address(), 100, false));
  REQUIRE(Eventually([&] { return collector.Size() == 2; }));
  CHECK(collector.Result(1).failure == error_kind::kConnectionLost);
  CHECK(collector.Result(1).executed == executed_state::kUnknown);
  std::this_thread::sleep_for(milliseconds(50));
  CHECK(executions == 1);
  CHECK(server.Connections() == 2);
}

// Guards against reads that open a connection each, which would use up the connection limit of the backend server.
TEST_CASE("reads reuse their connection and probes open several") {
  scripted_server server([](const std::string& request) {
    if (request.find("/v1/load") == std::string::npos) return scripted_reply{HttpAnswer(200, MakeAnswer().dump())};
    return scripted_reply{HttpAnswer(200, R"({"slots_in_use":2,"queued":1,"draining":true,"boot":9})"), false,
                          milliseconds(50)};
  });
  event_collector collector;
  backend_client client(collector.Callback());
  for (std::size_t i = 1; i <= 3; ++i) {
    client.Call(MakeCall(server.Address()));
    REQUIRE(Eventually([&] { return collector.Size() == i; }));
  }
  CHECK(server.Connections() == 1);
  client.Probe({core::base::backend_server_id("stock-01-a"), server.Address(), 4});
  REQUIRE(Eventually([&] { return collector.Size() == 4 && server.Requests().size() == 7; }));
  CHECK(server.Connections() == 4);
  const auto probe = std::get<core::io::backend_probe_ended>(collector.events.at(3));
  CHECK(probe.succeeded);
  CHECK(probe.report.slots_in_use == 2);
  CHECK(probe.report.draining);
  CHECK(probe.report.boot == 9);
  client.Stop();
  CHECK(collector.Size() == 4);
}

// Guards against a damaged answer that causes a crash or is accepted.
TEST_CASE("damaged answers are refused") {
  const core::io::call_backend call = MakeCall("127.0.0.1:1");
  const std::string text = MakeAnswer().dump();
  REQUIRE(DecodeRunAnswer(call, 200, text).succeeded);
  for (std::size_t length = 0; length < text.size(); ++length) {
    CHECK_FALSE(DecodeRunAnswer(call, 200, std::string_view(text).substr(0, length)).succeeded);
  }
  core::base::random_source random{5};
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = text;
    damaged[core::base::NextBelow(random, damaged.size())] = static_cast<char>(core::base::NextRandom(random));
    const attempt_result result = DecodeRunAnswer(call, 200, damaged);
    // The changed byte may be in an ignored name, the document count or the draining flag, which the digest does not
    // cover.
    if (result.succeeded) CHECK(AnswerDigest(result.rows, result.totals) == MakeAnswer()["digest"]);
  }
}

}  // namespace
}  // namespace limpetrouter::shell
