#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <catch2/catch.hpp>

#include "core/instance/instance.h"
#include "tests/core/forwarding/forwarding_world.h"

namespace limpetrouter::core::instance {
namespace {

using base::error_kind;
using base::executed_state;
using forwarding::forwarding_fixture;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::duration kLongestLeave = seconds(6);

/// One instance that forwards requests to one server, on a virtual clock.
struct leaving_instance {
  base::time_point now{seconds(1'000)};
  instance core;
  io::command_list out;

  explicit leaving_instance(forwarding::repeat_policy repeat)
      : core(MakeInstance({{base::instance_id("10.0.0.1"), base::incarnation_id(1)},
                           base::data_centre_id("a"),
                           "10.0.0.1:70",
                           "10.0.0.1:80",
                           1'000},
                          7, now)) {
    forwarding_fixture fixture;
    fixture.now = now;
    fixture.SetRoute(forwarding_fixture::MakeRoute(repeat));
    fixture.AddServers({forwarding_fixture::MakeServer("server", "single", "a")});
    core.forwarding = std::move(fixture.tables);
  }

  bool HasExited() const {
    return std::any_of(out.begin(), out.end(),
                       [](const io::command& command) { return std::holds_alternative<io::exit_process>(command); });
  }
  void Handle(const io::event& event) { HandleEvent(core, event, now, out); }
  /// Runs ticks until the instance exits. Returns false if it does not within `kLongestLeave`.
  bool RunUntilExit() {
    for (const base::time_point end = now + kLongestLeave; now < end && !HasExited(); now += kTickInterval)
      RunTick(core, now, out);
    return HasExited();
  }

  forwarding::request MakeRequest() const {
    forwarding::request content;
    content.method = "GET";
    content.target = "/p/x";
    content.path = "/p/x";
    content.host = "h";
    content.attempt = "attempt";
    content.received = now;
    return content;
  }

  std::size_t CountCalls() const {
    return static_cast<std::size_t>(std::count_if(out.begin(), out.end(), [](const io::command& command) {
      return std::holds_alternative<io::start_call>(command);
    }));
  }
  /// Answer to a caller, or to the instance that passed the request on.
  std::optional<forwarding::answer> FindAnswer() const {
    for (const io::command& command : out) {
      if (const auto* reply = std::get_if<io::reply_forwarded>(&command); reply != nullptr) return reply->answer;
      const auto* send = std::get_if<io::send_peer>(&command);
      if (send == nullptr) continue;
      if (const auto* answer = std::get_if<peer::relay_answer>(&send->message.body); answer != nullptr)
        return answer->answer;
    }
    return std::nullopt;
  }
};

// Guards against requests that are cut: an instance that had decided to exit sent requests to servers until its
// process ended, and closed the connections of their callers without an answer.
TEST_CASE("a request that arrives after the decision to exit is refused and not sent to a server",
          "[instance][leaving]") {
  struct row {
    std::string name;
    forwarding::repeat_policy repeat;
    bool relayed;
  };
  const row given =
      GENERATE(values<row>({{"repeatable, from a caller", forwarding::repeat_policy::kIdempotent, false},
                            {"at most once, from a caller", forwarding::repeat_policy::kAtMostOnce, false},
                            {"repeatable, from an instance", forwarding::repeat_policy::kIdempotent, true},
                            {"at most once, from an instance", forwarding::repeat_policy::kAtMostOnce, true}}));
  INFO(given.name);
  leaving_instance leaving(given.repeat);
  peer::message_header neighbour;
  neighbour.sender = {base::instance_id("10.0.0.2"), base::incarnation_id(1)};
  peer::announce announced;
  peer::member_update& update = announced.changes.members.emplace_back();
  update.member = neighbour.sender;
  update.data_centre = base::data_centre_id("a");
  update.peer_address = "10.0.0.2:70";
  update.state = peer::member_state::kAlive;
  leaving.Handle(io::peer_message_received{{neighbour, announced}, ""});
  leaving.Handle(io::leave_requested{});
  REQUIRE(leaving.RunUntilExit());
  leaving.out.clear();

  leaving.now += milliseconds(30);
  if (given.relayed) {
    peer::relay_request relayed;
    relayed.token = 1;
    relayed.max_attempts = 1;
    relayed.request = leaving.MakeRequest();
    leaving.Handle(io::peer_message_received{{neighbour, relayed}, ""});
  } else {
    leaving.Handle(io::request_received{base::reply_handle(1),
                                        std::make_shared<const forwarding::request>(leaving.MakeRequest())});
  }
  CHECK(leaving.CountCalls() == 0);
  const std::optional<forwarding::answer> refusal = leaving.FindAnswer();
  REQUIRE(refusal.has_value());
  REQUIRE(refusal->failure.has_value());
  CHECK(refusal->failure->kind == error_kind::kInstanceLeaving);
  CHECK(refusal->executed == executed_state::kNo);
}

TEST_CASE("a request that arrives while an instance leaves is served, and the instance waits for its answer",
          "[instance][leaving]") {
  leaving_instance leaving(forwarding::repeat_policy::kAtMostOnce);
  leaving.Handle(io::leave_requested{});
  leaving.now += seconds(1);
  leaving.Handle(
      io::request_received{base::reply_handle(1), std::make_shared<const forwarding::request>(leaving.MakeRequest())});
  REQUIRE(leaving.CountCalls() == 1);
  for (const base::time_point end = leaving.now + milliseconds(1'900); leaving.now < end; leaving.now += kTickInterval)
    RunTick(leaving.core, leaving.now, leaving.out);
  CHECK_FALSE(leaving.HasExited());
  REQUIRE(leaving.RunUntilExit());
  CHECK(leaving.FindAnswer().has_value());
}

}  // namespace
}  // namespace limpetrouter::core::instance
