#include "core/forwarding/relay.h"

#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "core/forwarding/answers.h"
#include "core/forwarding/directory.h"
#include "core/forwarding/retry_budget.h"
#include "core/forwarding/server_choice.h"
#include "core/forwarding/server_contact.h"
#include "core/forwarding/server_probes.h"
#include "core/membership/fact_table.h"
#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

using base::error_kind;
using base::executed_state;

constexpr std::size_t kShards = 4;

/// Instances that know each other, their servers and one route. The first one is cut off.
std::vector<forwarding_fixture> MakeFleet(std::size_t count, repeat_policy repeat, std::uint32_t max_attempts = 2) {
  std::vector<forwarding_fixture> fleet(count);
  for (std::size_t i = 0; i < count; ++i) {
    JoinFleet(fleet[i], i, count);
    route made = forwarding_fixture::MakeRoute(repeat, repeat == repeat_policy::kIdempotent ? kShards : 0);
    made.max_attempts = max_attempts;
    fleet[i].SetRoute(made);
    for (const char* replica : {"x", "y", "z"}) {
      fleet[i].AddServers({forwarding_fixture::MakeServer(std::string("single-") + replica, "single", "a")});
      for (std::size_t shard = 0; shard < kShards; ++shard) {
        const std::string service = "shard" + std::to_string(shard);
        fleet[i].AddServers({forwarding_fixture::MakeServer(service + "-" + replica, service, "a")});
      }
    }
  }
  return fleet;
}

void CutOff(forwarding_fixture& fixture) {
  instance::context ctx = fixture.Context();
  fixture.tables.contact.unanswering = {base::backend_server_id("single-x"), base::backend_server_id("single-y")};
  RunContact(fixture.tables, ctx);
  for (const auto& probe : fixture.Take<io::probe_server>())
    HandleProbeEnded(fixture.tables, ctx, {probe.probe, false});
  REQUIRE(IsCutOff(fixture.tables));
}

std::size_t IndexOf(const base::instance_id& id) {
  return static_cast<std::size_t>(std::stoul(id.value.substr(id.value.rfind('.') + 1)));
}

/// Delivers the messages between the instances until there are none.
void Exchange(std::vector<forwarding_fixture>& fleet) {
  for (bool any = true; any;) {
    any = false;
    for (forwarding_fixture& from : fleet) {
      for (const io::send_peer& send : from.Take<io::send_peer>()) {
        any = true;
        forwarding_fixture& to = fleet[IndexOf(send.target)];
        instance::context ctx = to.Context();
        if (const auto* request = std::get_if<peer::relay_request>(&send.message.body); request != nullptr)
          HandleRelayRequest(to.tables, ctx, send.message.header, *request);
        if (const auto* answer = std::get_if<peer::relay_answer>(&send.message.body); answer != nullptr)
          HandleRelayAnswer(to.tables, ctx, send.message.header, *answer);
        if (const auto* cancel = std::get_if<peer::relay_cancel>(&send.message.body); cancel != nullptr)
          HandleRelayCancel(to.tables, ctx, send.message.header, *cancel);
      }
    }
  }
}

/// Takes the calls of all instances, and returns them with the instance that made them.
std::vector<std::pair<std::size_t, io::start_call>> TakeAllCalls(std::vector<forwarding_fixture>& fleet) {
  std::vector<std::pair<std::size_t, io::start_call>> calls;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    for (io::start_call& call : fleet[i].TakeCalls())
      calls.emplace_back(i, std::move(call));
  }
  return calls;
}

// Guards against callers of an instance that has lost its links to the backend servers: their requests were refused, or
// hung until their deadline.
TEST_CASE("an instance that is cut off passes its requests on and returns the answers") {
  const auto repeat = GENERATE(repeat_policy::kIdempotent, repeat_policy::kAtMostOnce);
  std::vector<forwarding_fixture> fleet = MakeFleet(3, repeat);
  CutOff(fleet[0]);
  fleet[0].Send();
  CHECK(fleet[0].TakeCalls().empty());
  Exchange(fleet);
  const auto calls = TakeAllCalls(fleet);
  REQUIRE(calls.size() == (repeat == repeat_policy::kIdempotent ? kShards : 1));
  for (const auto& [at, call] : calls) {
    CHECK(at == calls[0].first);
    fleet[at].End(call, forwarding_fixture::Served("aaaa"));
  }
  Exchange(fleet);
  const auto replies = fleet[0].TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == 200);
  CHECK(replies[0].answer.signatures.size() == calls.size());
  for (const forwarding_fixture& each : fleet)
    CHECK(each.tables.requests.empty());
}

