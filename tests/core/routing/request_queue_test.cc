#include "core/routing/request_queue.h"

#include <vector>

#include <catch2/catch.hpp>

namespace limpetrouter::core::routing {
namespace {

using std::chrono::milliseconds;

base::time_point At(int ms) { return base::time_point(milliseconds(ms)); }

queue_position Position(bool late, std::uint32_t priority, int due_ms, std::uint64_t request) {
  return {late, priority, At(due_ms), base::reply_handle(request), 0};
}

}  // namespace

// Guards against late or less urgent parts that delay those that can be served in time.
TEST_CASE("parts in time come before late ones, then the urgent ones, then those that are due first") {
  request_queue queue;
  Push(queue, Position(true, 0, 10, 1), At(0));
  Push(queue, Position(false, 1, 30, 2), At(0));
  Push(queue, Position(false, 1, 20, 3), At(0));
  Push(queue, Position(false, 0, 90, 4), At(0));
  std::vector<std::uint64_t> order;
  for (const queue_position& each : queue.parts)
    order.push_back(each.request.value);
  CHECK(order == std::vector<std::uint64_t>{4, 3, 2, 1});
  CHECK(CountUpTo(queue, false, 0) == 1);
  CHECK(CountUpTo(queue, false, 1) == 3);
  CHECK(CountUpTo(queue, true, 0) == 4);
}

// Guards against counts that drift from the queue, because they decide about refusals.
TEST_CASE("a part that is pushed or removed twice counts once") {
  request_queue queue;
  Push(queue, Position(false, 0, 1, 1), At(5));
  Push(queue, Position(false, 0, 1, 1), At(6));
  CHECK(queue.waiting_since == At(5));
  CHECK(CountUpTo(queue, false, 0) == 1);
  Remove(queue, Position(false, 0, 1, 1));
  Remove(queue, Position(false, 0, 1, 1));
  CHECK(queue.parts.empty());
  CHECK(queue.classes.empty());
  Push(queue, Position(false, 0, 1, 1), At(7));
  CHECK(queue.waiting_since == At(7));
}

// Guards against a rate that keeps the value of an earlier burst.
TEST_CASE("a rate follows the events and decays without them") {
  rate_meter meter;
  for (int ms = 0; ms < 2'000; ms += 10)
    AddEvents(meter, 1, At(ms));
  CHECK(RateOf(meter, At(2'000)) == Approx(100).epsilon(0.05));
  CHECK(RateOf(meter, At(3'500)) < 1);
}

TEST_CASE("the rate before a class leaves out the class and those behind it") {
  request_queue queue;
  AddEvents(queue.admitted[{false, 0}], 3, At(0));
  AddEvents(queue.admitted[{false, 1}], 5, At(0));
  AddEvents(queue.admitted[{true, 0}], 7, At(0));
  const double first = RateOf(queue.admitted[{false, 0}], At(0));
  const double second = RateOf(queue.admitted[{false, 1}], At(0));
  CHECK(RateBefore(queue, {false, 0}, At(0)) == 0);
  CHECK(RateBefore(queue, {false, 1}, At(0)) == Approx(first));
  CHECK(RateBefore(queue, {true, 0}, At(0)) == Approx(first + second));
}

}  // namespace limpetrouter::core::routing
