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

simulated_fleet MakeRunningFleet(std::size_t count, std::uint64_t seed) {
  simulated_fleet fleet = MakeFleet(count, seed);
  Publish(fleet, 7);
  Run(fleet, seconds(15));
  return fleet;
}

/// Longest time until all other instances have a crashed one as dead, over several crashes.
base::duration WorstDetectionTime(simulated_fleet& fleet, int crashes) {
  base::duration worst{};
  for (int i = 0; i < crashes; ++i) {
    const std::size_t crashed = base::NextBelow(fleet.random, fleet.instances.size());
    fleet.instances[crashed]->running = false;
    const base::duration taken = RunUntil(fleet, seconds(20), [&fleet, crashed] {
      return CountState(fleet, crashed, member_state::kDead) == fleet.instances.size() - 1;
    });
    worst = std::max(worst, taken);
    Restart(fleet, crashed);
    Run(fleet, seconds(15));
  }
  return worst;
}

// Guards against instances that never discover each other after the whole fleet has restarted.
TEST_CASE("instances that only know the instance list find each other and the configuration") {
  const std::size_t count = GENERATE(2U, 9U, 50U);
  simulated_fleet fleet = MakeFleet(count, count);
  Publish(fleet, 7);
  const base::duration taken =
      RunUntil(fleet, seconds(60), [&] { return IsConverged(fleet) && CountRevision(fleet, 7) == count; });
  UNSCOPED_INFO(count << " instances took " << base::ToMilliseconds(taken) << " ms");
  CHECK(taken <= seconds(15));
  for (const auto& instance : fleet.instances)
    CHECK(IsReady(instance->tables, fleet.now));
}

// Guards against crashed holders that continue to be sent requests.
TEST_CASE("a crash is detected everywhere within a few seconds") {
  simulated_fleet fleet = MakeRunningFleet(GENERATE(9U, 50U), 3);
  REQUIRE(IsConverged(fleet));
  const base::duration worst = WorstDetectionTime(fleet, 5);
  WARN(fleet.instances.size() << " instances: worst detection " << base::ToMilliseconds(worst) << " ms");
  CHECK(worst <= seconds(6));
}

// Guards against living members that are declared dead, which moves holders needlessly.
TEST_CASE("lost datagrams do not make members appear dead") {
  simulated_fleet fleet = MakeRunningFleet(50, 4);
  fleet.datagram_loss = 0.03;
  std::uint64_t dead = 0;
  for (int i = 0; i < 60; ++i) {
    Run(fleet, seconds(1));
    for (std::size_t j = 0; j < fleet.instances.size(); ++j)
      dead += CountState(fleet, j, member_state::kDead);
  }
  CHECK(dead == 0);
}

// Guards against a suspicion that a living member cannot refute, and against one that never ends.
TEST_CASE("a wrongly suspected member refutes that with a higher counter") {
  simulated_fleet fleet = MakeRunningFleet(9, 5);
  io::command_list out;
  instance::context ctx = MakeContext(fleet, 0, out);
  peer::message_header header;
  header.sender = fleet.instances[1]->tables.members.self.ref;
  peer::announce announce;
  announce.changes.members.push_back(fleet.instances[0]->tables.members.members.begin()->second.info);
  peer::member_update& update = announce.changes.members[0];
  update.state = GENERATE(member_state::kSuspect, member_state::kDead);
  fleet.instances[0]->tables.members.members[update.member.id].last_contact = {};
  HandleAnnounce(fleet.instances[0]->tables, ctx, header, announce);
  CHECK(FindMember(fleet.instances[0]->tables.members, update.member.id)->info.state == update.state);
  Run(fleet, seconds(8));
  CHECK(IsConverged(fleet));
  CHECK(FindMember(fleet.instances[0]->tables.members, update.member.id)->info.counter > update.counter);
}