// Guards against an answer whose status is none: an instance of a build that accepts such answers from its backend
// servers passes them back.
TEST_CASE("a relayed answer with an invalid status is not passed to the caller") {
  const int status = GENERATE(0, 99, 101, 600, 1'000);
  INFO(status);
  std::vector<forwarding_fixture> fleet = MakeFleet(2, repeat_policy::kAtMostOnce);
  CutOff(fleet[0]);
  fleet[0].Send();
  Exchange(fleet);
  const auto calls = TakeAllCalls(fleet);
  REQUIRE(calls.size() == 1);
  call_result invalid = forwarding_fixture::Served("aaaa");
  invalid.status = status;
  fleet[calls[0].first].End(calls[0].second, std::move(invalid));
  Exchange(fleet);
  const auto replies = fleet[0].TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == 502);
  CHECK(replies[0].answer.body.empty());
  CHECK(replies[0].answer.signatures.empty());
}

// Guards against a second execution of a request that must not be repeated: after it was passed on, only the word of
// the other instance that it was not executed permits another one.
TEST_CASE("a request that must not be repeated is passed on again only if it was not executed") {
  struct row {
    error_kind kind;
    executed_state executed;
    bool sent_again;
    int status;
  };
  const auto r = GENERATE(values<row>({
      {error_kind::kConnectFailed, executed_state::kNo, true, 200},
      {error_kind::kNoConfiguration, executed_state::kNo, true, 200},
      {error_kind::kOverloaded, executed_state::kNo, false, 503},
      {error_kind::kConnectionLost, executed_state::kUnknown, false, 502},
      {error_kind::kNoUsableReplica, executed_state::kUnknown, false, 502},
      {error_kind::kDeadlineExceeded, executed_state::kUnknown, false, 504},
  }));
  INFO(ToString(r.kind));
  std::vector<forwarding_fixture> fleet = MakeFleet(3, repeat_policy::kAtMostOnce);
  CutOff(fleet[0]);
  fleet[0].Send();
  const auto first = fleet[0].Take<io::send_peer>();
  REQUIRE(first.size() == 1);
  const std::size_t target = IndexOf(first[0].target);
  peer::relay_answer failed;
  failed.origin = fleet[0].members.self.ref;
  failed.token = std::get<peer::relay_request>(first[0].message.body).token;
  failed.answer = MakeFailure({r.kind, "test"}, r.executed, milliseconds(100));
  peer::message_header header;
  header.sender = fleet[target].members.self.ref;
  instance::context ctx = fleet[0].Context();
  HandleRelayAnswer(fleet[0].tables, ctx, header, failed);
  Exchange(fleet);
  const auto calls = TakeAllCalls(fleet);
  CHECK(calls.size() == (r.sent_again ? 1 : 0));
  for (const auto& [at, call] : calls) {
    CHECK(at != target);
    fleet[at].End(call, forwarding_fixture::Served());
  }
  Exchange(fleet);
  const auto replies = fleet[0].TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == r.status);
}

// Guards against the promise "not executed" for a request that an unreachable instance may have received.
TEST_CASE("a request whose message was lost is passed on again only if no byte of it was sent") {
  const bool bytes_sent = GENERATE(false, true);
  INFO("bytes sent " << bytes_sent);
  std::vector<forwarding_fixture> fleet = MakeFleet(3, repeat_policy::kAtMostOnce);
  CutOff(fleet[0]);
  fleet[0].Send();
  const auto sends = fleet[0].Take<io::send_peer>();
  REQUIRE(sends.size() == 1);
  instance::context ctx = fleet[0].Context();
  HandleRelaySendFailed(fleet[0].tables, ctx, {sends[0].target, bytes_sent, sends[0].message});
  const auto again = fleet[0].Take<io::send_peer>();
  CHECK(again.size() == (bytes_sent ? 0 : 1));
  if (!bytes_sent) {
    CHECK(again[0].target != sends[0].target);
    return;
  }
  const auto replies = fleet[0].TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == 502);
}

