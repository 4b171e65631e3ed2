#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/forwarding/cold_rules.h"
#include "core/forwarding/forwarding.h"
#include "core/forwarding/publication_spread.h"
#include "core/forwarding/requests.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Holds one instance's forwarding tables on a virtual clock, with a route and backend servers that the test sets.
struct forwarding_fixture {
  forwarding_tables tables;
  membership::member_table members;
  membership::placement placement;
  membership::fact_table facts;
  base::random_source random{7};
  base::time_point now{seconds(1'000)};
  io::command_list out;
  std::uint64_t next_handle = 1;
  std::uint64_t revision = 1;

  forwarding_fixture() {
    tables.enabled = true;
    members.self.ref.id = base::instance_id("10.0.0.1");
    members.self.data_centre = base::data_centre_id("a");
    members.self.http_address = "10.0.0.1:80";
  }

  instance::context Context() { return {now, nullptr, members, placement, facts, random, out}; }

  /// Returns a plain route to service "single", or a sharded one over "shard0", "shard1", ... if `shards` is not 0.
  static route MakeRoute(repeat_policy repeat, std::size_t shards = 0) {
    route result;
    result.name = "r";
    result.host = "h";
    result.prefix = "/p/";
    result.repeat = repeat;
    result.timeout = seconds(2);
    result.target_latency = milliseconds(200);
    result.max_attempts = 2;
    result.merged_records = 3;
    result.record_bytes = 4;
    result.minimum_coverage = 0.75;
    for (std::size_t i = 0; i < shards; ++i)
      result.shards.emplace_back("shard" + std::to_string(i));
    if (shards == 0) result.split.push_back({base::service_id("single"), 1});
    return result;
  }

  void SetRoute(route result) {
    auto table = std::make_shared<routing_table>();
    table->version = tables.routing == nullptr ? 1 : tables.routing->version + 1;
    table->routes.push_back(std::move(result));
    tables.routing = table;
  }

  static server_record MakeServer(const std::string& id, const std::string& service, const std::string& data_centre) {
    server_record record;
    record.id = base::backend_server_id(id);
    record.service = base::service_id(service);
    record.address = "10.1.0.1:" + std::to_string(1'000 + id.size() * 100 + static_cast<unsigned char>(id.back()));
    record.data_centre = base::data_centre_id(data_centre);
    record.slots = 2;
    return record;
  }

  void AddServers(std::vector<server_record> records) {
    published_changes changes;
    changes.position.revision = revision;
    for (server_record& record : records) {
      record.revision = ++revision;
      changes.servers.push_back(std::move(record));
    }
    changes.position.revision = revision;
    ApplyRecords(tables.servers, changes, now);
  }

  /// Sends a request. Requests differ from each other unless `query` is given.
  base::reply_handle Send(std::optional<base::duration> client_timeout = {}, const std::string& query = "") {
    auto content = std::make_shared<request>();
    content->method = "GET";
    content->target = "/p/x?" + (query.empty() ? std::to_string(next_handle) : query);
    content->path = "/p/x";
    content->host = "h";
    content->attempt = "attempt" + std::to_string(next_handle);
    content->client_timeout = client_timeout;
    content->received = now;
    const base::reply_handle handle(next_handle++);
    instance::context ctx = Context();
    AcceptRequest(tables, ctx, {handle, content});
    return handle;
  }

  void End(const io::start_call& call, call_result result) {
    instance::context ctx = Context();
    HandleCallEnded(tables, ctx, {call.call, std::move(result)});
  }
  static call_result Served(std::string body = "") {
    call_result result;
    result.executed = base::executed_state::kYes;
    result.status = 200;
    result.signature = "s";
    result.body = std::move(body);
    return result;
  }
  static call_result Failed(base::error_kind kind, base::executed_state executed) {
    call_result result;
    result.failure = kind;
    result.executed = executed;
    return result;
  }

  void Run(base::duration time) {
    const base::time_point end = now + time;
    while (now < end) {
      now += milliseconds(5);
      instance::context ctx = Context();
      RunRequests(tables, ctx);
    }
  }

  /// Removes and returns the commands of one type that were issued since the last call, in their order.
  template <class Command>
  std::vector<Command> Take() {
    std::vector<Command> taken;
    std::erase_if(out, [&taken](io::command& command) {
      auto* const found = std::get_if<Command>(&command);
      if (found == nullptr) return false;
      taken.push_back(std::move(*found));
      return true;
    });
    return taken;
  }
  std::vector<io::start_call> TakeCalls() { return Take<io::start_call>(); }
  std::vector<io::reply_forwarded> TakeReplies() { return Take<io::reply_forwarded>(); }
};

/// Id of the i-th instance of a simulated fleet.
inline base::instance_id FleetInstanceId(std::size_t i) { return base::instance_id("10.0.0." + std::to_string(i)); }

/// Makes the fixture instance `self` of `count` that know each other and share a data centre. The first two are the
/// largest, so that they read the platform.
inline void JoinFleet(forwarding_fixture& fixture, std::size_t self, std::size_t count) {
  constexpr std::uint32_t kLargest = 1'000;
  fixture.members.self.ref = {FleetInstanceId(self), base::incarnation_id(1)};
  fixture.members.self.capacity = kLargest - static_cast<std::uint32_t>(self);
  for (std::size_t i = 0; i < count; ++i) {
    if (i == self) continue;
    membership::member& entry = fixture.members.members[FleetInstanceId(i)];
    entry.info.member = {FleetInstanceId(i), base::incarnation_id(1)};
    entry.info.data_centre = fixture.members.self.data_centre;
    entry.info.peer_address = "p" + std::to_string(i);
    entry.info.state = peer::member_state::kAlive;
    entry.info.capacity = kLargest - static_cast<std::uint32_t>(i);
  }
}

/// Delivers a message about what the platform publishes.
inline void ReceivePublication(forwarding_fixture& fixture, const peer::message& message) {
  instance::context ctx = fixture.Context();
  if (const auto* request = std::get_if<peer::publication_request>(&message.body); request != nullptr)
    HandlePublicationRequest(fixture.tables, ctx, message.header, *request);
  if (const auto* update = std::get_if<peer::publication_update>(&message.body); update != nullptr)
    HandlePublicationUpdate(fixture.tables, ctx, message.header, *update);
  if (const auto* request = std::get_if<peer::evacuation_request>(&message.body); request != nullptr)
    HandleEvacuationRequest(fixture.tables, ctx, message.header, *request);
  if (const auto* update = std::get_if<peer::evacuation_update>(&message.body); update != nullptr)
    HandleEvacuationUpdate(fixture.tables, ctx, *update);
  if (const auto* rules = std::get_if<peer::service_rules_update>(&message.body); rules != nullptr)
    HandleServiceRules(fixture.tables, ctx, *rules);
}

}  // namespace limpetrouter::core::forwarding
