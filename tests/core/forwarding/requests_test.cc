#include "core/forwarding/requests.h"

#include <set>

#include <catch2/catch.hpp>

#include "core/forwarding/answers.h"
#include "core/forwarding/retry_budget.h"
#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {
namespace {

using base::error_kind;
using base::executed_state;

void AddThreeServers(forwarding_fixture& fixture, const std::string& service) {
  fixture.AddServers({forwarding_fixture::MakeServer(service + "-x", service, "a"),
                      forwarding_fixture::MakeServer(service + "-y", service, "b"),
                      forwarding_fixture::MakeServer(service + "-z", service, "c")});
}

forwarding_fixture PlainFixture(repeat_policy repeat) {
  forwarding_fixture fixture;
  fixture.SetRoute(forwarding_fixture::MakeRoute(repeat));
  AddThreeServers(fixture, "single");
  return fixture;
}

forwarding_fixture ShardedFixture(std::size_t shards) {
  forwarding_fixture fixture;
  fixture.SetRoute(forwarding_fixture::MakeRoute(repeat_policy::kIdempotent, shards));
  for (std::size_t i = 0; i < shards; ++i)
    AddThreeServers(fixture, "shard" + std::to_string(i));
  return fixture;
}

// Guards against a request that must not be repeated and is executed twice, and against the promise "not executed" for
// one that may have been executed: only an attempt that was certainly not executed permits a retry or a 503.
TEST_CASE("a request that must not be repeated is sent again only if it was not executed") {
  struct row {
    error_kind kind;
    executed_state executed;
    bool sent_again;
    int final_status;
  };
  const auto r = GENERATE(values<row>({
      {error_kind::kBackendShed, executed_state::kNo, true, 503},
      {error_kind::kConnectFailed, executed_state::kNo, true, 503},
      {error_kind::kBackendReplaced, executed_state::kNo, true, 503},
      {error_kind::kConnectionLost, executed_state::kUnknown, false, 502},
      {error_kind::kAnswerTruncated, executed_state::kUnknown, false, 502},
      {error_kind::kAnswerMismatched, executed_state::kUnknown, false, 502},
      {error_kind::kDeadlineExceeded, executed_state::kUnknown, false, 504},
  }));
  INFO(ToString(r.kind));
  forwarding_fixture fixture = PlainFixture(repeat_policy::kAtMostOnce);
  fixture.Send();
  std::vector<io::start_call> calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].new_connection);
  std::size_t sent = 1;
  while (!calls.empty()) {
    fixture.End(calls[0], forwarding_fixture::Failed(r.kind, r.executed));
    calls = fixture.TakeCalls();
    sent += calls.size();
    REQUIRE(sent < 10);
  }
  CHECK((sent > 1) == r.sent_again);
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == r.final_status);
  CHECK((replies[0].answer.executed == executed_state::kNo) == (r.final_status == 503));
}

// Guards against a second execution of a request that must not be repeated while its first call gets no answer.
TEST_CASE("a request that must not be repeated is never hedged, and its call outlives its caller") {
  forwarding_fixture fixture = PlainFixture(repeat_policy::kAtMostOnce);
  const base::reply_handle handle = fixture.Send();
  REQUIRE(fixture.TakeCalls().size() == 1);
  fixture.Run(seconds(1));
  CHECK(fixture.TakeCalls().empty());
  instance::context ctx = fixture.Context();
  AbandonRequest(fixture.tables, ctx, handle);
  fixture.Run(milliseconds(600));
  CHECK(fixture.Take<io::cancel_call>().empty());
}

// Guards against calls that continue for a caller that has disconnected.
TEST_CASE("calls of an idempotent request are cancelled soon after its caller has disconnected") {
  forwarding_fixture fixture = PlainFixture(repeat_policy::kIdempotent);
  const base::reply_handle handle = fixture.Send();
  REQUIRE(fixture.TakeCalls().size() == 1);
  instance::context ctx = fixture.Context();
  AbandonRequest(fixture.tables, ctx, handle);
  fixture.Run(milliseconds(400));
  CHECK(fixture.Take<io::cancel_call>().size() == 1);
  CHECK(fixture.TakeReplies().empty());
}

