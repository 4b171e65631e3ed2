#include <catch2/catch.hpp>

#include "tests/core/entry/entry_world.h"

namespace limpetrouter::core::entry {
namespace {

using base::error_kind;
using base::executed_state;

// Guards against a request that reaches backend servers although it is invalid, and against unclear refusals.
TEST_CASE("invalid requests are refused as not run") {
  struct row {
    const char* operation;
    std::string key;
    std::string permit;
    std::int64_t deadline_ms;
    error_kind expected;
  };
  const auto r = GENERATE(values<row>({
      {"nothing", "", "", 0, error_kind::kUnknownOperation},
      {"sweep", std::string(257, 'x'), "", 0, error_kind::kInvalidRequest},
      {"sweep", "", "", -1, error_kind::kInvalidRequest},
      {"sweep", "", "", 600'000, error_kind::kInvalidRequest},
      {"transfer", "", "", 0, error_kind::kInvalidRequest},
      {"transfer", "k", "", 0, error_kind::kPermitRequired},
      {"transfer", "k", "junk", 0, error_kind::kPermitInvalid},
      {"transfer", "k", "k1/100/1/99000000/0123456789abcdef", 0, error_kind::kPermitInvalid},
  }));
  entry_world world;
  const auto answer = world.TakeReply(world.Ask(r.operation, r.key, r.permit, r.deadline_ms));
  REQUIRE(answer);
  CHECK(base::ToString(answer->failure) == base::ToString(r.expected));
  CHECK(answer->executed == executed_state::kNo);
  CHECK(world.TakeCalls().empty());
}

// Guards against an unproven request that is sent to all shards at once, and against answers with wrong coverage.
TEST_CASE("a sweep sends its canary first, then all shards, and merges their answers") {
  entry_world world;
  const std::uint64_t handle = world.Ask("sweep");
  const auto canary = world.TakeCalls();
  REQUIRE(canary.size() == 1);
  CHECK_FALSE(canary[0].request.proven);
  world.Answer(canary[0], world.Success(canary[0]));
  const auto rest = world.TakeCalls();
  REQUIRE(rest.size() == 1);
  CHECK(rest[0].request.proven);
  world.Answer(rest[0], world.Success(rest[0]));
  const auto answer = world.TakeReply(handle);
  REQUIRE(answer);
  CHECK(answer->succeeded);
  CHECK(answer->coverage == peer::coverage{120, 120, 2, 2});
  CHECK(answer->rows == std::vector<peer::result_row>{{"row0", "{}"}, {"row1", "{}"}});
  CHECK(answer->totals == std::vector<peer::result_total>{{"litres", 20}});
  world.Ask("sweep");
  CHECK(world.TakeCalls().size() == 2);
}

// Guards against late, doubled and crossed answers that end up in a query.
TEST_CASE("answers that do not match their attempt change nothing") {
  entry_world world;
  world.Accept(2, WithoutCanary());
  const std::uint64_t handle = world.Ask("sweep");
  const auto calls = world.TakeCalls();
  REQUIRE(calls.size() == 2);
  world.AnswerFrom(base::instance_id("k3"), calls[0], world.Success(calls[0]));
  peer::attempt_result crossed = world.Success(calls[0]);
  crossed.shard = calls[1].item.shard;
  world.Answer(calls[0], crossed);
  world.Answer(calls[0], world.Success(calls[0]));
  world.Answer(calls[0], world.Success(calls[0]));
  CHECK_FALSE(world.TakeReply(handle));
  world.Answer(calls[1], world.Success(calls[1]));
  const auto answer = world.TakeReply(handle);
  REQUIRE(answer);
  CHECK(answer->coverage.documents_answered == 120);
  CHECK(answer->totals[0].value == 20);
}

// Guards against a cold replica or another snapshot whose answer is counted as the shard's.
TEST_CASE("an answer for another snapshot or number of documents is a failed attempt") {
  const bool other_snapshot = GENERATE(true, false);
  entry_world world;
  world.Accept(2, WithoutCanary());
  world.Ask("sweep");
  const auto calls = world.TakeCalls();
  peer::attempt_result wrong = world.Success(calls[0]);
  if (other_snapshot) {
    wrong.snapshot = base::snapshot_id(40);
  } else {
    wrong.documents = 0;
  }
  world.Answer(calls[0], wrong);
  for (int i = 0; i < 30; ++i)
    world.Tick();
  const auto retries = world.TakeCalls();
  REQUIRE(retries.size() >= 1);
  CHECK(retries[0].item.shard == calls[0].item.shard);
  CHECK(retries[0].item.backend_server != calls[0].item.backend_server);
}

// Guards against calls that are lost with their gatherer, and against the standby running calls without need.
TEST_CASE("a call that was not delivered goes through the standby or to another replica") {
  entry_world world;
  world.Accept(2, WithoutCanary());
  world.Ask("sweep");
  const auto calls = world.TakeCalls();
  REQUIRE(calls.size() == 2);
  CHECK(calls[0].gatherer == base::instance_id("k2"));
  CHECK_FALSE(calls[0].item.primary_unusable);
  io::peer_send_failed failed{base::instance_id("k2"), false, {{}, calls[0].request}};
  instance::context ctx = world.Context();
  HandleSendFailed(world.tables, ctx, failed);
  const auto again = world.TakeCalls();
  REQUIRE(again.size() == 2);
  CHECK(again[0].gatherer == base::instance_id("k3"));
  CHECK(again[0].item.primary_unusable);
}

// Guards against callers that wait beyond their deadline and against "not run" when a call may have run.
TEST_CASE("a query ends at its deadline with true coverage and execution state") {
  const bool one_answer = GENERATE(true, false);
  entry_world world;
  world.Accept(2, WithoutCanary());
  const std::uint64_t handle = world.Ask("sweep", "", "", 100);
  const auto calls = world.TakeCalls();
  CHECK(calls[0].request.remaining_us == 100'000);
  if (one_answer) world.Answer(calls[0], world.Success(calls[0]));
  for (int i = 0; i < 20; ++i)
    world.Tick();
  const auto answer = world.TakeReply(handle);
  REQUIRE(answer);
  CHECK_FALSE(answer->succeeded);
  CHECK(answer->failure == (one_answer ? error_kind::kCoverageIncomplete : error_kind::kDeadlineExceeded));
  CHECK(answer->executed == (one_answer ? executed_state::kYes : executed_state::kUnknown));
  CHECK(answer->coverage.shards_answered == (one_answer ? 1 : 0));
  CHECK(world.TakeMessages<peer::gather_cancel>().size() >= 1);
  CHECK(IsIdle(world.tables, world.now));
}

// Guards against answers that mix two snapshots.
TEST_CASE("a query restarts as a whole when its snapshot is gone everywhere") {
  entry_world world;
  world.Accept(2, WithoutCanary());
  const std::uint64_t handle = world.Ask("sweep");
  auto calls = world.TakeCalls();
  world.Answer(calls[1], world.Success(calls[1]));
  sent_call call = calls[0];
  for (int i = 0; i < 2; ++i) {
    world.Answer(call, entry_world::Failure(call, error_kind::kSnapshotGone, executed_state::kNo));
    calls = world.TakeCalls();
    if (!calls.empty()) call = calls[0];
  }
  nlohmann::json newer = WithoutCanary();
  nlohmann::json& snapshots = newer["shard_maps"]["collections"][0]["snapshots"];
  snapshots[0]["servable"] = true;
  world.Accept(3, newer);
  world.Tick();
  calls = world.TakeCalls();
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].request.snapshot == base::snapshot_id(42));
  world.Answer(calls[0], world.Success(calls[0]));
  const auto answer = world.TakeReply(handle);
  REQUIRE(answer);
  CHECK(answer->snapshot == base::snapshot_id(42));
  CHECK(answer->coverage == peer::coverage{7, 7, 1, 1});
}

// Guards against a crashing request that takes down one replica after the other.
TEST_CASE("an unproven request that breaks connections runs at most twice") {
  entry_world world;
  const std::uint64_t handle = world.Ask("sweep");
  auto calls = world.TakeCalls();
  REQUIRE(calls.size() == 1);
  world.Answer(calls[0], entry_world::Failure(calls[0], error_kind::kConnectionLost, executed_state::kUnknown));
  const auto second = world.TakeCalls();
  REQUIRE(second.size() == 1);
  world.Answer(second[0], entry_world::Failure(second[0], error_kind::kConnectionLost, executed_state::kUnknown));
  const auto answer = world.TakeReply(handle);
  REQUIRE(answer);
  CHECK(answer->failure == error_kind::kRequestWithheld);
  CHECK(answer->executed == executed_state::kUnknown);
  CHECK(world.TakeCalls().empty());
}

// Guards against work that is lost without a trace when an operator asks why a query was slow.
TEST_CASE("the decisions of a query can be explained") {
  entry_world world;
  const std::uint64_t handle = world.Ask("nothing");
  const auto answer = world.TakeReply(handle);
  const auto explained = ExplainQuery(world.tables, answer->query_id);
  REQUIRE(explained);
  CHECK(explained->at("decisions").back().at("decision") == "refuse");
  CHECK_FALSE(ExplainQuery(world.tables, "k1/100/999"));
}

}  // namespace
}  // namespace limpetrouter::core::entry
