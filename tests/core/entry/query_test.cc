#include <catch2/catch.hpp>

#include "tests/core/entry/entry_world.h"

namespace limpetrouter::core::entry {
namespace {

using base::error_kind;
using base::executed_state;

// Guards against an invalid request that reaches backend servers, and against refusals with the wrong error.
TEST_CASE("invalid requests are refused as not executed") {
  struct refusal_case {
    const char* operation;
    std::string key;
    std::string permit;
    std::int64_t deadline_ms;
    error_kind expected;
  };
  const auto test_case = GENERATE(values<refusal_case>({
      {"nothing", "", "", 0, error_kind::kUnknownOperation},
      {"sweep", std::string(257, 'x'), "", 0, error_kind::kInvalidRequest},
      {"sweep", "", "", -1, error_kind::kInvalidRequest},
      {"sweep", "", "", 600'000, error_kind::kInvalidRequest},
      {"transfer", "", "", 0, error_kind::kInvalidRequest},
      {"transfer", "k", "", 0, error_kind::kPermitRequired},
      {"transfer", "k", "junk", 0, error_kind::kPermitInvalid},
      {"transfer", "k", "k1/100/1/99000000/0123456789abcdef", 0, error_kind::kPermitInvalid},
  }));
  entry_fixture fixture;
  const auto answer =
      fixture.TakeReply(fixture.SendQuery(test_case.operation, test_case.key, test_case.permit, test_case.deadline_ms));
  REQUIRE(answer);
  CHECK(base::ToString(answer->failure) == base::ToString(test_case.expected));
  CHECK(answer->executed == executed_state::kNo);
  CHECK(fixture.TakeCalls().empty());
}

// Guards against an unproven request that is sent to all shards at once, and against answers with wrong coverage.
TEST_CASE("a sweep sends its canary first, then all shards, and merges their answers") {
  entry_fixture fixture;
  const std::uint64_t handle = fixture.SendQuery("sweep");
  const auto canary = fixture.TakeCalls();
  REQUIRE(canary.size() == 1);
  CHECK_FALSE(canary[0].request.proven);
  fixture.SendResult(canary[0], fixture.MakeSuccess(canary[0]));
  const auto rest = fixture.TakeCalls();
  REQUIRE(rest.size() == 1);
  CHECK(rest[0].request.proven);
  fixture.SendResult(rest[0], fixture.MakeSuccess(rest[0]));
  const auto answer = fixture.TakeReply(handle);
  REQUIRE(answer);
  CHECK(answer->succeeded);
  CHECK(answer->coverage == peer::coverage{120, 120, 2, 2});
  CHECK(answer->rows == std::vector<peer::result_row>{{"row0", "{}"}, {"row1", "{}"}});
  CHECK(answer->totals == std::vector<peer::result_total>{{"litres", 20}});
  fixture.SendQuery("sweep");
  CHECK(fixture.TakeCalls().size() == 2);
}

// Guards against late and duplicate answers, and answers for another shard or from another gatherer, being merged into
// a query.
TEST_CASE("answers that do not match their attempt change nothing") {
  entry_fixture fixture;
  fixture.AcceptConfiguration(2, MakeDocumentWithoutCanary());
  const std::uint64_t handle = fixture.SendQuery("sweep");
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 2);
  fixture.SendResultFrom(base::instance_id("k3"), calls[0], fixture.MakeSuccess(calls[0]));
  peer::attempt_result crossed = fixture.MakeSuccess(calls[0]);
  crossed.shard = calls[1].item.shard;
  fixture.SendResult(calls[0], crossed);
  fixture.SendResult(calls[0], fixture.MakeSuccess(calls[0]));
  fixture.SendResult(calls[0], fixture.MakeSuccess(calls[0]));
  CHECK_FALSE(fixture.TakeReply(handle));
  fixture.SendResult(calls[1], fixture.MakeSuccess(calls[1]));
  const auto answer = fixture.TakeReply(handle);
  REQUIRE(answer);
  CHECK(answer->coverage.documents_answered == 120);
  CHECK(answer->totals[0].value == 20);
}

// Guards against the answer of a cold replica (without documents), or for another snapshot, being counted as the answer
// of the shard.
TEST_CASE("an answer for another snapshot or number of documents is a failed attempt") {
  const bool other_snapshot = GENERATE(true, false);
  entry_fixture fixture;
  fixture.AcceptConfiguration(2, MakeDocumentWithoutCanary());
  fixture.SendQuery("sweep");
  const auto calls = fixture.TakeCalls();
  peer::attempt_result wrong = fixture.MakeSuccess(calls[0]);
  if (other_snapshot) {
    wrong.snapshot = base::snapshot_id(40);
  } else {
    wrong.documents = 0;
  }
  fixture.SendResult(calls[0], wrong);
  for (int i = 0; i < 30; ++i)
    fixture.Tick();
  const auto retries = fixture.TakeCalls();
  REQUIRE(retries.size() >= 1);
  CHECK(retries[0].item.shard == calls[0].item.shard);
  CHECK(retries[0].item.backend_server != calls[0].item.backend_server);
}

// Guards against calls that are lost when their gatherer is unreachable, and against the standby executing calls while
// the primary is usable.
TEST_CASE("a call that was not delivered goes through the standby or to another replica") {
  entry_fixture fixture;
  fixture.AcceptConfiguration(2, MakeDocumentWithoutCanary());
  fixture.SendQuery("sweep");
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 2);
  CHECK(calls[0].gatherer == base::instance_id("k2"));
  CHECK_FALSE(calls[0].item.primary_unusable);
  io::peer_send_failed failed{base::instance_id("k2"), false, {{}, calls[0].request}};
  instance::context ctx = fixture.MakeContext();
  HandleSendFailed(fixture.tables, ctx, failed);
  const auto again = fixture.TakeCalls();
  REQUIRE(again.size() == 2);
  CHECK(again[0].gatherer == base::instance_id("k3"));
  CHECK(again[0].item.primary_unusable);
}

// Guards against callers that wait beyond their deadline, and against the answer "not executed" when a call may have
// been executed.
TEST_CASE("a query ends at its deadline with correct coverage and execution state") {
  const bool one_answer = GENERATE(true, false);
  entry_fixture fixture;
  fixture.AcceptConfiguration(2, MakeDocumentWithoutCanary());
  const std::uint64_t handle = fixture.SendQuery("sweep", "", "", 100);
  const auto calls = fixture.TakeCalls();
  CHECK(calls[0].request.remaining_us == 100'000);
  if (one_answer) fixture.SendResult(calls[0], fixture.MakeSuccess(calls[0]));
  for (int i = 0; i < 20; ++i)
    fixture.Tick();
  const auto answer = fixture.TakeReply(handle);
  REQUIRE(answer);
  CHECK_FALSE(answer->succeeded);
  CHECK(answer->failure == (one_answer ? error_kind::kCoverageIncomplete : error_kind::kDeadlineExceeded));
  CHECK(answer->executed == (one_answer ? executed_state::kYes : executed_state::kUnknown));
  CHECK(answer->coverage.shards_answered == (one_answer ? 1 : 0));
  CHECK(fixture.TakeMessages<peer::gather_cancel>().size() >= 1);
  CHECK(IsIdle(fixture.tables, fixture.now));
}

// Guards against answers that mix the results of two snapshots.
TEST_CASE("a query restarts on all shards when its snapshot is unavailable at all replicas") {
  entry_fixture fixture;
  fixture.AcceptConfiguration(2, MakeDocumentWithoutCanary());
  const std::uint64_t handle = fixture.SendQuery("sweep");
  auto calls = fixture.TakeCalls();
  fixture.SendResult(calls[1], fixture.MakeSuccess(calls[1]));
  sent_call call = calls[0];
  for (int i = 0; i < 2; ++i) {
    fixture.SendResult(call, entry_fixture::MakeFailure(call, error_kind::kSnapshotGone, executed_state::kNo));
    calls = fixture.TakeCalls();
    if (!calls.empty()) call = calls[0];
  }
  nlohmann::json newer = MakeDocumentWithoutCanary();
  nlohmann::json& snapshots = newer["shard_maps"]["collections"][0]["snapshots"];
  snapshots[0]["servable"] = true;
  fixture.AcceptConfiguration(3, newer);
  fixture.Tick();
  calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].request.snapshot == base::snapshot_id(42));
  fixture.SendResult(calls[0], fixture.MakeSuccess(calls[0]));
  const auto answer = fixture.TakeReply(handle);
  REQUIRE(answer);
  CHECK(answer->snapshot == base::snapshot_id(42));
  CHECK(answer->coverage == peer::coverage{7, 7, 1, 1});
}