// Guards against a request that is sent to more backend servers than its route allows.
TEST_CASE("a request is sent to no more servers than its route allows") {
  forwarding_fixture fixture = PlainFixture(repeat_policy::kIdempotent);
  for (int i = 0; i < 100; ++i)
    CountRequest(fixture.tables, base::service_id("single"), fixture.now);
  fixture.Send();
  std::set<std::string> servers;
  for (std::vector<io::start_call> calls = fixture.TakeCalls(); !calls.empty(); calls = fixture.TakeCalls()) {
    REQUIRE(servers.insert(calls[0].server.value).second);
    fixture.End(calls[0], forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  }
  CHECK(servers.size() == 2);
  CHECK(fixture.TakeReplies().at(0).answer.status == 502);
}

// Guards against a caller that waits for a paused server while others are free.
TEST_CASE("a call that takes unusually long is hedged at another server, and the first answer counts") {
  forwarding_fixture fixture = PlainFixture(repeat_policy::kIdempotent);
  for (int i = 0; i < 100; ++i)
    CountRequest(fixture.tables, base::service_id("single"), fixture.now);
  fixture.Send();
  const auto first = fixture.TakeCalls();
  fixture.Run(milliseconds(150));
  const auto hedges = fixture.TakeCalls();
  REQUIRE(hedges.size() == 1);
  CHECK(hedges[0].server != first.at(0).server);
  fixture.End(hedges[0], forwarding_fixture::Served("fast"));
  auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.body == "fast");
  fixture.End(first[0], forwarding_fixture::Served("slow"));
  CHECK(fixture.TakeReplies().empty());
}

// Guards against a retry storm: repeated sends beyond the fleet's budget when every call fails.
TEST_CASE("repeated sends stay within the budget of the fleet") {
  forwarding_fixture fixture = PlainFixture(repeat_policy::kIdempotent);
  fixture.tables.bounds.retry_allowance = 20;
  fixture.tables.fleet_size = 4;
  std::size_t requests = 0;
  std::size_t sends = 0;
  for (int i = 0; i < 400; ++i) {
    fixture.Send();
    ++requests;
    for (auto calls = fixture.TakeCalls(); !calls.empty(); calls = fixture.TakeCalls()) {
      ++sends;
      fixture.End(calls[0], forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
      // Ejections are reset, so that only the budget bounds the number of sends.
      for (auto& [id, each] : fixture.tables.servers.servers)
        each.ejected_until = {};
    }
    fixture.Run(milliseconds(5));
  }
  CHECK(sends >= requests);
  CHECK(static_cast<double>(sends - requests) <= 0.2 * static_cast<double>(requests) + 20.0 / 4);
}

// Guards against a sharded answer that is late because of one slow shard, or that hides its missing parts.
TEST_CASE("a sharded request is answered with the received parts shortly before its target time") {
  forwarding_fixture fixture = ShardedFixture(4);
  fixture.Send();
  auto calls = fixture.TakeCalls();
  REQUIRE(calls.size() == 4);
  for (std::size_t i = 0; i < 3; ++i)
    fixture.End(calls[i], forwarding_fixture::Served("000" + std::to_string(i)));
  CHECK(fixture.TakeReplies().empty());
  const base::time_point start = fixture.now;
  while (fixture.now - start < milliseconds(200) && fixture.tables.requests.size() == 1)
    fixture.Run(milliseconds(5));
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(fixture.now - start < milliseconds(200));
  CHECK(fixture.now - start > milliseconds(150));
  CHECK(replies[0].answer.missing_parts == 1);
  CHECK(replies[0].answer.signatures.size() == 3);
  CHECK(replies[0].answer.body == "000200010000");
}

// Guards against an answer below the route's coverage, and against callers that wait for a coverage that cannot be
// reached.
TEST_CASE("a sharded request whose coverage cannot be reached ends at once") {
  forwarding_fixture fixture = ShardedFixture(4);
  fixture.tables.bounds.retry_ratio = 0;
  fixture.Send();
  auto calls = fixture.TakeCalls();
  for (std::size_t i = 0; i < 2; ++i)
    fixture.End(calls[i], forwarding_fixture::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == 502);
  CHECK(fixture.tables.requests.empty());
}

// Guards against calls for a request that is refused anyway: without servers for enough shards nothing is sent.
TEST_CASE("a sharded request without servers for its coverage is refused before anything is sent") {
  forwarding_fixture fixture;
  fixture.SetRoute(forwarding_fixture::MakeRoute(repeat_policy::kIdempotent, 4));
  AddThreeServers(fixture, "shard0");
  AddThreeServers(fixture, "shard1");
  fixture.Send();
  CHECK(fixture.TakeCalls().empty());
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == 503);
  CHECK(replies[0].answer.retry_after.has_value());
}

