#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "core/base/digest.h"
#include "tests/core/gather/gather_fixture.h"

namespace limpetrouter::core::gather {
namespace {

using base::error_kind;
using attempts = std::vector<std::uint64_t>;

const base::fingerprint_id kCrashing(66);
const base::fingerprint_id kHarmless(77);

peer::gather_request Unproven(base::fingerprint_id fingerprint, std::uint64_t first, int count = 1,
                              const std::string& server = "s1") {
  peer::gather_request request = gather_fixture::Request(first, count, server);
  request.proven = false;
  request.fingerprint = fingerprint;
  return request;
}

// Guards against a request that crashes one backend server per call because all of its calls start at the same time.
TEST_CASE_METHOD(gather_fixture, "calls of an unproven fingerprint are executed one at a time until one succeeds") {
  Send(Unproven(kHarmless, 1, 3));
  Send(Unproven(kHarmless, 11, 1, "s2"), "e2");
  CHECK(TakeSent() == attempts{1});
  End(1, error_kind::kBackendShed);
  CHECK(TakeSent() == attempts{2});
  Cancel(2);
  End(2, error_kind::kCancelled);
  CHECK(TakeSent() == attempts{3});
  End(3);
  CHECK(TakeSent() == attempts{11});
  Send(Unproven(kHarmless, 21, 2));
  CHECK(TakeSent() == attempts{21, 22});
}

// Guards against a third crash by a request that is sent many times, and against a refusal that does not state that the
// call was not executed.
TEST_CASE_METHOD(gather_fixture,
                 "a crashing request is executed twice, the second time exclusively, and is then withheld") {
  Send(Unproven(kCrashing, 1, 50));
  CHECK(TakeSent() == attempts{1});
  End(1, error_kind::kConnectionLost);
  CHECK(TakeResults().empty());
  Tick();
  CHECK(IsSuspected(facts, kCrashing, now));
  CHECK_FALSE(IsWithheld(facts, kCrashing, now));
  auto results = TakeResults();
  REQUIRE(results.size() == 50);
  for (const auto& result : results) {
    const bool executed = result.attempt.value == 1;
    CHECK(result.failure == (executed ? error_kind::kConnectionLost : error_kind::kConnectFailed));
    CHECK(result.executed == (executed ? base::executed_state::kUnknown : base::executed_state::kNo));
  }

  Send(Request(100, 1, "s2"));
  Send(Unproven(kCrashing, 101, 50, "s2"));
  CHECK(TakeSent() == attempts{100});
  Send(Request(200, 1, "s2"));
  CHECK(TakeSent().empty());
  End(100);
  CHECK(TakeSent() == attempts{101});
  TakeResults();
  End(101, error_kind::kConnectionLost);
  Tick();
  CHECK(IsWithheld(facts, kCrashing, now));
  results = TakeResults();
  CHECK(std::count_if(results.begin(), results.end(), [](const auto& result) {
          return result.failure == error_kind::kRequestWithheld && result.executed == base::executed_state::kNo;
        }) == 49);
  CHECK(TakeSent() == attempts{200});
  Send(Unproven(kCrashing, 301, 1));
  CHECK(TakeResults().front().failure == error_kind::kRequestWithheld);
}

// Guards against a permanent suspicion of a harmless request that was running on a backend server when another request
// crashed it.
TEST_CASE_METHOD(gather_fixture,
                 "all unproven requests of a crash are suspected, and an exclusive success clears one") {
  Send(Unproven(kCrashing, 1));
  Send(Unproven(kHarmless, 2));
  Send(Request(3));
  End(3, error_kind::kConnectionLost);
  Tick();
  CHECK(TakeResults().size() == 1);
  for (const auto& fingerprint : {kCrashing, kHarmless}) {
    REQUIRE(IsSuspected(facts, fingerprint, now));
    CHECK_FALSE(FindSuspicion(facts, fingerprint, now)->certain);
  }
  CHECK_FALSE(IsSuspected(facts, Request(3).fingerprint, now));
  End(1, error_kind::kConnectionLost);
  End(2, error_kind::kConnectionLost);
  Tick();
  TakeSent();
  Send(Unproven(kHarmless, 11, 3, "s2"));
  CHECK(TakeSent() == attempts{11});
  End(11);
  CHECK(TakeSent() == attempts{12, 13});
  CHECK_FALSE(IsWithheld(facts, kHarmless, now));
}

// Guards against a second execution by another holder that has not received the report of the first crash.
TEST_CASE_METHOD(gather_fixture, "holders of the other replicas are notified before the entry can retry there") {
  Send(Unproven(kCrashing, 1));
  End(1, error_kind::kConnectionLost);
  out.clear();
  Tick();
  std::size_t notified = out.size();
  std::size_t answered = out.size();
  for (std::size_t i = 0; i < out.size(); ++i) {
    const auto* send = std::get_if<io::send_peer>(&out[i]);
    if (send == nullptr) continue;
    if (const auto* announce = std::get_if<peer::announce>(&send->message.body)) {
      CHECK(send->target.value == "other");
      REQUIRE(announce->changes.facts.size() == 1);
      CHECK(announce->changes.facts[0].subject == base::ToHex(kCrashing.value));
      CHECK(announce->changes.facts[0].expires_in_us > 0);
      notified = i;
    }
    if (std::holds_alternative<peer::gather_answer>(send->message.body)) answered = i;
  }
  CHECK(notified < answered);
  CHECK(answered < out.size());
}

// Guards against evidence from another instance that is ignored for calls that already wait.
TEST_CASE_METHOD(gather_fixture, "evidence from another instance applies to queued and waiting calls") {
  Send(Unproven(kCrashing, 1, 3));
  TakeSent();
  RecordWithheld(facts, kCrashing, std::chrono::minutes(10), now);
  End(1, error_kind::kConnectionLost);
  Tick();
  const auto results = TakeResults();
  REQUIRE(results.size() == 3);
  CHECK(std::count_if(results.begin(), results.end(),
                      [](const auto& result) { return result.failure == error_kind::kRequestWithheld; }) == 2);
  CHECK(TakeSent().empty());
  CHECK(IsIdle(tables));
}

// Guards against a third crash by a hedge that is executed at the same time as the second execution on another replica.
TEST_CASE_METHOD(gather_fixture,
                 "the replica after the crashed one executes the request a second time, the next one waits") {
  config::configuration configuration = *config;
  config::shard_map map;
  map.collection = base::collection_id("ledger");
  map.snapshots.resize(1);
  map.snapshots[0].shards.resize(1);
  map.snapshots[0].shards[0].replicas = {0, 1, 2};
  configuration.shard_maps = {map};
  configuration.shard_map_index = {{map.collection, 0}};
  SetConfiguration(std::move(configuration));
  struct row {
    std::string crashed;
    bool immediately;
    bool withheld;
  };
  const auto r = GENERATE(values<row>({{"s3", true, false}, {"s2", false, false}, {"s2", false, true}}));
  const std::uint64_t hash = base::HashBytes(r.crashed);
  RecordSuspected(facts, kCrashing, {hash, true}, std::chrono::minutes(10), now);
  peer::gather_request request = Unproven(kCrashing, 1);
  request.collection = map.collection;
  request.remaining_us = 1'000'000;
  Send(request);
  CHECK(TakeSent().size() == (r.immediately ? 1U : 0U));
  if (r.immediately) return;
  Tick();
  CHECK(TakeSent().empty());
  if (r.withheld) RecordWithheld(facts, kCrashing, std::chrono::minutes(10), now);
  Tick(std::chrono::milliseconds(100));
  CHECK(TakeSent().size() == (r.withheld ? 0U : 1U));
  CHECK(TakeResults().size() == (r.withheld ? 1U : 0U));
}

// Guards against a backend server that stays blocked when an exclusive call ends before it starts.
TEST_CASE_METHOD(gather_fixture, "an exclusive call that has not started stops blocking its server when it ends") {
  RecordSuspected(facts, kCrashing, {1, true}, std::chrono::minutes(10), now);
  Send(Request(1));
  Send(Unproven(kCrashing, 2));
  Send(Request(3));
  CHECK(TakeSent() == attempts{1});
  const bool cancel = GENERATE(true, false);
  if (cancel) {
    Cancel(2);
    CHECK(TakeSent() == attempts{3});
  } else {
    now += std::chrono::milliseconds(99);
    Send(Request(4));
    now += std::chrono::milliseconds(1);
    End(1);
    CHECK(TakeSent() == attempts{4});
  }
}

}  // namespace
}  // namespace limpetrouter::core::gather
