#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/forwarding/server_choice.h"
#include "core/routing/latency_window.h"
#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {

/// A backend server whose calls share its processing time beyond the knee.
struct model_server {
  double speed = 1;
  /// Number of calls beyond which each call takes longer.
  double knee = 4;
  /// With 1, the throughput stays constant beyond the knee; with more, it falls.
  double steepness = 1;
  std::uint32_t slots = 4;
  std::size_t data_centre = 0;
  base::time_point paused_until{};
};

struct model_load {
  /// Requests per second over all instances.
  double rate = 0;
  double work_ms = 20;
  std::string route = "main";
};

/// Several instances that share the servers of one service. Each instance sees only its own calls and the load reports
/// in its answers. Runs on a virtual clock, without a network.
class capacity_model {
 public:
  enum class knowledge : std::uint8_t {
    /// Instances choose by what they have learned.
    kLearned,
    /// Instances choose as the product does, with the true speeds and knees.
    kTrueServers,
    /// Instances also know the queues of all servers at once.
    kEverything,
  };

  static constexpr std::size_t kInstances = 6;
  static constexpr std::size_t kDataCentres = 3;
  static constexpr base::duration kStep = std::chrono::microseconds(100);

  capacity_model(std::vector<model_server> servers, std::uint64_t seed, knowledge known)
      : random_{seed}, known_(known) {
    instances_.resize(kInstances);
    for (const model_server& each : servers)
      AddServer(each);
    for (std::size_t i = 0; i < kInstances; ++i)
      instances_[i].random.state = seed * 100 + i;
  }

  void AddServer(const model_server& added) {
    servers_.push_back({added, {}, {}, 0});
    for (model_instance& each : instances_) {
      published_changes changes;
      changes.position.revision = servers_.size();
      server_record record =
          forwarding_fixture::MakeServer(IdOf(servers_.size() - 1).value, "svc", DataCentreName(added.data_centre));
      record.revision = servers_.size();
      record.slots = added.slots;
      record.incarnation = 1;
      changes.servers.push_back(record);
      each.table.learns_capacity = true;
      ApplyRecords(each.table, changes, now_);
    }
  }

  void SetLoads(std::vector<model_load> loads) { loads_ = std::move(loads); }
  model_server& ServerAt(std::size_t index) { return servers_[index].state; }
  const server& View(std::size_t instance, std::size_t index) const {
    return instances_[instance].table.servers.at(IdOf(index));
  }
  base::time_point Now() const { return now_; }
  /// Calls that a server has begun since the counts were last reset.
  std::uint64_t CallsOf(std::size_t index) const { return servers_[index].calls; }
  /// Requests of the route "main" that were answered within the target since the counts were last reset.
  std::uint64_t Timely() const { return timely_; }
  std::uint64_t Ended() const { return ended_; }
  void ResetCounts() {
    timely_ = ended_ = 0;
    for (busy_server& each : servers_)
      each.calls = 0;
  }

