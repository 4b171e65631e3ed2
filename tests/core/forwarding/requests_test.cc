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

void AddThreeServers(forwarding_world& world, const std::string& service) {
  world.AddServers({forwarding_world::MakeServer(service + "-x", service, "a"),
                    forwarding_world::MakeServer(service + "-y", service, "b"),
                    forwarding_world::MakeServer(service + "-z", service, "c")});
}

forwarding_world PlainWorld(repeat_policy repeat) {
  forwarding_world world;
  world.SetRoute(forwarding_world::MakeRoute(repeat));
  AddThreeServers(world, "single");
  return world;
}

forwarding_world ShardedWorld(std::size_t shards) {
  forwarding_world world;
  world.SetRoute(forwarding_world::MakeRoute(repeat_policy::kIdempotent, shards));
  for (std::size_t i = 0; i < shards; ++i)
    AddThreeServers(world, "shard" + std::to_string(i));
  return world;
}

// Guards against a request that must not repeat running twice, and against a promise "has not run" for one that may
// have run: only an attempt that certainly did not run permits another one or a 503.
TEST_CASE("a request that must not repeat is sent again only if it has not run") {
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
  forwarding_world world = PlainWorld(repeat_policy::kAtMostOnce);
  world.Send();
  std::vector<io::start_call> calls = world.TakeCalls();
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].new_connection);
  std::size_t sent = 1;
  while (!calls.empty()) {
    world.End(calls[0], forwarding_world::Failed(r.kind, r.executed));
    calls = world.TakeCalls();
    sent += calls.size();
    REQUIRE(sent < 10);
  }
  CHECK((sent > 1) == r.sent_again);
  const auto replies = world.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == r.final_status);
  CHECK((replies[0].answer.executed == executed_state::kNo) == (r.final_status == 503));
}

// Guards against a second run of a request that must not repeat while its first call is silent.
TEST_CASE("a request that must not repeat is never hedged and its call outlives its caller") {
  forwarding_world world = PlainWorld(repeat_policy::kAtMostOnce);
  const base::reply_handle handle = world.Send();
  REQUIRE(world.TakeCalls().size() == 1);
  world.Run(seconds(1));
  CHECK(world.TakeCalls().empty());
  instance::context ctx = world.Context();
  AbandonRequest(world.tables, ctx, handle);
  world.Run(milliseconds(600));
  CHECK(world.Take<io::cancel_call>().empty());
}

// Guards against calls that work on for a caller that is gone.
TEST_CASE("calls of an idempotent request end soon after its caller has gone") {
  forwarding_world world = PlainWorld(repeat_policy::kIdempotent);
  const base::reply_handle handle = world.Send();
  REQUIRE(world.TakeCalls().size() == 1);
  instance::context ctx = world.Context();
  AbandonRequest(world.tables, ctx, handle);
  world.Run(milliseconds(400));
  CHECK(world.Take<io::cancel_call>().size() == 1);
  CHECK(world.TakeReplies().empty());
}

// Guards against more backend servers for one request than its route allows.
TEST_CASE("a request is sent to no more servers than its route allows") {
  forwarding_world world = PlainWorld(repeat_policy::kIdempotent);
  for (int i = 0; i < 100; ++i)
    CountRequest(world.tables, base::service_id("single"), world.now);
  world.Send();
  std::set<std::string> servers;
  for (std::vector<io::start_call> calls = world.TakeCalls(); !calls.empty(); calls = world.TakeCalls()) {
    REQUIRE(servers.insert(calls[0].server.value).second);
    world.End(calls[0], forwarding_world::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  }
  CHECK(servers.size() == 2);
  CHECK(world.TakeReplies().at(0).answer.status == 502);
}

// Guards against a caller that waits for a paused server while others are free.
TEST_CASE("a call that takes unusually long is hedged at another server, and the first answer counts") {
  forwarding_world world = PlainWorld(repeat_policy::kIdempotent);
  for (int i = 0; i < 100; ++i)
    CountRequest(world.tables, base::service_id("single"), world.now);
  world.Send();
  const auto first = world.TakeCalls();
  world.Run(milliseconds(150));
  const auto hedges = world.TakeCalls();
  REQUIRE(hedges.size() == 1);
  CHECK(hedges[0].server != first.at(0).server);
  world.End(hedges[0], forwarding_world::Served("fast"));
  auto replies = world.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.body == "fast");
  world.End(first[0], forwarding_world::Served("slow"));
  CHECK(world.TakeReplies().empty());
}

