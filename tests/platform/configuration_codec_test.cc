#include "platform/configuration_codec.h"

#include <catch2/catch.hpp>

namespace limpetrouter::platform {
namespace {

using core::forwarding::repeat_policy;

constexpr const char* kConfiguration = R"({"configVersion":7,"routes":[
  {"name":"s","hostname":"h","prefix":"/s/","routeKind":"idempotent","timeoutMs":500,"targetLatencyMs":80,"priority":2,
   "fanout":["a","b"],"maxAttempts":2,"topK":5,"minCoverage":0.75},
  {"name":"p","hostname":"h","prefix":"/p/","routeKind":"non_idempotent","timeoutMs":5000,
   "trafficSplit":[{"service":"c","weight":3},{"service":"d","weight":0}],"maxAttempts":2}],
  "services":[{"name":"a","healthPath":"/health","maxConns":41,"protocol":"h1","tls":false}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"new":1})";

// Guards against a field of the operators' configuration that is decoded into the wrong member.
TEST_CASE("each field of a configuration is decoded into its member") {
  const auto table = DecodeConfiguration(kConfiguration);
  REQUIRE(table.has_value());
  CHECK(table->version == 7);
  REQUIRE(table->routes.size() == 2);
  const auto& sharded = table->routes[0];
  CHECK(sharded.repeat == repeat_policy::kIdempotent);
  CHECK(sharded.timeout == std::chrono::milliseconds(500));
  CHECK(sharded.target_latency == std::chrono::milliseconds(80));
  CHECK(sharded.shards.size() == 2);
  CHECK(sharded.merged_records == 5);
  CHECK(sharded.record_bytes == 16);
  CHECK(sharded.minimum_coverage == 0.75);
  const auto& plain = table->routes[1];
  CHECK(plain.repeat == repeat_policy::kAtMostOnce);
  REQUIRE(plain.split.size() == 1);
  CHECK(plain.split[0].service.value == "c");
  CHECK(plain.split[0].weight == 3);
  CHECK(table->services.at(core::base::service_id("a")).max_connections == 41);
  CHECK(table->limits.max_body_bytes == 262'144);
}

// Guards against a configuration that is only partly in force, and against repeated requests of a route whose kind is
// unknown.
TEST_CASE("an invalid configuration is rejected completely, and requests of an unknown route kind are not repeated") {
  struct row {
    std::string from, to;
    bool valid;
  };
  const auto r = GENERATE(values<row>({{"\"configVersion\":7", "\"configVersion\":\"7\"", false},
                                       {"\"configVersion\":7,", "", false},
                                       {"\"prefix\":\"/p/\",", "", false},
                                       {"\"timeoutMs\":5000", "\"timeoutMs\":-1", false},
                                       {"\"fanout\":[\"a\",\"b\"]", "\"fanout\":[1]", false},
                                       {"non_idempotent", "something_new", true}}));
  std::string text = kConfiguration;
  text.replace(text.find(r.from), r.from.size(), r.to);
  const auto table = DecodeConfiguration(text);
  INFO(text);
  REQUIRE(table.has_value() == r.valid);
  if (r.valid) CHECK(table->routes[1].repeat == repeat_policy::kAtMostOnce);
}

// Guards against rules for cold servers that are lost or misread, and against a configuration whose rules no server can
// have.
TEST_CASE("the rules for cold servers are decimal numbers") {
  struct row {
    std::string rules;
    bool valid;
    double per_second = 0;
    std::int64_t warmup_ms = 0;
  };
  const auto r = GENERATE(values<row>({{"", true},
                                       {R"(,"coldPerS":2.5,"warmupS":1.5)", true, 2.5, 1'500},
                                       {R"(,"coldPerS":40)", true, 40, 0},
                                       {R"(,"coldPerS":0,"warmupS":8)", true, 0, 8'000},
                                       {R"(,"coldPerS":-1)", false},
                                       {R"(,"coldPerS":"2")", false},
                                       {R"(,"warmupS":-0.5)", false},
                                       {R"(,"warmupS":1e300)", false},
                                       {R"(,"coldPerS":null)", false}}));
  INFO(r.rules);
  const auto table = DecodeConfiguration(R"({"configVersion":3,"routes":[],"services":[{"name":"a")" + r.rules + "}]}");
  REQUIRE(table.has_value() == r.valid);
  if (!r.valid) return;
  const core::forwarding::service_rules& rules = table->services.at(core::base::service_id("a"));
  CHECK(rules.cold_rate == r.per_second);
  CHECK(core::base::ToMilliseconds(rules.warmup) == r.warmup_ms);
}

// Guards against entries of other writers that are taken for backend servers.
TEST_CASE("an entry that no backend server can have written is rejected") {
  const std::string valid_entry =
      R"({"service":"a","address":"10.0.0.9:8080","zone":"z","configVersion":"v1","slots":5,"state":"ready",)"
      R"("coldLeftMs":1500,"seq":4,"born":1768958717043})";
  struct row {
    std::string from, to;
    bool valid;
  };
  const auto r = GENERATE(values<row>({{"\"ready\"", "\"ready\"", true},
                                       {"\"ready\"", "\"draining\"", true},
                                       {"\"ready\"", "\"busy\"", false},
                                       {"\"ready\"", "1", false},
                                       {"\"slots\":5", "\"slots\":\"5\"", false},
                                       {"\"slots\":5,", "", false},
                                       {"10.0.0.9:8080", "nowhere", false},
                                       {"\"service\":\"a\",", "", false},
                                       {"1768958717043", "1768958717043.5", false},
                                       {"\"seq\":4", "\"seq\":\"4\"", false},
                                       {"}", "", false}}));
  std::string text = valid_entry;
  text.replace(text.find(r.from), r.from.size(), r.to);
  INFO(text);
  const auto record = DecodeServer("i-1", text, 12);
  REQUIRE(record.has_value() == r.valid);
  if (!r.valid) return;
  CHECK(record->id.value == "i-1");
  CHECK(record->revision == 12);
  CHECK(record->incarnation == 1'768'958'717'043);
  CHECK(record->sequence == 4);
  CHECK(record->warmup_left == std::chrono::milliseconds(1'500));
  CHECK(record->draining == (r.to == "\"draining\""));
}

}  // namespace
}  // namespace limpetrouter::platform
