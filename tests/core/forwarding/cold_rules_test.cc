#include "core/forwarding/cold_rules.h"

#include <catch2/catch.hpp>

#include "core/peer/codec.h"
#include "store_world.h"

namespace limpetrouter::core::forwarding {
namespace {

const base::service_id kService("svc");

std::map<base::service_id, service_rules> Rules(double per_second) {
  service_rules rules;
  rules.cold_rate = per_second;
  rules.warmup = seconds(3);
  return {{kService, rules}};
}

/// Returns the rate that instance `i` knows, or 0.
double RateAt(const store_world& world, std::size_t i) {
  const auto& known = world.instances[i]->tables.servers.cold_rules;
  const auto found = known.find(kService);
  return found == known.end() ? 0 : found->second.per_second;
}

// Guards against instances that do not read the platform and so never learn the rules, or keep those of an older
// configuration.
TEST_CASE("all instances know the rules for cold servers of the configuration in force") {
  store_world world;
  world.store.Configure(2, Rules(10));
  world.Run(seconds(1));
  for (std::size_t i = 0; i < world.count; ++i) {
    CHECK(world.VersionOf(i) == 2);
    CHECK(RateAt(world, i) == 10);
    CHECK(world.instances[i]->tables.servers.cold_rules.at(kService).warmup == seconds(3));
    CHECK_FALSE(world.instances[i]->tables.servers.cold_rules_unknown);
  }
  world.store.Configure(3, Rules(4));
  world.Run(seconds(1));
  for (std::size_t i = 0; i < world.count; ++i)
    CHECK(RateAt(world, i) == 4);
  world.store.Configure(4);
  world.Run(seconds(3));
  for (std::size_t i = 0; i < world.count; ++i) {
    CHECK(world.VersionOf(i) == 4);
    CHECK(RateAt(world, i) == 0);
    CHECK_FALSE(world.instances[i]->tables.servers.cold_rules_unknown);
  }
}

// Guards against a follower that lost the message with the rules and sends its usual load to cold servers for as long
// as the configuration holds.
TEST_CASE("a follower that missed the rules gets them with a later answer") {
  store_world world;
  world.store.Configure(2, Rules(10));
  world.Run(seconds(1));
  world.loses_rules = true;
  world.store.Configure(3, Rules(4));
  world.Run(milliseconds(200));
  for (std::size_t i = 0; i < world.count; ++i) {
    CHECK(world.VersionOf(i) == 3);
    // The former rules hold meanwhile.
    CHECK(RateAt(world, i) > 0);
  }
  SECTION("in the time that the follower waits") {
    world.loses_rules = false;
    world.Run(milliseconds(600));
    for (std::size_t i = 0; i < world.count; ++i)
      CHECK(RateAt(world, i) == 4);
  }
  SECTION("later") {
    world.Run(seconds(4));
    world.loses_rules = false;
    world.Run(seconds(10));
    for (std::size_t i = 0; i < world.count; ++i)
      CHECK(RateAt(world, i) == 4);
  }
}

// Guards against an instance that starts, restarts or takes over the reading and has no rules.
TEST_CASE("instances that restart know the rules") {
  store_world world;
  world.store.Configure(2, Rules(10));
  world.Run(seconds(1));
  const std::size_t restarted = GENERATE(as<std::size_t>{}, 0, 1, 3);
  world.stopped.insert(restarted);
  world.Run(seconds(3));
  world.stopped.clear();
  world.Restart(restarted);
  world.Run(seconds(2));
  for (std::size_t i = 0; i < world.count; ++i)
    CHECK(RateAt(world, i) == 10);
}

// Guards against messages that older builds have to drop in deployments that do not need them.
TEST_CASE("nothing is sent about cold servers while no service states a rule") {
  store_world world;
  service_rules rules;
  rules.max_connections = 9;
  rules.warmup = seconds(3);
  world.store.Configure(2, {{kService, rules}});
  world.Run(seconds(3));
  for (std::size_t i = 0; i < world.count; ++i) {
    CHECK(world.VersionOf(i) == 2);
    CHECK_FALSE(world.instances[i]->tables.servers.cold_rules_unknown);
  }
  CHECK(world.rules_messages == 0);
}

// Guards against rules of another version that are applied, and against values that no configuration states.
TEST_CASE("rules apply to their version of the configuration only") {
  forwarding_fixture fixture;
  fixture.SetRoute(forwarding_fixture::MakeRoute(repeat_policy::kIdempotent));
  instance::context ctx = fixture.Context();
  const auto rate = [&fixture] {
    const auto& known = fixture.tables.servers.cold_rules;
    return known.contains(kService) ? known.at(kService).per_second : 0;
  };
  HandleServiceRules(fixture.tables, ctx, {2, {{kService, 7, 0}}});
  CHECK(rate() == 0);
  HandleServiceRules(fixture.tables, ctx, {1, {{kService, 5, 0}}});
  CHECK(rate() == 5);
  HandleServiceRules(fixture.tables, ctx, {0, {{kService, 6, 0}}});
  CHECK(rate() == 5);
  fixture.SetRoute(forwarding_fixture::MakeRoute(repeat_policy::kIdempotent));
  REQUIRE(fixture.tables.routing->version == 2);
  NoteConfiguration(fixture.tables, ctx, *fixture.tables.routing, rules_source::kUpdate);
  CHECK(rate() == 7);
  HandleServiceRules(fixture.tables, ctx, {1, {{kService, -1, -5}}});
  CHECK(rate() == 7);
}

// Guards against a configuration in a format that builds without these rules cannot read.
TEST_CASE("the rules for cold servers leave the bytes of a configuration as they were") {
  const auto encode = [](double per_second) {
    peer::publication_update update;
    update.routing.emplace();
    update.routing->version = 3;
    update.routing->services = Rules(per_second);
    peer::message message;
    message.body = update;
    return peer::EncodeMessage(message);
  };
  CHECK(encode(0) == encode(10));
  // The kind is the index of the alternative. Kinds of existing messages must not move.
  CHECK(peer::message_body(peer::publication_update{}).index() == 13);
  CHECK(peer::message_body(peer::relay_cancel{}).index() == 16);
  peer::message message;
  message.body = peer::service_rules_update{3, {{kService, 2.5, 1'000}}};
  const auto decoded = peer::DecodeMessage(peer::EncodeMessage(message), peer::kMaxStreamMessageBytes);
  REQUIRE(decoded.has_value());
  const auto& rules = std::get<peer::service_rules_update>(decoded->body);
  REQUIRE(rules.rules.size() == 1);
  CHECK(rules.version == 3);
  CHECK(rules.rules[0].service == kService);
  CHECK(rules.rules[0].per_second == 2.5);
  CHECK(rules.rules[0].warmup_us == 1'000);
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