// Guards against repeated sends beyond the fleet's budget when every call fails: a storm of retries.
TEST_CASE("repeated sends keep within the budget of the fleet") {
  forwarding_world world = PlainWorld(repeat_policy::kIdempotent);
  world.tables.bounds.retry_allowance = 20;
  world.tables.fleet_size = 4;
  std::size_t requests = 0;
  std::size_t sends = 0;
  for (int i = 0; i < 400; ++i) {
    world.Send();
    ++requests;
    for (auto calls = world.TakeCalls(); !calls.empty(); calls = world.TakeCalls()) {
      ++sends;
      world.End(calls[0], forwarding_world::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
      // Servers that fail are not ejected here, so that only the budget bounds the sends.
      for (auto& [id, each] : world.tables.servers.servers)
        each.ejected_until = {};
    }
    world.Run(milliseconds(5));
  }
  CHECK(sends >= requests);
  CHECK(static_cast<double>(sends - requests) <= 0.2 * static_cast<double>(requests) + 20.0 / 4);
}

// Guards against a sharded answer that is late for one slow shard, or that hides what is missing.
TEST_CASE("a sharded request answers with what is in shortly before its target") {
  forwarding_world world = ShardedWorld(4);
  world.Send();
  auto calls = world.TakeCalls();
  REQUIRE(calls.size() == 4);
  for (std::size_t i = 0; i < 3; ++i)
    world.End(calls[i], forwarding_world::Served("000" + std::to_string(i)));
  CHECK(world.TakeReplies().empty());
  const base::time_point start = world.now;
  while (world.now - start < milliseconds(200) && world.tables.requests.size() == 1)
    world.Run(milliseconds(5));
  const auto replies = world.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(world.now - start < milliseconds(200));
  CHECK(world.now - start > milliseconds(150));
  CHECK(replies[0].answer.missing_parts == 1);
  CHECK(replies[0].answer.signatures.size() == 3);
  CHECK(replies[0].answer.body == "000200010000");
}

// Guards against an answer with less than the route's coverage, and against callers that wait for one that cannot come.
TEST_CASE("a sharded request whose coverage cannot be reached ends at once") {
  forwarding_world world = ShardedWorld(4);
  world.tables.bounds.retry_ratio = 0;
  world.Send();
  auto calls = world.TakeCalls();
  for (std::size_t i = 0; i < 2; ++i)
    world.End(calls[i], forwarding_world::Failed(error_kind::kConnectionLost, executed_state::kUnknown));
  const auto replies = world.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == 502);
  CHECK(world.tables.requests.empty());
}

// Guards against work for a request that is refused: without servers for enough shards nothing is sent.
TEST_CASE("a sharded request without servers for its coverage is refused before anything is sent") {
  forwarding_world world;
  world.SetRoute(forwarding_world::MakeRoute(repeat_policy::kIdempotent, 4));
  AddThreeServers(world, "shard0");
  AddThreeServers(world, "shard1");
  world.Send();
  CHECK(world.TakeCalls().empty());
  const auto replies = world.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.status == 503);
  CHECK(replies[0].answer.retry_after.has_value());
}

// Guards against a part of another version of the configuration in one answer.
TEST_CASE("a request keeps the version that it began with") {
  forwarding_world world = ShardedWorld(4);
  world.Send();
  const auto calls = world.TakeCalls();
  world.SetRoute(forwarding_world::MakeRoute(repeat_policy::kIdempotent, 2));
  for (const io::start_call& call : calls)
    world.End(call, forwarding_world::Served("0000"));
  const auto replies = world.TakeReplies();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].answer.signatures.size() == 4);
}

// Guards against a 404 of an instance that knows no configuration yet, which callers take as final.
TEST_CASE("requests without a route are refused by what is known") {
  forwarding_world world;
  world.Send();
  CHECK(world.TakeReplies().at(0).answer.status == 503);
  route other = forwarding_world::MakeRoute(repeat_policy::kIdempotent);
  other.prefix = "/other/";
  world.SetRoute(other);
  world.Send();
  CHECK(world.TakeReplies().at(0).answer.status == 404);
}

// Guards against callers that are kept waiting beyond the operators' limit.
TEST_CASE("a request ends at the earlier of its own deadline and the route's timeout") {
  struct row {
    std::optional<base::duration> client_timeout;
    base::duration expected;
  };
  const auto r =
      GENERATE(values<row>({{milliseconds(500), milliseconds(500)}, {seconds(9), seconds(2)}, {{}, seconds(2)}}));
  forwarding_world world = PlainWorld(repeat_policy::kAtMostOnce);
  const base::time_point start = world.now;
  world.Send(r.client_timeout);
  CHECK(world.TakeCalls().at(0).deadline - start == r.expected);
  while (world.TakeReplies().empty() && world.now - start < seconds(10))
    world.Run(milliseconds(5));
  CHECK(world.now - start >= r.expected);
  CHECK(world.now - start <= r.expected + milliseconds(10));
}

// Guards against deep queues at the servers that are left when two of three of a shard have gone (Bureau, high load):
// what does not fit waits here, and the answer states its coverage in time.
TEST_CASE("a server with twice its slots of work gets no more") {
  forwarding_world world = ShardedWorld(4);
  world.tables.servers.servers.erase(base::backend_server_id("shard0-y"));
  world.tables.servers.servers.erase(base::backend_server_id("shard0-z"));
  std::erase_if(world.tables.servers.by_service[base::service_id("shard0")],
                [](const base::backend_server_id& id) { return id.value != "shard0-x"; });
  std::size_t at_last_server = 0;
  for (int i = 0; i < 10; ++i) {
    world.Send();
    for (const io::start_call& call : world.TakeCalls()) {
      if (call.server.value == "shard0-x") {
        ++at_last_server;
      } else {
        world.End(call, forwarding_world::Served("0000"));
      }
    }
  }
  CHECK(at_last_server <= 4);
  world.Run(milliseconds(200));
  const auto replies = world.TakeReplies();
  REQUIRE(replies.size() == 10);
  for (const io::reply_forwarded& reply : replies) {
    CHECK(reply.answer.status == 200);
    CHECK(reply.answer.missing_parts == 1);
  }
}

// Guards against a status that promises "has not run" for a request that may have run, and against 4xx of our own for
// requests that are proper.
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

// Guards against records that are lost, doubled or out of order in a merged answer.
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

}  // namespace
}  // namespace limpetrouter::core::forwarding
