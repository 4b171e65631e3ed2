#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/forwarding/relay.h"
#include "core/forwarding/requests.h"
#include "core/forwarding/retry_budget.h"
#include "core/forwarding/server_contact.h"
#include "core/forwarding/server_probes.h"
#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

using base::error_kind;
using base::executed_state;

/// How a call ends. A server that fails has executed the request, and answers it with the status under test.
enum class call_end { kFails, kServes, kRefuses, kNotReached, kLost };

call_result Failing(int status) {
  call_result result = forwarding_fixture::Served("failed");
  result.status = status;
  result.headers.emplace_back("Retry-After", "1");
  return result;
}

call_result ResultOf(call_end end, int status) {
  switch (end) {
    case call_end::kFails:
      return Failing(status);
    case call_end::kServes:
      return forwarding_fixture::Served("served");
    case call_end::kRefuses:
      return forwarding_fixture::Failed(error_kind::kBackendShed, executed_state::kNo);
    case call_end::kNotReached:
      return forwarding_fixture::Failed(error_kind::kConnectFailed, executed_state::kNo);
    case call_end::kLost:
      break;
  }
  return forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown);
}

void AddServersOf(forwarding_fixture& fixture, const std::string& service) {
  for (const char* data_centre : {"a", "b", "c"})
    fixture.AddServers({forwarding_fixture::MakeServer(service + "-" + data_centre, service, data_centre)});
  // The budget of repeated sends grows with the requests.
  for (int i = 0; i < 200; ++i)
    CountRequest(fixture.tables, base::service_id(service), fixture.now);
}

forwarding_fixture PlainFixture(repeat_policy repeat) {
  forwarding_fixture fixture;
  fixture.SetRoute(forwarding_fixture::MakeRoute(repeat));
  AddServersOf(fixture, "single");
  return fixture;
}

/// Checks the only answer: it has the status, and unless the request was served, nothing of a backend server's answer.
void CheckReply(forwarding_fixture& fixture, int status) {
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 1);
  const answer& reply = replies[0].answer;
  CHECK(reply.status == status);
  CHECK(reply.executed != executed_state::kNo);
  if (status == 200) return;
  CHECK(reply.failure.has_value());
  CHECK(reply.signatures.empty());
  CHECK(reply.headers.empty());
  CHECK(reply.body.empty());
  CHECK_FALSE(reply.retry_after.has_value());
}

// Guards against a caller that sends a request again because a server answered it 503 after it had executed it. The
// status promises the caller that the request was not executed.
TEST_CASE("a server's own status does not promise that a request was not executed") {
  struct row {
    repeat_policy repeat;
    std::vector<call_end> ends;
    int status;
  };
  const auto once = repeat_policy::kAtMostOnce;
  const auto idempotent = repeat_policy::kIdempotent;
  const auto r = GENERATE_COPY(values<row>({
      {once, {call_end::kFails}, 502},
      {once, {call_end::kRefuses, call_end::kFails}, 502},
      {once, {call_end::kNotReached, call_end::kFails}, 502},
      {idempotent, {call_end::kFails, call_end::kServes}, 200},
      {idempotent, {call_end::kFails, call_end::kFails}, 502},
      {idempotent, {call_end::kFails, call_end::kRefuses}, 502},
      {idempotent, {call_end::kRefuses, call_end::kFails}, 502},
      {idempotent, {call_end::kLost, call_end::kFails}, 502},
  }));
  const int status = GENERATE(408, 421, 429, 503);
  INFO("status " << status << ", calls " << r.ends.size());
  forwarding_fixture fixture = PlainFixture(r.repeat);
  fixture.Send();
  for (const call_end end : r.ends) {
    const auto calls = fixture.TakeCalls();
    REQUIRE(calls.size() == 1);
    fixture.End(calls[0], ResultOf(end, status));
  }
  CHECK(fixture.TakeCalls().empty());
  CheckReply(fixture, r.status);
}

// Guards against the same promise if the status comes with the answer of a hedge, or while one runs.
TEST_CASE("a hedge's own status does not promise that a request was not executed") {
  const int status = GENERATE(408, 421, 429, 503);
  const bool hedge_ends_first = GENERATE(false, true);
  const call_end other = GENERATE(call_end::kServes, call_end::kRefuses, call_end::kFails);
  INFO("status " << status << ", hedge ends first: " << hedge_ends_first);
  forwarding_fixture fixture = PlainFixture(repeat_policy::kIdempotent);
  fixture.Send();
  std::vector<io::start_call> calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 1);
  fixture.Run(milliseconds(400));
  for (io::start_call& hedge : fixture.TakeCalls())
    calls.push_back(std::move(hedge));
  REQUIRE(calls.size() == 2);
  fixture.End(calls[hedge_ends_first ? 1 : 0], Failing(status));
  REQUIRE(fixture.TakeReplies().empty());
  fixture.End(calls[hedge_ends_first ? 0 : 1], ResultOf(other, status));
  CheckReply(fixture, other == call_end::kServes ? 200 : 502);
}