  void Run(base::duration time) {
    const base::time_point end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      Arrive();
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
      }
      for (std::size_t i = 0; i < servers_.size(); ++i)
        Advance(i);
      for (std::size_t i = 0; i < instances_.size(); ++i)
        Dispatch(i);
    }
  }

  /// Target of the route "main", in multiples of its median work.
  static constexpr double kTarget = 3;

 private:
  struct model_request {
    std::string route;
    double work_ms = 0;
    base::time_point created{};
  };
  struct job {
    std::size_t instance = 0;
    call_id id;
    model_request request;
    double remaining_us = 0;
    base::time_point sent{};
  };
  struct busy_server {
    model_server state;
    std::vector<job> running;
    std::deque<job> queue;
    std::uint64_t calls = 0;
  };
  struct model_instance {
    server_table table;
    base::random_source random;
    std::map<std::string, routing::latency_window> latency;
    std::deque<model_request> waiting;
    std::uint64_t next_call = 1;
    bool changed = false;
  };

  static base::backend_server_id IdOf(std::size_t index) {
    return base::backend_server_id("s" + std::to_string(index));
  }
  static std::string DataCentreName(std::size_t index) { return "dc" + std::to_string(index); }

  double NextNormal() {
    constexpr double kTwoPi = 6.283185307179586;
    return std::sqrt(-2 * std::log(std::max(base::NextUnit(random_), 1e-12))) *
           std::cos(kTwoPi * base::NextUnit(random_));
  }

  void Arrive() {
    const double seconds_per_step = std::chrono::duration<double>(kStep).count();
    for (const model_load& load : loads_) {
      if (base::NextUnit(random_) >= load.rate * seconds_per_step) continue;
      const std::size_t instance = base::NextBelow(random_, kInstances);
      instances_[instance].waiting.push_back({load.route, load.work_ms, now_});
      instances_[instance].changed = true;
    }
  }

  base::duration DelayTo(std::size_t instance, std::size_t index) const {
    const bool near = servers_[index].state.data_centre == instance % kDataCentres;
    return near ? std::chrono::microseconds(500) : std::chrono::microseconds(900);
  }

  base::duration Typical(const model_instance& each, const model_request& request) const {
    const auto found = each.latency.find(request.route);
    if (found == each.latency.end() || routing::LatencySamples(found->second) < 8)
      return base::duration(static_cast<std::int64_t>(request.work_ms * kTarget * 1'000 / 4));
    return std::max<base::duration>(found->second.median, milliseconds(1));
  }

  /// Knows the true speeds, knees and queues of all servers.
  std::optional<std::size_t> ChooseByOracle(std::size_t instance) const {
    std::optional<std::size_t> best;
    double best_time = 0;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const model_server& state = servers_[i].state;
      if (state.paused_until > now_) continue;
      const auto work = static_cast<double>(servers_[i].running.size() + servers_[i].queue.size() + in_flight_[i]);
      const double capacity = std::min<double>(state.knee, state.slots);
      // Beyond a steep knee, each further call lowers the throughput.
      if (work >= (state.steepness > 1 ? 1 : 2) * capacity) continue;
      const double time = state.speed * std::pow(std::max(1.0, (work + 1) / capacity), state.steepness) +
                          2e-3 * static_cast<double>(DelayTo(instance, i).count()) / 20;
      if (best.has_value() && time >= best_time) continue;
      best = i;
      best_time = time;
    }
    return best;
  }

  void TellTruth(model_instance& each) {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const model_server& state = servers_[i].state;
      routing::concurrency_estimate& estimate = each.table.servers.at(IdOf(i)).concurrency;
      estimate.share = std::min(state.knee / state.slots, 1.0);
      estimate.speed = state.speed;
      estimate.updated = now_;
    }
  }

  std::optional<std::size_t> ChooseByProduct(std::size_t instance) {
    model_instance& each = instances_[instance];
    static const std::vector<base::backend_server_id> none;
    choice_rules rules;
    rules.own_data_centre = base::data_centre_id(DataCentreName(instance % kDataCentres));
    rules.max_running = 2 * servers_.front().state.slots + 1;
    rules.excluded = &none;
    if (known_ == knowledge::kTrueServers) TellTruth(each);
    const choice chosen = ChooseServer(each.table, base::service_id("svc"), rules, now_, each.random);
    if (chosen.state != choice_state::kChosen) return std::nullopt;
    return static_cast<std::size_t>(std::stoul(chosen.server.value.substr(1)));
  }

  void Dispatch(std::size_t instance) {
    model_instance& each = instances_[instance];
    constexpr base::duration kTick = milliseconds(5);
    if (!each.changed && now_.time_since_epoch() % kTick != base::duration::zero()) return;
    each.changed = false;
    in_flight_.resize(servers_.size());
    while (!each.waiting.empty()) {
      const std::optional<std::size_t> chosen =
          known_ == knowledge::kEverything ? ChooseByOracle(instance) : ChooseByProduct(instance);
      if (!chosen.has_value()) return;
      Send(instance, *chosen, each.waiting.front());
      each.waiting.pop_front();
    }
  }

  void Send(std::size_t instance, std::size_t index, const model_request& request) {
    constexpr double kSpread = 0.35;
    constexpr double kNoiseShare = 0.15;
    constexpr double kNoiseFactor = 2.5;
    model_instance& each = instances_[instance];
    const call_id id(each.next_call++);
    NoteCallStart(each.table.servers.at(IdOf(index)), {id, now_, Typical(each, request)});
    double work = request.work_ms * 1'000 * std::exp(kSpread * NextNormal());
    if (base::NextUnit(random_) < kNoiseShare) work *= kNoiseFactor;
    ++in_flight_[index];
    events_.emplace(now_ + DelayTo(instance, index), [this, index, sent = job{instance, id, request, work, now_}] {
      --in_flight_[index];
      busy_server& target = servers_[index];
      ++target.calls;
      if (target.running.size() < target.state.slots) {
        target.running.push_back(sent);
      } else {
        target.queue.push_back(sent);
      }
    });
  }

  void Advance(std::size_t index) {
    busy_server& each = servers_[index];
    if (each.state.paused_until > now_ || each.running.empty()) return;
    const double sharing =
        std::pow(std::max(1.0, static_cast<double>(each.running.size()) / each.state.knee), each.state.steepness);
    const double progress = static_cast<double>(kStep.count()) / (each.state.speed * sharing);
    for (job& running : each.running)
      running.remaining_us -= progress;
    for (std::size_t i = 0; i < each.running.size();) {
      if (each.running[i].remaining_us > 0) {
        ++i;
        continue;
      }
      const server_load load{static_cast<std::uint32_t>(each.running.size()),
                             static_cast<std::uint32_t>(each.queue.size()), each.state.slots, 1};
      const job done = each.running[i];
      each.running.erase(each.running.begin() + static_cast<std::ptrdiff_t>(i));
      if (!each.queue.empty()) {
        each.running.push_back(each.queue.front());
        each.queue.pop_front();
      }
      events_.emplace(now_ + DelayTo(done.instance, index), [this, index, done, load] { End(index, done, load); });
    }
  }

  void End(std::size_t index, const job& done, const server_load& load) {
    model_instance& each = instances_[done.instance];
    each.changed = true;
    NoteCallEnd(each.table.servers.at(IdOf(index)), done.id, call_verdict::kServed, now_ - done.sent, load, now_);
    routing::latency_window& window = each.latency[done.request.route];
    routing::AddLatency(window, now_ - done.sent, now_);
    routing::RefreshSummary(window, 0.05, now_);
    if (done.request.route != "main") return;
    ++ended_;
    const auto target = base::duration(static_cast<std::int64_t>(kTarget * done.request.work_ms * 1'000));
    if (now_ - done.request.created <= target) ++timely_;
  }

  base::random_source random_;
  knowledge known_;
  base::time_point now_{seconds(1'000)};
  std::vector<busy_server> servers_;
  std::vector<std::size_t> in_flight_;
  std::vector<model_instance> instances_;
  std::vector<model_load> loads_;
  std::multimap<base::time_point, std::function<void()>> events_;
  std::uint64_t timely_ = 0;
  std::uint64_t ended_ = 0;
};

}  // namespace limpetrouter::core::forwarding
