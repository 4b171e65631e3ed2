#include <catch2/catch.hpp>

#include "core/routing/admission.h"
#include "core/routing/call_budget.h"
#include "core/routing/ejection.h"
#include "core/routing/latency_window.h"
#include "core/routing/replica_choice.h"

namespace limpetrouter::core::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point kNow{seconds(100)};

// Guards against more extra calls than their share allows, and against a burst of them after a time without calls.
TEST_CASE("a budget grants its share of the recent calls") {
  call_budget budget;
  CountCalls(budget, 1000, kNow);
  int granted = 0;
  while (TakeExtraCall(budget, 0.03, kNow))
    ++granted;
  CHECK(granted == 32);
  CHECK_FALSE(TakeExtraCall(budget, 0.0, kNow));
  CHECK(RecentUse(budget, kNow + seconds(5)).calls == 0);
  granted = 0;
  while (TakeExtraCall(budget, 0.03, kNow + seconds(5)))
    ++granted;
  CHECK(granted == 2);
}

// Guards against stragglers that raise the hedge threshold so far that hedges no longer help.
TEST_CASE("stragglers do not raise the hedge threshold") {
  const int stragglers = GENERATE(0, 1, 10);
  latency_window window;
  for (int i = 0; i < 1000; ++i) {
    const bool slow = i % 100 < stragglers;
    AddLatency(window, slow ? milliseconds(200) : milliseconds(10) + base::duration(i % 50 * 100), kNow);
  }
  RefreshSummary(window, 0.03, kNow);
  CHECK(window.straggler_share == Approx(stragglers / 100.0).margin(0.001));
  CHECK(window.hedge_after > milliseconds(13));
  CHECK(window.hedge_after < milliseconds(17));
}

// Guards against calls to a server that should be avoided, and against a missing choice when only such servers are
// left.
TEST_CASE("the best rank decides, then the score") {
  base::random_source random{3};
  const std::vector<replica_candidate> candidates = {
      {0, replica_rank::kEjected, 1}, {1, replica_rank::kGood, 9}, {2, replica_rank::kGood, 5}};
  for (int i = 0; i < 20; ++i)
    CHECK(ChooseReplica(candidates, replica_rank::kDraining, random) == 2U);
  CHECK(ChooseReplica({candidates[0]}, replica_rank::kDraining, random) == 0U);
  CHECK_FALSE(ChooseReplica({candidates[0]}, replica_rank::kOnProbation, random));
}

statistics_table ThreeServers() {
  auto config = std::make_shared<config::configuration>();
  for (const char* id : {"a", "b", "c"}) {
    config::backend_server server;
    server.id = base::backend_server_id(id);
    server.service = base::service_id("s");
    config->backend_servers.push_back(server);
  }
  statistics_table table;
  MakeStatisticsView(table, config);
  return table;
}

// Guards against traffic to a failing server, and against the ejection of most servers of a service.
TEST_CASE("consecutive failures eject at most a third of a service") {
  const auto outcome = GENERATE(call_outcome::kFailure, call_outcome::kSlow);
  statistics_table table = ThreeServers();
  for (const std::uint32_t server : {0U, 1U}) {
    for (int i = 0; i < 6; ++i) {
      RecordCallStart(table, server);
      RecordCallEnd(table, server, outcome, milliseconds(10), true, kNow);
    }
    ConsiderEjection(table, server, kNow);
  }
  CHECK(IsEjected(table.servers[0], kNow));
  CHECK_FALSE(IsEjected(table.servers[1], kNow));
  CHECK_FALSE(IsEjected(table.servers[0], kNow + seconds(2)));
  CHECK(table.servers[0].outstanding == 0);
}

// Guards against a limit that allows standing queues, a limit that refuses queries without need, and the refusal of
// urgent queries.
TEST_CASE("the admission limit follows the queueing delay") {
  struct row {
    queue_state state;
    std::uint32_t refused;
    int direction;
  };
  const queue_state standing{0.95, milliseconds(30), 100, 0};
  const queue_state idle{0.1, milliseconds(1), 100, 0};
  const queue_state shedding{0.1, milliseconds(1), 100, 10};
  const queue_state balanced{0.85, milliseconds(10), 100, 0};
  const auto r =
      GENERATE_COPY(values<row>({{standing, 5, -1}, {shedding, 5, -1}, {idle, 5, 1}, {idle, 0, 0}, {balanced, 5, 0}}));
  admission_limit limit;
  limit.limit = 10;
  for (int i = 0; i < 10; ++i)
    CountAdmitted(limit, 1);
  CHECK_FALSE(Admits(limit, 1, false));
  CHECK(Admits(limit, 1, true));
  // A single period with a queue may be a burst.
  for (int period = 0; period < 2; ++period) {
    limit.refused_in_period = r.refused;
    AdjustLimit(limit, r.state, milliseconds(10), kNow + period * seconds(1));
  }
  CHECK((limit.limit > 10) - (limit.limit < 10) == r.direction);
  for (int i = 0; i < 10; ++i)
    CountEnded(limit, 1, milliseconds(10));
  CHECK(limit.weight_in_flight == 0);
}

// Guards against a limit that an overload has lowered and that still refuses a burst long after the overload.
TEST_CASE("an idle admission limit returns to its initial value") {
  admission_limit limit;
  limit.initial_limit = 20;
  limit.limit = 1.6;
  const queue_state idle{};
  base::time_point now{std::chrono::seconds(1)};
  for (int period = 0; period < 20; ++period) {
    now += std::chrono::seconds(1);
    AdjustLimit(limit, idle, std::chrono::milliseconds(5), now);
  }
  CHECK(limit.limit == 20);
}

}  // namespace
}  // namespace limpetrouter::core::routing
