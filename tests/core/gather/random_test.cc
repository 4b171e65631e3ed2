#include <array>
#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "tests/core/gather/gather_fixture.h"

namespace limpetrouter::core::gather {
namespace {

using base::error_kind;

/// Sends random events to a gatherer and checks every command against a simple model of the attempts.
class random_session : public gather_fixture {
 public:
  explicit random_session(std::uint64_t seed) : generator_{seed} {}

  void Step() {
    switch (RandomBelow(12)) {
      case 0:
      case 1:
      case 2:
        SendRandomRequest();
        break;
      case 3:
        Cancel(1 + RandomBelow(next_), Entry(1 + RandomBelow(next_)));
        break;
      case 4:
        AnswerProbes();
        break;
      case 5:
        InjectFault();
        break;
      case 6:
      case 7:
        Tick(std::chrono::milliseconds(1 + RandomBelow(15)));
        break;
      default:
        EndRandomCall();
    }
    CheckCommands();
  }

  void Finish() {
    while (!running_.empty()) {
      EndRandomCall();
      CheckCommands();
    }
    for (int i = 0; i < 3; ++i) {
      Tick(std::chrono::seconds(2));
      CheckCommands();
    }
    CHECK(IsIdle(tables));
    // Results for an entry that was unavailable at some time may be dropped; all others must arrive.
    for (const auto& [attempt, model] : models_)
      CHECK((model.results == 1 || lost_entries_.contains(model.entry)));
  }

 private:
  struct attempt_model {
    std::string entry;
    std::string server;
    base::fingerprint_id fingerprint;
    bool repeatable = true;
    int sent = 0;
    int results = 0;
    bool ended_not_executed = false;
  };

  std::uint64_t RandomBelow(std::uint64_t bound) { return base::NextBelow(generator_, bound); }
  static std::string Entry(std::uint64_t attempt) { return attempt % 3 == 0 ? "e2" : "e1"; }

  void SendRandomRequest() {
    const std::string server = "s" + std::to_string(1 + RandomBelow(3));
    peer::gather_request request = Request(next_, 1, server);
    request.proven = RandomBelow(3) != 0;
    request.urgent = RandomBelow(5) == 0;
    request.repeatable = RandomBelow(4) != 0;
    request.fingerprint.value = (request.proven ? 100 : 200) + RandomBelow(4);
    request.remaining_us = static_cast<std::int64_t>(RandomBelow(100'000));
    request.items[0].primary_unusable = RandomBelow(2) == 0;
    models_[next_] = {Entry(next_), server, request.fingerprint, request.repeatable};
    Send(request, Entry(next_));
    if (RandomBelow(10) == 0) Send(request, Entry(next_));
    ++next_;
  }

  void EndRandomCall() {
    if (running_.empty()) return;
    auto found = running_.begin();
    std::advance(found, static_cast<std::ptrdiff_t>(RandomBelow(running_.size())));
    const std::uint64_t attempt = *found;
    running_.erase(found);
    constexpr std::array kFailures = {error_kind::kBackendShed, error_kind::kConnectionLost, error_kind::kConnectFailed,
                                      error_kind::kDeadlineExceeded, error_kind::kBackendDraining};
    attempt_model& model = models_[attempt];
    if (RandomBelow(3) != 0) {
      End(attempt, std::nullopt, model.entry);
      return;
    }
    const error_kind failure = kFailures.at(RandomBelow(kFailures.size()));
    model.ended_not_executed = base::DescribeError(failure).executed == base::executed_state::kNo;
    End(attempt, failure, model.entry);
  }

  void AnswerProbes() {
    for (const io::probe_backend& probe : TakeProbes())
      EndProbe(probe.backend_server.value, RandomBelow(6) != 0, {0, 0, RandomBelow(20) == 0, 1 + RandomBelow(2)});
  }

  void InjectFault() {
    switch (RandomBelow(8)) {
      case 0:
        Pause(std::chrono::milliseconds(1100));
        break;
      case 1:
        SetMember("e2", 1, RandomBelow(2) == 0 ? peer::member_state::kDead : peer::member_state::kAlive);
        if (members.members.at(base::instance_id("e2")).info.state == peer::member_state::kDead)
          lost_entries_.insert("e2");
        break;
      case 2:
        std::swap(placement.by_backend_server[RandomBelow(3)], placement.by_backend_server[RandomBelow(3)]);
        ++placement.members_version;
        break;
      case 3:
        facts.facts.clear();
        break;
      default:
        break;
    }
  }

  void CheckCommands() {
    for (const std::uint64_t attempt : TakeSent()) {
      attempt_model& model = models_.at(attempt);
      INFO("attempt " << attempt);
      CHECK(++model.sent == 1);
      CHECK(model.results == 0);
      CHECK_FALSE(IsWithheld(facts, model.fingerprint, now));
      running_.insert(attempt);
    }
    std::map<std::string, int> load;
    for (const std::uint64_t attempt : running_) {
      CHECK(++load[models_.at(attempt).server] <= 3);
    }
    for (const std::uint64_t attempt : TakeCancelled())
      CHECK(models_.at(attempt).repeatable);
    for (const peer::attempt_result& result : TakeResults()) {
      attempt_model& model = models_.at(result.attempt.value);
      INFO("attempt " << result.attempt.value);
      CHECK(++model.results == 1);
      CHECK_FALSE(running_.contains(result.attempt.value));
      const bool not_executed = model.sent == 0 || model.ended_not_executed;
      CHECK((result.executed == base::executed_state::kNo) == not_executed);
    }
    DropCommands<io::log_decision>();
  }

  base::random_source generator_;
  std::uint64_t next_ = 1;
  std::map<std::uint64_t, attempt_model> models_;
  std::set<std::uint64_t> running_;
  std::set<std::string> lost_entries_;
};

// Guards against lost, duplicate or wrong results, and against more running calls than slots, under combinations of
// faults that no other test covers.
TEST_CASE("every attempt has one correct result under random faults") {
  const std::uint64_t seed = GENERATE(range(1U, 41U));
  INFO("seed " << seed);
  random_session session(seed);
  for (int step = 0; step < 2000; ++step)
    session.Step();
  session.Finish();
}

}  // namespace
}  // namespace limpetrouter::core::gather
