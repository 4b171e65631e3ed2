#include "core/forwarding/crash_suspects.h"

#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "core/forwarding/retry_budget.h"
#include "core/forwarding/server_choice.h"
#include "core/forwarding/server_contact.h"
#include "core/forwarding/server_probes.h"
#include "core/membership/fact_table.h"
#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

using base::error_kind;
using base::executed_state;

forwarding_fixture FixtureWithServers(std::size_t count) {
  forwarding_fixture fixture;
  route custom_route = forwarding_fixture::MakeRoute(repeat_policy::kIdempotent);
  custom_route.max_attempts = 1;
  fixture.SetRoute(custom_route);
  for (std::size_t i = 0; i < count; ++i) {
    const std::string id = "server" + std::to_string(i);
    fixture.AddServers({forwarding_fixture::MakeServer(id, "single", "a")});
  }
  return fixture;
}

/// Sends a request with this content. Its server crashes and then refuses the connection of the next request.
void CrashServer(forwarding_fixture& fixture, const std::string& content) {
  fixture.Send({}, content);
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 1);
  fixture.now += milliseconds(20);
  fixture.End(calls[0], forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  fixture.now += milliseconds(100);
  instance::context ctx = fixture.Context();
  NoteServerDown(fixture.tables.servers.servers.at(calls[0].server), ctx);
  fixture.TakeReplies();
  // Draining keeps the crashed server from being chosen again.
  fixture.tables.servers.servers.at(calls[0].server).record.draining = true;
}

/// Ends all probes, also those that follow from their outcomes. Probes of the listed servers are refused.
void EndProbes(forwarding_fixture& fixture, const std::set<std::string>& down) {
  for (int round = 0; round < 3; ++round) {
    instance::context ctx = fixture.Context();
    for (const auto& probe : fixture.Take<io::probe_server>()) {
      const base::backend_server_id server = fixture.tables.probes.at(probe.probe).server;
      HandleProbeEnded(fixture.tables, ctx, {probe.probe, !down.contains(server.value)});
    }
    fixture.now += milliseconds(5);
    instance::context next = fixture.Context();
    RunContact(fixture.tables, next);
  }
}

// Guards against a request that crashes one backend server after another, at any instance.
TEST_CASE("a request whose calls crash two servers is withheld, and other requests are served") {
  forwarding_fixture fixture = FixtureWithServers(4);
  CrashServer(fixture, "bad");
  CrashServer(fixture, "bad");
  fixture.Send({}, "bad");
  CHECK(fixture.TakeCalls().empty());
  const auto refused = fixture.TakeReplies();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].answer.status == 503);
  CHECK(refused[0].answer.executed == executed_state::kNo);
  CHECK(refused[0].answer.failure->kind == error_kind::kRequestWithheld);
  fixture.Send({}, "good");
  CHECK(fixture.TakeCalls().size() == 1);
}

