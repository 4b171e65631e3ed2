#include <array>
#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "tests/core/gather/gather_fixture.h"

namespace limpetrouter::core::gather {
namespace {

using base::error_kind;

/// Drives a gatherer at random and checks every command against a plain model of the attempts.
class random_session : public gather_fixture {
 public:
  explicit random_session(std::uint64_t seed) : dice_{seed} {}

  void Step() {
    switch (Roll(12)) {
      case 0:
      case 1:
      case 2:
        SendSome();
        break;
      case 3:
        Cancel(1 + Roll(next_), Entry(1 + Roll(next_)));
        break;
      case 4:
        ProbeSome();
        break;
      case 5:
        Disturb();
        break;
      case 6:
      case 7:
        Tick(std::chrono::milliseconds(1 + Roll(15)));
        break;
      default:
        EndSome();
    }
    Check();
  }

  void Finish() {
    while (!running_.empty()) {
      EndSome();
      Check();
    }
    for (int i = 0; i < 3; ++i) {
      Tick(std::chrono::seconds(2));
      Check();
    }
    CHECK(IsIdle(tables));
    // Results of an entry that was gone for a while are dropped, all others arrive.
    for (const auto& [attempt, item] : known_)
      CHECK((item.results == 1 || gone_.contains(item.entry)));
  }

 private:
  struct known_attempt {
    std::string entry;
    std::string server;
    base::fingerprint_id fingerprint;
    bool repeatable = true;
    int sent = 0;
    int results = 0;
    bool ended_not_run = false;
  };

  std::uint64_t Roll(std::uint64_t bound) { return base::NextBelow(dice_, bound); }
  static std::string Entry(std::uint64_t attempt) { return attempt % 3 == 0 ? "e2" : "e1"; }

  void SendSome() {
    const std::string server = "s" + std::to_string(1 + Roll(3));
    peer::gather_request request = Request(next_, 1, server);
    request.proven = Roll(3) != 0;
    request.urgent = Roll(5) == 0;
    request.repeatable = Roll(4) != 0;
    request.fingerprint.value = (request.proven ? 100 : 200) + Roll(4);
    request.remaining_us = static_cast<std::int64_t>(Roll(100'000));
    request.items[0].primary_unusable = Roll(2) == 0;
    known_[next_] = {Entry(next_), server, request.fingerprint, request.repeatable};
    Send(request, Entry(next_));
    if (Roll(10) == 0) Send(request, Entry(next_));
    ++next_;
  }

  void EndSome() {
    if (running_.empty()) return;
    auto found = running_.begin();
    std::advance(found, static_cast<std::ptrdiff_t>(Roll(running_.size())));
    const std::uint64_t attempt = *found;
    running_.erase(found);
    constexpr std::array kFailures = {error_kind::kBackendShed, error_kind::kConnectionLost, error_kind::kConnectFailed,
                                      error_kind::kDeadlineExceeded, error_kind::kBackendDraining};
    known_attempt& known = known_[attempt];
    if (Roll(3) != 0) {
      End(attempt, std::nullopt, known.entry);
      return;
    }
    const error_kind failure = kFailures.at(Roll(kFailures.size()));
    known.ended_not_run = base::DescribeError(failure).executed == base::executed_state::kNo;
    End(attempt, failure, known.entry);
  }

  void ProbeSome() {
    for (const io::probe_backend& probe : TakeProbes())
      Probe(probe.backend_server.value, Roll(6) != 0, {0, 0, Roll(20) == 0, 1 + Roll(2)});
  }

  void Disturb() {
    switch (Roll(8)) {
      case 0:
        Pause(std::chrono::milliseconds(1100));
        break;
      case 1:
        SetMember("e2", 1, Roll(2) == 0 ? peer::member_state::kDead : peer::member_state::kAlive);
        if (members.members.at(base::instance_id("e2")).info.state == peer::member_state::kDead) gone_.insert("e2");
        break;
      case 2:
        std::swap(placed.by_backend_server[Roll(3)], placed.by_backend_server[Roll(3)]);
        ++placed.members_version;
        break;
      case 3:
        facts.facts.clear();
        break;
      default:
        break;
    }
  }

  void Check() {
    for (const std::uint64_t attempt : TakeSent()) {
      known_attempt& known = known_.at(attempt);
      INFO("attempt " << attempt);
      CHECK(++known.sent == 1);
      CHECK(known.results == 0);
      CHECK_FALSE(IsWithheld(facts, known.fingerprint, now));
      running_.insert(attempt);
    }
    std::map<std::string, int> load;
    for (const std::uint64_t attempt : running_) {
      CHECK(++load[known_.at(attempt).server] <= 3);
    }
    for (const std::uint64_t attempt : TakeCancelled())
      CHECK(known_.at(attempt).repeatable);
    for (const peer::attempt_result& result : TakeResults()) {
      known_attempt& known = known_.at(result.attempt.value);
      INFO("attempt " << result.attempt.value);
      CHECK(++known.results == 1);
      CHECK_FALSE(running_.contains(result.attempt.value));
      const bool not_run = known.sent == 0 || known.ended_not_run;
      CHECK((result.executed == base::executed_state::kNo) == not_run);
    }
    Drop<io::log_decision>();
  }

  base::random_source dice_;
  std::uint64_t next_ = 1;
  std::map<std::uint64_t, known_attempt> known_;
  std::set<std::uint64_t> running_;
  std::set<std::string> gone_;
};

// Guards against lost, doubled or untrue results, and against more calls than slots, in combinations of faults that no
// single test names.
TEST_CASE("every attempt has one true result under random faults") {
  const std::uint64_t seed = GENERATE(range(1U, 41U));
  INFO("seed " << seed);
  random_session session(seed);
  for (int step = 0; step < 2000; ++step)
    session.Step();
  session.Finish();
}

}  // namespace
}  // namespace limpetrouter::core::gather
