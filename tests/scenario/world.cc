#include "tests/scenario/world.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <stdexcept>
#include <utility>
#include <variant>

#include <fmt/format.h>

#include "core/config/parse.h"
#include "core/peer/codec.h"

namespace limpetrouter::tests::scenario {

namespace io = core::io;

namespace {

/// A stream message to a process that does not listen fails after this long.
constexpr base::duration kRefuseDelay = std::chrono::microseconds(400);
/// A watch of the platform looks for a newer revision this often.
constexpr base::duration kWatchStep = std::chrono::milliseconds(20);

bool IsControl(const peer::message& message) {
  return std::holds_alternative<peer::probe>(message.body) || std::holds_alternative<peer::probe_ack>(message.body) ||
         std::holds_alternative<peer::indirect_probe>(message.body) ||
         std::holds_alternative<peer::announce>(message.body) ||
         std::holds_alternative<peer::table_exchange>(message.body) ||
         std::holds_alternative<peer::configuration_request>(message.body) ||
         std::holds_alternative<peer::configuration_value>(message.body);
}

}  // namespace

bool Matches(const std::string& pattern, const std::string& text) {
  const std::size_t star = pattern.find('*');
  if (star == std::string::npos) return pattern == text;
  const std::string start = pattern.substr(0, star);
  const std::string end = pattern.substr(star + 1);
  return text.size() >= start.size() + end.size() && text.starts_with(start) && text.ends_with(end);
}

world::world(std::uint64_t seed, const nlohmann::json& document, std::vector<instance_spec> instances,
             network_spec network)
    : random_{seed}, network_(network) {
  Publish(document);
  for (const auto& item : document.at("inventory").at("backend_servers")) {
    fake_backend server;
    server.id = item.at("id");
    server.data_centre = item.at("data_centre");
    server.address = item.at("address");
    server.slots = item.at("slots");
    server.queue_limit = server.slots;
    server.connection_limit = item.at("connections");
    server.connect_cost = std::chrono::microseconds(item.value("connect_cost_us", 0));
    backends_[server.id] = server;
  }
  for (instance_spec& spec : instances) {
    process& p = processes_[spec.id];
    p.spec = std::move(spec);
    list_history_[p.spec.id] = {{base::time_point{}, true, false}};
  }
  for (auto& [id, p] : processes_)
    Start(id);
}

void world::Schedule(base::duration delay, std::function<void()> action) {
  actions_.push({now_ + std::max(delay, base::duration{0}), next_order_++, std::move(action)});
}

void world::At(base::duration when, std::function<void()> action) {
  actions_.push({base::time_point(std::chrono::seconds(1)) + when, next_order_++, std::move(action)});
}

void world::RunUntil(base::duration when) {
  const base::time_point end = base::time_point(std::chrono::seconds(1)) + when;
  while (!actions_.empty() && actions_.top().at <= end) {
    const timed_action next = actions_.top();
    actions_.pop();
    now_ = next.at;
    next.run();
  }
  now_ = end;
}

void world::Poll(base::duration delay, std::function<bool()> look) {
  Schedule(delay, [this, look = std::move(look)] {
    if (!look()) Poll(kWatchStep, look);
  });
}

double world::NextNormal() {
  const double u = std::max(base::NextUnit(random_), 1e-12);
  const double v = base::NextUnit(random_);
  return std::sqrt(-2.0 * std::log(u)) * std::cos(2.0 * std::numbers::pi * v);
}

world::process& world::ProcessOf(const std::string& instance) {
  const auto it = processes_.find(instance);
  if (it == processes_.end()) throw std::invalid_argument(fmt::format("no instance '{}'", instance));
  return it->second;
}

core::instance::instance* world::Find(const std::string& instance) {
  process& p = ProcessOf(instance);
  return p.running ? p.core.get() : nullptr;
}

fake_backend& world::backend(const std::string& id) {
  const auto it = backends_.find(id);
  if (it == backends_.end()) throw std::invalid_argument(fmt::format("no backend server '{}'", id));
  return it->second;
}

std::vector<std::string> world::BackendsMatching(const std::string& pattern) const {
  std::vector<std::string> found;
  for (const auto& [id, server] : backends_) {
    const bool by_place = pattern.rfind("dc:", 0) == 0 && server.data_centre == pattern.substr(3);
    if (by_place || Matches(pattern, id)) found.push_back(id);
  }
  if (found.empty()) throw std::invalid_argument(fmt::format("no backend server matches '{}'", pattern));
  return found;
}

std::vector<std::string> world::InstancesMatching(const std::string& pattern) const {
  std::vector<std::string> found;
  for (const auto& [id, p] : processes_) {
    const bool by_place = pattern.rfind("dc:", 0) == 0 && p.spec.data_centre == pattern.substr(3);
    if (by_place || Matches(pattern, id)) found.push_back(id);
  }
  if (found.empty()) throw std::invalid_argument(fmt::format("no instance matches '{}'", pattern));
  return found;
}

void world::Start(const std::string& instance) {
  process& p = ProcessOf(instance);
  if (p.running) return;
  ++p.life;
  core::membership::identity self;
  self.ref = {base::instance_id(instance), base::incarnation_id(p.life * 1'000'000 + now_.time_since_epoch().count())};
  self.data_centre.value = p.spec.data_centre;
  self.peer_address = "peer:" + instance;
  self.http_address = "http:" + instance;
  p.core =
      std::make_unique<core::instance::instance>(core::instance::MakeInstance(self, base::NextRandom(random_), now_));
  p.core->forwarding.enabled = forward_.enabled();
  // Callers of the product's own interface use an address for longer than those of forwarded requests.
  p.core->forwarding.bounds.shutdown_grace = std::chrono::seconds(30);
  p.running = true;
  p.frozen = false;
  p.held.clear();
  p.last_revision = 0;
  trace_.lives.push_back({self.ref, now_});
  list_history_[instance].push_back({now_, true, false});
  Schedule(base::duration(base::NextBelow(random_, 5000)), [this, instance, life = p.life] { Tick(instance, life); });
}

life_record& world::LastLife(const std::string& instance) {
  const auto life = std::find_if(trace_.lives.rbegin(), trace_.lives.rend(),
                                 [&instance](const life_record& l) { return l.instance.id.value == instance; });
  return *life;
}

void world::Kill(const std::string& instance) {
  process& p = ProcessOf(instance);
  if (!p.running) return;
  p.running = false;
  life_record& life = LastLife(instance);
  life.ended = now_;
  life.killed = !p.core->exited;
  for (const auto& pending : p.requests_by_handle) {
    const std::size_t request = pending.second;
    // The caller sees its connection close.
    ++trace_.requests[request].lost_connections;
    trace_.requests[request].losses.push_back({now_, base::instance_id(instance), true});
    Schedule(network_.from_callers, [this, request, instance] { Resend(request, 1, instance); });
  }
  LoseForwardTries(instance);
  p.requests_by_handle.clear();
  p.calls.clear();
  p.connections.clear();
  list_history_[instance].push_back({now_, false, false});
}

void world::Leave(const std::string& instance) {
  process& p = ProcessOf(instance);
  if (!p.running) return;
  LastLife(instance).leave = now_;
  list_history_[instance].push_back({now_, true, true});
  Deliver(instance, p.life, io::leave_requested{});
}

void world::Freeze(const std::string& instance, base::duration time) {
  process& p = ProcessOf(instance);
  if (!p.running) return;
  p.frozen = true;
  trace_.outages.push_back({base::instance_id(instance), now_, now_ + time});
  Schedule(time, [this, instance, life = p.life] {
    process& woken = ProcessOf(instance);
    if (!woken.running || woken.life != life) return;
    woken.frozen = false;
    Tick(instance, life);
    std::vector<io::event> held = std::move(woken.held);
    woken.held.clear();
    for (io::event& event : held)
      Deliver(instance, life, std::move(event));
  });
}

void world::Cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
void world::Heal(const std::string& from, const std::string& to) { cuts_.erase({from, to}); }

bool world::IsCut(const std::string& from, const std::string& to) const {
  if (cuts_.empty()) return false;
  const auto dc = [this](const std::string& name) {
    const auto p = processes_.find(name);
    if (p != processes_.end()) return p->second.spec.data_centre;
    const auto b = backends_.find(name);
    return b != backends_.end() ? b->second.data_centre : std::string();
  };
  const std::string from_dc = dc(from);
  const std::string to_dc = dc(to);
  for (const auto& [a, b] : cuts_) {
    const bool from_matches = a == from || a == from_dc || (a == "*" && b != from && b != from_dc);
    const bool to_matches = b == to || b == to_dc || (b == "*" && a != to && a != to_dc);
    if (from_matches && to_matches) return true;
  }
  return false;
}

base::duration world::Delay(const std::string& from_dc, const std::string& to_dc) {
  const base::duration fixed = from_dc == to_dc ? network_.within : network_.between;
  return fixed + base::duration(base::NextBelow(random_, static_cast<std::uint64_t>(network_.jitter.count()) + 1));
}

void world::Tick(const std::string& instance, std::uint64_t life) {
  process& p = ProcessOf(instance);
  if (!p.running || p.life != life || p.frozen) return;
  io::command_list commands;
  core::instance::RunTick(*p.core, now_, commands);
  Execute(p, commands);
  if (p.running) Schedule(core::instance::kTickInterval, [this, instance, life] { Tick(instance, life); });
}

void world::Deliver(const std::string& instance, std::uint64_t life, io::event event) {
  process& p = ProcessOf(instance);
  if (!p.running || p.life != life) return;
  if (p.frozen) {
    p.held.push_back(std::move(event));
    return;
  }
  io::command_list commands;
  core::instance::HandleEvent(*p.core, event, now_, commands);
  Execute(p, commands);
}

void world::NoteRevision(process& p) {
  const core::config::configuration_ptr& config = p.core->membership.store.in_force;
  const std::uint64_t revision = config == nullptr ? 0 : config->revision.value;
  if (revision == p.last_revision) return;
  p.last_revision = revision;
  trace_.revisions.push_back(
      {now_, p.core->membership.members.self.ref, revision, config == nullptr ? 0 : config->digest});
}

void world::Execute(process& p, io::command_list& commands) {
  NoteRevision(p);
  const std::string id = p.spec.id;
  for (io::command& command : commands) {
    if (!p.running) return;
    if (ExecuteForwarding(p, command)) continue;
    if (auto* reply = std::get_if<io::reply_query>(&command)) {
      const auto it = p.requests_by_handle.find(reply->handle.value);
      if (it == p.requests_by_handle.end()) continue;
      const std::size_t request = it->second;
      p.requests_by_handle.erase(it);
      Schedule(network_.from_callers,
               [this, request, id, answer = std::move(reply->answer)] { ReceiveAnswer(request, id, answer); });
    } else if (auto* addresses = std::get_if<io::reply_addresses>(&command)) {
      const auto waiter = address_waiters_.find(addresses->handle.value);
      if (waiter == address_waiters_.end()) continue;
      Schedule(network_.from_callers, [then = std::move(waiter->second), answer = addresses->answer] { then(answer); });
      address_waiters_.erase(waiter);
    } else if (auto* send = std::get_if<io::send_peer>(&command)) {
      SendPeer(p, *send);
    } else if (auto* call = std::get_if<io::call_backend>(&command)) {
      CallBackend(p, *call);
    } else if (auto* cancel = std::get_if<io::cancel_backend_call>(&command)) {
      CancelBackend(p, *cancel);
    } else if (auto* probe = std::get_if<io::probe_backend>(&command)) {
      ProbeBackend(p, *probe);
    } else if (auto* read = std::get_if<io::read_configuration>(&command)) {
      ReadConfiguration(p, *read);
    } else if (std::holds_alternative<io::read_instance_list>(command)) {
      ReadInstanceList(p);
    } else if (auto* line = std::get_if<io::log_decision>(&command)) {
      if (!keep_log_) continue;
      std::string text = fmt::format(
          "{:>9.3f} {} {}", std::chrono::duration<double>(now_.time_since_epoch()).count() - 1, id, line->decision);
      for (const auto& [name, value] : line->fields)
        text += fmt::format(" {}={}", name, value);
      trace_.log.push_back(std::move(text));
    } else if (std::holds_alternative<io::exit_process>(command)) {
      Kill(id);
    }
  }
}

void world::SendPeer(process& p, const io::send_peer& send) {
  const std::string from = p.spec.id;
  const std::string to = send.target.value;
  if (IsControl(send.message)) {
    ++trace_.datagrams;
    trace_.control_bytes += core::peer::EncodeMessage(send.message).size();
  }
  const auto target = processes_.find(to);
  if (target == processes_.end() || IsCut(from, to)) return;
  const base::duration delay = Delay(p.spec.data_centre, target->second.spec.data_centre);
  const bool stream = send.via == io::transport::kStream;
  if (!target->second.running) {
    if (!stream) return;
    Schedule(delay * 2 + kRefuseDelay, [this, from, life = p.life, send] {
      Deliver(from, life, io::peer_send_failed{send.target, false, send.message});
    });
    return;
  }
  base::time_point at = now_ + delay;
  if (stream) {
    base::time_point& last = stream_order_[{from, to}];
    at = std::max(at, last);
    last = at;
  }
  const auto deliver = [this, to, life = target->second.life, message = send.message, from] {
    Deliver(to, life, io::peer_message_received{message, "peer:" + from});
  };
  Schedule(at - now_, deliver);
  if (base::NextUnit(random_) < network_.duplicate_share) Schedule(at - now_ + delay, deliver);
}

// --- Platform -----------------------------------------------------------------------------------------------------

void world::Publish(const nlohmann::json& document) {
  const std::uint64_t revision = published_.empty() ? 1 : published_.rbegin()->first + 1;
  published_[revision] = document;
  const auto parsed = core::config::ParseConfiguration(base::revision_id(revision), document);
  configurations_[revision] = parsed.has_value() ? *parsed : nullptr;
  trace_.publications.push_back({now_, revision, parsed.has_value()});
  if (parsed.has_value()) NoteInventoryDrains(**parsed);
}

void world::NoteInventoryDrains(const core::config::configuration& config) {
  for (const core::config::backend_server& server : config.backend_servers) {
    const auto open = std::find_if(trace_.drains.begin(), trace_.drains.end(), [&](const drain_record& drain) {
      return drain.backend_server == server.id.value && drain.revision != 0 && drain.undone == base::time_point::max();
    });
    const bool leaving = server.state == core::config::backend_state::kLeaving;
    if (leaving && open == trace_.drains.end()) {
      trace_.drains.push_back({now_, server.id.value, base::time_point::max(), config.revision.value});
    } else if (!leaving && open != trace_.drains.end()) {
      open->undone = now_;
    }
  }
}

core::config::configuration_ptr world::ConfigurationAt(std::uint64_t revision) const {
  const auto it = configurations_.find(revision);
  return it == configurations_.end() ? nullptr : it->second;
}

void world::SetPlatformCut(const std::string& instance, bool cut) {
  if (cut) {
    platform_cuts_.insert(instance);
  } else {
    platform_cuts_.erase(instance);
  }
}

std::uint64_t world::VisibleRevision() const {
  return stale_revision_.has_value() ? *stale_revision_ : published_.rbegin()->first;
}

void world::ReadConfiguration(process& p, const io::read_configuration& read) {
  constexpr base::duration kServiceTime = std::chrono::milliseconds(2);
  ++trace_.platform_calls_by_second[std::chrono::duration_cast<std::chrono::seconds>(now_.time_since_epoch()).count()];
  const std::string id = p.spec.id;
  const std::uint64_t life = p.life;
  const base::time_point give_up = now_ + read.wait;
  // A watch looks again until there is a newer revision or its time is over.
  Poll(kServiceTime, [this, id, life, read, give_up] {
    if (platform_down_ || platform_cuts_.contains(id)) {
      Deliver(id, life, io::configuration_read_failed{{base::error_kind::kPlatformUnavailable, "service is down"}});
      return true;
    }
    const std::uint64_t revision = VisibleRevision();
    const bool watch = read.wait > base::duration{0};
    if (!watch || revision > read.after.value) {
      const nlohmann::json& document = published_.at(revision);
      const auto text = [&document](const char* name) { return document.at(name).dump(); };
      Deliver(
          id, life,
          io::configuration_read{{base::revision_id(revision), text("inventory"), text("rules"), text("shard_maps")}});
      return true;
    }
    if (now_ < give_up) return false;
    Deliver(id, life, io::configuration_read_failed{{base::error_kind::kConfigurationStale, "no newer revision"}});
    return true;
  });
}

void world::ReadInstanceList(process& p) {
  ++trace_.platform_calls_by_second[std::chrono::duration_cast<std::chrono::seconds>(now_.time_since_epoch()).count()];
  io::instance_list_read read;
  read.succeeded = !platform_down_ && !platform_cuts_.contains(p.spec.id);
  const base::time_point seen = now_ - list_lag_;
  for (const auto& [id, history] : list_history_) {
    const list_state* state = nullptr;
    for (const list_state& entry : history) {
      if (entry.at <= seen) state = &entry;
    }
    // The list of the start holds everyone, so that the first instances find each other.
    if (state == nullptr) state = &history.front();
    if (!state->listed || !read.succeeded) continue;
    read.instances.push_back({base::instance_id(id), base::data_centre_id(ProcessOf(id).spec.data_centre), "peer:" + id,
                              "http:" + id, state->leaving});
  }
  Schedule(std::chrono::milliseconds(2),
           [this, id = p.spec.id, life = p.life, read = std::move(read)] { Deliver(id, life, read); });
}

}  // namespace limpetrouter::tests::scenario
