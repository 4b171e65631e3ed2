#include "bench/core_fleet.h"

#include <chrono>
#include <variant>

#include <fmt/format.h>

#include "bench/planned_document.h"
#include "bench/slope.h"
#include "core/peer/codec.h"

namespace limpetrouter::bench {
namespace {

namespace base = core::base;
namespace io = core::io;
namespace peer = core::peer;
using std::chrono::milliseconds;

constexpr base::duration kStep = milliseconds(1);

void Schedule(core_fleet& fleet, base::duration delay, std::size_t index, io::event event) {
  fleet.events.emplace(fleet.now + delay, std::pair(index, std::move(event)));
}

/// The answer of a backend server: one row and one total.
peer::attempt_result MakeResult(const io::call_backend& call) {
  peer::attempt_result result;
  result.attempt = call.attempt;
  result.shard = call.shard;
  result.backend_server = call.backend_server;
  result.succeeded = true;
  result.executed = base::executed_state::kYes;
  result.snapshot = call.snapshot;
  result.documents = 100 + call.shard.value % 50;
  result.rows = {{fmt::format("row-{:05}", call.shard.value), R"({"tank":"T-17","volume":12345})"}};
  result.totals = {{"volume", 12345}};
  result.called_us = 4000;
  return result;
}

void Send(core_fleet& fleet, const io::send_peer& send) {
  if (const auto* const request = std::get_if<peer::gather_request>(&send.message.body)) {
    ++fleet.counts.gather_requests;
    fleet.counts.items += request->items.size();
    fleet.counts.request_bytes += peer::EncodeMessage(send.message).size();
    if (fleet.lose_requests) return;
  }
  if (const auto* const answer = std::get_if<peer::gather_answer>(&send.message.body)) {
    ++fleet.counts.gather_answers;
    fleet.counts.results += answer->results.size();
    fleet.counts.answer_bytes += peer::EncodeMessage(send.message).size();
  }
  const auto to = fleet.index_of.find(send.target.value);
  if (to == fleet.index_of.end()) return;
  Schedule(fleet, milliseconds(1), to->second, io::peer_message_received{send.message, ""});
}

io::instance_list_read MakeList(const core_fleet& fleet) {
  io::instance_list_read list;
  list.succeeded = true;
  for (const auto& instance : fleet.instances) {
    const auto& self = instance->membership.members.self;
    list.instances.push_back({self.ref.id, self.data_centre, self.peer_address, self.http_address, false});
  }
  return list;
}

void Execute(core_fleet& fleet, std::size_t index, const io::command_list& commands) {
  for (const io::command& command : commands) {
    if (const auto* const send = std::get_if<io::send_peer>(&command)) {
      Send(fleet, *send);
    } else if (const auto* const call = std::get_if<io::call_backend>(&command)) {
      ++fleet.counts.backend_calls;
      const base::duration time = milliseconds(3) + base::duration(base::NextBelow(fleet.random, 2000));
      Schedule(fleet, time, index, io::backend_call_ended{call->entry, MakeResult(*call)});
    } else if (const auto* const probe = std::get_if<io::probe_backend>(&command)) {
      Schedule(fleet, milliseconds(1), index, io::backend_probe_ended{probe->backend_server, true, {0, 0, false, 1}});
    } else if (const auto* const reply = std::get_if<io::reply_query>(&command)) {
      ++fleet.counts.replies;
      fleet.counts.succeeded += reply->answer.succeeded ? 1 : 0;
    } else if (const auto* const read = std::get_if<io::read_configuration>(&command)) {
      if (fleet.source.revision > read->after) {
        Schedule(fleet, milliseconds(2), index, io::configuration_read{fleet.source});
      } else {
        Schedule(fleet, read->wait + milliseconds(2), index,
                 io::configuration_read_failed{{base::error_kind::kConfigurationStale, "no newer revision"}});
      }
    } else if (std::holds_alternative<io::read_instance_list>(command)) {
      Schedule(fleet, milliseconds(2), index, MakeList(fleet));
    }
  }
}

void Step(core_fleet& fleet) {
  fleet.now += kStep;
  while (!fleet.events.empty() && fleet.events.begin()->first <= fleet.now) {
    auto node = fleet.events.extract(fleet.events.begin());
    fleet.due[node.mapped().first].push_back(std::move(node.mapped().second));
  }
  const bool tick = fleet.now.time_since_epoch() % core::instance::kTickInterval == base::duration{0};
  for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
    if (fleet.due[i].empty() && !tick) continue;
    io::command_list commands;
    // One reading per batch keeps the cost of the clock itself out of the result.
    const double start = ThreadMicroseconds();
    for (const io::event& event : fleet.due[i])
      core::instance::HandleEvent(*fleet.instances[i], event, fleet.now, commands);
    if (tick) core::instance::RunTick(*fleet.instances[i], fleet.now, commands);
    fleet.core_us[i] += ThreadMicroseconds() - start;
    fleet.due[i].clear();
    Execute(fleet, i, commands);
  }
}

}  // namespace

core_fleet MakeCoreFleet(const nlohmann::json& document, std::uint32_t data_centres, std::uint32_t gatherers) {
  core_fleet fleet;
  fleet.source = MakePlannedSource(1, document);
  const std::size_t count = 1 + gatherers;
  for (std::size_t i = 0; i < count; ++i) {
    core::membership::identity self;
    self.ref = {base::instance_id(fmt::format("k{}", i)), base::incarnation_id(1'000'000 + i)};
    self.data_centre.value = i == 0 ? "dcx" : fmt::format("dc{}", (i - 1) % data_centres);
    self.peer_address = fmt::format("10.0.0.{}:9101", i + 1);
    self.http_address = fmt::format("10.0.0.{}:8101", i + 1);
    fleet.index_of[self.ref.id.value] = i;
    fleet.instances.push_back(
        std::make_unique<core::instance::instance>(core::instance::MakeInstance(self, 100 + i, fleet.now)));
  }
  fleet.core_us.resize(count);
  fleet.due.resize(count);
  return fleet;
}

void SendQuery(core_fleet& fleet) {
  io::query_received query;
  query.handle = base::reply_handle(fleet.next_handle++);
  query.request.request_id = fmt::format("r{}", query.handle.value);
  query.request.collection.value = "stock";
  query.request.operation.value = "sweep";
  query.request.body = fmt::format(R"({{"q":{}}})", query.handle.value % 50);
  query.request.deadline_ms = 1000;
  Schedule(fleet, base::duration{0}, 0, std::move(query));
}

void RunCoreFleet(core_fleet& fleet, base::duration span, double queries_per_second) {
  const base::time_point end = fleet.now + span;
  double owed = 0;
  while (fleet.now < end) {
    for (owed += queries_per_second / 1000; owed >= 1; owed -= 1)
      SendQuery(fleet);
    Step(fleet);
  }
}

}  // namespace limpetrouter::bench
