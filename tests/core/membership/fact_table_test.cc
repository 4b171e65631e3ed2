#include "core/membership/fact_table.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace limpetrouter::core::membership {
namespace {

const base::backend_server_id kServer("s1");
const base::time_point kStart{std::chrono::seconds(100)};

config::configuration MakeConfiguration(std::uint64_t generation, config::backend_state state) {
  config::configuration config;
  // The revision is newer than that of any recorded drain, which must have no influence.
  config.revision.value = 1000;
  config::backend_server server;
  server.id = kServer;
  server.state = state;
  server.generation.value = generation;
  config.backend_servers = {server};
  config.backend_server_index = {{kServer, 0}};
  return config;
}

bool IsServerDraining(const fact_table& table, std::uint64_t generation) {
  return IsDraining(table, MakeConfiguration(generation, config::backend_state::kActive), kServer);
}

/// Merges all facts of `from` into `to`, as another instance would receive them.
void SendAllFacts(const fact_table& from, fact_table& to) {
  for (const auto& [key, known] : from.facts)
    MergeFact(to, known.fact, kStart);
}

// Guards against a draining server that receives requests again because a load report lags, and against a server that
// stays unused after a restart or an edit of its registry entry.
TEST_CASE("a drain ends only by a higher generation or a restart") {
  fact_table table;
  CHECK_FALSE(IsServerDraining(table, 5));
  CHECK(IsDraining(table, MakeConfiguration(5, config::backend_state::kLeaving), kServer));
  RecordDrain(table, kServer, base::generation_id(5), 11, kStart);
  CHECK(IsServerDraining(table, 5));
  CHECK_FALSE(IsServerDraining(table, 6));
  RecordBoot(table, kServer, 11, false, kStart);
  ExpireFacts(table, kStart + std::chrono::hours(100));
  CHECK(IsServerDraining(table, 5));
  RecordBoot(table, kServer, 12, true, kStart);
  CHECK(IsServerDraining(table, 5));
  RecordBoot(table, kServer, 12, false, kStart);
  CHECK_FALSE(IsServerDraining(table, 5));
  RecordDrain(table, kServer, base::generation_id(5), 12, kStart);
  CHECK(IsServerDraining(table, 5));
}

// Guards against a lagging load report that ends a drain which was recorded before the first load report arrived.
TEST_CASE("a drain without a known incarnation takes the first one reported") {
  fact_table table;
  RecordDrain(table, kServer, base::generation_id(5), 0, kStart);
  RecordBoot(table, kServer, 11, false, kStart);
  CHECK(IsServerDraining(table, 5));
  RecordBoot(table, kServer, 12, false, kStart);
  CHECK_FALSE(IsServerDraining(table, 5));
}

// Guards against an ended drain that is restored by a peer that has not received the end yet, in any order of messages.
TEST_CASE("the end of a drain spreads and outlasts old copies of the drain") {
  fact_table holder;
  RecordDrain(holder, kServer, base::generation_id(5), 11, kStart);
  fact_table peer;
  SendAllFacts(holder, peer);
  CHECK(IsServerDraining(peer, 5));
  const fact_table stale = peer;
  RecordBoot(holder, kServer, 12, false, kStart);
  const bool end_first = GENERATE(true, false);
  fact_table third;
  SendAllFacts(end_first ? holder : stale, third);
  SendAllFacts(end_first ? stale : holder, third);
  SendAllFacts(stale, holder);
  SendAllFacts(holder, peer);
  for (const fact_table* table : {&holder, &peer, &third})
    CHECK_FALSE(IsServerDraining(*table, 5));
  RecordDrain(holder, kServer, base::generation_id(5), 12, kStart);
  SendAllFacts(holder, third);
  CHECK(IsServerDraining(third, 5));
}

// Guards against facts that are disseminated indefinitely.
TEST_CASE("a repeated fact is not passed on and an expired one is removed") {
  fact_table table;
  const base::fingerprint_id fingerprint(77);
  RecordWithheld(table, fingerprint, std::chrono::minutes(10), kStart);
  REQUIRE(table.facts.size() == 1);
  CHECK(table.announcement_due);
  const peer::fact fact = table.facts.begin()->second.fact;
  CHECK_FALSE(MergeFact(table, fact, kStart));
  fact_table other;
  CHECK(MergeFact(other, fact, kStart));
  CHECK(IsWithheld(other, fingerprint, kStart + std::chrono::minutes(9)));
  CHECK_FALSE(IsWithheld(other, fingerprint, kStart + std::chrono::minutes(10)));
  ExpireFacts(other, kStart + std::chrono::minutes(10));
  CHECK(other.facts.empty());
}

// Guards against a third crash when two instances have observed one crash each before they received the suspicion of
// the other one, and against withholding a request that only happened to run on two servers that crashed.
TEST_CASE("crashes observed by two instances are combined") {
  struct row {
    std::uint64_t other_server;
    bool certain;
    bool withheld;
  };
  const auto r = GENERATE(values<row>({{1, true, false}, {2, true, true}, {2, false, false}}));
  const base::fingerprint_id fingerprint(77);
  fact_table a;
  fact_table b;
  RecordSuspected(a, fingerprint, {1, false}, std::chrono::minutes(10), kStart);
  RecordSuspected(b, fingerprint, {r.other_server, r.certain}, std::chrono::minutes(10), kStart);
  SendAllFacts(a, b);
  SendAllFacts(b, a);
  for (const fact_table* table : {&a, &b}) {
    CHECK(IsSuspected(*table, fingerprint, kStart));
    CHECK(IsWithheld(*table, fingerprint, kStart) == r.withheld);
  }
  CHECK(FindSuspicion(a, fingerprint, kStart)->crashed_server == FindSuspicion(b, fingerprint, kStart)->crashed_server);
}

// Guards against instances that disagree about a request because they learned of its crashes and of its answer in
// another order.
TEST_CASE("an answer clears a request whatever the order in which its facts arrive") {
  const bool answer_first = GENERATE(true, false);
  INFO("answer first " << answer_first);
  const base::fingerprint_id fingerprint(77);
  constexpr auto kLifetime = std::chrono::minutes(10);
  fact_table crashed;
  RecordSuspected(crashed, fingerprint, {1, false}, kLifetime, kStart);
  RecordRepeatedCrash(crashed, fingerprint, {2, kStart}, kLifetime, kStart);
  RecordWithheld(crashed, fingerprint, kLifetime, kStart);
  fact_table answered;
  RecordSuspected(answered, fingerprint, {1, false}, kLifetime, kStart);
  RecordAnswered(answered, fingerprint, kStart);
  fact_table table;
  SendAllFacts(answer_first ? answered : crashed, table);
  SendAllFacts(answer_first ? crashed : answered, table);
  CHECK_FALSE(IsSuspected(table, fingerprint, kStart));
  CHECK_FALSE(IsWithheld(table, fingerprint, kStart));
  CHECK(IsAnswered(table, fingerprint, kStart));
  SendAllFacts(crashed, table);
  CHECK_FALSE(IsWithheld(table, fingerprint, kStart));
  const base::time_point later = kStart + std::chrono::seconds(11);
  CHECK_FALSE(IsAnswered(table, fingerprint, later));
  RecordSuspected(table, fingerprint, {3, false}, kLifetime, later);
  CHECK(IsSuspected(table, fingerprint, later));
}

TEST_CASE("a request that is neither suspected nor withheld needs no clearing") {
  fact_table table;
  RecordAnswered(table, base::fingerprint_id(77), kStart);
  CHECK(table.facts.empty());
}

}  // namespace
}  // namespace limpetrouter::core::membership
