#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/forwarding/cold_servers.h"
#include "core/forwarding/directory.h"
#include "core/forwarding/rate_limit.h"
#include "core/forwarding/retry_budget.h"
#include "core/forwarding/server_choice.h"
#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {

/// The platform's rule: a cold server must not get more requests than this within any one second.
inline double AllowedCold(double per_second) { return 1.5 * per_second + 5; }

/// Simulates the shares of many instances on a virtual clock: each one has full tables of the backend servers and its
/// own view of the fleet, and decides with `ChooseServer` and `TakeLimitedCall`. There are no requests, messages or
/// reads; a test sets what each instance sees and knows.
struct cold_fleet {
  struct simulated_instance {
    forwarding_tables tables;
    base::random_source random;
    bool alive = true;
    /// Instances with the same number see the same fleet.
    std::size_t view = 0;
    base::time_point next_update{};
  };
  struct pending_end {
    base::time_point at;
    std::size_t instance;
    base::backend_server_id server;
    call_id call;
  };

  static constexpr base::duration kTick = milliseconds(5);
  std::size_t largest;
  std::vector<std::unique_ptr<simulated_instance>> instances;
  std::map<std::size_t, membership::member_table> views;
  membership::placement placement;
  membership::fact_table facts;
  io::command_list out;
  base::random_source random;
  base::time_point now{seconds(1'000)};
  /// Requests per second to all instances together.
  double rate = 0;
  double due = 0;
  std::uint64_t next_call = 1;
  std::uint64_t revision = 1;
  std::deque<pending_end> pending;
  std::map<std::string, std::vector<base::time_point>> arrivals;
  std::size_t chosen = 0;
  std::size_t limited = 0;
  cold_rule rule;
  base::service_id service{"single"};
  routing_table_ptr routing = std::make_shared<const routing_table>();

  /// The first `largest_count` instances have the largest capacity, so that callers are directed to them.
  cold_fleet(std::size_t count, std::size_t largest_count, double per_second, std::uint64_t seed)
      : largest(largest_count), random{seed}, rule{per_second, seconds(20)} {
    for (std::size_t i = 0; i < count; ++i)
      AddInstance();
    ShowAll(0);
  }

  void AddInstance() {
    auto added = std::make_unique<simulated_instance>();
    added->random.state = base::MixHash(instances.size(), random.state);
    added->tables.enabled = true;
    added->tables.routing = routing;
    added->tables.servers.known = true;
    added->tables.servers.cold_rules[service] = rule;
    added->tables.spread.started = now;
    instances.push_back(std::move(added));
  }

  std::uint32_t CapacityOf(std::size_t i) const { return i < largest ? 500 : 100; }

  /// Lets the instances of a view see the given ones.
  void Show(std::size_t view, const std::vector<std::size_t>& seen) {
    membership::member_table& table = views[view];
    table.members.clear();
    for (const std::size_t i : seen) {
      membership::member& entry = table.members[FleetInstanceId(i)];
      entry.info.member = {FleetInstanceId(i), base::incarnation_id(1)};
      entry.info.http_address = FleetInstanceId(i).value + ":80";
      entry.info.state = peer::member_state::kAlive;
      entry.info.capacity = CapacityOf(i);
    }
  }
  /// Lets the instances of a view see all live ones.
  void ShowAll(std::size_t view) {
    std::vector<std::size_t> live;
    for (std::size_t i = 0; i < instances.size(); ++i) {
      if (instances[i]->alive) live.push_back(i);
    }
    Show(view, live);
  }

  /// Computes the share of an instance from what it sees.
  void UpdateShare(std::size_t i) {
    simulated_instance& each = *instances[i];
    membership::member_table& view = views[each.view];
    view.self.ref = {FleetInstanceId(i), base::incarnation_id(1)};
    view.self.http_address = FleetInstanceId(i).value + ":80";
    view.self.capacity = CapacityOf(i);
    auto self = view.members.extract(FleetInstanceId(i));
    instance::context ctx{now, nullptr, view, placement, facts, each.random, out};
    UpdateFleetSize(each.tables, ctx);
    UpdateEntryCount(each.tables, ctx);
    UpdateLimitShare(each.tables, ctx);
    UpdateColdServers(each.tables.servers, ctx);
    if (!self.empty()) view.members.insert(std::move(self));
    out.clear();
  }

  /// Delivers entries to one instance.
  void Deliver(std::size_t i, std::vector<server_record> records) {
    simulated_instance& each = *instances[i];
    published_changes changes;
    for (server_record& record : records) {
      record.revision = ++revision;
      changes.servers.push_back(std::move(record));
    }
    changes.position.revision = revision;
    ApplyRecords(each.tables.servers, changes, now);
    UpdateShare(i);
  }
  void DeliverAll(const std::vector<server_record>& records) {
    for (std::size_t i = 0; i < instances.size(); ++i)
      Deliver(i, records);
  }

  server_record Server(std::size_t i, base::duration warmup_left, std::uint64_t sequence = 1) const {
    server_record record = forwarding_fixture::MakeServer("s" + std::to_string(i), service.value, "a");
    record.address = "10.1.0.1:" + std::to_string(1'000 + i);
    record.slots = 20;
    record.incarnation = 1;
    record.sequence = sequence;
    record.warmup_left = warmup_left;
    return record;
  }
  std::vector<server_record> Servers(std::size_t count, base::duration warmup_left, std::uint64_t sequence = 1) const {
    std::vector<server_record> all;
    for (std::size_t i = 0; i < count; ++i)
      all.push_back(Server(i, warmup_left, sequence));
    return all;
  }

  void Run(base::duration time) {
    const base::duration update_interval = instances.size() > 100 ? milliseconds(1'000) : milliseconds(200);
    for (const base::time_point end = now + time; now < end;) {
      now += kTick;
      for (std::size_t i = 0; i < instances.size(); ++i) {
        simulated_instance& each = *instances[i];
        if (!each.alive || now < each.next_update) continue;
        UpdateShare(i);
        each.next_update = now + update_interval;
      }
      for (; !pending.empty() && pending.front().at <= now; pending.pop_front())
        EndCall(pending.front());
      for (due += rate * std::chrono::duration<double>(kTick).count(); due >= 1; --due)
        SendRequest();
    }
  }

  /// Sends a request to an instance that takes itself for one that callers are directed to, or, now and then, to any.
  void SendRequest() {
    constexpr std::uint64_t kOneInAny = 20;
    const bool any = base::NextBelow(random, kOneInAny) == 0;
    for (int tries = 0; tries < 1'000; ++tries) {
      const std::size_t i = base::NextBelow(random, instances.size());
      simulated_instance& each = *instances[i];
      if (!each.alive || (!any && !each.tables.is_entry)) continue;
      Request(i);
      return;
    }
  }

  choice_state Request(std::size_t i, bool hedge = false) {
    simulated_instance& each = *instances[i];
    const std::vector<base::backend_server_id> excluded;
    choice_rules rules;
    rules.own_data_centre = base::data_centre_id("a");
    rules.max_running = 40;
    rules.is_hedge = hedge;
    rules.excluded = &excluded;
    const choice best = ChooseServer(each.tables.servers, service, rules, now, each.random);
    limited += best.state == choice_state::kLimited ? 1 : 0;
    if (best.state != choice_state::kChosen) return best.state;
    ++chosen;
    server& target = each.tables.servers.servers.at(best.server);
    const call_id id(next_call++);
    NoteCallStart(target, {id, now, milliseconds(20)});
    TakeLimitedCall(each.tables.servers, target, false, now);
    arrivals[best.server.value].push_back(now);
    pending.push_back({now + milliseconds(20), i, best.server, id});
    return best.state;
  }

  void EndCall(const pending_end& ended) {
    auto& servers = instances[ended.instance]->tables.servers.servers;
    const auto found = servers.find(ended.server);
    if (found == servers.end()) return;
    NoteCallEnd(found->second, ended.call, call_verdict::kServed, milliseconds(20), {}, now);
  }

  /// Returns the largest number of requests that the server got within one second that begins in the given time.
  std::size_t MostArrivals(const std::string& id, base::time_point from, base::time_point until) const {
    const auto found = arrivals.find(id);
    if (found == arrivals.end()) return 0;
    std::size_t most = 0;
    std::deque<base::time_point> window;
    for (const base::time_point at : found->second) {
      if (at < from || at >= until) continue;
      window.push_back(at);
      while (at - window.front() >= seconds(1))
        window.pop_front();
      most = std::max(most, window.size());
    }
    return most;
  }
  double ArrivalRate(const std::string& id, base::time_point from, base::time_point until) const {
    const auto found = arrivals.find(id);
    if (found == arrivals.end()) return 0;
    const auto count = std::count_if(found->second.begin(), found->second.end(),
                                     [from, until](base::time_point at) { return at >= from && at < until; });
    return static_cast<double>(count) / std::chrono::duration<double>(until - from).count();
  }
};

}  // namespace limpetrouter::core::forwarding
