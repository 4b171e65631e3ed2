#include "shell/transfer_pool.h"

#include <atomic>
#include <charconv>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "scripted_server.h"

namespace limpetrouter::shell {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// The number that the field has in a request, or -1.
int FieldOf(const std::string& request, const std::string& name) {
  const auto at = request.find(name + ": ");
  int value = -1;
  if (at != std::string::npos) {
    const char* const begin = request.data() + at + name.size() + 2;
    std::from_chars(begin, request.data() + request.size(), value);
  }
  return value;
}

transfer_request OpaqueGet(transfer_pool& pool, const std::string& address, milliseconds time) {
  transfer_request request;
  request.id = pool.NewId();
  request.url = "http://" + address;
  request.method = "GET";
  request.target = "/x";
  request.headers = {{"Host", "h"}};
  request.time_left_field = "Time-Left";
  request.deadline = steady_clock::now() + time;
  request.max_answer_bytes = 1'000;
  request.write_once = true;
  request.done = [](transfer_result&&) {};
  return request;
}

// Guards against a process that lacks CPU time and states more time to a backend server than its caller has left. That
// happened when the time was computed at the start of a transfer whose request was written half a second later.
TEST_CASE("the time left is stated as the request is written") {
  // The pool is held up before the transfer begins, or between its beginning and its connection.
  const bool begins_late = GENERATE(true, false);
  scripted_server server([](const std::string&) { return scripted_reply{HttpAnswer(200, "{}"), false, {}}; });
  transfer_pool pool;
  std::atomic<int> ended{0};
  constexpr milliseconds kTime{1'000};
  constexpr milliseconds kHold{300};
  const auto hold = [&ended, kHold](transfer_result&&) {
    std::this_thread::sleep_for(kHold);
    ++ended;
  };
  transfer_request blocker = OpaqueGet(pool, server.Address(), kTime);
  blocker.done = hold;
  transfer_request held_up = OpaqueGet(pool, server.Address(), kTime);
  held_up.own_connection = true;
  held_up.done = [&ended](transfer_result&&) { ++ended; };
  const steady_clock::time_point deadline = held_up.deadline;
  if (begins_late) {
    pool.Start(std::move(blocker));
    REQUIRE(Eventually([&server] { return server.Requests().size() == 1; }));
    std::this_thread::sleep_for(milliseconds(50));
    pool.Start(std::move(held_up));
  } else {
    // A transfer whose deadline has passed ends between the start of the other transfer and its connection.
    blocker.deadline = steady_clock::now();
    pool.Start(std::move(held_up));
    pool.Start(std::move(blocker));
  }
  REQUIRE(Eventually([&ended] { return ended == 2; }));
  const std::vector<std::string> requests = server.Requests();
  const int stated = FieldOf(requests.back(), "Time-Left");
  const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
  INFO("stated " << stated << " ms, left at the end " << left.count() << " ms");
  REQUIRE(stated > 0);
  CHECK(stated <= (kTime - kHold).count() + 60);
}

}  // namespace
}  // namespace limpetrouter::shell
