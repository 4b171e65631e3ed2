#include <catch2/catch.hpp>

#include "core/entry/permit_table.h"
#include "tests/core/entry/entry_world.h"

namespace limpetrouter::core::entry {
namespace {

using base::error_kind;
using base::executed_state;

// Guards against a transfer that is executed twice because its caller sent it again.
TEST_CASE("requests that are resent with a permit join the first one and get its answer") {
  entry_fixture fixture;
  const std::string permit = fixture.RequestPermits(1).at(0);
  const std::uint64_t first = fixture.SendQuery("transfer", "k", permit);
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 1);
  CHECK_FALSE(calls[0].request.repeatable);
  const std::uint64_t second = fixture.SendQuery("transfer", "k", permit);
  CHECK(fixture.TakeCalls().empty());
  fixture.SendResult(calls[0], fixture.MakeSuccess(calls[0]));
  const std::uint64_t third = fixture.SendQuery("transfer", "k", permit);
  for (const std::uint64_t handle : {first, second, third}) {
    const auto answer = fixture.TakeReply(handle);
    REQUIRE(answer);
    CHECK(answer->succeeded);
    CHECK(answer->request_id == "r" + std::to_string(handle));
  }
  CHECK(fixture.TakeCalls().empty());
  const auto other = fixture.TakeReply(fixture.SendQuery("transfer", "another", permit));
  CHECK(other->failure == error_kind::kPermitMismatch);
}

// Guards against a second execution after an attempt that may have been executed, and against giving up after an
// attempt that was not executed.
TEST_CASE("the owner tries another replica only if the attempt was not executed") {
  const auto executed = GENERATE(executed_state::kNo, executed_state::kUnknown);
  entry_fixture fixture;
  const std::uint64_t handle = fixture.SendQuery("transfer", "k", fixture.RequestPermits(1).at(0));
  const auto calls = fixture.TakeCalls();
  fixture.SendResult(calls[0], entry_fixture::MakeFailure(calls[0], error_kind::kConnectionLost, executed));
  const auto answer = fixture.TakeReply(handle);
  CHECK(fixture.TakeCalls().empty() == (executed != executed_state::kNo));
  REQUIRE(answer.has_value() == (executed != executed_state::kNo));
  if (answer) CHECK(answer->failure == error_kind::kOutcomeUnknown);
}

// Guards against an instance that answers "not executed" without being the owner of the permit, and against execution
// by a later incarnation of the owner.
TEST_CASE("requests with permits of other owners are forwarded or answered as unknown") {
  entry_fixture fixture;
  const std::string check = "/1/99000000/0123456789abcdef";
  SECTION("a restarted owner") {
    const auto answer = fixture.TakeReply(fixture.SendQuery("transfer", "k", "k1/99" + check));
    CHECK(answer->failure == error_kind::kOutcomeUnknown);
    CHECK(answer->executed == executed_state::kUnknown);
  }
  SECTION("an owner that is not a member") {
    CHECK(fixture.TakeReply(fixture.SendQuery("transfer", "k", "k9/1" + check))->failure ==
          error_kind::kOutcomeUnknown);
  }
  SECTION("a live owner that does not answer") {
    const std::uint64_t handle = fixture.SendQuery("transfer", "k", "k2/200" + check, 200);
    const auto sent = fixture.TakeMessages<peer::forward_request>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].first == base::instance_id("k2"));
    for (int i = 0; i < 40; ++i)
      fixture.Tick();
    CHECK(fixture.TakeReply(handle)->failure == error_kind::kOutcomeUnknown);
  }
  SECTION("a live owner that answers") {
    const std::uint64_t handle = fixture.SendQuery("transfer", "k", "k2/200" + check);
    const auto sent = fixture.TakeMessages<peer::forward_request>();
    peer::message_header header;
    header.sender = {base::instance_id("k2"), base::incarnation_id(200)};
    peer::forward_answer answer{sent[0].second.token, {}};
    answer.answer.succeeded = true;
    instance::context ctx = fixture.MakeContext();
    HandleForwardAnswer(fixture.tables, ctx, header, answer);
    HandleForwardAnswer(fixture.tables, ctx, header, answer);
    const auto reply = fixture.TakeReply(handle);
    CHECK(reply->succeeded);
    CHECK(reply->request_id == "r" + std::to_string(handle));
  }
}

// Guards against a copy of a request that is executed after its caller was notified that the request was not executed.
TEST_CASE("a refusal is the final answer for its permit") {
  entry_fixture fixture;
  const std::string permit = fixture.RequestPermits(1).at(0);
  instance::context ctx = fixture.MakeContext();
  HandlePause(fixture.tables, ctx, std::chrono::seconds(3));
  const auto refused = fixture.TakeReply(fixture.SendQuery("transfer", "k", permit));
  CHECK(refused->failure == error_kind::kProcessPaused);
  fixture.Tick();
  const auto again = fixture.TakeReply(fixture.SendQuery("transfer", "k", permit));
  CHECK(again->failure == error_kind::kProcessPaused);
  CHECK(fixture.TakeCalls().empty());
}

// Guards against an unbounded table, and against a definite answer for a permit whose use is no longer recorded.
TEST_CASE("permits expire, are removed after their retention and are limited in number") {
  permit_table table;
  config::limits limit;
  limit.max_permits = 3;
  base::random_source random{1};
  const base::instance_ref self{base::instance_id("a/b"), base::incarnation_id(5)};
  const base::time_point now{std::chrono::seconds(1)};
  const auto permits = IssuePermits(table, self, 5, limit, random, now);
  REQUIRE(permits.size() == 3);
  CHECK(IssuePermits(table, self, 1, limit, random, now).empty());
  auto permit = ParsePermit(permits[0]);
  REQUIRE(permit);
  CHECK(permit->owner == self);
  CHECK(IsGenuine(table, *permit));
  ++permit->expiry_us;
  CHECK_FALSE(IsGenuine(table, *permit));
  CHECK(HasOpenPermits(table, now));
  CHECK_FALSE(HasOpenPermits(table, now + limit.permit_validity + base::duration(1)));
  CHECK(IssuePermits(table, self, 1, limit, random, now + limit.permit_validity + base::duration(1)).size() == 1);

  entry_fixture fixture;
  const std::string unused = fixture.RequestPermits(1).at(0);
  const bool past_retention = GENERATE(false, true);
  fixture.now += fixture.config->limit.permit_validity + std::chrono::seconds(1);
  if (past_retention) fixture.now += fixture.config->limit.permit_retention;
  const auto answer = fixture.TakeReply(fixture.SendQuery("transfer", "k", unused));
  CHECK(answer->failure == (past_retention ? error_kind::kOutcomeUnknown : error_kind::kPermitExpired));
  CHECK(answer->executed == (past_retention ? executed_state::kUnknown : executed_state::kNo));
}

}  // namespace
}  // namespace limpetrouter::core::entry