// Guards against requests whose calls hang: they were sent before the instance noticed that it is cut off.
TEST_CASE("an idempotent request whose calls hang is passed on within the attempts of its route") {
  const std::uint32_t max_attempts = GENERATE(1U, 2U, 3U);
  INFO("attempts " << max_attempts);
  std::vector<forwarding_fixture> fleet = MakeFleet(2, repeat_policy::kIdempotent, max_attempts);
  for (std::size_t i = 0; i < kShards; ++i) {
    for (int count = 0; count < 100; ++count)
      CountRequest(fleet[0].tables, base::service_id("shard" + std::to_string(i)), fleet[0].now);
  }
  fleet[0].Send();
  REQUIRE(fleet[0].TakeCalls().size() == kShards);
  CutOff(fleet[0]);
  instance::context ctx = fleet[0].Context();
  RunRequests(fleet[0].tables, ctx);
  const auto sends = fleet[0].Take<io::send_peer>();
  REQUIRE(sends.size() == (max_attempts > 1 ? 1 : 0));
  if (sends.empty()) return;
  const auto& relayed = std::get<peer::relay_request>(sends[0].message.body);
  CHECK(relayed.max_attempts == max_attempts - 1);
  CHECK(relayed.counted);
}

// Guards against a second execution of a request whose message arrives twice.
TEST_CASE("a repeated message does not pass the request on again") {
  std::vector<forwarding_fixture> fleet = MakeFleet(2, repeat_policy::kAtMostOnce);
  CutOff(fleet[0]);
  fleet[0].Send();
  const auto sends = fleet[0].Take<io::send_peer>();
  REQUIRE(sends.size() == 1);
  instance::context ctx = fleet[1].Context();
  for (int i = 0; i < 2; ++i)
    HandleRelayRequest(fleet[1].tables, ctx, sends[0].message.header,
                       std::get<peer::relay_request>(sends[0].message.body));
  CHECK(fleet[1].TakeCalls().size() == 1);
}

// Guards against requests that go round in circles, or to instances that cannot serve them either.
TEST_CASE("a request is passed on once, and not to an instance that is cut off") {
  std::vector<forwarding_fixture> fleet = MakeFleet(3, repeat_policy::kIdempotent);
  CutOff(fleet[0]);
  CutOff(fleet[1]);
  for (const std::size_t i : {0U, 1U}) {
    const base::instance_id other = fleet[1 - i].members.self.ref.id;
    membership::RecordCutOff(fleet[i].facts, other, true, seconds(10), fleet[i].now);
  }
  for (int request = 0; request < 20; ++request)
    fleet[0].Send();
  for (const io::send_peer& send : fleet[0].Take<io::send_peer>())
    CHECK(IndexOf(send.target) == 2);
  // An instance that was chosen before its statement arrived does not pass the request on.
  peer::relay_request relayed;
  relayed.token = 7;
  relayed.request = {"GET", "/p/x", "/p/x", "h", "attempt", {}, {}, "", {}};
  peer::message_header header;
  header.sender = fleet[0].members.self.ref;
  instance::context ctx = fleet[1].Context();
  HandleRelayRequest(fleet[1].tables, ctx, header, relayed);
  const auto sends = fleet[1].Take<io::send_peer>();
  REQUIRE(sends.size() == 1);
  const auto* answer = std::get_if<peer::relay_answer>(&sends[0].message.body);
  REQUIRE(answer != nullptr);
  CHECK(answer->answer.status == 503);
  CHECK(answer->answer.executed == executed_state::kNo);
}

// Guards against requests that wait until their deadline although no instance can serve them.
TEST_CASE("a request is refused at once if no instance is known to reach the servers") {
  std::vector<forwarding_fixture> fleet = MakeFleet(1, repeat_policy::kIdempotent);
  CutOff(fleet[0]);
  fleet[0].Send();
  const auto replies = fleet[0].TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == 503);
  CHECK(replies[0].answer.retry_after.has_value());
}

// Guards against calls that continue at the other instance for a caller that has disconnected.
TEST_CASE("a relayed request is cancelled when its caller disconnects") {
  std::vector<forwarding_fixture> fleet = MakeFleet(2, repeat_policy::kIdempotent);
  CutOff(fleet[0]);
  const base::reply_handle handle = fleet[0].Send();
  Exchange(fleet);
  CHECK(fleet[1].tables.requests.size() == 1);
  instance::context ctx = fleet[0].Context();
  AbandonRequest(fleet[0].tables, ctx, handle);
  Exchange(fleet);
  CHECK(fleet[1].tables.requests.empty());
  fleet[1].Run(milliseconds(400));
  CHECK(fleet[1].Take<io::cancel_call>().size() == kShards);
}

