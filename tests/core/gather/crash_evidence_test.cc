#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "core/base/digest.h"
#include "tests/core/gather/gather_fixture.h"

namespace limpetrouter::core::gather {
namespace {

using base::error_kind;
using attempts = std::vector<std::uint64_t>;

const base::fingerprint_id kBad(66);
const base::fingerprint_id kGood(77);

peer::gather_request Unproven(base::fingerprint_id fingerprint, std::uint64_t first, int count = 1,
                              const std::string& server = "s1") {
  peer::gather_request request = gather_fixture::Request(first, count, server);
  request.proven = false;
  request.fingerprint = fingerprint;
  return request;
}

// Guards against a request that crashes one backend server per call, because all of its calls start at once.
TEST_CASE_METHOD(gather_fixture, "calls of an unproven fingerprint run one at a time until one succeeds") {
  Send(Unproven(kGood, 1, 3));
  Send(Unproven(kGood, 11, 1, "s2"), "e2");
  CHECK(TakeSent() == attempts{1});
  End(1, error_kind::kBackendShed);
  CHECK(TakeSent() == attempts{2});
  Cancel(2);
  End(2, error_kind::kCancelled);
  CHECK(TakeSent() == attempts{3});
  End(3);
  CHECK(TakeSent() == attempts{11});
  Send(Unproven(kGood, 21, 2));
  CHECK(TakeSent() == attempts{21, 22});
}

// Guards against a third crash by a request that is sent many times, and against a refusal of it that is in doubt.
TEST_CASE_METHOD(gather_fixture, "a crashing request runs twice, the second time alone, and is then withheld") {
  Send(Unproven(kBad, 1, 50));
  CHECK(TakeSent() == attempts{1});
  End(1, error_kind::kConnectionLost);
  CHECK(TakeResults().empty());
  Tick();
  CHECK(IsSuspected(facts, kBad, now));
  CHECK_FALSE(IsWithheld(facts, kBad, now));
  auto results = TakeResults();
  REQUIRE(results.size() == 50);
  for (const auto& result : results) {
    const bool ran = result.attempt.value == 1;
    CHECK(result.failure == (ran ? error_kind::kConnectionLost : error_kind::kConnectFailed));
    CHECK(result.executed == (ran ? base::executed_state::kUnknown : base::executed_state::kNo));
  }

  Send(Request(100, 1, "s2"));
  Send(Unproven(kBad, 101, 50, "s2"));
  CHECK(TakeSent() == attempts{100});
  Send(Request(200, 1, "s2"));
  CHECK(TakeSent().empty());
  End(100);
  CHECK(TakeSent() == attempts{101});
  TakeResults();
  End(101, error_kind::kConnectionLost);
  Tick();
  CHECK(IsWithheld(facts, kBad, now));
  results = TakeResults();
  CHECK(std::count_if(results.begin(), results.end(), [](const auto& r) {
          return r.failure == error_kind::kRequestWithheld && r.executed == base::executed_state::kNo;
        }) == 49);
  CHECK(TakeSent() == attempts{200});
  Send(Unproven(kBad, 301, 1));
  CHECK(TakeResults().front().failure == error_kind::kRequestWithheld);
}

// Guards against a suspicion that is never lifted from a request which merely shared a crashed server.
TEST_CASE_METHOD(gather_fixture, "several unproven requests are all suspects, and a success alone clears one") {
  Send(Unproven(kBad, 1));
  Send(Unproven(kGood, 2));
  Send(Request(3));
  End(3, error_kind::kConnectionLost);
  Tick();
  CHECK(TakeResults().size() == 1);
  for (const auto& fingerprint : {kBad, kGood}) {
    REQUIRE(IsSuspected(facts, fingerprint, now));
    CHECK_FALSE(FindSuspicion(facts, fingerprint, now)->certain);
  }
  CHECK_FALSE(IsSuspected(facts, Request(3).fingerprint, now));
  End(1, error_kind::kConnectionLost);
  End(2, error_kind::kConnectionLost);
  Tick();
  TakeSent();
  Send(Unproven(kGood, 11, 3, "s2"));
  CHECK(TakeSent() == attempts{11});
  End(11);
  CHECK(TakeSent() == attempts{12, 13});
  CHECK_FALSE(IsWithheld(facts, kGood, now));
}

// Guards against a second run at another holder that has not heard of the first crash.
TEST_CASE_METHOD(gather_fixture, "holders of the other replicas are told before the entry can retry there") {
  Send(Unproven(kBad, 1));
  End(1, error_kind::kConnectionLost);
  out.clear();
  Tick();
  std::size_t told = out.size();
  std::size_t answered = out.size();
  for (std::size_t i = 0; i < out.size(); ++i) {
    const auto* send = std::get_if<io::send_peer>(&out[i]);
    if (send == nullptr) continue;
    if (const auto* announce = std::get_if<peer::announce>(&send->message.body)) {
      CHECK(send->target.value == "other");
      REQUIRE(announce->changes.facts.size() == 1);
      CHECK(announce->changes.facts[0].subject == base::ToHex(kBad.value));
      CHECK(announce->changes.facts[0].expires_in_us > 0);
      told = i;
    }
    if (std::holds_alternative<peer::gather_answer>(send->message.body)) answered = i;
  }
  CHECK(told < answered);
  CHECK(answered < out.size());
}

// Guards against a suspicion heard of from others that is ignored by calls which wait already.
TEST_CASE_METHOD(gather_fixture, "evidence of another instance counts for queued and waiting calls") {
  Send(Unproven(kBad, 1, 3));
  TakeSent();
  RecordWithheld(facts, kBad, std::chrono::minutes(10), now);
  End(1, error_kind::kConnectionLost);
  Tick();
  const auto results = TakeResults();
  REQUIRE(results.size() == 3);
  CHECK(std::count_if(results.begin(), results.end(),
                      [](const auto& r) { return r.failure == error_kind::kRequestWithheld; }) == 2);
  CHECK(TakeSent().empty());
  CHECK(IsIdle(tables));
}

// Guards against a third crash by a hedge that runs at the same time as the second run on another replica.
TEST_CASE_METHOD(gather_fixture, "the second run belongs to the replica after the crashed one, the next one waits") {
  config::configuration made = *config;
  config::shard_map map;
  map.collection = base::collection_id("ledger");
  map.snapshots.resize(1);
  map.snapshots[0].shards.resize(1);
  map.snapshots[0].shards[0].replicas = {0, 1, 2};
  made.shard_maps = {map};
  made.shard_map_index = {{map.collection, 0}};
  SetConfiguration(std::move(made));
  struct row {
    std::string crashed;
    bool at_once;
    bool withheld;
  };
  const auto r = GENERATE(values<row>({{"s3", true, false}, {"s2", false, false}, {"s2", false, true}}));
  const std::uint64_t hash = base::HashBytes(r.crashed);
  RecordSuspected(facts, kBad, {hash, true}, std::chrono::minutes(10), now);
  peer::gather_request request = Unproven(kBad, 1);
  request.collection = map.collection;
  request.remaining_us = 1'000'000;
  Send(request);
  CHECK(TakeSent().size() == (r.at_once ? 1U : 0U));
  if (r.at_once) return;
  Tick();
  CHECK(TakeSent().empty());
  if (r.withheld) RecordWithheld(facts, kBad, std::chrono::minutes(10), now);
  Tick(std::chrono::milliseconds(100));
  CHECK(TakeSent().size() == (r.withheld ? 0U : 1U));
  CHECK(TakeResults().size() == (r.withheld ? 1U : 0U));
}

// Guards against a server that stays blocked when the call that should run alone ends before it starts.
TEST_CASE_METHOD(gather_fixture, "a call that waits to run alone blocks its server no longer than it exists") {
  RecordSuspected(facts, kBad, {1, true}, std::chrono::minutes(10), now);
  Send(Request(1));
  Send(Unproven(kBad, 2));
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
