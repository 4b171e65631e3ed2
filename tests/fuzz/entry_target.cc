#include <algorithm>
#include <cmath>

#include "platform/configuration_codec.h"
#include "tests/fuzz/fuzz_targets.h"

namespace limpetrouter::fuzz {
namespace {

std::string CheckRecord(const core::forwarding::server_record& record) {
  if (record.id.value != "i-1" || record.revision != 7) return "the record is of another entry";
  if (record.service.value.empty() || record.address.empty()) return "the record has no service or address";
  if (record.slots == 0) return "the record has no slots";
  if (record.warmup_left < core::base::duration{0}) return "the record has a negative warm-up";
  return {};
}

std::string CheckRoute(const core::forwarding::route& route) {
  if (route.shards.empty() == route.split.empty()) return "a route has shards and a split, or neither";
  // Requests of a route without time are refused at once.
  if (route.timeout < core::base::duration{0}) return "a route has a negative time";
  if (route.max_attempts == 0) return "a route has no attempts";
  if (!std::isfinite(route.minimum_coverage)) return "a route has a coverage that is no number";
  return {};
}

/// An item of the store is refused with a reason, or holds only values that the core can use.
std::string CheckEntry(std::string_view input) {
  const auto record = platform::DecodeServer("i-1", input, 7);
  if (!record.has_value() && record.error().detail.empty()) return "an entry is refused without a reason";
  if (record.has_value()) {
    std::string violation = CheckRecord(*record);
    if (!violation.empty()) return violation;
  }
  const auto table = platform::DecodeConfiguration(input);
  if (!table.has_value()) return table.error().detail.empty() ? "a configuration is refused without a reason" : "";
  for (const core::forwarding::route& route : table->routes) {
    std::string violation = CheckRoute(route);
    if (!violation.empty()) return violation;
  }
  return {};
}

std::vector<std::string> EntrySeeds() {
  return {
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","configVersion":"v1","slots":3,"state":"ready",)"
      R"("coldLeftMs":0,"seq":4,"born":1764825298000})",
      R"({"configVersion":7,"routes":[{"name":"r","hostname":"h","prefix":"/a/","routeKind":"idempotent",)"
      R"("timeoutMs":600,"targetLatencyMs":60,"priority":2,"fanout":["s","t"],"maxAttempts":2,"topK":5,)"
      R"("minCoverage":0.75},{"name":"q","hostname":"h","prefix":"/b/","routeKind":"non_idempotent","timeoutMs":600,)"
      R"("targetLatencyMs":60,"priority":2,"trafficSplit":[{"service":"s","weight":1}],"maxAttempts":2}],)"
      R"("services":[{"name":"s","healthPath":"/health","maxConns":31,"protocol":"h1","tls":false}],)"
      R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})"};
}

}  // namespace

const fuzz_target kEntryTarget = {"entry", &CheckEntry, &EntrySeeds};

}  // namespace limpetrouter::fuzz