// Guards against an answer that mixes parts of two versions of the configuration.
TEST_CASE("a request keeps the configuration version that it began with") {
  forwarding_fixture fixture = ShardedFixture(4);
  fixture.Send();
  const auto calls = fixture.TakeCalls();
  fixture.SetRoute(forwarding_fixture::MakeRoute(repeat_policy::kIdempotent, 2));
  for (const io::start_call& call : calls)
    fixture.End(call, forwarding_fixture::Served("0000"));
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.signatures.size() == 4);
}

// Guards against a 404 from an instance that has no configuration yet, because callers treat a 404 as final.
TEST_CASE("a request without a route gets 503 before a configuration is known and 404 afterwards") {
  forwarding_fixture fixture;
  fixture.Send();
  CHECK(fixture.TakeReplies().at(0).answer.status == 503);
  route other = forwarding_fixture::MakeRoute(repeat_policy::kIdempotent);
  other.prefix = "/other/";
  fixture.SetRoute(other);
  fixture.Send();
  CHECK(fixture.TakeReplies().at(0).answer.status == 404);
}

// Guards against callers that are kept waiting beyond the operators' limit.
TEST_CASE("a request ends at the earlier of its own deadline and the route's timeout") {
  struct row {
    std::optional<base::duration> client_timeout;
    base::duration expected;
  };
  const auto r =
      GENERATE(values<row>({{milliseconds(500), milliseconds(500)}, {seconds(9), seconds(2)}, {{}, seconds(2)}}));
  forwarding_fixture fixture = PlainFixture(repeat_policy::kAtMostOnce);
  const base::time_point start = fixture.now;
  fixture.Send(r.client_timeout);
  CHECK(fixture.TakeCalls().at(0).deadline - start == r.expected);
  while (fixture.TakeReplies().empty() && fixture.now - start < seconds(10))
    fixture.Run(milliseconds(5));
  CHECK(fixture.now - start >= r.expected);
  CHECK(fixture.now - start <= r.expected + milliseconds(10));
}

// Guards against long queues at the remaining server of a shard that has lost two of its three servers, as was seen at
// the Bureau under high load. Excess calls wait on the instance, and the answer states its coverage in time.
TEST_CASE("a server whose work is twice its slots gets no more calls") {
  forwarding_fixture fixture = ShardedFixture(4);
  fixture.tables.servers.servers.erase(base::backend_server_id("shard0-y"));
  fixture.tables.servers.servers.erase(base::backend_server_id("shard0-z"));
  std::erase_if(fixture.tables.servers.by_service[base::service_id("shard0")],
                [](const base::backend_server_id& id) { return id.value != "shard0-x"; });
  std::size_t at_last_server = 0;
  for (int i = 0; i < 10; ++i) {
    fixture.Send();
    for (const io::start_call& call : fixture.TakeCalls()) {
      if (call.server.value == "shard0-x") {
        ++at_last_server;
      } else {
        fixture.End(call, forwarding_fixture::Served("0000"));
      }
    }
  }
  CHECK(at_last_server <= 4);
  fixture.Run(milliseconds(200));
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 10);
  for (const io::reply_forwarded& reply : replies) {
    CHECK(reply.answer.status == 200);
    CHECK(reply.answer.missing_parts == 1);
  }
}