// Guards against sides of a healed partition that stay separate until a restart.
TEST_CASE("both sides of a healed partition converge") {
  simulated_fleet fleet = MakeRunningFleet(50, 6);
  fleet.is_partitioned = [](std::size_t a, std::size_t b) { return (a % 3 == 0) != (b % 3 == 0); };
  fleet.is_service_unreachable = [](std::size_t i) { return i % 3 == 0; };
  Run(fleet, seconds(30));
  CHECK(CountState(fleet, 0, member_state::kDead) == 33);
  CHECK(CountState(fleet, 1, member_state::kDead) == 17);
  Publish(fleet, 8);
  Run(fleet, seconds(5));
  CHECK(CountRevision(fleet, 8) == 33);
  fleet.is_partitioned = [](std::size_t, std::size_t) { return false; };
  const base::duration config = RunUntil(fleet, seconds(30), [&] { return CountRevision(fleet, 8) == 50; });
  const base::duration member_convergence = RunUntil(fleet, seconds(60), [&] { return IsConverged(fleet); });
  WARN("healed: configuration after " << base::ToMilliseconds(config) << " ms, members after "
                                      << base::ToMilliseconds(config + member_convergence) << " ms");
  CHECK(config <= seconds(4));
  CHECK(config + member_convergence <= seconds(20));
}

// Guards against a one-way link failure that splits the fleet.
TEST_CASE("a one-way cut between two members is bridged by indirect probes") {
  simulated_fleet fleet = MakeRunningFleet(9, 7);
  fleet.is_partitioned = [](std::size_t a, std::size_t b) { return a == 2 && b == 5; };
  for (int i = 0; i < 30; ++i) {
    Run(fleet, seconds(1));
    CHECK(CountState(fleet, 2, member_state::kDead) + CountState(fleet, 5, member_state::kDead) == 0);
  }
}

// Guards against a restarted instance that is mistaken for its dead previous incarnation, and against late updates
// about that incarnation.
TEST_CASE("a new incarnation replaces the old one and outdated updates are ignored") {
  simulated_fleet fleet = MakeRunningFleet(9, 8);
  const base::instance_ref old = fleet.instances[4]->tables.members.self.ref;
  const peer::member_update old_update = FindMember(fleet.instances[0]->tables.members, old.id)->info;
  Restart(fleet, 4);
  const base::duration taken = RunUntil(fleet, seconds(10), [&] { return IsConverged(fleet); });
  CHECK(taken <= seconds(3));
  CHECK_FALSE(IsCurrent(fleet.instances[0]->tables.members, old));
  io::command_list out;
  instance::context ctx = MakeContext(fleet, 0, out);
  peer::announce announce;
  announce.changes.members = {old_update};
  announce.changes.members[0].state = member_state::kDead;
  announce.changes.members[0].counter = 100;
  peer::message_header header;
  header.sender = old;
  HandleHeader(fleet.instances[0]->tables, ctx, header);
  HandleAnnounce(fleet.instances[0]->tables, ctx, header, announce);
  CHECK(IsConverged(fleet));
}

// Guards against requests that are sent to a leaving instance.
TEST_CASE("a leaving instance is known everywhere within two seconds and stays leaving") {
  simulated_fleet fleet = MakeRunningFleet(50, 9);
  io::command_list out;
  instance::context ctx = MakeContext(fleet, 3, out);
  HandleLeave(fleet.instances[3]->tables, ctx);
  const base::duration taken =
      RunUntil(fleet, seconds(10), [&] { return CountState(fleet, 3, member_state::kLeaving) == 49; });
  CHECK(taken <= seconds(2));
  // A pause makes the others suspect the instance; after the refutation its state is still leaving.
  fleet.instances[3]->frozen = true;
  Run(fleet, milliseconds(2500));
  fleet.instances[3]->frozen = false;
  Run(fleet, seconds(5));
  CHECK(CountState(fleet, 3, member_state::kLeaving) == 49);
}

// Guards against a lagging instance list that removes living members or keeps a restarted member marked as leaving.
TEST_CASE("leaving marks of the instance list hold as long as the list says so") {
  simulated_fleet fleet = MakeRunningFleet(9, 10);
  fleet.listed_leaving = {2};
  Run(fleet, seconds(8));
  CHECK(CountState(fleet, 2, member_state::kLeaving) == 8);
  Restart(fleet, 2);
  fleet.listed_leaving = {};
  Run(fleet, seconds(8));
  CHECK(IsConverged(fleet));
}

