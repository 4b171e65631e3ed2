#include "core/gather/gather.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "tests/core/gather/gather_fixture.h"

namespace limpetrouter::core::gather {
namespace {

using base::error_kind;
using attempts = std::vector<std::uint64_t>;

/// Ends attempts 901, 902 and 903 with kConnectFailed, after which connections to "s1" count as failing.
void BreakConnections(gather_fixture& fixture) {
  fixture.Send(fixture.Request(901, 3));
  for (const std::uint64_t attempt : {901U, 902U, 903U})
    fixture.End(attempt, error_kind::kConnectFailed);
  fixture.TakeSent();
  fixture.TakeResults();
}

// Guards against more running calls on a backend server than it has slots, and against queued calls that never start.
TEST_CASE_METHOD(gather_fixture,
                 "a server runs at most as many calls as it has slots, the others follow in order of arrival") {
  Send(Request(1, 5));
  CHECK(TakeSent() == attempts{1, 2, 3});
  now += std::chrono::milliseconds(8);
  End(2);
  CHECK(TakeSent() == attempts{4});
  End(4);
  const auto results = TakeResults();
  REQUIRE(results.size() == 2);
  CHECK(results[0].queued_us == 0);
  CHECK(results[1].queued_us == 8000);
  CHECK(results[1].succeeded);
  End(4);
  CHECK(TakeResults().empty());
  for (const std::uint64_t attempt : {1U, 3U, 5U})
    End(attempt);
  CHECK(IsIdle(tables));
}

// Guards against an urgent call that waits behind normal ones, and against one entry that starves another.
TEST_CASE_METHOD(gather_fixture, "urgent calls come first, and entries are served round-robin") {
  Send(Request(1, 7), "e1");
  Send(Request(11, 2), "e2");
  auto urgent = Request(21);
  urgent.urgent = true;
  Send(urgent, "e2");
  TakeSent();
  // The first free slot goes to the urgent call, although six normal calls wait.
  End(1);
  CHECK(TakeSent() == attempts{21});
  End(2);
  CHECK(TakeSent() == attempts{11});
  End(3);
  CHECK(TakeSent() == attempts{4});
  urgent.items[0].attempt.value = 22;
  Send(urgent, "e2");
  CHECK(TakeSent().empty());
  End(4);
  CHECK(TakeSent() == attempts{22});
}

// Guards against a call that is accepted although it cannot be executed, and against a refusal that does not state that
// the call was not executed.
TEST_CASE_METHOD(gather_fixture, "calls that cannot be executed are refused as not executed") {
  struct row {
    std::string server;
    error_kind kind;
    void (*prepare)(gather_fixture&, peer::gather_request&);
  };
  const auto r = GENERATE(values<row>({
      {"s9", error_kind::kNotHolder, [](auto&, auto&) {}},
      {"s3", error_kind::kNotHolder, [](auto&, auto&) {}},
      {"s1", error_kind::kDeadlineExceeded, [](auto&, auto& request) { request.remaining_us = 0; }},
      {"s1", error_kind::kRequestWithheld,
       [](auto& fixture, auto& request) {
         RecordWithheld(fixture.facts, request.fingerprint, std::chrono::minutes(1), fixture.now);
       }},
      {"s1", error_kind::kBackendDraining,
       [](auto& fixture, auto&) {
         RecordDrain(fixture.facts, base::backend_server_id("s1"), base::generation_id(), 0, fixture.now);
       }},
      {"s1", error_kind::kConnectFailed, [](auto& fixture, auto&) { BreakConnections(fixture); }},
      {"s1", error_kind::kProcessPaused, [](auto& fixture, auto&) { fixture.Pause(std::chrono::seconds(5)); }},
  }));
  peer::gather_request request = Request(1, 1, r.server);
  r.prepare(*this, request);
  Send(request);
  CHECK(TakeSent().empty());
  const auto results = TakeResults();
  REQUIRE(results.size() == 1);
  CHECK(results[0].failure == r.kind);
  CHECK(results[0].executed == base::executed_state::kNo);
  CHECK(IsIdle(tables));
}

// Guards against a standby that serves calls while its primary is usable, and against a standby that serves none when
// the primary is unavailable.
TEST_CASE_METHOD(gather_fixture, "a standby serves only while the primary is unusable") {
  struct row {
    bool unusable;
    peer::member_state state;
    bool served;
  };
  using peer::member_state;
  const auto r = GENERATE(values<row>({{false, member_state::kAlive, false},
                                       {false, member_state::kSuspect, false},
                                       {true, member_state::kAlive, true},
                                       {false, member_state::kLeaving, true},
                                       {false, member_state::kDead, true}}));
  SetMember("other", 1, r.state);
  peer::gather_request request = Request(1, 1, "s3");
  request.items[0].primary_unusable = r.unusable;
  Send(request);
  CHECK(TakeSent().size() == (r.served ? 1U : 0U));
}

// Guards against calls that fail while instances have different views of the placement for a short time.
TEST_CASE_METHOD(gather_fixture, "a lost holding is served for some seconds and then removed") {
  placement.by_backend_server[0] = {base::instance_id("other"), base::instance_id("e1")};
  placement.members_version = 2;
  Tick();
  Send(Request(1));
  CHECK(TakeSent() == attempts{1});
  Tick(std::chrono::seconds(6));
  Send(Request(2));
  CHECK(TakeSent().empty());
  CHECK(tables.holdings.size() == 3);
  End(1);
  Tick(std::chrono::seconds(1));
  CHECK(tables.holdings.size() == 2);
}

// Guards against a long queue in which every call passes its deadline.
TEST_CASE_METHOD(gather_fixture, "a call that would wait too long is refused immediately") {
  Send(Request(1, 3));
  now += std::chrono::milliseconds(10);
  for (const std::uint64_t attempt : {1U, 2U, 3U})
    End(attempt);
  TakeResults();
  Send(Request(11, 40));
  const auto refused = TakeResults();
  // Calls of 10 ms on three slots: 30 can end within 100 ms, and exactly those that cannot are refused.
  CHECK(refused.size() == 40 - 3 * 10);
  for (const auto& result : refused)
    CHECK(result.failure == error_kind::kOverloaded);
  CHECK(answer_messages == 1);
}

// Guards against calls that are sent although the caller no longer waits for the answer.
TEST_CASE_METHOD(gather_fixture,
                 "no call is sent after its deadline, and its remaining time is computed when it is sent") {
  Send(Request(1, 3));
  Send(Request(4, 2));
  TakeSent();
  now += std::chrono::milliseconds(30);
  End(1);
  const auto found =
      std::find_if(out.begin(), out.end(), [](const auto& c) { return std::holds_alternative<io::call_backend>(c); });
  REQUIRE(found != out.end());
  const auto& call = std::get<io::call_backend>(*found);
  CHECK(call.attempt.value == 4);
  CHECK(call.remaining == std::chrono::milliseconds(70));
  TakeSent();
  TakeResults();
  Tick(std::chrono::milliseconds(70));
  const auto results = TakeResults();
  REQUIRE(results.size() == 1);
  CHECK(results[0].attempt.value == 5);
  CHECK(results[0].failure == error_kind::kDeadlineExceeded);
  CHECK(results[0].executed == base::executed_state::kNo);
}

// Guards against a second execution of a request that must be executed at most once.
TEST_CASE_METHOD(gather_fixture,
                 "a duplicate message executes nothing twice, while the call is running and after its end") {
  auto request = Request(1);
  request.repeatable = GENERATE(true, false);
  Send(request);
  Send(request);
  CHECK(TakeSent() == attempts{1});
  End(1, error_kind::kConnectionLost);
  Tick();
  Send(request);
  CHECK(TakeSent().empty());
  CHECK(TakeResults().size() == 1);
  Send(request, "e2");
  CHECK(TakeSent() == attempts{1});
}

// Guards against an attempt that is treated as new because its record was evicted.
TEST_CASE_METHOD(gather_fixture, "a non-repeatable attempt that is older than the history is not executed") {
  Send(Request(100));
  CHECK(TakeSent() == attempts{100});
  tables.entries.at(tables.entry_index.at(Ref("e1"))).highest_evicted_attempt = 10;
  auto request = Request(9);
  request.repeatable = false;
  Send(request);
  CHECK(TakeSent().empty());
  const auto results = TakeResults();
  REQUIRE(results.size() == 1);
  CHECK(results[0].executed == base::executed_state::kUnknown);
}

// Guards against work for callers that no longer wait, and against the abort of a request that must be executed at most
// once.
TEST_CASE_METHOD(gather_fixture, "cancelling drops queued calls and stops running reads only") {
  auto write = Request(1);
  write.repeatable = false;
  Send(write);
  Send(Request(2, 3));
  TakeSent();
  Cancel(4);
  const auto results = TakeResults();
  REQUIRE(results.size() == 1);
  CHECK(results[0].failure == error_kind::kCancelled);
  CHECK(results[0].executed == base::executed_state::kNo);
  Cancel(1);
  CHECK(TakeCancelled().empty());
  Cancel(2);
  Cancel(2);
  CHECK(TakeCancelled() == attempts{2});
  SECTION("also when the entry is unavailable") {
    SetMember("e1", 2, peer::member_state::kAlive);
    Tick(std::chrono::milliseconds(200));
    CHECK(TakeCancelled() == attempts{3});
    for (const std::uint64_t attempt : {1U, 2U, 3U})
      End(attempt);
    CHECK(TakeResults().empty());
    CHECK(IsIdle(tables));
  }
}

// Guards against calls that were queued before a pause of the process and are executed after it.
TEST_CASE_METHOD(gather_fixture, "a pause ends queued calls as not executed and stops reads after their deadline") {
  auto unproven = Request(10, 2);
  unproven.proven = false;
  unproven.fingerprint.value = 501;
  Send(unproven);
  Send(Request(1, 4));
  CHECK(TakeSent() == attempts{10, 1, 2});
  Pause(std::chrono::seconds(3));
  CHECK(TakeSent().empty());
  CHECK(TakeCancelled().size() == 3);
  const auto results = TakeResults();
  CHECK(results.size() == 3);
  for (const auto& result : results) {
    CHECK(result.failure == error_kind::kProcessPaused);
    CHECK(result.executed == base::executed_state::kNo);
  }
  Tick(std::chrono::milliseconds(5));
  Send(Request(30, 1, "s2"));
  CHECK(TakeSent() == attempts{30});
}

// Guards against new calls on a draining backend server, including calls that were accepted before the drain was known.
TEST_CASE_METHOD(gather_fixture, "a drain ends the queued calls and is recorded from answers and load reports") {
  Send(Request(1, 5));
  TakeSent();
  switch (GENERATE(0, 1, 2)) {
    case 0:
      End(1, error_kind::kBackendDraining);
      break;
    case 1: {
      io::backend_call_ended event;
      event.entry = Ref("e1");
      event.result.attempt.value = 1;
      event.result.succeeded = true;
      event.result.draining = true;
      EndWith(event);
      break;
    }
    default:
      EndProbe("s1", true, {0, 0, true, 5});
  }
  Tick();
  CHECK(TakeSent().empty());
  CHECK(IsDraining(facts, *config, base::backend_server_id("s1")));
  const auto results = TakeResults();
  CHECK(std::count_if(results.begin(), results.end(),
                      [](const auto& result) { return result.failure == error_kind::kBackendDraining; }) >= 2);
}

}  // namespace
}  // namespace limpetrouter::core::gather
