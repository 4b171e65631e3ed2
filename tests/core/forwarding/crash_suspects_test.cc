#include "core/forwarding/crash_suspects.h"

#include <catch2/catch.hpp>

#include "core/forwarding/server_choice.h"
#include "core/membership/fact_table.h"
#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

using base::error_kind;
using base::executed_state;

forwarding_world WorldOfServers(std::size_t count) {
  forwarding_world world;
  route made = forwarding_world::MakeRoute(repeat_policy::kIdempotent);
  made.max_attempts = 1;
  world.SetRoute(made);
  for (std::size_t i = 0; i < count; ++i) {
    const std::string id = "server" + std::to_string(i);
    world.AddServers({forwarding_world::MakeServer(id, "single", "a")});
  }
  return world;
}

/// Runs a request with this content; its server crashes and then refuses the next request's connection.
void CrashServer(forwarding_world& world, const std::string& content) {
  world.Send({}, content);
  const auto calls = world.TakeCalls();
  REQUIRE(calls.size() == 1);
  world.now += milliseconds(20);
  world.End(calls[0], forwarding_world::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  world.now += milliseconds(100);
  instance::context ctx = world.Context();
  NoteServerDown(world.tables.servers.servers.at(calls[0].server), ctx);
  world.TakeReplies();
  // The server that crashed stays away.
  world.tables.servers.servers.at(calls[0].server).record.draining = true;
}

// Guards against a request that crashes one backend server after the other, at any instance.
TEST_CASE("a request whose runs crash two servers is withheld, and others are served") {
  forwarding_world world = WorldOfServers(4);
  CrashServer(world, "bad");
  CrashServer(world, "bad");
  world.Send({}, "bad");
  CHECK(world.TakeCalls().empty());
  const auto refused = world.TakeReplies();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].answer.status == 503);
  CHECK(refused[0].answer.executed == executed_state::kNo);
  CHECK(refused[0].answer.failure->kind == error_kind::kRequestWithheld);
  world.Send({}, "good");
  CHECK(world.TakeCalls().size() == 1);
}

// Guards against a good request that is refused because it ran where something else broke.
TEST_CASE("a request is not withheld for what does not show that it crashed two servers") {
  enum class trouble { kOtherContent, kSameMoment, kReset, kNotAlone, kServedSince };
  const auto kind = GENERATE(trouble::kOtherContent, trouble::kSameMoment, trouble::kReset, trouble::kNotAlone,
                             trouble::kServedSince);
  INFO("trouble " << static_cast<int>(kind));
  forwarding_world world = WorldOfServers(4);
  if (kind == trouble::kOtherContent) {
    CrashServer(world, "other");
    CrashServer(world, "good");
  } else if (kind == trouble::kSameMoment) {
    // Both runs begin before the first crash: servers that fail together have another cause.
    world.Send({}, "good");
    world.Send({}, "good");
    const auto calls = world.TakeCalls();
    REQUIRE(calls.size() == 2);
    for (const auto& call : calls) {
      world.End(call, forwarding_world::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
      world.now += milliseconds(1);
      instance::context ctx = world.Context();
      NoteServerDown(world.tables.servers.servers.at(call.server), ctx);
    }
  } else if (kind == trouble::kReset) {
    // Connections that are accepted and reset do not show that a server is down.
    for (int i = 0; i < 6; ++i) {
      world.Send({}, "good");
      for (const auto& call : world.TakeCalls()) {
        call_result reset = forwarding_world::Failed(error_kind::kConnectionLost, executed_state::kUnknown);
        reset.opened_connection = true;
        world.End(call, reset);
      }
      world.now += milliseconds(500);
    }
  } else if (kind == trouble::kNotAlone) {
    for (int crash = 0; crash < 2; ++crash) {
      auto& servers = world.tables.servers.servers;
      auto& target = servers.at(base::backend_server_id("server" + std::to_string(crash)));
      NoteLostCall(target, {base::fingerprint_id(1), world.now, world.now, 0});
      NoteLostCall(target, {base::fingerprint_id(2), world.now, world.now, 0});
      world.now += milliseconds(10);
      instance::context ctx = world.Context();
      NoteServerDown(target, ctx);
      world.now += milliseconds(10);
    }
    CHECK_FALSE(membership::IsWithheld(world.facts, base::fingerprint_id(1), world.now));
    CHECK_FALSE(membership::IsWithheld(world.facts, base::fingerprint_id(2), world.now));
  } else if (kind == trouble::kServedSince) {
    CrashServer(world, "good");
    world.Send({}, "good");
    const auto lost = world.TakeCalls();
    world.End(lost.at(0), forwarding_world::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
    server& target = world.tables.servers.servers.at(lost[0].server);
    NoteCallStart(target, {call_id(1'000), world.now, milliseconds(10)});
    NoteCallEnd(target, call_id(1'000), call_verdict::kServed, milliseconds(10), {}, world.now);
    instance::context ctx = world.Context();
    NoteServerDown(target, ctx);
  }
  world.TakeReplies();
  world.now += seconds(5);
  world.Send({}, "good");
  CHECK(world.TakeCalls().size() == 1);
}

// Guards against a withheld request that goes on being sent again by the instance that already runs it.
TEST_CASE("a request that is withheld while it runs is not sent again") {
  forwarding_world world = WorldOfServers(3);
  route made = forwarding_world::MakeRoute(repeat_policy::kIdempotent);
  made.max_attempts = 3;
  world.SetRoute(made);
  const base::reply_handle handle = world.Send();
  const auto calls = world.TakeCalls();
  REQUIRE(calls.size() == 1);
  membership::RecordWithheld(world.facts, world.tables.requests.at(handle).fingerprint, std::chrono::minutes(1),
                             world.now);
  world.End(calls[0], forwarding_world::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  CHECK(world.TakeCalls().empty());
  CHECK(world.TakeReplies().at(0).answer.status == 502);
}

// Guards against a crash that is never noticed because only the next connection shows it.
TEST_CASE("a refused connection after a lost call shows the crash") {
  forwarding_world world = WorldOfServers(1);
  const base::reply_handle handle = world.Send({}, "bad");
  const base::fingerprint_id fingerprint = world.tables.requests.at(handle).fingerprint;
  world.End(world.TakeCalls().at(0), forwarding_world::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  CHECK_FALSE(membership::IsSuspected(world.facts, fingerprint, world.now));
  world.now += milliseconds(600);
  world.Send({}, "good");
  world.End(world.TakeCalls().at(0), forwarding_world::Failed(error_kind::kConnectFailed, executed_state::kNo));
  CHECK(membership::IsSuspected(world.facts, fingerprint, world.now));
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