// Guards against a request that crashes one replica after the other.
TEST_CASE("an unproven request that breaks connections is executed at most twice") {
  entry_fixture fixture;
  const std::uint64_t handle = fixture.SendQuery("sweep");
  auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 1);
  fixture.SendResult(calls[0],
                     entry_fixture::MakeFailure(calls[0], error_kind::kConnectionLost, executed_state::kUnknown));
  const auto second = fixture.TakeCalls();
  REQUIRE(second.size() == 1);
  fixture.SendResult(second[0],
                     entry_fixture::MakeFailure(second[0], error_kind::kConnectionLost, executed_state::kUnknown));
  const auto answer = fixture.TakeReply(handle);
  REQUIRE(answer);
  CHECK(answer->failure == error_kind::kRequestWithheld);
  CHECK(answer->executed == executed_state::kUnknown);
  CHECK(fixture.TakeCalls().empty());
}

// Guards against decisions that are missing when an operator asks why a query was slow.
TEST_CASE("the decisions about a query are reported by its id") {
  entry_fixture fixture;
  const std::uint64_t handle = fixture.SendQuery("nothing");
  const auto answer = fixture.TakeReply(handle);
  const auto explained = ExplainQuery(fixture.tables, answer->query_id);
  REQUIRE(explained);
  CHECK(explained->at("decisions").back().at("decision") == "refuse");
  CHECK_FALSE(ExplainQuery(fixture.tables, "k1/100/999"));
}

}  // namespace
}  // namespace limpetrouter::core::entry
