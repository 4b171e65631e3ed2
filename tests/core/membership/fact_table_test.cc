#include "core/membership/fact_table.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace limpetrouter::core::membership {
namespace {

const base::backend_server_id kServer("s1");
const base::time_point kStart{std::chrono::seconds(100)};

config::configuration MakeConfiguration(std::uint64_t generation, config::backend_state state) {
  config::configuration config;
  // Any revision is newer than the observation; it must not matter.
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

/// All facts of `from` as another instance would receive them.
void SendAllFacts(const fact_table& from, fact_table& to) {
  for (const auto& [key, known] : from.facts)
    MergeFact(to, known.fact, kStart);
}

// Guards against a draining server that receives work again because a report lags, and against one that stays unused
// after a restart or an edit of its register entry.
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

// Guards against a lagging report that ends a drain which was heard of before the first load report.
TEST_CASE("a drain without a known life takes the first one reported") {
  fact_table table;
  RecordDrain(table, kServer, base::generation_id(5), 0, kStart);
  RecordBoot(table, kServer, 11, false, kStart);
  CHECK(IsServerDraining(table, 5));
  RecordBoot(table, kServer, 12, false, kStart);
  CHECK_FALSE(IsServerDraining(table, 5));
}

// Guards against an ended drain that comes back from a peer which has not heard of its end, in any order of messages.
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

// Guards against facts that circulate for ever.
TEST_CASE("a repeated fact is no news and an expired one is forgotten") {
  fact_table table;
  const base::fingerprint_id fingerprint(77);
  RecordWithheld(table, fingerprint, std::chrono::minutes(10), kStart);
  REQUIRE(table.facts.size() == 1);
  CHECK(table.facts.begin()->second.urgent);
  const peer::fact fact = table.facts.begin()->second.fact;
  CHECK_FALSE(MergeFact(table, fact, kStart));
  fact_table other;
  CHECK(MergeFact(other, fact, kStart));
  CHECK(IsWithheld(other, fingerprint, kStart + std::chrono::minutes(9)));
  CHECK_FALSE(IsWithheld(other, fingerprint, kStart + std::chrono::minutes(10)));
  ExpireFacts(other, kStart + std::chrono::minutes(10));
  CHECK(other.facts.empty());
}

// Guards against a third crash where two instances saw one crash each before they heard of the other's, and against
// withholding a request that merely shared two crashed servers.
TEST_CASE("crashes seen by two instances add up") {
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

}  // namespace
}  // namespace limpetrouter::core::membership
