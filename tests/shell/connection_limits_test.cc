#include "shell/connection_limits.h"

#include <memory>
#include <vector>

#include <catch2/catch.hpp>

namespace limpetrouter::shell {
namespace {

using std::chrono::steady_clock;

constexpr std::size_t kMegabyte = 1024 * 1024;

/// An account that releases what it holds when it is ended.
struct fake_connection {
  account_ptr account = std::make_shared<connection_account>();
  std::vector<close_reason> ended;

  explicit fake_connection(connection_limits& limits) {
    account->check = [](steady_clock::time_point) -> std::optional<close_reason> { return std::nullopt; };
    account->end = [this, &limits](close_reason reason) {
      if (!ended.empty()) return false;
      ended.push_back(reason);
      limits.SetHeld(*account, 0);
      return true;
    };
  }
};

connection_bounds Bounds(std::size_t connections, std::size_t held, std::size_t requests = 1) {
  connection_bounds bounds = DeriveBounds({});
  bounds.max_connections = connections;
  bounds.max_held_bytes = held;
  bounds.max_request_bytes = requests;
  return bounds;
}

// Guards against bounds that exceed the machine, and against defaults that a client with one request at a time on each
// of some hundreds of connections meets.
TEST_CASE("the bounds follow from the machine") {
  struct row {
    caller_limits limits;
    std::size_t connections;
    std::size_t held;
  };
  const auto r = GENERATE(values<row>({
      {{}, 2'000, 96 * kMegabyte},
      {{160, 4'100}, 1'950, 32 * kMegabyte},
      {{500, 8'192}, 3'996, 100 * kMegabyte},
      {{160, 100}, 16, 32 * kMegabyte},
      {{160, 4'100, 300, 1'000'000}, 300, 1'000'000},
  }));
  const connection_bounds bounds = DeriveBounds(r.limits);
  CHECK(bounds.max_connections == r.connections);
  CHECK(bounds.max_held_bytes == r.held);
  CHECK(bounds.max_request_bytes == r.held);
}

// Guards against a process that runs out of descriptors, and against callers that are refused while idle connections
// occupy all places.
TEST_CASE("beyond the bound of connections, an idle connection is closed or the new one is refused") {
  connection_limits limits(Bounds(2, kMegabyte));
  fake_connection idle(limits);
  fake_connection busy(limits);
  fake_connection first(limits);
  fake_connection second(limits);
  REQUIRE(limits.Open(idle.account));
  REQUIRE(limits.Open(busy.account));
  idle.account->last_active = steady_clock::now() - std::chrono::minutes(1);
  busy.account->last_active = steady_clock::now() - std::chrono::minutes(2);
  busy.account->busy = true;
  CHECK(limits.Open(first.account));
  CHECK(idle.ended == std::vector{close_reason::kIdle});
  CHECK(busy.ended.empty());
  CHECK_FALSE(limits.Open(second.account));
  CHECK(limits.Totals().open == 2);
  CHECK(limits.Totals().closed[static_cast<std::size_t>(close_reason::kRefused)] == 1);
  limits.Close(busy.account);
  CHECK(limits.Open(second.account));
}

// Guards against memory that grows with the number of connections, each of which is below its own bound.
TEST_CASE("beyond the bound of held bytes, the connections that hold most are closed and new ones are refused") {
  connection_limits limits(Bounds(10, 1'000));
  fake_connection small(limits);
  fake_connection large(limits);
  fake_connection larger(limits);
  fake_connection late(limits);
  for (fake_connection* each : {&small, &large, &larger})
    REQUIRE(limits.Open(each->account));
  limits.SetHeld(*small.account, 100);
  limits.SetHeld(*large.account, 400);
  limits.SetHeld(*larger.account, 500);
  limits.Enforce();
  CHECK(larger.ended.empty());
  limits.SetHeld(*larger.account, 600);
  CHECK_FALSE(limits.Open(late.account));
  limits.Enforce();
  CHECK(larger.ended == std::vector{close_reason::kHeldBytes});
  CHECK(large.ended.empty());
  CHECK(small.ended.empty());
  CHECK(limits.Totals().held_bytes == 500);
  CHECK(limits.Open(late.account));
  limits.SetHeld(*large.account, 50);
  limits.Close(small.account);
  CHECK(limits.Totals().held_bytes == 50);
}

// Guards against requests that pile up between the listeners and the core after their connections were closed.
TEST_CASE("requests count until their charge is released") {
  connection_limits limits(Bounds(10, 1'000, 100'000));
  std::vector<std::shared_ptr<void>> charges;
  while (auto charge = limits.ChargeRequest(10'000))
    charges.push_back(std::move(charge));
  CHECK(charges.size() == 5);
  CHECK(limits.Totals().request_bytes <= 100'000);
  charges.pop_back();
  CHECK(limits.ChargeRequest(10'000) != nullptr);
  CHECK(limits.ChargeRequest(10'000) != nullptr);
  charges.clear();
  CHECK(limits.Totals().request_bytes == 0);
  // A request alone is accepted also if the bound is below its size.
  CHECK(limits.ChargeRequest(200'000) != nullptr);
}

}  // namespace
}  // namespace limpetrouter::shell
