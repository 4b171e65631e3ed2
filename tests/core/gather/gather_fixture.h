#pragma once

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/gather/gather.h"

namespace limpetrouter::core::gather {

/// One gatherer, "self", with fixed tables: servers "s1" and "s2", held as primary, and "s3", held as
/// standby of instance "other". Entries "e1" and "e2" are members.
class gather_fixture {
 public:
  gather_fixture() {
    config::configuration configuration;
    configuration.revision.value = 7;
    for (const char* name : {"s1", "s2", "s3"})
      AddServer(configuration, name);
    SetConfiguration(std::move(configuration));
    members.self.ref = {base::instance_id("self"), base::incarnation_id(1)};
    members.self.peer_address = "127.0.0.1:1";
    for (const char* name : {"e1", "e2", "other"})
      SetMember(name, 1, peer::member_state::kAlive);
    placement.by_backend_server = {{members.self.ref.id, base::instance_id("other")},
                                   {members.self.ref.id, base::instance_id("other")},
                                   {base::instance_id("other"), members.self.ref.id}};
    placement.revision.value = 7;
    placement.members_version = 1;
    Tick();
    out.clear();
  }

  static void AddServer(config::configuration& configuration, const std::string& name) {
    config::backend_server server;
    server.id = base::backend_server_id(name);
    server.service = base::service_id("service");
    server.address = "127.0.0.1:18001";
    server.slots = 3;
    server.connections = 40;
    configuration.backend_server_index[server.id] = static_cast<std::uint32_t>(configuration.backend_servers.size());
    configuration.backend_servers.push_back(server);
  }

  void SetConfiguration(config::configuration configuration) {
    config = std::make_shared<const config::configuration>(std::move(configuration));
  }

  void SetMember(const std::string& name, std::uint64_t incarnation, peer::member_state state) {
    membership::member& member = members.members[base::instance_id(name)];
    member.info.member = {base::instance_id(name), base::incarnation_id(incarnation)};
    member.info.peer_address = "127.0.0.1:2";
    member.info.state = state;
  }

  instance::context Context() { return {now, config, members, placement, facts, random, out, false}; }

  static base::instance_ref Ref(const std::string& name) { return {base::instance_id(name), base::incarnation_id(1)}; }

  /// Returns a proven read with 100 ms left for attempts first, first + 1, ... on `server`.
  static peer::gather_request Request(std::uint64_t first, int count = 1, const std::string& server = "s1") {
    peer::gather_request request;
    request.query.value = first;
    request.proven = true;
    request.fingerprint.value = 500;
    request.remaining_us = 100'000;
    for (int i = 0; i < count; ++i) {
      peer::gather_item item;
      item.attempt.value = first + static_cast<std::uint64_t>(i);
      item.backend_server = base::backend_server_id(server);
      request.items.push_back(item);
    }
    return request;
  }

  void Send(const peer::gather_request& request, const std::string& entry = "e1") {
    instance::context ctx = Context();
    peer::message_header header;
    header.sender = Ref(entry);
    HandleGatherRequest(tables, ctx, header, request);
  }

  void Cancel(std::uint64_t attempt, const std::string& entry = "e1") {
    instance::context ctx = Context();
    peer::message_header header;
    header.sender = Ref(entry);
    HandleGatherCancel(tables, ctx, header, {base::query_sequence(attempt), {base::attempt_sequence(attempt)}});
  }

  /// Ends a running call: with `failure`, or successfully if there is none.
  void End(std::uint64_t attempt, std::optional<base::error_kind> failure = std::nullopt,
           const std::string& entry = "e1") {
    io::backend_call_ended event;
    event.entry = Ref(entry);
    event.result.attempt.value = attempt;
    event.result.succeeded = !failure.has_value();
    event.result.failure = failure.value_or(base::error_kind::kInternal);
    event.result.executed = failure.has_value()
                                ? base::DescribeError(*failure).executed.value_or(base::executed_state::kUnknown)
                                : base::executed_state::kYes;
    EndWith(std::move(event));
  }

  void EndWith(io::backend_call_ended event) {
    instance::context ctx = Context();
    HandleCallEnded(tables, ctx, event);
  }

  void EndProbe(const std::string& server, bool succeeded, io::load_report report) {
    instance::context ctx = Context();
    HandleProbeEnded(tables, ctx, {base::backend_server_id(server), succeeded, report});
  }

  void Tick(base::duration later = std::chrono::milliseconds(5)) {
    now += later;
    instance::context ctx = Context();
    RunGather(tables, ctx);
  }

  void Pause(base::duration gap) {
    now += gap;
    instance::context ctx = Context();
    HandlePause(tables, ctx, gap);
  }

  /// Returns the attempts that were sent to backend servers since the last call of this function, in order.
  std::vector<std::uint64_t> TakeSent() {
    std::vector<std::uint64_t> sent;
    for (const io::command& command : out) {
      if (const auto* call = std::get_if<io::call_backend>(&command)) sent.push_back(call->attempt.value);
    }
    DropCommands<io::call_backend>();
    return sent;
  }

  std::vector<std::uint64_t> TakeCancelled() {
    std::vector<std::uint64_t> cancelled;
    for (const io::command& command : out) {
      if (const auto* cancel = std::get_if<io::cancel_backend_call>(&command))
        cancelled.push_back(cancel->attempt.value);
    }
    DropCommands<io::cancel_backend_call>();
    return cancelled;
  }

  std::vector<io::probe_backend> TakeProbes() {
    std::vector<io::probe_backend> probes;
    for (const io::command& command : out) {
      if (const auto* probe = std::get_if<io::probe_backend>(&command)) probes.push_back(*probe);
    }
    DropCommands<io::probe_backend>();
    return probes;
  }

  /// Returns the results that were sent to entries, and sets `answer_messages` to the number of messages that carried
  /// them. Drops all messages to peers.
  std::vector<peer::attempt_result> TakeResults() {
    std::vector<peer::attempt_result> results;
    answer_messages = 0;
    for (const io::command& command : out) {
      const auto* send = std::get_if<io::send_peer>(&command);
      if (send == nullptr) continue;
      const auto* answer = std::get_if<peer::gather_answer>(&send->message.body);
      if (answer == nullptr) continue;
      ++answer_messages;
      results.insert(results.end(), answer->results.begin(), answer->results.end());
    }
    DropCommands<io::send_peer>();
    return results;
  }

  template <class Command>
  void DropCommands() {
    std::erase_if(out, [](const io::command& command) { return std::holds_alternative<Command>(command); });
  }

  base::time_point now{std::chrono::seconds(1000)};
  config::configuration_ptr config;
  membership::member_table members;
  membership::placement placement;
  membership::fact_table facts;
  base::random_source random{1};
  io::command_list out;
  gather_tables tables;
  int answer_messages = 0;
};

}  // namespace limpetrouter::core::gather
