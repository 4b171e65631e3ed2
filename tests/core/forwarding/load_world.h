#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "load_model.h"

namespace limpetrouter::core::forwarding {

/// Simulates instances that share backend servers on a virtual clock. A server runs one call in each slot, queues a
/// bounded number of further calls in order of arrival and sheds the rest.
class load_world {
 public:
  load_rules rules;
  std::vector<load_kind> kinds;
  std::vector<std::unique_ptr<forwarding_fixture>> instances;
  std::vector<load_server> servers;
  std::vector<load_refusal> refusals;
  double load = 1;
  base::time_point now{seconds(1'000)};
  std::size_t calls = 0;
  /// Requests that were admitted to be answered in time after a more urgent one was refused, while the instance had
  /// learned nothing new.
  std::size_t overtaken = 0;
  /// Most calls that an instance had at a server at a time, relative to the slots of the server.
  double most_calls = 0;

  load_world(load_rules with_rules, std::vector<load_kind> with_kinds, const std::vector<load_service>& services)
      : rules(with_rules), kinds(std::move(with_kinds)) {
    random_.state = base::MixHash(rules.seed, 11);
    for (const load_service& service : services)
      AddService(service);
    for (std::size_t i = 0; i < rules.instances; ++i)
      AddInstance(i, services);
    for (std::size_t i = 0; i < kinds.size(); ++i)
      At(now + NextGap(i), [this, i] { Arrive(i); });
    for (std::size_t i = 0; i < instances.size(); ++i)
      At(now + base::duration(1 + 800 * static_cast<std::int64_t>(i)), [this, i] { Tick(i); });
  }

  void Run(base::duration time) {
    const base::time_point end = now + time;
    while (!events_.empty() && events_.top().at <= end) {
      const event next = events_.top();
      events_.pop();
      now = next.at;
      next.run();
    }
    now = end;
  }

  /// Makes every third server, one of each service, slow by the factor.
  void SlowThird(double factor) {
    for (std::size_t i = 0; i < servers.size(); i += 3)
      servers[i].slow = factor;
  }

  /// Ends or starts the processes of a data centre's servers. The calls of a process that ends are lost.
  void SetDown(const std::string& data_centre, bool down) {
    for (std::size_t i = 0; i < servers.size(); ++i) {
      if (servers[i].data_centre != data_centre) continue;
      servers[i].down = down;
      std::vector<std::uint64_t> lost;
      for (const auto& [key, made] : calls_) {
        if (down && made.server == i && made.reached) lost.push_back(key);
      }
      std::sort(lost.begin(), lost.end());
      for (const std::uint64_t key : lost)
        EndCall(key, base::error_kind::kConnectionLost);
    }
  }

  /// Returns what became of the requests that callers first sent in [from, to).
  kind_counts Counts(base::time_point from, base::time_point to, const std::string& kind = "") const {
    kind_counts counts;
    for (const auto& [id, each] : callers_) {
      if (each.first_sent < from || each.first_sent >= to) continue;
      if (!kind.empty() && kinds[each.kind].name != kind) continue;
      ++counts.sent;
      if (each.ended) ++counts.ended[each.outcome];
    }
    return counts;
  }

  std::size_t Unended() const {
    return static_cast<std::size_t>(
        std::count_if(callers_.begin(), callers_.end(), [](const auto& item) { return !item.second.ended; }));
  }

 private:
  struct event {
    base::time_point at{};
    std::uint64_t order = 0;
    std::function<void()> run;
    friend bool operator<(const event& a, const event& b) { return std::tie(b.at, b.order) < std::tie(a.at, a.order); }
  };
  void At(base::time_point at, std::function<void()> run) { events_.push({at, ++order_, std::move(run)}); }

  base::duration NextGap(std::size_t kind) {
    const double unit = std::max(1e-9, 1 - base::NextUnit(random_));
    return base::duration(1 +
                          static_cast<std::int64_t>(-std::log(unit) * 1e6 / std::max(1e-6, kinds[kind].rate * load)));
  }

  /// Log-normal with a spread of 0.35; one in 100 takes five times as long.
  double WorkFactor() {
    const double u = std::max(1e-9, base::NextUnit(random_));
    const double v = base::NextUnit(random_);
    constexpr double kTwoPi = 6.283185307179586;
    const double normal = std::sqrt(-2 * std::log(u)) * std::cos(kTwoPi * v);
    return std::exp(0.35 * normal) * (base::NextBelow(random_, 100) == 0 ? 5 : 1);
  }

  void AddService(const load_service& service) {
    constexpr double kSpeeds[] = {0.8, 1.0, 1.3};
    for (std::size_t i = 0; i < service.servers; ++i) {
      load_server model;
      model.id = base::backend_server_id(service.name + "-" + std::to_string(i));
      model.data_centre = std::string(1, static_cast<char>('a' + i % 3));
      model.slots = service.slots;
      model.speed = kSpeeds[(i + servers.size() / 3) % 3];
      model.pause_phase = base::duration(static_cast<std::int64_t>(base::NextBelow(
          random_, static_cast<std::uint64_t>(std::max<std::int64_t>(1, rules.pause_interval.count())))));
      index_[model.id.value] = servers.size();
      servers.push_back(std::move(model));
    }
  }

  void AddInstance(std::size_t i, const std::vector<load_service>& services) {
    auto added = std::make_unique<forwarding_fixture>();
    added->now = now;
    added->random.state = base::MixHash(rules.seed, 100 + i);
    added->members.self.ref.id = FleetInstanceId(i);
    added->members.self.data_centre = base::data_centre_id(std::string(1, static_cast<char>('a' + i % 3)));
    added->tables.entries = rules.instances;
    added->tables.bounds.policies.admission_control = true;
    added->tables.fleet_size = rules.instances;
    added->tables.servers.limit_share = 1.0 / static_cast<double>(rules.instances);
    std::vector<server_record> records;
    for (const load_service& service : services) {
      for (std::size_t k = 0; k < service.servers; ++k) {
        const std::string id = service.name + "-" + std::to_string(k);
        server_record record = forwarding_fixture::MakeServer(id, service.name, servers[index_.at(id)].data_centre);
        record.slots = service.slots;
        records.push_back(std::move(record));
      }
    }
    added->AddServers(std::move(records));
    auto table = std::make_shared<routing_table>();
    table->version = 1;
    for (const load_kind& kind : kinds) {
      route each;
      each.name = kind.name;
      each.host = kind.name;
      each.prefix = "/";
      each.repeat = kind.repeat;
      each.timeout = kind.deadline;
      each.target_latency = kind.target;
      each.priority = kind.priority;
      each.max_attempts = 2;
      each.merged_records = 1;
      each.record_bytes = 1;
      each.minimum_coverage = kind.coverage;
      for (std::size_t shard = 0; shard < kind.shards; ++shard)
        each.shards.emplace_back("shard" + std::to_string(shard));
      if (kind.shards == 0) each.split.push_back({base::service_id(kind.service), 1});
      table->routes.push_back(std::move(each));
    }
    added->tables.routing = table;
    instances.push_back(std::move(added));
  }

  void Tick(std::size_t i) {
    forwarding_fixture& fixture = *instances[i];
    fixture.now = now;
    refused_priority_.erase(i);
    instance::context ctx = fixture.Context();
    RunRequests(fixture.tables, ctx);
    Execute(i);
    At(now + milliseconds(5), [this, i] { Tick(i); });
  }

  void Arrive(std::size_t kind) {
    At(now + NextGap(kind), [this, kind] { Arrive(kind); });
    const std::uint64_t id = ++next_caller_;
    load_caller& added = callers_[id];
    added.kind = kind;
    added.first_sent = now;
    added.deadline = now + kinds[kind].deadline;
    Send(id);
  }

  void Send(std::uint64_t id) {
    load_caller& from = callers_.at(id);
    from.sent = now;
    ++from.attempts;
    from.calls = 0;
    from.run = 0;
    do {
      from.instance = base::NextBelow(random_, instances.size());
    } while (rules.one_data_centre && from.instance % 3 != 0);
    At(now + rules.to_callers, [this, id] {
      const load_caller& sender = callers_.at(id);
      const load_kind& kind = kinds[sender.kind];
      forwarding_fixture& fixture = *instances[sender.instance];
      fixture.now = now;
      auto content = std::make_shared<request>();
      content->method = "GET";
      content->host = kind.name;
      content->path = "/x";
      content->target = "/x?" + std::to_string(++next_target_);
      content->attempt = std::to_string(id);
      content->received = now;
      content->client_timeout = sender.deadline - sender.sent;
      const base::reply_handle handle(++next_handle_);
      handles_[next_handle_] = id;
      instance::context ctx = fixture.Context();
      AcceptRequest(fixture.tables, ctx, {handle, content});
      const auto active = fixture.tables.requests.find(handle);
      const auto refused = refused_priority_.find(sender.instance);
      if (active != fixture.tables.requests.end() && !active->second.late && refused != refused_priority_.end() &&
          refused->second < kind.priority)
        ++overtaken;
      Execute(sender.instance);
    });
  }

  void Execute(std::size_t i) {
    forwarding_fixture& fixture = *instances[i];
    io::command_list commands = std::exchange(fixture.out, {});
    for (io::command& command : commands) {
      if (auto* start = std::get_if<io::start_call>(&command); start != nullptr) StartServerCall(i, *start);
      if (auto* cancel = std::get_if<io::cancel_call>(&command); cancel != nullptr) CancelServerCall(i, cancel->call);
      if (auto* reply = std::get_if<io::reply_forwarded>(&command); reply != nullptr)
        Reply(reply->handle, reply->answer);
    }
  }

  base::duration Distance(std::size_t instance, std::size_t server) const {
    const bool same = instances[instance]->members.self.data_centre.value == servers[server].data_centre;
    return same ? rules.within_data_centre : rules.between_data_centres;
  }

  void StartServerCall(std::size_t i, const io::start_call& start) {
    ++calls;
    const server& target = instances[i]->tables.servers.servers.at(start.server);
    most_calls = std::max(most_calls, static_cast<double>(target.running.size()) / target.record.slots);
    const std::uint64_t key = ++next_server_call_;
    load_call& made = calls_[key];
    made.instance = i;
    made.id = start.call;
    made.server = index_.at(start.server.value);
    const std::uint64_t caller_id = std::stoull(start.request->attempt);
    made.caller = caller_id;
    load_caller& sender = callers_.at(caller_id);
    made.attempt = sender.attempts;
    ++sender.calls;
    made.work =
        base::duration(static_cast<std::int64_t>(static_cast<double>(kinds[sender.kind].work.count()) * WorkFactor()));
    by_id_[{i, start.call.value}] = key;
    At(now + Distance(i, made.server), [this, key] { ReachServer(key); });
    At(start.deadline, [this, key] { EndCall(key, base::error_kind::kDeadlineExceeded); });
  }

  void ReachServer(std::uint64_t key) {
    const auto found = calls_.find(key);
    if (found == calls_.end()) return;
    load_server& target = servers[found->second.server];
    if (target.down) {
      call_result refused = forwarding_fixture::Failed(base::error_kind::kConnectFailed, base::executed_state::kNo);
      At(now + Distance(found->second.instance, found->second.server),
         [this, key, refused] { DeliverResult(key, refused); });
      return;
    }
    found->second.reached = true;
    if (target.running < target.slots) {
      StartWork(key);
    } else if (target.queue.size() < rules.queue) {
      target.queue.push_back(key);
    } else {
      ++target.shed_calls;
      SendAnswer(key, true);
      return;
    }
    target.most_work = std::max<std::size_t>(target.most_work, target.running + target.queue.size());
  }

  /// Returns when work that starts now ends, as a pause interrupts it.
  base::time_point EndOfWork(const load_server& target, base::duration work) const {
    base::time_point at = now;
    const auto interval = rules.pause_interval;
    if (interval <= base::duration{0} || rules.pause_length <= base::duration{0}) return at + work;
    while (true) {
      const base::duration phase = (at.time_since_epoch() + target.pause_phase) % interval;
      if (phase < rules.pause_length) {
        at += rules.pause_length - phase;
        continue;
      }
      const base::duration left = interval - phase;
      if (work <= left) return at + work;
      at += left;
      work -= left;
    }
  }

  void StartWork(std::uint64_t key) {
    load_call& made = calls_.at(key);
    load_server& target = servers[made.server];
    ++target.running;
    ++target.started_calls;
    made.running = true;
    load_caller& sender = callers_.at(made.caller);
    // A call of an attempt that ended without knowledge of its outcome may run during the next one.
    if (made.attempt == sender.attempts) ++sender.run;
    const auto work =
        base::duration(static_cast<std::int64_t>(static_cast<double>(made.work.count()) * target.slow / target.speed));
    At(EndOfWork(target, work), [this, key] { FinishWork(key); });
  }

  void FinishWork(std::uint64_t key) {
    const auto found = calls_.find(key);
    if (found == calls_.end() || !found->second.running) return;
    LeaveServer(key);
    SendAnswer(key, false);
  }

  /// Removes the call from its server, and starts the next one of the queue.
  void LeaveServer(std::uint64_t key) {
    load_call& made = calls_.at(key);
    load_server& target = servers[made.server];
    if (made.running) {
      made.running = false;
      --target.running;
    } else {
      std::erase(target.queue, key);
    }
    while (target.running < target.slots && !target.queue.empty()) {
      const std::uint64_t next = target.queue.front();
      target.queue.pop_front();
      StartWork(next);
    }
  }

  void SendAnswer(std::uint64_t key, bool shed) {
    const load_call& made = calls_.at(key);
    const load_server& target = servers[made.server];
    call_result result = shed ? forwarding_fixture::Failed(base::error_kind::kBackendShed, base::executed_state::kNo)
                              : forwarding_fixture::Served("x");
    if (rules.reports_load) {
      server_load report;
      // As the server sees it while it answers, the call itself included.
      report.running = target.running + (shed ? 0 : 1);
      report.waiting = static_cast<std::uint32_t>(target.queue.size());
      report.slots = target.slots;
      result.load = report;
    }
    At(now + Distance(made.instance, made.server), [this, key, result] { DeliverResult(key, result); });
  }

  void DeliverResult(std::uint64_t key, const call_result& result) {
    const auto found = calls_.find(key);
    if (found == calls_.end()) return;
    const std::size_t i = found->second.instance;
    const call_id id = found->second.id;
    calls_.erase(found);
    by_id_.erase({i, id.value});
    forwarding_fixture& fixture = *instances[i];
    fixture.now = now;
    refused_priority_.erase(i);
    instance::context ctx = fixture.Context();
    HandleCallEnded(fixture.tables, ctx, {id, result});
    Execute(i);
  }

  /// Ends a call on the instance's side. The server stops its work when it sees the closed connection.
  void EndCall(std::uint64_t key, base::error_kind reason) {
    const auto found = calls_.find(key);
    if (found == calls_.end()) return;
    LeaveServer(key);
    DeliverResult(key, forwarding_fixture::Failed(reason, base::executed_state::kUnknown));
  }

  void CancelServerCall(std::size_t i, call_id id) {
    const auto found = by_id_.find({i, id.value});
    if (found == by_id_.end()) return;
    const std::uint64_t key = found->second;
    At(now, [this, key] { EndCall(key, base::error_kind::kCancelled); });
  }

  void Reply(base::reply_handle handle, const answer& reply) {
    const std::uint64_t id = handles_.at(handle.value);
    const base::time_point replied = now;
    if (reply.failure.has_value() && reply.executed == base::executed_state::kNo) {
      const load_caller& sender = callers_.at(id);
      const auto [refused, added] = refused_priority_.try_emplace(sender.instance, kinds[sender.kind].priority);
      refused->second = std::min(refused->second, kinds[sender.kind].priority);
      refusals.push_back({replied - sender.sent - rules.to_callers, reply.failure->kind, sender.calls, sender.run});
    }
    At(now + rules.to_callers, [this, id, reply] { Receive(id, reply); });
  }

  void Receive(std::uint64_t id, const answer& reply) {
    load_caller& to = callers_.at(id);
    const load_kind& kind = kinds[to.kind];
    if (!reply.failure.has_value()) {
      to.ended = true;
      to.outcome = now - to.sent <= kind.target ? caller_outcome::kInTime : caller_outcome::kLate;
      return;
    }
    const base::duration wait = rules.repeats_at_once ? base::duration{0} : reply.retry_after.value_or(milliseconds(0));
    const bool repeats = to.attempts <= rules.caller_retries && now < to.deadline &&
                         (rules.repeats_at_once || wait <= (to.deadline - now) / 3) &&
                         (reply.executed == base::executed_state::kNo || kind.repeat == repeat_policy::kIdempotent);
    if (repeats) {
      At(now + wait, [this, id] { Send(id); });
      return;
    }
    to.ended = true;
    if (reply.failure->kind == base::error_kind::kDeadlineExceeded) {
      to.outcome = caller_outcome::kTimedOut;
    } else {
      to.outcome = reply.executed == base::executed_state::kNo ? caller_outcome::kRefused : caller_outcome::kFailed;
    }
  }

  base::random_source random_{1};
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  std::unordered_map<std::string, std::size_t> index_;
  std::map<std::uint64_t, load_caller> callers_;
  std::unordered_map<std::uint64_t, std::uint64_t> handles_;
  std::unordered_map<std::uint64_t, load_call> calls_;
  std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> by_id_;
  /// Lowest priority value of the requests that an instance has refused since its last tick or ended call.
  std::map<std::size_t, std::uint32_t> refused_priority_;
  std::uint64_t next_caller_ = 0;
  std::uint64_t next_target_ = 0;
  std::uint64_t next_handle_ = 0;
  std::uint64_t next_server_call_ = 0;
};

}  // namespace limpetrouter::core::forwarding
