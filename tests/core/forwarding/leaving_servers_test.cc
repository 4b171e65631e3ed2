#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "core/forwarding/server_table.h"
#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

using base::error_kind;
using base::executed_state;

constexpr std::uint64_t kIncarnation = 5;

server_record MakeRecord(const std::string& id, std::uint64_t incarnation = kIncarnation) {
  server_record record = forwarding_fixture::MakeServer(id, "single", "a");
  record.incarnation = incarnation;
  record.sequence = 1;
  return record;
}

forwarding_fixture FixtureWithServers(std::size_t count) {
  forwarding_fixture fixture;
  route made = forwarding_fixture::MakeRoute(repeat_policy::kIdempotent);
  made.max_attempts = 3;
  fixture.SetRoute(made);
  for (std::size_t i = 0; i < count; ++i)
    fixture.AddServers({MakeRecord("server" + std::to_string(i))});
  return fixture;
}

call_result WithLeave(call_result result) {
  result.server_leaving = true;
  return result;
}

/// Sends one request and lets its answer state that the server leaves. Returns that server.
base::backend_server_id LearnOfLeave(forwarding_fixture& fixture) {
  fixture.Send();
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 1);
  fixture.End(calls[0], WithLeave(forwarding_fixture::Served()));
  fixture.TakeReplies();
  return calls[0].server;
}

/// Sends requests and returns the servers that they reach.
std::set<std::string> ServersReached(forwarding_fixture& fixture, int requests = 12) {
  std::set<std::string> reached;
  for (int i = 0; i < requests; ++i) {
    fixture.Send();
    for (const auto& call : fixture.TakeCalls()) {
      reached.insert(call.server.value);
      fixture.now += milliseconds(10);
      fixture.End(call, forwarding_fixture::Served());
    }
  }
  fixture.TakeReplies();
  return reached;
}

// Guards against requests that reach a server after it has said that it leaves, whichever answer said so.
TEST_CASE("a server that states that it leaves gets no further request") {
  enum class statement { kSuccess, kFailure, kRefusal, kAfterAbandon };
  const auto kind = GENERATE(statement::kSuccess, statement::kFailure, statement::kRefusal, statement::kAfterAbandon);
  INFO("statement " << static_cast<int>(kind));
  forwarding_fixture fixture = FixtureWithServers(2);
  const base::reply_handle handle = fixture.Send();
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 1);
  call_result result = forwarding_fixture::Served();
  if (kind == statement::kFailure) {
    result.status = 500;
  } else if (kind == statement::kRefusal) {
    result = forwarding_fixture::Failed(error_kind::kBackendShed, executed_state::kNo);
  } else if (kind == statement::kAfterAbandon) {
    instance::context ctx = fixture.Context();
    AbandonRequest(fixture.tables, ctx, handle);
  }
  fixture.now += milliseconds(10);
  fixture.End(calls[0], WithLeave(result));
  for (const auto& retry : fixture.TakeCalls()) {
    CHECK(retry.server != calls[0].server);
    fixture.End(retry, forwarding_fixture::Served());
  }
  CHECK_FALSE(ServersReached(fixture).contains(calls[0].server.value));
}

// Guards against requests that wait until their deadline although all servers leave.
TEST_CASE("a request is refused at once if all servers leave") {
  forwarding_fixture fixture = FixtureWithServers(1);
  LearnOfLeave(fixture);
  fixture.Send();
  CHECK(fixture.TakeCalls().empty());
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == 503);
  CHECK(replies[0].answer.executed == executed_state::kNo);
  CHECK(replies[0].answer.retry_after.has_value());
}

// Guards against a waiting request that is sent to a server which said in the meantime that it leaves.
TEST_CASE("a request that waits for a full server is placed anew when the server leaves") {
  forwarding_fixture fixture = FixtureWithServers(1);
  std::vector<io::start_call> running;
  while (true) {
    fixture.Send(seconds(60));
    const auto calls = fixture.TakeCalls();
    if (calls.empty()) break;
    running.push_back(calls.at(0));
  }
  REQUIRE(!running.empty());
  fixture.End(running[0], WithLeave(forwarding_fixture::Served()));
  CHECK(fixture.TakeCalls().empty());
  bool refused = false;
  for (const auto& reply : fixture.TakeReplies())
    refused = refused || reply.answer.status == 503;
  CHECK(refused);
}

// Guards against a statement that is forgotten because the service registry lists the server as ready, or lost its
// entry for a while, and against one that outlives the server's process.
TEST_CASE("only a new process of the server ends its statement that it leaves") {
  enum class event { kEntryRewritten, kEntryLapsed, kLongTime, kAnswerUnderWay, kRestarted, kRestartedAfterLapse };
  struct row {
    std::string name;
    event happens;
    bool used;
  };
  const row given =
      GENERATE(values<row>({{"the entry is written again", event::kEntryRewritten, false},
                            {"the entry lapses and comes back", event::kEntryLapsed, false},
                            {"a minute passes", event::kLongTime, false},
                            {"an answer without the statement follows", event::kAnswerUnderWay, false},
                            {"the server restarts", event::kRestarted, true},
                            {"the entry lapses and a new process registers", event::kRestartedAfterLapse, true}}));
  INFO(given.name);
  forwarding_fixture fixture = FixtureWithServers(1);
  std::vector<io::start_call> calls;
  for (int i = 0; i < 2; ++i) {
    fixture.Send();
    for (const auto& call : fixture.TakeCalls())
      calls.push_back(call);
  }
  REQUIRE(calls.size() == 2);
  fixture.End(calls[0], WithLeave(forwarding_fixture::Served()));
  if (given.happens == event::kAnswerUnderWay) fixture.End(calls[1], forwarding_fixture::Served());
  fixture.now += seconds(given.happens == event::kLongTime ? 60 : 1);
  const bool lapses = given.happens == event::kEntryLapsed || given.happens == event::kRestartedAfterLapse;
  if (lapses) {
    published_changes removal;
    removal.position.revision = ++fixture.revision;
    removal.removed.emplace_back(calls[0].server, fixture.revision);
    ApplyRecords(fixture.tables.servers, removal, fixture.now);
    fixture.now += seconds(10);
    UpdateDoubtful(fixture.tables.servers, seconds(4), fixture.now);
    REQUIRE(fixture.tables.servers.servers.empty());
  }
  const bool restarts = given.happens == event::kRestarted || given.happens == event::kRestartedAfterLapse;
  if (lapses || restarts || given.happens == event::kEntryRewritten) {
    server_record record = MakeRecord("server0", restarts ? kIncarnation + 1 : kIncarnation);
    record.sequence = 2;
    fixture.AddServers({record});
  }
  CHECK(ServersReached(fixture, 1).contains("server0") == given.used);
}

// Guards against a new process that gets no requests because of a late answer of the former one.
TEST_CASE("the statement of a server's former process does not hold for the present one") {
  forwarding_fixture fixture = FixtureWithServers(1);
  fixture.Send();
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 1);
  fixture.AddServers({MakeRecord("server0", kIncarnation + 1)});
  fixture.End(calls[0], WithLeave(forwarding_fixture::Served()));
  CHECK(ServersReached(fixture, 1).contains("server0"));
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