// Guards against a paused process that declares the others dead when it resumes.
TEST_CASE("a process that was paused declares no member dead and catches up") {
  simulated_fleet fleet = MakeRunningFleet(9, 11);
  fleet.instances[1]->frozen = true;
  Run(fleet, seconds(20));
  CHECK(CountState(fleet, 1, member_state::kDead) == 8);
  Publish(fleet, 8);
  Run(fleet, seconds(4));
  fleet.instances[1]->frozen = false;
  std::size_t dead = 0;
  for (int i = 0; i < 50; ++i) {
    Run(fleet, milliseconds(100));
    for (std::size_t j = 0; j < 9; ++j) {
      const member* const entry =
          FindMember(fleet.instances[1]->tables.members, fleet.instances[j]->tables.members.self.ref.id);
      if (entry != nullptr && entry->info.state == member_state::kDead) ++dead;
    }
  }
  CHECK(dead == 0);
  CHECK(CountRevision(fleet, 8) == 9);
  CHECK(IsConverged(fleet));
}

// Guards against placement that is recomputed for every message, and against placement that is never recomputed.
TEST_CASE("the member version rises with usability only") {
  simulated_fleet fleet = MakeRunningFleet(9, 12);
  const std::uint64_t before = fleet.instances[0]->tables.members.version;
  Run(fleet, seconds(30));
  CHECK(fleet.instances[0]->tables.members.version == before);
  fleet.instances[5]->running = false;
  Run(fleet, seconds(8));
  CHECK(fleet.instances[0]->tables.members.version > before);
}

// Guards against messages above the maximum datagram size, which the network drops, when many changes are queued.
TEST_CASE("datagrams stay within their maximum size however many changes are queued") {
  simulated_fleet fleet = MakeRunningFleet(50, 13);
  simulated_instance& instance = *fleet.instances[0];
  for (auto& [id, entry] : instance.tables.members.members) {
    instance.tables.spread.members[id] = 20;
    RecordWithheld(instance.tables.facts, base::fingerprint_id(std::hash<std::string>{}(id.value)), seconds(600),
                   fleet.now);
  }
  fleet.now += seconds(2);
  io::command_list out;
  instance::context ctx = MakeContext(fleet, 0, out);
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

// Guards against facts that reach only a part of the fleet or arrive too late.
TEST_CASE("a fact is known everywhere within two seconds") {
  simulated_fleet fleet = MakeRunningFleet(50, 14);
  const base::backend_server_id server("s1-a");
  RecordDrain(fleet.instances[0]->tables.facts, server, base::generation_id(), 5, fleet.now);
  const base::duration taken = RunUntil(fleet, seconds(10), [&] {
    return std::all_of(fleet.instances.begin(), fleet.instances.end(), [&server](const auto& instance) {
      return IsDraining(instance->tables.facts, *instance->tables.store.in_force, server);
    });
  });
  CHECK(taken <= seconds(2));
  // A newer revision alone does not end the drain; a higher generation ends the drain permanently.
  Publish(fleet, 8);
  Run(fleet, seconds(15));
  for (const auto& instance : fleet.instances)
    CHECK(IsDraining(instance->tables.facts, *instance->tables.store.in_force, server));
  nlohmann::json document = config::MakeTestDocument();
  for (auto& entry : document["inventory"]["backend_servers"])
    if (entry["id"] == server.value) entry["generation"] = 1;
  fleet.source = config::MakeSource(9, document);
  Run(fleet, seconds(15));
  for (const auto& instance : fleet.instances)
    CHECK(instance->tables.facts.facts.empty());
}

// Guards against an instance that is mistaken for its own previous incarnation indefinitely, because the wall clock
// that incarnations come from jumped back before a restart.
TEST_CASE("an instance that restarts with an older incarnation surpasses the known one") {
  simulated_fleet fleet = MakeRunningFleet(5, 11);
  REQUIRE(IsConverged(fleet));
  const base::incarnation_id before = fleet.instances[1]->tables.members.self.ref.incarnation;
  Restart(fleet, 1);
  fleet.instances[1]->tables.members.self.ref.incarnation = base::incarnation_id(before.value - 1);
  CHECK(RunUntil(fleet, seconds(20), [&fleet] { return IsConverged(fleet); }) < seconds(20));
  CHECK(fleet.instances[1]->tables.members.self.ref.incarnation > before);
}

}  // namespace
}  // namespace limpetrouter::core::membership
