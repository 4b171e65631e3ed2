#include <string>

#include <catch2/catch.hpp>

#include "core/forwarding/server_choice.h"
#include "core/forwarding/server_table.h"
#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

using base::error_kind;
using base::executed_state;

constexpr base::duration kPause = seconds(3);

forwarding_fixture FixtureWithServers(std::size_t count, std::uint32_t max_attempts = 2) {
  forwarding_fixture fixture;
  route made = forwarding_fixture::MakeRoute(repeat_policy::kIdempotent);
  made.max_attempts = max_attempts;
  fixture.SetRoute(made);
  for (std::size_t i = 0; i < count; ++i)
    fixture.AddServers({forwarding_fixture::MakeServer("server" + std::to_string(i), "single", "a")});
  return fixture;
}

/// The answer of a server that turns a request away and wants no more for `time`.
call_result TurnedAway(base::duration time, bool signed_failure = false) {
  call_result result = forwarding_fixture::Failed(error_kind::kBackendShed, executed_state::kNo);
  if (signed_failure) {
    result = forwarding_fixture::Served();
    result.status = 503;
  }
  result.back_off = time;
  return result;
}

const server& ServerOf(const forwarding_fixture& fixture, const std::string& id) {
  return fixture.tables.servers.servers.at(base::backend_server_id(id));
}

/// Sends a request and returns the number of calls that it starts. Its calls are answered.
std::size_t CallsOfRequest(forwarding_fixture& fixture) {
  fixture.Send();
  const auto calls = fixture.TakeCalls();
  for (const auto& call : calls)
    fixture.End(call, forwarding_fixture::Served());
  fixture.TakeReplies();
  return calls.size();
}

// Guards against requests that reach a server within the time for which it wants none.
TEST_CASE("a server that asks for a pause gets no request until its end") {
  const bool signed_failure = GENERATE(false, true);
  INFO("signed failure " << signed_failure);
  forwarding_fixture fixture = FixtureWithServers(1, 1);
  fixture.Send();
  fixture.End(fixture.TakeCalls().at(0), TurnedAway(kPause, signed_failure));
  fixture.TakeReplies();
  for (int i = 0; i < 5; ++i) {
    CHECK(CallsOfRequest(fixture) == 0);
    fixture.now += milliseconds(590);
  }
  fixture.now += milliseconds(100);
  CHECK(CallsOfRequest(fixture) == 1);
}

// Guards against a request that waits for a pause, and against a Retry-After that does not fit it.
TEST_CASE("a request that only paused servers could serve is refused at once") {
  forwarding_fixture fixture = FixtureWithServers(1, 1);
  fixture.Send();
  fixture.End(fixture.TakeCalls().at(0), TurnedAway(milliseconds(700)));
  fixture.TakeReplies();
  fixture.now += milliseconds(100);
  fixture.Send();
  CHECK(fixture.TakeCalls().empty());
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == 503);
  CHECK(replies[0].answer.executed == executed_state::kNo);
  REQUIRE(replies[0].answer.retry_after.has_value());
  CHECK(*replies[0].answer.retry_after == milliseconds(600));
}

// Guards against a paused server that is counted as failed, and so gets fewer requests than it wants afterwards.
TEST_CASE("a pause is no failure, and requests move to the other servers") {
  forwarding_fixture fixture = FixtureWithServers(2);
  fixture.Send();
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 1);
  fixture.End(calls[0], TurnedAway(kPause));
  const auto retried = fixture.TakeCalls();
  REQUIRE(retried.size() == 1);
  CHECK(retried[0].server != calls[0].server);
  fixture.End(retried[0], forwarding_fixture::Served());
  const server& paused = ServerOf(fixture, calls[0].server.value);
  CHECK(paused.failure_share == 0);
  CHECK(paused.ejections == 0);
  CHECK(paused.failures_in_row == 0);
}

// Guards against all waiting requests reaching a server in the moment in which its pause ends.
TEST_CASE("after a pause a server gets one call until it has served it") {
  forwarding_fixture fixture = FixtureWithServers(1, 1);
  fixture.Send();
  fixture.End(fixture.TakeCalls().at(0), TurnedAway(kPause));
  fixture.TakeReplies();
  fixture.now += kPause + milliseconds(10);
  for (int i = 0; i < 3; ++i)
    fixture.Send();
  const auto first = fixture.TakeCalls();
  REQUIRE(first.size() == 1);
  fixture.End(first[0], forwarding_fixture::Served());
  CHECK(fixture.TakeCalls().size() == 2);
}

// Guards against answers that overtake each other, and against a former process whose pause binds the present one.
TEST_CASE("statements of a pause combine to the longest, and end with the server's process") {
  struct row {
    base::duration first;
    base::duration second;
    base::duration expected;
  };
  const auto r = GENERATE(values<row>({{seconds(3), seconds(1), seconds(3)}, {seconds(1), seconds(3), seconds(3)}}));
  forwarding_fixture fixture = FixtureWithServers(1, 1);
  fixture.Send();
  fixture.Send();
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 2);
  fixture.End(calls[0], TurnedAway(r.first));
  fixture.End(calls[1], TurnedAway(r.second));
  CHECK(ServerOf(fixture, "server0").backs_off_until == fixture.now + r.expected);
  server_record restarted = forwarding_fixture::MakeServer("server0", "single", "a");
  restarted.incarnation = 2;
  fixture.AddServers({restarted});
  CHECK(CallsOfRequest(fixture) == 1);
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