// Guards against a status that promises "not executed" for a request that may have been executed, and against a 4xx of
// this instance for a valid request.
TEST_CASE("the status of a failure promises only what is known") {
  for (std::size_t i = 0; i < base::kErrorKindCount; ++i) {
    const auto kind = static_cast<error_kind>(i);
    INFO(ToString(kind));
    for (const executed_state executed : {executed_state::kYes, executed_state::kUnknown}) {
      const int status = StatusOfFailure(kind, executed);
      CHECK((status == 502 || status == 504));
    }
    const int status = StatusOfFailure(kind, executed_state::kNo);
    CHECK((status == 503 || status == 400 || status == 404 || status == 413));
  }
}

// Guards against records that are lost, duplicated or out of order in a merged answer.
TEST_CASE("merging takes the greatest records of all parts") {
  struct row {
    std::vector<std::string_view> parts;
    std::size_t count;
    std::string merged;
  };
  const auto r = GENERATE(values<row>({
      {{"aabb", "ccdd"}, 3, "ddccbb"},
      {{"aa", "aa"}, 3, "aaaa"},
      {{"aab", ""}, 3, "aa"},
      {{"\xff\x01", "\x7f\x02"}, 2, "\xff\x01\x7f\x02"},
      {{}, 3, ""},
      {{"aabb"}, 0, ""},
  }));
  CHECK(MergeRecords(r.parts, r.count, 2) == r.merged);
}

// Guards against requests that a leaving instance takes shortly before its end and cuts off without an answer.
TEST_CASE("a leaving instance refuses requests that it cannot finish, and the others are taken") {
  struct row {
    milliseconds time_left;
    bool taken;
  };
  const auto r =
      GENERATE(values<row>({{milliseconds(1'000), true}, {milliseconds(150), false}, {milliseconds(0), false}}));
  const auto repeat = GENERATE(repeat_policy::kIdempotent, repeat_policy::kAtMostOnce);
  INFO("time left " << r.time_left.count() << " ms");
  forwarding_fixture fixture = PlainFixture(repeat);
  fixture.tables.stops_at = fixture.now + r.time_left;
  fixture.Send();
  CHECK(fixture.TakeCalls().size() == (r.taken ? 1 : 0));
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == (r.taken ? 0 : 1));
  if (r.taken) return;
  CHECK(replies[0].answer.status == 503);
  CHECK(replies[0].answer.executed == executed_state::kNo);
  CHECK(replies[0].answer.failure->kind == error_kind::kInstanceLeaving);
}

// Guards against callers whose connection ends without an answer when the process ends, and against the promise that a
// request was not executed which a server may still execute.
TEST_CASE("an instance that ends answers all its requests") {
  enum class request_state { kCalled, kNotCalled, kCovered };
  struct row {
    request_state state;
    repeat_policy repeat;
    int status;
  };
  const auto r = GENERATE(values<row>({{request_state::kCalled, repeat_policy::kAtMostOnce, 502},
                                       {request_state::kCalled, repeat_policy::kIdempotent, 502},
                                       {request_state::kNotCalled, repeat_policy::kAtMostOnce, 503},
                                       {request_state::kCovered, repeat_policy::kIdempotent, 200}}));
  INFO("status " << r.status);
  forwarding_fixture fixture = r.state == request_state::kCovered ? ShardedFixture(4) : PlainFixture(r.repeat);
  if (r.state == request_state::kNotCalled) {
    for (auto& [id, each] : fixture.tables.servers.servers) {
      each.other_work = 100;
      each.load_at = fixture.now;
    }
  }
  fixture.Send();
  const auto calls = fixture.TakeCalls();
  REQUIRE(calls.empty() == (r.state == request_state::kNotCalled));
  if (r.state == request_state::kCovered) {
    for (std::size_t i = 0; i < 3; ++i)
      fixture.End(calls[i], forwarding_fixture::Served("aaaa"));
  }
  REQUIRE(fixture.TakeReplies().empty());
  instance::context ctx = fixture.Context();
  StopRequests(fixture.tables, ctx);
  const auto replies = fixture.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == r.status);
  CHECK((replies[0].answer.executed == executed_state::kNo) == (r.status == 503));
  CHECK(fixture.tables.requests.empty());
}

}  // namespace
}  // namespace limpetrouter::core::forwarding