// Guards against a harmless request that is withheld because it ran on servers that failed for another reason.
TEST_CASE("a request is not withheld without evidence that it crashed two servers") {
  enum class incident { kOtherContent, kSimultaneousCrashes, kConnectionReset, kOtherRequestRunning, kServedSince };
  const auto kind = GENERATE(incident::kOtherContent, incident::kSimultaneousCrashes, incident::kConnectionReset,
                             incident::kOtherRequestRunning, incident::kServedSince);
  INFO("incident " << static_cast<int>(kind));
  forwarding_fixture fixture = FixtureWithServers(4);
  if (kind == incident::kOtherContent) {
    CrashServer(fixture, "other");
    CrashServer(fixture, "good");
  } else if (kind == incident::kSimultaneousCrashes) {
    // Both calls begin before the first crash: servers that fail together have another cause.
    fixture.Send({}, "good");
    fixture.Send({}, "good");
    const auto calls = fixture.TakeCalls();
    REQUIRE(calls.size() == 2);
    for (const auto& call : calls) {
      fixture.End(call, forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
      fixture.now += milliseconds(1);
      instance::context ctx = fixture.Context();
      NoteServerDown(fixture.tables.servers.servers.at(call.server), ctx);
    }
  } else if (kind == incident::kConnectionReset) {
    // Connections that are accepted and reset do not show that a server is down.
    for (int i = 0; i < 6; ++i) {
      fixture.Send({}, "good");
      for (const auto& call : fixture.TakeCalls()) {
        call_result reset = forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown);
        reset.opened_connection = true;
        fixture.End(call, reset);
      }
      fixture.now += milliseconds(500);
    }
  } else if (kind == incident::kOtherRequestRunning) {
    for (int crash = 0; crash < 2; ++crash) {
      auto& servers = fixture.tables.servers.servers;
      auto& target = servers.at(base::backend_server_id("server" + std::to_string(crash)));
      NoteLostCall(target, {base::fingerprint_id(1), fixture.now, fixture.now, 0});
      NoteLostCall(target, {base::fingerprint_id(2), fixture.now, fixture.now, 0});
      fixture.now += milliseconds(10);
      instance::context ctx = fixture.Context();
      NoteServerDown(target, ctx);
      fixture.now += milliseconds(10);
    }
    CHECK_FALSE(membership::IsWithheld(fixture.facts, base::fingerprint_id(1), fixture.now));
    CHECK_FALSE(membership::IsWithheld(fixture.facts, base::fingerprint_id(2), fixture.now));
  } else if (kind == incident::kServedSince) {
    CrashServer(fixture, "good");
    fixture.Send({}, "good");
    const auto lost = fixture.TakeCalls();
    fixture.End(lost.at(0), forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
    server& target = fixture.tables.servers.servers.at(lost[0].server);
    NoteCallStart(target, {call_id(1'000), fixture.now, milliseconds(10)});
    NoteCallEnd(target, call_id(1'000), call_verdict::kServed, milliseconds(10), {}, fixture.now);
    instance::context ctx = fixture.Context();
    NoteServerDown(target, ctx);
  }
  fixture.TakeReplies();
  fixture.now += seconds(5);
  fixture.Send({}, "good");
  CHECK(fixture.TakeCalls().size() == 1);
}

// Guards against a request that crashes one busy server after another: other requests ran on each of them, so that no
// crash was certain, and the request was never withheld. Nor may a harmless request be withheld that is hit repeatedly.
TEST_CASE("a request that only uncertain crashes follow is withheld after the third in a row") {
  enum class history { kInARow, kAnsweredBetween, kAnsweredElsewhere, kStartedBeforeSecond, kSameServer, kTwoCrashes };
  struct row {
    std::string name;
    history events;
    bool withheld;
  };
  const row given = GENERATE(
      values<row>({{"three in a row", history::kInARow, true},
                   {"answered in between", history::kAnsweredBetween, false},
                   {"answered in between at another instance", history::kAnsweredElsewhere, false},
                   {"the third call started before the second crash was known", history::kStartedBeforeSecond, false},
                   {"the third crash is the second one, seen again", history::kSameServer, false},
                   {"two crashes", history::kTwoCrashes, false}}));
  INFO(given.name);
  forwarding_fixture fixture = FixtureWithServers(4);
  const base::fingerprint_id suspect(1);
  const auto crash = [&fixture, suspect](const std::string& id, base::time_point started) {
    auto& target = fixture.tables.servers.servers.at(base::backend_server_id(id));
    NoteLostCall(target, {suspect, started, fixture.now, 0});
    NoteLostCall(target, {base::fingerprint_id(fixture.next_handle++ + 100), started, fixture.now, 0});
    fixture.now += milliseconds(10);
    instance::context ctx = fixture.Context();
    NoteServerDown(target, ctx);
    fixture.now += milliseconds(10);
  };
  crash("server0", fixture.now);
  const base::time_point before_second = fixture.now;
  crash("server1", fixture.now);
  CHECK(membership::IsSuspected(fixture.facts, suspect, fixture.now));
  CHECK_FALSE(membership::IsWithheld(fixture.facts, suspect, fixture.now));
  if (given.events == history::kAnsweredBetween) {
    instance::context ctx = fixture.Context();
    NoteAnsweredCall(ctx, suspect);
    CHECK_FALSE(membership::IsSuspected(fixture.facts, suspect, fixture.now));
  } else if (given.events == history::kAnsweredElsewhere) {
    membership::fact_table other;
    for (const auto& [key, known] : fixture.facts.facts)
      membership::MergeFact(other, known.fact, fixture.now);
    membership::RecordAnswered(other, suspect, fixture.now);
    for (const auto& [key, known] : other.facts)
      membership::MergeFact(fixture.facts, known.fact, fixture.now);
    CHECK_FALSE(membership::IsSuspected(fixture.facts, suspect, fixture.now));
  }
  if (given.events != history::kTwoCrashes) {
    crash(given.events == history::kSameServer ? "server1" : "server2",
          given.events == history::kStartedBeforeSecond ? before_second : fixture.now);
  }
  CHECK(membership::IsWithheld(fixture.facts, suspect, fixture.now) == given.withheld);
}

// Guards against a harmless request that stays suspected, and is withheld at its next crash although servers answer it.
TEST_CASE("an answered call clears a suspected request") {
  forwarding_fixture fixture = FixtureWithServers(4);
  CrashServer(fixture, "good");
  const base::reply_handle handle = fixture.Send({}, "good");
  const base::fingerprint_id fingerprint = fixture.tables.requests.at(handle).fingerprint;
  REQUIRE(membership::IsSuspected(fixture.facts, fingerprint, fixture.now));
  fixture.now += milliseconds(10);
  fixture.End(fixture.TakeCalls().at(0), forwarding_fixture::Served());
  CHECK_FALSE(membership::IsSuspected(fixture.facts, fingerprint, fixture.now));
  CrashServer(fixture, "good");
  CHECK_FALSE(membership::IsWithheld(fixture.facts, fingerprint, fixture.now));
  fixture.Send({}, "good");
  CHECK(fixture.TakeCalls().size() == 1);
  // Crashes count again after some seconds, because a change of the servers may make the request dangerous.
  fixture.now += seconds(11);
  fixture.AddServers(
      {forwarding_fixture::MakeServer("new-a", "single", "a"), forwarding_fixture::MakeServer("new-b", "single", "a")});
  CrashServer(fixture, "good");
  CHECK(membership::IsSuspected(fixture.facts, fingerprint, fixture.now));
}

// Guards against retries of a request that was withheld after the instance had already sent it.
TEST_CASE("a request that is withheld while a call is running is not sent again") {
  forwarding_fixture fixture = FixtureWithServers(3);
  route custom_route = forwarding_fixture::MakeRoute(repeat_policy::kIdempotent);
  custom_route.max_attempts = 3;
  fixture.SetRoute(custom_route);
  const base::reply_handle handle = fixture.Send();
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 1);
  membership::RecordWithheld(fixture.facts, fixture.tables.requests.at(handle).fingerprint, std::chrono::minutes(1),
                             fixture.now);
  fixture.End(calls[0], forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  CHECK(fixture.TakeCalls().empty());
  CHECK(fixture.TakeReplies().at(0).answer.status == 502);
}

// Guards against a crash that is never detected because only the next connection reveals it.
TEST_CASE("a refused connection after a lost call reveals the crash") {
  forwarding_fixture fixture = FixtureWithServers(1);
  const base::reply_handle handle = fixture.Send({}, "bad");
  const base::fingerprint_id fingerprint = fixture.tables.requests.at(handle).fingerprint;
  fixture.End(fixture.TakeCalls().at(0),
              forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  CHECK_FALSE(membership::IsSuspected(fixture.facts, fingerprint, fixture.now));
  fixture.now += milliseconds(600);
  fixture.Send({}, "good");
  fixture.End(fixture.TakeCalls().at(0), forwarding_fixture::Failed(error_kind::kConnectFailed, executed_state::kNo));
  CHECK(membership::IsSuspected(fixture.facts, fingerprint, fixture.now));
}

// Guards against crashes that are never detected because no instance connects to a rarely called server again.
TEST_CASE("a server that loses a call is probed at once, and a failed probe reveals the crash") {
  const bool connected = GENERATE(false, true);
  INFO("connected " << connected);
  forwarding_fixture fixture = FixtureWithServers(3);
  const base::reply_handle handle = fixture.Send({}, "bad");
  const base::fingerprint_id fingerprint = fixture.tables.requests.at(handle).fingerprint;
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 1);
  fixture.End(calls[0], forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  const auto probes = fixture.Take<io::probe_server>();
  REQUIRE(probes.size() == 1);
  CHECK(probes[0].address == calls[0].address);
  fixture.out.emplace_back(probes[0]);
  fixture.now += milliseconds(2);
  EndProbes(fixture, connected ? std::set<std::string>{} : std::set<std::string>{calls[0].server.value});
  CHECK(membership::IsSuspected(fixture.facts, fingerprint, fixture.now) == !connected);
  const bool ejected = fixture.tables.servers.servers.at(calls[0].server).ejected_until > fixture.now;
  CHECK(ejected == !connected);
  CHECK(fixture.tables.probes.empty());
}

// Guards against requests that are suspected or withheld because the instance lost its own links to all servers.
TEST_CASE("calls that are lost with the links to all servers make no request a suspect") {
  forwarding_fixture fixture = FixtureWithServers(4);
  std::set<std::string> all;
  for (const auto& [id, each] : fixture.tables.servers.servers)
    all.insert(id.value);
  const base::reply_handle handle = fixture.Send({}, "good");
  const base::fingerprint_id fingerprint = fixture.tables.requests.at(handle).fingerprint;
  fixture.End(fixture.TakeCalls().at(0),
              forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  EndProbes(fixture, all);
  CHECK(IsCutOff(fixture.tables));
  CHECK_FALSE(membership::IsSuspected(fixture.facts, fingerprint, fixture.now));
  // Nor do they when the links are back.
  fixture.now += seconds(1);
  instance::context ctx = fixture.Context();
  RunContact(fixture.tables, ctx);
  EndProbes(fixture, {});
  CHECK_FALSE(IsCutOff(fixture.tables));
  CHECK_FALSE(membership::IsSuspected(fixture.facts, fingerprint, fixture.now));
}

// Guards against requests that wait for evidence which cannot come: no other server is left to compare with.
TEST_CASE("a refused probe reveals the crash if all other servers drain") {
  forwarding_fixture fixture = FixtureWithServers(3);
  const base::reply_handle handle = fixture.Send({}, "bad");
  const base::fingerprint_id fingerprint = fixture.tables.requests.at(handle).fingerprint;
  const auto calls = fixture.TakeCalls();
  for (auto& [id, each] : fixture.tables.servers.servers)
    each.record.draining = id != calls.at(0).server;
  fixture.End(calls[0], forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  EndProbes(fixture, {calls[0].server.value});
  CHECK(membership::IsSuspected(fixture.facts, fingerprint, fixture.now));
  CHECK(fixture.tables.contact.refusing.empty());
}

// Guards against many connections to a server whose connections are reset.
TEST_CASE("a server that loses calls in quick succession is probed once") {
  forwarding_fixture fixture = FixtureWithServers(1);
  for (int i = 0; i < 2; ++i)
    fixture.Send();
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 2);
  for (const auto& call : calls)
    fixture.End(call, forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  CHECK(fixture.Take<io::probe_server>().size() == 1);
}

// Guards against a probe of a server's former process that is taken for one of its present process.
TEST_CASE("a probe that was started before its server restarted says nothing") {
  forwarding_fixture fixture = FixtureWithServers(1);
  fixture.Send({}, "bad");
  const auto calls = fixture.TakeCalls();
  fixture.End(calls.at(0), forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  const auto probes = fixture.Take<io::probe_server>();
  server_record restarted = forwarding_fixture::MakeServer("server0", "single", "a");
  restarted.incarnation = 2;
  fixture.AddServers({restarted});
  instance::context ctx = fixture.Context();
  HandleProbeEnded(fixture.tables, ctx, {probes.at(0).probe, false});
  CHECK(fixture.tables.servers.servers.at(calls[0].server).ejected_until <= fixture.now);
}

forwarding_fixture ShardedFixture() {
  constexpr std::size_t kShards = 4;
  forwarding_fixture fixture;
  route sharded = forwarding_fixture::MakeRoute(repeat_policy::kIdempotent, kShards);
  sharded.max_attempts = 3;
  fixture.SetRoute(sharded);
  for (std::size_t i = 0; i < kShards; ++i) {
    const std::string shard = "shard" + std::to_string(i);
    for (const char* replica : {"x", "y", "z"})
      fixture.AddServers({forwarding_fixture::MakeServer(shard + "-" + replica, shard, "a")});
    for (int count = 0; count < 100; ++count)
      CountRequest(fixture.tables, base::service_id(shard), fixture.now);
  }
  return fixture;
}

// Guards against one sharded request that crashes all servers of its service: each part was sent again to the servers
// that were left, within milliseconds.
TEST_CASE("a sharded request whose calls are all lost crashes one server a shard, and is answered after the probes") {
  forwarding_fixture fixture = ShardedFixture();
  const base::reply_handle handle = fixture.Send({}, "bad");
  const base::fingerprint_id fingerprint = fixture.tables.requests.at(handle).fingerprint;
  const auto first = fixture.TakeCalls();
  REQUIRE(first.size() == 4);
  std::size_t repeated = 0;
  for (const auto& call : first) {
    fixture.now += milliseconds(1);
    fixture.End(call, forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
    repeated += fixture.TakeCalls().size();
  }
  CHECK(repeated == 0);
  fixture.Run(milliseconds(40));
  CHECK(fixture.TakeCalls().empty());
  CHECK(fixture.TakeReplies().empty());
  std::set<std::string> down;
  for (const auto& call : first)
    down.insert(call.server.value);
  EndProbes(fixture, down);
  CHECK(membership::IsSuspected(fixture.facts, fingerprint, fixture.now));
}

// Guards against a request that is given up although other parts show that it does not crash servers.
TEST_CASE("held parts are sent again once another part has been answered") {
  forwarding_fixture fixture = ShardedFixture();
  fixture.Send();
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 4);
  std::size_t repeated = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    fixture.End(calls[i], forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
    repeated += fixture.TakeCalls().size();
  }
  CHECK(repeated == 0);
  fixture.End(calls[3], forwarding_fixture::Served("aaaa"));
  CHECK(fixture.TakeCalls().size() == 3);
}

// Guards against a suspected request that reaches all shards at once at the next instance.
TEST_CASE("a suspected sharded request has one call until it is answered") {
  const bool answered = GENERATE(true, false);
  INFO("answered " << answered);
  forwarding_fixture fixture = ShardedFixture();
  const base::reply_handle first = fixture.Send({}, "bad");
  const base::fingerprint_id fingerprint = fixture.tables.requests.at(first).fingerprint;
  for (const auto& call : fixture.TakeCalls())
    fixture.End(call, forwarding_fixture::Served("aaaa"));
  fixture.TakeReplies();
  membership::RecordSuspected(fixture.facts, fingerprint, {1, true}, std::chrono::minutes(1), fixture.now);
  fixture.now += milliseconds(1);
  fixture.Send({}, "bad");
  const auto canary = fixture.TakeCalls();
  REQUIRE(canary.size() == 1);
  fixture.Run(milliseconds(300));
  CHECK(fixture.TakeCalls().empty());
  if (answered) {
    fixture.End(canary[0], forwarding_fixture::Served("aaaa"));
    CHECK(fixture.TakeCalls().size() == 3);
    return;
  }
  fixture.End(canary[0], forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  CHECK(fixture.TakeCalls().empty());
  EndProbes(fixture, {canary[0].server.value});
  fixture.Run(milliseconds(10));
  CHECK(fixture.TakeCalls().empty());
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == 502);
  CHECK(membership::IsWithheld(fixture.facts, fingerprint, fixture.now));
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
