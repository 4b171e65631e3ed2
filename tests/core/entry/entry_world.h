#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/config/parse.h"
#include "core/entry/entry.h"
#include "tests/core/config/test_configuration.h"

namespace limpetrouter::core::entry {

/// A call that the entry has sent: one item of a gather_request.
struct sent_call {
  base::instance_id gatherer;
  peer::gather_request request;
  peer::gather_item item;
};

/// The entry role of instance k1 with a fixed member table and placement. The test answers in place of the gatherers.
struct entry_fixture {
  entry_tables tables;
  membership::member_table members;
  membership::placement placement;
  membership::fact_table facts;
  base::random_source random{7};
  io::command_list out;
  config::configuration_ptr config;
  base::time_point now{std::chrono::seconds(10)};
  bool leaving = false;
  std::uint64_t next_handle = 1;

  entry_fixture() {
    members.self.ref = {base::instance_id("k1"), base::incarnation_id(100)};
    members.self.http_address = "127.0.0.1:8101";
    members.self.peer_address = "127.0.0.1:9101";
    AddMember("k2");
    AddMember("k3");
    AcceptConfiguration(1, config::MakeTestDocument());
  }

  void AddMember(const std::string& id) {
    membership::member added;
    added.info.member = {base::instance_id(id), base::incarnation_id(200)};
    added.info.http_address = "http-" + id;
    added.info.peer_address = "peer-" + id;
    members.members[base::instance_id(id)] = added;
  }

  /// Puts a configuration in force and places all backend servers with k2 as primary and k3 as standby.
  void AcceptConfiguration(std::uint64_t revision, const nlohmann::json& document) {
    config = *config::ParseConfiguration(config::MakeSource(revision, document));
    placement.by_backend_server.assign(config->backend_servers.size(),
                                       {base::instance_id("k2"), base::instance_id("k3")});
    placement.revision = config->revision;
  }

  instance::context MakeContext() { return {now, config, members, placement, facts, random, out, leaving}; }

  /// Sends a query of a caller to the entry and returns its reply handle.
  std::uint64_t SendQuery(const std::string& operation, const std::string& key = "", const std::string& permit = "",
                          std::int64_t deadline_ms = 0) {
    io::query_received event;
    event.handle = base::reply_handle(next_handle++);
    event.request.request_id = "r" + std::to_string(event.handle.value);
    event.request.collection = base::collection_id("ledger");
    event.request.operation = base::operation_id(operation);
    event.request.key = key;
    event.request.permit = permit;
    event.request.deadline_ms = deadline_ms;
    instance::context ctx = MakeContext();
    HandleQuery(tables, ctx, event);
    return event.handle.value;
  }

  /// Advances the time by `step` and runs one tick of the entry.
  void Tick(base::duration step = std::chrono::milliseconds(5)) {
    now += step;
    instance::context ctx = MakeContext();
    RunEntry(tables, ctx);
  }

  /// Removes the calls from the queued commands and returns them.
  std::vector<sent_call> TakeCalls() {
    std::vector<sent_call> calls;
    std::erase_if(out, [&](const io::command& command) {
      const auto* send = std::get_if<io::send_peer>(&command);
      if (send == nullptr) return false;
      const auto* request = std::get_if<peer::gather_request>(&send->message.body);
      if (request == nullptr) return false;
      for (const peer::gather_item& item : request->items)
        calls.push_back({send->target, *request, item});
      return true;
    });
    return calls;
  }

  /// Removes the messages of one type from the queued commands and returns them with their targets.
  template <class Body>
  std::vector<std::pair<base::instance_id, Body>> TakeMessages() {
    std::vector<std::pair<base::instance_id, Body>> bodies;
    std::erase_if(out, [&](const io::command& command) {
      const auto* send = std::get_if<io::send_peer>(&command);
      if (send == nullptr || !std::holds_alternative<Body>(send->message.body)) return false;
      bodies.emplace_back(send->target, std::get<Body>(send->message.body));
      return true;
    });
    return bodies;
  }

  /// Removes the answer for the reply handle from the queued commands and returns it; nullopt if there is none.
  std::optional<peer::query_answer> TakeReply(std::uint64_t handle) {
    std::optional<peer::query_answer> answer;
    std::erase_if(out, [&](const io::command& command) {
      const auto* reply = std::get_if<io::reply_query>(&command);
      if (reply == nullptr || reply->handle.value != handle) return false;
      answer = reply->answer;
      return true;
    });
    return answer;
  }

  /// Makes the result of a successful call, with one row and one total.
  peer::attempt_result MakeSuccess(const sent_call& call) const {
    peer::attempt_result result;
    result.attempt = call.item.attempt;
    result.shard = call.item.shard;
    result.backend_server = call.item.backend_server;
    result.succeeded = true;
    result.executed = base::executed_state::kYes;
    result.snapshot = call.request.snapshot;
    const config::snapshot* snapshot = config::FindSnapshot(*config, call.request.collection, call.request.snapshot);
    result.documents = snapshot->shards[call.item.shard.value].documents;
    result.rows = {{"row" + std::to_string(call.item.shard.value), "{}"}};
    result.totals = {{"litres", 10}};
    result.called_us = 4000;
    return result;
  }

  static peer::attempt_result MakeFailure(const sent_call& call, base::error_kind kind, base::executed_state executed) {
    peer::attempt_result result;
    result.attempt = call.item.attempt;
    result.shard = call.item.shard;
    result.backend_server = call.item.backend_server;
    result.failure = kind;
    result.executed = executed;
    return result;
  }

  /// Delivers a result to the entry as the answer of the gatherer of the call.
  void SendResult(const sent_call& call, const peer::attempt_result& result) {
    SendResultFrom(call.gatherer, call, result);
  }

  /// Delivers a result to the entry as the answer of the instance `sender`.
  void SendResultFrom(const base::instance_id& sender, const sent_call& call, const peer::attempt_result& result) {
    peer::message_header header;
    header.sender = {sender, base::incarnation_id(200)};
    instance::context ctx = MakeContext();
    HandleGatherAnswer(tables, ctx, header, {members.self.ref, call.request.query, {result}});
  }

  /// Requests permits from the entry, as a caller does with a request for addresses.
  std::vector<std::string> RequestPermits(std::uint32_t count) {
    instance::context ctx = MakeContext();
    HandleAddresses(tables, ctx, {base::reply_handle(9999), "caller", count});
    std::vector<std::string> permits = std::get<io::reply_addresses>(out.back()).answer.permits;
    out.pop_back();
    return permits;
  }
};

/// Returns the test document with the canary of the operation sweep switched off and the backend server s2-a active.
inline nlohmann::json MakeDocumentWithoutCanary() {
  nlohmann::json document = config::MakeTestDocument();
  document["rules"]["collections"][0]["operations"][0]["canary"] = false;
  document["inventory"]["backend_servers"][2]["state"] = "active";
  return document;
}

}  // namespace limpetrouter::core::entry