// Guards against callers that are sent to instances without links, and against an empty directory.
TEST_CASE("callers are directed to instances that reach the servers, or to all if none does") {
  const std::size_t cut_off = GENERATE(0U, 1U, 4U, 5U, 6U);
  INFO("cut off " << cut_off);
  constexpr std::size_t kInstances = 6;
  std::vector<forwarding_fixture> fleet = MakeFleet(kInstances, repeat_policy::kIdempotent);
  forwarding_fixture& asked = fleet[kInstances - 1];
  for (auto& [id, entry] : asked.members.members)
    entry.info.http_address = id.value + ":80";
  for (std::size_t i = 0; i < cut_off; ++i)
    membership::RecordCutOff(asked.facts, FleetInstanceId(i), true, seconds(10), asked.now);
  if (cut_off == kInstances)
    membership::RecordCutOff(asked.facts, asked.members.self.ref.id, true, seconds(10), asked.now);
  instance::context ctx = asked.Context();
  HandleEntryAddresses(asked.tables, ctx, {base::reply_handle(1), base::data_centre_id("a")});
  const auto replies = asked.Take<io::reply_entry_addresses>();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].addresses.size() == (cut_off == kInstances ? kInstances : kInstances - cut_off));
}

// Guards against an instance that stays cut off in the view of the others after its links are back, or after a restart.
TEST_CASE("a statement that an instance is cut off ends when a probe succeeds, and after a restart") {
  const bool restarted = GENERATE(false, true);
  INFO("restarted " << restarted);
  std::vector<forwarding_fixture> fleet = MakeFleet(1, repeat_policy::kIdempotent);
  forwarding_fixture& fixture = fleet[0];
  const base::instance_id self = fixture.members.self.ref.id;
  CutOff(fixture);
  REQUIRE(membership::IsCutOff(fixture.facts, self, fixture.now));
  if (restarted) fixture.tables.contact = {};
  fixture.now += seconds(1);
  instance::context ctx = fixture.Context();
  RunContact(fixture.tables, ctx);
  for (const auto& probe : fixture.Take<io::probe_server>())
    HandleProbeEnded(fixture.tables, ctx, {probe.probe, true});
  CHECK_FALSE(membership::IsCutOff(fixture.facts, self, fixture.now));
  CHECK_FALSE(IsCutOff(fixture.tables));
}

// Guards against servers that stay ejected after the links are back, because calls failed before the loss was noticed.
TEST_CASE("ejections that the loss of the links caused end when the links are back") {
  std::vector<forwarding_fixture> fleet = MakeFleet(1, repeat_policy::kIdempotent);
  forwarding_fixture& fixture = fleet[0];
  const auto eject = [&fixture](const char* id) {
    NoteUnreachable(fixture.tables.servers.servers.at(base::backend_server_id(id)), fixture.now);
  };
  eject("single-z");
  fixture.now += milliseconds(10);
  fixture.tables.contact.last_answer = fixture.now;
  fixture.now += milliseconds(10);
  eject("single-x");
  CutOff(fixture);
  eject("single-y");
  fixture.now += milliseconds(300);
  instance::context ctx = fixture.Context();
  RunContact(fixture.tables, ctx);
  for (const auto& probe : fixture.Take<io::probe_server>())
    HandleProbeEnded(fixture.tables, ctx, {probe.probe, true});
  const auto is_ejected = [&fixture](const char* id) {
    return fixture.tables.servers.servers.at(base::backend_server_id(id)).ejected_until > fixture.now;
  };
  CHECK_FALSE(is_ejected("single-x"));
  CHECK_FALSE(is_ejected("single-y"));
  CHECK(is_ejected("single-z"));
}

// Guards against an instance that takes failures of some servers for the loss of its links.
TEST_CASE("an instance that reaches any server is not cut off") {
  std::vector<forwarding_fixture> fleet = MakeFleet(1, repeat_policy::kIdempotent);
  forwarding_fixture& fixture = fleet[0];
  instance::context ctx = fixture.Context();
  fixture.tables.contact.unanswering = {base::backend_server_id("single-x"), base::backend_server_id("single-y")};
  RunContact(fixture.tables, ctx);
  const auto probes = fixture.Take<io::probe_server>();
  REQUIRE(probes.size() > 2);
  for (std::size_t i = 0; i < probes.size(); ++i)
    HandleProbeEnded(fixture.tables, ctx, {probes[i].probe, i == 1});
  CHECK_FALSE(IsCutOff(fixture.tables));
  CHECK_FALSE(HasNoNewConnections(fixture.tables));
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
