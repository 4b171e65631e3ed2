#include "core/forwarding/routing_table.h"

#include <catch2/catch.hpp>

namespace limpetrouter::core::forwarding {
namespace {

// Guards against a request that reaches the service of a shorter prefix or of another host.
TEST_CASE("the longest prefix of the host decides") {
  routing_table table;
  for (const auto& [name, host, prefix] :
       {std::tuple{"root", "h", "/"}, {"a", "h", "/a/"}, {"ab", "h", "/a/b/"}, {"other", "g", "/a/b/c/"}}) {
    route added;
    added.name = name;
    added.host = host;
    added.prefix = prefix;
    table.routes.push_back(added);
  }
  struct row {
    std::string host, path, expected;
  };
  const auto r = GENERATE(values<row>({{"h", "/a/b/c/d", "ab"},
                                       {"h", "/a/bc", "a"},
                                       {"h", "/a", "root"},
                                       {"g", "/a/b/c/d", "other"},
                                       {"g", "/a/b", ""},
                                       {"x", "/", ""}}));
  const route* const found = FindRoute(table, r.host, r.path);
  CHECK((found == nullptr ? "" : found->name) == r.expected);
}

// Guards against shares that are right only on average: each short sequence of requests keeps the weights.
TEST_CASE("a split gives each service its share of any sequence of requests") {
  const std::vector<weighted_service> split = {
      {base::service_id("a"), 7}, {base::service_id("b"), 2}, {base::service_id("c"), 1}};
  round_robin_state turn;
  std::vector<int> taken(3);
  for (int i = 0; i < 100; ++i) {
    ++taken[NextService(turn, split)];
    if (i % 10 == 9) CHECK(taken == std::vector<int>{7 * (i + 1) / 10, 2 * (i + 1) / 10, (i + 1) / 10});
  }
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
