#include "core/membership/membership.h"

#include <algorithm>
#include <chrono>

#include <catch2/catch.hpp>

#include "core/peer/codec.h"
#include "tests/core/config/test_configuration.h"
#include "tests/core/membership/fleet.h"

namespace limpetrouter::core::membership {
namespace {

using peer::member_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

fleet MakeRunningFleet(std::size_t count, std::uint64_t seed) {
  fleet made = MakeFleet(count, seed);
  Publish(made, 7);
  Run(made, seconds(15));
  return made;
}

/// Longest time until all other instances take a crashed one for dead, over several crashes.
base::duration WorstDetection(fleet& fleet, int crashes) {
  base::duration worst{};
  for (int i = 0; i < crashes; ++i) {
    const std::size_t victim = base::NextBelow(fleet.random, fleet.instances.size());
    fleet.instances[victim]->running = false;
    const base::duration taken = RunUntil(fleet, seconds(20), [&fleet, victim] {
      return CountState(fleet, victim, member_state::kDead) == fleet.instances.size() - 1;
    });
    worst = std::max(worst, taken);
    Restart(fleet, victim);
    Run(fleet, seconds(15));
  }
  return worst;
}

// Guards against instances that never learn of each other after the whole fleet has restarted.
TEST_CASE("instances that only know the instance list find each other and the configuration") {
  const std::size_t count = GENERATE(2U, 9U, 50U);
  fleet made = MakeFleet(count, count);
  Publish(made, 7);
  const base::duration taken =
      RunUntil(made, seconds(60), [&] { return IsWhole(made) && CountRevision(made, 7) == count; });
  UNSCOPED_INFO(count << " instances took " << base::ToMilliseconds(taken) << " ms");
  CHECK(taken <= seconds(15));
  for (const auto& instance : made.instances)
    CHECK(IsReady(instance->tables, made.now));
}

// Guards against crashed holders that keep receiving work.
TEST_CASE("a crash is detected everywhere within a few seconds") {
  fleet made = MakeRunningFleet(GENERATE(9U, 50U), 3);
  REQUIRE(IsWhole(made));
  const base::duration worst = WorstDetection(made, 5);
  WARN(made.instances.size() << " instances: worst detection " << base::ToMilliseconds(worst) << " ms");
  CHECK(worst <= seconds(6));
}

// Guards against false deaths, which move holders for nothing.
TEST_CASE("lost datagrams do not kill members") {
  fleet made = MakeRunningFleet(50, 4);
  made.datagram_loss = 0.03;
  std::uint64_t dead = 0;
  for (int i = 0; i < 60; ++i) {
    Run(made, seconds(1));
    for (std::size_t j = 0; j < made.instances.size(); ++j)
      dead += CountState(made, j, member_state::kDead);
  }
  CHECK(dead == 0);
}

// Guards against a suspicion that a living member cannot refute, and against an endless one.
TEST_CASE("a wrongly suspected member refutes that with a higher counter") {
  fleet made = MakeRunningFleet(9, 5);
  io::command_list out;
  instance::context ctx = MakeContext(made, 0, out);
  peer::message_header header;
  header.sender = made.instances[1]->tables.members.self.ref;
  peer::announce announce;
  announce.changes.members.push_back(made.instances[0]->tables.members.members.begin()->second.info);
  peer::member_update& update = announce.changes.members[0];
  update.state = GENERATE(member_state::kSuspect, member_state::kDead);
  made.instances[0]->tables.members.members[update.member.id].heard = {};
  HandleAnnounce(made.instances[0]->tables, ctx, header, announce);
  CHECK(FindMember(made.instances[0]->tables.members, update.member.id)->info.state == update.state);
  Run(made, seconds(8));
  CHECK(IsWhole(made));
  CHECK(FindMember(made.instances[0]->tables.members, update.member.id)->info.counter > update.counter);
}

// Guards against sides of a healed partition that stay apart until a restart.
TEST_CASE("both sides of a healed partition converge") {
  fleet made = MakeRunningFleet(50, 6);
  made.cut = [](std::size_t a, std::size_t b) { return (a % 3 == 0) != (b % 3 == 0); };
  made.no_service = [](std::size_t i) { return i % 3 == 0; };
  Run(made, seconds(30));
  CHECK(CountState(made, 0, member_state::kDead) == 33);
  CHECK(CountState(made, 1, member_state::kDead) == 17);
  Publish(made, 8);
  Run(made, seconds(5));
  CHECK(CountRevision(made, 8) == 33);
  made.cut = [](std::size_t, std::size_t) { return false; };
  const base::duration config = RunUntil(made, seconds(30), [&] { return CountRevision(made, 8) == 50; });
  const base::duration rest = RunUntil(made, seconds(60), [&] { return IsWhole(made); });
  WARN("healed: configuration after " << base::ToMilliseconds(config) << " ms, members after "
                                      << base::ToMilliseconds(config + rest) << " ms");
  CHECK(config <= seconds(4));
  CHECK(config + rest <= seconds(20));
}

// Guards against a link that works in one direction only and splits the fleet.
TEST_CASE("a one-way cut between two members is bridged by indirect probes") {
  fleet made = MakeRunningFleet(9, 7);
  made.cut = [](std::size_t a, std::size_t b) { return a == 2 && b == 5; };
  for (int i = 0; i < 30; ++i) {
    Run(made, seconds(1));
    CHECK(CountState(made, 2, member_state::kDead) + CountState(made, 5, member_state::kDead) == 0);
  }
}

// Guards against a restarted instance that is taken for its dead predecessor, and against late news of that one.
TEST_CASE("a new incarnation replaces the old one and old news is ignored") {
  fleet made = MakeRunningFleet(9, 8);
  const base::instance_ref old = made.instances[4]->tables.members.self.ref;
  const peer::member_update old_news = FindMember(made.instances[0]->tables.members, old.id)->info;
  Restart(made, 4);
  const base::duration taken = RunUntil(made, seconds(10), [&] { return IsWhole(made); });
  CHECK(taken <= seconds(3));
  CHECK_FALSE(IsCurrent(made.instances[0]->tables.members, old));
  io::command_list out;
  instance::context ctx = MakeContext(made, 0, out);
  peer::announce announce;
  announce.changes.members = {old_news};
  announce.changes.members[0].state = member_state::kDead;
  announce.changes.members[0].counter = 100;
  peer::message_header header;
  header.sender = old;
  HandleHeader(made.instances[0]->tables, ctx, header);
  HandleAnnounce(made.instances[0]->tables, ctx, header, announce);
  CHECK(IsWhole(made));
}

// Guards against work that is handed to an instance which leaves.
TEST_CASE("a leaving instance is known everywhere within two seconds and stays leaving") {
  fleet made = MakeRunningFleet(50, 9);
  io::command_list out;
  instance::context ctx = MakeContext(made, 3, out);
  HandleLeave(made.instances[3]->tables, ctx);
  const base::duration taken =
      RunUntil(made, seconds(10), [&] { return CountState(made, 3, member_state::kLeaving) == 49; });
  CHECK(taken <= seconds(2));
  // A pause makes the others suspect it; after the refutation it is still leaving.
  made.instances[3]->frozen = true;
  Run(made, milliseconds(2500));
  made.instances[3]->frozen = false;
  Run(made, seconds(5));
  CHECK(CountState(made, 3, member_state::kLeaving) == 49);
}

// Guards against a lagging list that removes living members or keeps a restarted one from working.
TEST_CASE("leaving marks of the instance list hold as long as the list says so") {
  fleet made = MakeRunningFleet(9, 10);
  made.listed_leaving = {2};
  Run(made, seconds(8));
  CHECK(CountState(made, 2, member_state::kLeaving) == 8);
  Restart(made, 2);
  made.listed_leaving = {};
  Run(made, seconds(8));
  CHECK(IsWhole(made));
}

// Guards against a paused process that declares the others dead when it resumes.
TEST_CASE("a process that was paused kills nobody and catches up") {
  fleet made = MakeRunningFleet(9, 11);
  made.instances[1]->frozen = true;
  Run(made, seconds(20));
  CHECK(CountState(made, 1, member_state::kDead) == 8);
  Publish(made, 8);
  Run(made, seconds(4));
  made.instances[1]->frozen = false;
  std::size_t dead = 0;
  for (int i = 0; i < 50; ++i) {
    Run(made, milliseconds(100));
    for (std::size_t j = 0; j < 9; ++j) {
      const member* const entry =
          FindMember(made.instances[1]->tables.members, made.instances[j]->tables.members.self.ref.id);
      if (entry != nullptr && entry->info.state == member_state::kDead) ++dead;
    }
  }
  CHECK(dead == 0);
  CHECK(CountRevision(made, 8) == 9);
  CHECK(IsWhole(made));
}

// Guards against placement that is computed anew for every message, and against one that is never renewed.
TEST_CASE("the member version rises with usability only") {
  fleet made = MakeRunningFleet(9, 12);
  const std::uint64_t before = made.instances[0]->tables.members.version;
  Run(made, seconds(30));
  CHECK(made.instances[0]->tables.members.version == before);
  made.instances[5]->running = false;
  Run(made, seconds(8));
  CHECK(made.instances[0]->tables.members.version > before);
}

// Guards against messages above the datagram size, which the network drops, when many changes wait.
TEST_CASE("datagrams stay within their size whatever waits") {
  fleet made = MakeRunningFleet(50, 13);
  fleet_instance& instance = *made.instances[0];
  for (auto& [id, entry] : instance.tables.members.members) {
    instance.tables.spread.members[id] = 20;
    RecordWithheld(instance.tables.facts, base::fingerprint_id(std::hash<std::string>{}(id.value)), seconds(600),
                   made.now);
  }
  made.now += seconds(2);
  io::command_list out;
  instance::context ctx = MakeContext(made, 0, out);
  RunMembership(instance.tables, ctx);
  std::size_t datagrams = 0;
  for (const io::command& command : out) {
    const auto* const send = std::get_if<io::send_peer>(&command);
    if (send == nullptr || send->via != io::transport::kDatagram) continue;
    ++datagrams;
    CHECK(peer::EncodeMessage(send->message).size() <= peer::kMaxDatagramBytes);
  }
  CHECK(datagrams >= 5);
}

// Guards against facts that reach only a part of the fleet or arrive late.
TEST_CASE("a fact is known everywhere within two seconds") {
  fleet made = MakeRunningFleet(50, 14);
  const base::backend_server_id server("s1-a");
  RecordDrain(made.instances[0]->tables.facts, server, base::generation_id(), 5, made.now);
  const base::duration taken = RunUntil(made, seconds(10), [&] {
    return std::all_of(made.instances.begin(), made.instances.end(), [&server](const auto& instance) {
      return IsDraining(instance->tables.facts, *instance->tables.store.in_force, server);
    });
  });
  CHECK(taken <= seconds(2));
  // A newer revision alone leaves the drain; a higher generation ends it for good.
  Publish(made, 8);
  Run(made, seconds(15));
  for (const auto& instance : made.instances)
    CHECK(IsDraining(instance->tables.facts, *instance->tables.store.in_force, server));
  nlohmann::json document = config::MakeTestDocument();
  for (auto& entry : document["inventory"]["backend_servers"])
    if (entry["id"] == server.value) entry["generation"] = 1;
  made.source = config::MakeSource(9, document);
  Run(made, seconds(15));
  for (const auto& instance : made.instances)
    CHECK(instance->tables.facts.facts.empty());
}

// Guards against an instance that is taken for its own former life for ever, because the wall clock that incarnations
// come from jumped back before a restart.
TEST_CASE("an instance that restarts with an older incarnation surpasses the known one") {
  fleet made = MakeRunningFleet(5, 11);
  REQUIRE(IsWhole(made));
  const base::incarnation_id before = made.instances[1]->tables.members.self.ref.incarnation;
  Restart(made, 1);
  made.instances[1]->tables.members.self.ref.incarnation = base::incarnation_id(before.value - 1);
  CHECK(RunUntil(made, seconds(20), [&made] { return IsWhole(made); }) < seconds(20));
  CHECK(made.instances[1]->tables.members.self.ref.incarnation > before);
}

}  // namespace
}  // namespace limpetrouter::core::membership