// Guards against parts of a sharded request whose servers have executed it, below the coverage of the route.
TEST_CASE("a sharded request whose servers failed is not answered as not executed") {
  const int status = GENERATE(408, 421, 429, 503);
  INFO("status " << status);
  forwarding_fixture fixture;
  fixture.SetRoute(forwarding_fixture::MakeRoute(repeat_policy::kIdempotent, 2));
  AddServersOf(fixture, "shard0");
  AddServersOf(fixture, "shard1");
  fixture.Send();
  std::size_t ended = 0;
  for (auto calls = fixture.TakeCalls(); !calls.empty(); calls = fixture.TakeCalls()) {
    for (const io::start_call& call : calls) {
      fixture.End(call, Failing(status));
      ++ended;
    }
    REQUIRE(ended < 10);
  }
  CheckReply(fixture, 502);
}

/// Two instances that know each other. The first one has lost its links to the servers.
std::vector<forwarding_fixture> MakePair(repeat_policy repeat) {
  std::vector<forwarding_fixture> pair(2);
  for (std::size_t i = 0; i < pair.size(); ++i) {
    JoinFleet(pair[i], i, pair.size());
    pair[i].SetRoute(forwarding_fixture::MakeRoute(repeat));
    AddServersOf(pair[i], "single");
  }
  instance::context ctx = pair[0].Context();
  pair[0].tables.contact.unanswering = {base::backend_server_id("single-a"), base::backend_server_id("single-b")};
  RunContact(pair[0].tables, ctx);
  for (const auto& probe : pair[0].Take<io::probe_server>())
    HandleProbeEnded(pair[0].tables, ctx, {probe.probe, false});
  REQUIRE(IsCutOff(pair[0].tables));
  return pair;
}

// Guards against the same promise in an answer that another instance passes back. One of an earlier build passes the
// server's answer back as it is.
TEST_CASE("a status that another instance passes back does not promise that a request was not executed") {
  const int status = GENERATE(408, 421, 429, 503);
  const auto repeat = GENERATE(repeat_policy::kAtMostOnce, repeat_policy::kIdempotent);
  const bool earlier_build = GENERATE(false, true);
  INFO("status " << status << ", earlier build: " << earlier_build);
  std::vector<forwarding_fixture> pair = MakePair(repeat);
  pair[0].Send();
  const auto sent = pair[0].Take<io::send_peer>();
  REQUIRE(sent.size() == 1);
  const auto& request = std::get<peer::relay_request>(sent[0].message.body);
  peer::message_header header;
  header.sender = pair[1].members.self.ref;
  peer::relay_answer passed_back;
  if (earlier_build) {
    passed_back.origin = pair[0].members.self.ref;
    passed_back.token = request.token;
    passed_back.attempts = 1;
    passed_back.answer.status = status;
    passed_back.answer.executed = executed_state::kYes;
    passed_back.answer.signatures = {"s"};
  } else {
    instance::context ctx = pair[1].Context();
    HandleRelayRequest(pair[1].tables, ctx, sent[0].message.header, request);
    std::size_t ended = 0;
    for (auto calls = pair[1].TakeCalls(); !calls.empty(); calls = pair[1].TakeCalls()) {
      REQUIRE(++ended < 10);
      pair[1].End(calls[0], Failing(status));
    }
    const auto answered = pair[1].Take<io::send_peer>();
    REQUIRE(answered.size() == 1);
    passed_back = std::get<peer::relay_answer>(answered[0].message.body);
  }
  instance::context ctx = pair[0].Context();
  HandleRelayAnswer(pair[0].tables, ctx, header, passed_back);
  CheckReply(pair[0], 502);
}

// Guards against a server that is preferred because it answers quickly, although callers get none of its answers.
TEST_CASE("a server whose answers promise that they were not executed counts as failing") {
  const int status = GENERATE(408, 421, 429, 503);
  INFO("status " << status);
  forwarding_fixture fixture = PlainFixture(repeat_policy::kAtMostOnce);
  std::size_t failures = 0;
  while (failures < 50) {
    fixture.Send();
    const auto calls = fixture.TakeCalls();
    if (calls.size() != 1) break;
    fixture.End(calls[0], Failing(status));
    ++failures;
  }
  CHECK(failures < 50);
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
