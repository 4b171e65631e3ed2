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

/// Returns the integer value of a header field of a request, or -1 if the request lacks the field.
int IntegerFieldOf(const std::string& request, const std::string& name) {
  const auto name_position = request.find(name + ": ");
  int value = -1;
  if (name_position != std::string::npos) {
    const char* const begin = request.data() + name_position + name.size() + 2;
    std::from_chars(begin, request.data() + request.size(), value);
  }
  return value;
}

transfer_request OpaqueGet(transfer_pool& pool, const std::string& address, milliseconds timeout) {
  transfer_request request;
  request.id = pool.NewId();
  request.url = "http://" + address;
  request.method = "GET";
  request.target = "/x";
  request.headers = {{"Host", "h"}};
  request.time_left_field = "Time-Left";
  request.deadline = steady_clock::now() + timeout;
  request.max_answer_bytes = 1'000;
  request.write_once = true;
  request.done = [](transfer_result&&) {};
  return request;
}

// Guards against a process that lacks CPU time and states more time to a backend server than its caller has left. That
// happened when the time was computed at the start of a transfer whose request was written half a second later.
TEST_CASE("the time left is stated as the request is written") {
  // The thread of the pool is delayed before the transfer starts, or between its start and its connection.
  const bool starts_late = GENERATE(true, false);
  scripted_server server([](const std::string&) { return scripted_reply{HttpAnswer(200, "{}"), false, {}}; });
  transfer_pool pool;
  std::atomic<int> ended_transfers{0};
  constexpr milliseconds kTimeout{1'000};
  constexpr milliseconds kDelay{300};
  const auto delay_pool = [&ended_transfers, kDelay](transfer_result&&) {
    std::this_thread::sleep_for(kDelay);
    ++ended_transfers;
  };
  transfer_request blocker = OpaqueGet(pool, server.Address(), kTimeout);
  blocker.done = delay_pool;
  transfer_request delayed = OpaqueGet(pool, server.Address(), kTimeout);
  delayed.own_connection = true;
  delayed.done = [&ended_transfers](transfer_result&&) { ++ended_transfers; };
  const steady_clock::time_point deadline = delayed.deadline;
  if (starts_late) {
    pool.Start(std::move(blocker));
    REQUIRE(Eventually([&server] { return server.Requests().size() == 1; }));
    std::this_thread::sleep_for(milliseconds(50));
    pool.Start(std::move(delayed));
  } else {
    // A transfer whose deadline has passed ends between the start of the other transfer and its connection.
    blocker.deadline = steady_clock::now();
    pool.Start(std::move(delayed));
    pool.Start(std::move(blocker));
  }
  REQUIRE(Eventually([&ended_transfers] { return ended_transfers == 2; }));
  const std::vector<std::string> requests = server.Requests();
  const int stated_ms = IntegerFieldOf(requests.back(), "Time-Left");
  const auto time_left = std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
  INFO("stated " << stated_ms << " ms, left at the end " << time_left.count() << " ms");
  REQUIRE(stated_ms > 0);
  CHECK(stated_ms <= (kTimeout - kDelay).count() + 60);
}

}  // namespace
}  // namespace limpetrouter::shell
