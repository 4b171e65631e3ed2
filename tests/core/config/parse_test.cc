#include "core/config/parse.h"

#include <catch2/catch.hpp>

#include "core/base/random.h"
#include "tests/core/config/test_configuration.h"

namespace limpetrouter::core::config {
namespace {

TEST_CASE("a valid configuration is read with its defaults and indices") {
  const auto parsed = ParseConfiguration(MakeSource(7, MakeTestDocument()));
  REQUIRE(parsed.has_value());
  const configuration& config = **parsed;
  CHECK(config.revision.value == 7);
  CHECK(config.backend_servers.at(config.backend_server_index.at(base::backend_server_id("s2-a"))).state ==
        backend_state::kLeaving);
  CHECK(config.collections.at(0).operations.at(0).canary);
  CHECK(config.collections.at(0).operations.at(0).max_deadline == std::chrono::seconds(2));
  CHECK(config.limit.hedge_budget == Approx(0.025));
  CHECK(config.limit.holder_group_size == 8);
  // Snapshots are sorted by id, whatever their order in the value is.
  REQUIRE(config.shard_maps.at(0).snapshots.size() == 2);
  CHECK(config.shard_maps[0].snapshots[0].id.value == 41);
  CHECK(config.shard_maps[0].snapshots[0].documents == 120);
  CHECK(config.shard_maps[0].snapshots[0].shards[1].replicas == std::vector<std::uint32_t>{2, 3});
}

struct bad_field {
  const char* path;
  const char* value;
  const char* message;
};

// Guards against invalid configurations that are accepted, and against messages that do not say what to correct.
TEST_CASE("every bad field is refused with its path and the allowed values") {
  const bad_field bad = GENERATE(values<bad_field>({
      {"/inventory/backend_servers/3/slots", "0",
       "inventory.backend_servers[3].slots: 0 is out of range, allowed are 1 to 1024"},
      {"/inventory/backend_servers/0/slots", "-1",
       "inventory.backend_servers[0].slots: -1 is out of range, allowed are 1 to 1024"},
      {"/inventory/backend_servers/0/slots", "2.5",
       "inventory.backend_servers[0].slots: 2.5 is not an integer, allowed are 1 to 1024"},
      {"/inventory/backend_servers/0/connections", "65536",
       "inventory.backend_servers[0].connections: 65536 is out of range, allowed are 1 to 65535"},
      {"/inventory/backend_servers/1/address", "\"localhost:80\"",
       "inventory.backend_servers[1].address: \"localhost:80\" is not an address, allowed is IP:port with a numeric IP "
       "and a port of 1 to 65535"},
      {"/inventory/backend_servers/1/address", "\"127.0.0.1:18001\"",
       "inventory.backend_servers[1].address: \"127.0.0.1:18001\" is already used by "
       "inventory.backend_servers[0].address"},
      {"/inventory/backend_servers/1/id", "\"s1-a\"",
       "inventory.backend_servers[1].id: \"s1-a\" is already used by inventory.backend_servers[0].id"},
      {"/inventory/backend_servers/0/id", "\"a b\"",
       "inventory.backend_servers[0].id: \"a b\" is not an id, allowed are 1 to 64 characters of [A-Za-z0-9._-]"},
      {"/inventory/backend_servers/0/service", "\"s9\"",
       "inventory.backend_servers[0].service: service \"s9\" is not in inventory.services"},
      {"/inventory/backend_servers/0/data_centre", "\"dc9\"",
       "inventory.backend_servers[0].data_centre: data centre \"dc9\" is not in inventory.data_centres"},
      {"/inventory/backend_servers/0/state", "\"gone\"",
       "inventory.backend_servers[0].state: \"gone\" is not known, allowed are active, leaving"},
      {"/inventory/data_centres/1/id", "\"dc1\"",
       "inventory.data_centres[1].id: \"dc1\" is already used by inventory.data_centres[0].id"},
      {"/inventory/data_centres/0/zone", "1", "inventory.data_centres[0].zone: unknown field, allowed are id, region"},
      {"/inventory/services", "{}", "inventory.services: an object is not an array"},
      {"/inventory", "7", "inventory: 7 is not an object"},
      {"/extra", "7", "extra: unknown field, allowed are inventory, rules, shard_maps"},
      {"/rules/collections/0/id", "\"other\"",
       "rules.collections[0].id: inconsistent configuration: collection \"other\" has no service in the inventory"},
      {"/rules/collections/0/operations/1/shards", "\"all\"",
       "rules.collections[0].operations[1].shards: \"all\" is not allowed for an operation that is not repeatable, use "
       "\"key\""},
      {"/rules/collections/0/operations/1/id", "\"sweep\"",
       "rules.collections[0].operations[1].id: \"sweep\" is already used by rules.collections[0].operations[0].id"},
      {"/rules/collections/0/operations/1/max_deadline_ms", "10",
       "rules.collections[0].operations[1].max_deadline_ms: 10 is below deadline_ms, which is 1000"},
      {"/rules/limits/hedge_budget_percent", "21",
       "rules.limits.hedge_budget_percent: 21 is out of range, allowed are 0 to 20"},
      {"/shard_maps/collections/0/id", "\"other\"",
       "shard_maps.collections[0].id: inconsistent configuration: collection \"other\" is not in the rules"},
      {"/shard_maps/collections/0/snapshots/1/id", "42",
       "shard_maps.collections[0].snapshots[1].id: \"42\" is already used by "
       "shard_maps.collections[0].snapshots[0].id"},
      {"/shard_maps/collections/0/snapshots/0/shards", "[]",
       "shard_maps.collections[0].snapshots[0].shards: is empty, a snapshot needs at least one shard"},
      {"/shard_maps/collections/0/snapshots/1/shards/1/id", "0",
       "shard_maps.collections[0].snapshots[1].shards[1].id: \"0\" is already used by "
       "shard_maps.collections[0].snapshots[1].shards[0].id"},
      {"/shard_maps/collections/0/snapshots/1/shards/0/service", "\"s9\"",
       "shard_maps.collections[0].snapshots[1].shards[0].service: inconsistent configuration: service \"s9\" is not in "
       "the inventory"},
      {"/shard_maps/collections/0/snapshots/1/shards/0/replicas/0", "\"s2-a\"",
       "shard_maps.collections[0].snapshots[1].shards[0].replicas[0]: backend server \"s2-a\" belongs to service "
       "\"s2\", "
       "not to \"s1\""},
      {"/shard_maps/collections/0/snapshots/1/shards/0/replicas/0", "\"x\"",
       "shard_maps.collections[0].snapshots[1].shards[0].replicas[0]: backend server \"x\" is not in the inventory"},
      {"/shard_maps/collections/0/snapshots/1/shards/0/replicas/1", "\"s1-a\"",
       "shard_maps.collections[0].snapshots[1].shards[0].replicas[1]: backend server \"s1-a\" is listed twice"},
      {"/shard_maps/collections/0/snapshots/1/shards/0/documents", "9007199254740991",
       "shard_maps.collections[0].snapshots[1].shards: the sum of documents exceeds the allowed 9007199254740991"},
  }));
  nlohmann::json document = MakeTestDocument();
  document[nlohmann::json::json_pointer(bad.path)] = nlohmann::json::parse(bad.value);
  const auto parsed = ParseConfiguration(base::revision_id(1), document);
  REQUIRE_FALSE(parsed.has_value());
  CHECK(parsed.error().kind == base::error_kind::kInvalidConfiguration);
  CHECK(parsed.error().detail == bad.message);
}

// Guards against a missing field that silently gets a default: without "repeatable", a transfer could be executed
// twice.
TEST_CASE("a missing required field is named") {
  const std::string path =
      GENERATE("/rules/collections/0/operations/1/repeatable", "/inventory/backend_servers/2/connections",
               "/shard_maps/collections/0/snapshots/0/servable");
  nlohmann::json document = MakeTestDocument();
  const nlohmann::json::json_pointer pointer(path);
  document[pointer.parent_pointer()].erase(pointer.back());
  const auto parsed = ParseConfiguration(base::revision_id(1), document);
  REQUIRE_FALSE(parsed.has_value());
  CHECK_THAT(parsed.error().detail, Catch::EndsWith(pointer.back() + ": is missing"));
}

struct bad_text {
  std::string text;
  const char* message;
};

TEST_CASE("bad text is refused with its line and column") {
  const bad_text bad = GENERATE(values<bad_text>({
      {"{\n  \"collections\": [,]\n}", "rules: line 2, column 19: syntax error"},
      {"", "rules: line 1, column 1: syntax error"},
      {R"({"collections":[],"collections":[]})", "rules: field \"collections\" appears twice in one object"},
      {std::string(100'000, '['), "rules: more than 32 levels of nesting"},
      {std::string(kMaxValueBytes + 1, ' '), "rules: 1048577 bytes exceed the limit of 1048576"},
  }));
  configuration_source source = MakeSource(1, MakeTestDocument());
  source.rules = bad.text;
  const auto parsed = ParseConfiguration(source);
  REQUIRE_FALSE(parsed.has_value());
  CHECK_THAT(parsed.error().detail, Catch::StartsWith(bad.message));
}

// Guards against crashes on damaged values.
TEST_CASE("truncated and damaged values are refused or parsed without a crash") {
  const configuration_source good = MakeSource(1, MakeTestDocument());
  for (std::size_t size = 0; size < good.shard_maps.size(); ++size) {
    configuration_source source = good;
    source.shard_maps.resize(size);
    CHECK_FALSE(ParseConfiguration(source).has_value());
  }
  base::random_source random{GENERATE(1U, 2U)};
  for (int i = 0; i < 1000; ++i) {
    configuration_source source = good;
    std::string& text = i % 2 == 0 ? source.inventory : source.rules;
    for (int change = 0; change < 3; ++change)
      text[base::NextBelow(random, text.size())] = static_cast<char>(base::NextRandom(random));
    const auto parsed = ParseConfiguration(source);
    if (!parsed.has_value()) CHECK(parsed.error().kind == base::error_kind::kInvalidConfiguration);
  }
}

}  // namespace
}  // namespace limpetrouter::core::config
