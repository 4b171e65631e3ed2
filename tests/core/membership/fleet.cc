#include "tests/core/membership/fleet.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "core/peer/codec.h"
#include "tests/core/config/test_configuration.h"

namespace limpetrouter::core::membership {
namespace {

using std::chrono::milliseconds;

constexpr base::duration kTick = milliseconds(5);
constexpr base::duration kServiceTime = milliseconds(5);

/// One-way delay. The first half of the data centres forms one region and the second half another one, 40 ms apart.
base::duration Delay(const simulated_fleet& fleet, std::size_t a, std::size_t b) {
  const std::size_t first = a % fleet.data_centres;
  const std::size_t second = b % fleet.data_centres;
  if (first == second) return std::chrono::microseconds(500);
  const std::size_t region_boundary = (fleet.data_centres + 1) / 2;
  return (first < region_boundary) == (second < region_boundary) ? milliseconds(2) : milliseconds(40);
}

void Schedule(simulated_fleet& fleet, base::duration delay, std::size_t index, io::event event) {
  fleet.events.emplace(fleet.now + delay, std::pair(index, std::move(event)));
}

void ExecuteSend(simulated_fleet& fleet, std::size_t from, const io::send_peer& send) {
  simulated_instance& sender = *fleet.instances[from];
  const std::uint64_t size = peer::EncodeMessage(send.message).size();
  sender.bytes_sent += size;
  const auto found = fleet.by_address.find(send.address);
  if (found != fleet.by_address.end() && found->second % fleet.data_centres != from % fleet.data_centres)
    sender.cross_dc_bytes_sent += size;
  const auto it = fleet.by_address.find(send.address);
  const bool datagram = send.via == io::transport::kDatagram;
  const bool lost = datagram && base::NextUnit(fleet.random) < fleet.datagram_loss;
  if (it == fleet.by_address.end() || lost) return;
  const std::size_t to = it->second;
  if (!fleet.instances[to]->running || fleet.is_partitioned(from, to)) {
    if (!datagram) Schedule(fleet, milliseconds(100), from, io::peer_send_failed{send.target, false, send.message});
    return;
  }
  // A stream may need a new connection first, which costs another round trip.
  const base::duration delay = Delay(fleet, from, to) * (datagram ? 1 : 3);
  Schedule(fleet, delay, to, io::peer_message_received{send.message, ""});
}

void ExecuteRead(simulated_fleet& fleet, std::size_t from, const io::read_configuration& read) {
  ++fleet.instances[from]->service_calls;
  if (fleet.is_service_unreachable(from) || fleet.source.revision.value == 0) {
    Schedule(fleet, kServiceTime, from,
             io::configuration_read_failed{{base::error_kind::kPlatformUnavailable, "service down"}});
  } else if (fleet.source.revision > read.after) {
    Schedule(fleet, kServiceTime, from, io::configuration_read{fleet.source});
  } else {
    fleet.watches.emplace(fleet.now + read.wait, std::pair(from, read.after));
  }
}

io::instance_list_read MakeInstanceList(const simulated_fleet& fleet) {
  io::instance_list_read list;
  list.succeeded = true;
  for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
    const identity& self = fleet.instances[i]->tables.members.self;
    const bool leaving =
        std::find(fleet.listed_leaving.begin(), fleet.listed_leaving.end(), i) != fleet.listed_leaving.end();
    list.instances.push_back({self.ref.id, self.data_centre, self.peer_address, self.http_address, leaving});
  }
  return list;
}

void ExecuteCommands(simulated_fleet& fleet, std::size_t index, const io::command_list& out) {
  for (const io::command& command : out) {
    if (const auto* const send = std::get_if<io::send_peer>(&command)) ExecuteSend(fleet, index, *send);
    if (const auto* const read = std::get_if<io::read_configuration>(&command)) ExecuteRead(fleet, index, *read);
    if (std::holds_alternative<io::read_instance_list>(command))
      Schedule(fleet, kServiceTime, index, MakeInstanceList(fleet));
  }
}

void HandleMessage(membership_tables& tables, instance::context& ctx, const peer::message& message) {
  const peer::message_header& header = message.header;
  HandleHeader(tables, ctx, header);
  if (const auto* const m = std::get_if<peer::probe>(&message.body)) HandleProbe(tables, ctx, header, *m);
  if (const auto* const m = std::get_if<peer::probe_ack>(&message.body)) HandleProbeAck(tables, ctx, header, *m);
  if (const auto* const m = std::get_if<peer::indirect_probe>(&message.body)) {
    HandleIndirectProbe(tables, ctx, header, *m);
  }
  if (const auto* const m = std::get_if<peer::announce>(&message.body)) HandleAnnounce(tables, ctx, header, *m);
  if (const auto* const m = std::get_if<peer::table_exchange>(&message.body)) {
    HandleTableExchange(tables, ctx, header, *m);
  }
  if (const auto* const m = std::get_if<peer::configuration_request>(&message.body)) {
    HandleConfigurationRequest(tables, ctx, header, *m);
  }
  if (const auto* const m = std::get_if<peer::configuration_value>(&message.body)) {
    HandleConfigurationValue(tables, ctx, header, *m);
  }
}

void Deliver(simulated_fleet& fleet, std::size_t index, const io::event& event) {
  simulated_instance& instance = *fleet.instances[index];
  if (!instance.running) return;
  if (instance.frozen) {
    instance.pending_events.push_back(event);
    return;
  }
  io::command_list out;
  instance::context ctx = MakeContext(fleet, index, out);
  membership_tables& tables = instance.tables;
  if (const auto* const e = std::get_if<io::peer_message_received>(&event)) HandleMessage(tables, ctx, e->message);
  if (const auto* const e = std::get_if<io::peer_send_failed>(&event)) HandleSendFailed(tables, ctx, *e);
  if (const auto* const e = std::get_if<io::configuration_read>(&event)) HandleConfigurationRead(tables, ctx, *e);
  if (const auto* const e = std::get_if<io::configuration_read_failed>(&event)) {
    HandleConfigurationReadFailed(tables, ctx, *e);
  }
  if (const auto* const e = std::get_if<io::instance_list_read>(&event)) HandleInstanceList(tables, ctx, *e);
  ExecuteCommands(fleet, index, out);
}

void CompleteWatches(simulated_fleet& fleet) {
  for (auto it = fleet.watches.begin(); it != fleet.watches.end();) {
    const auto [index, after] = it->second;
    if (fleet.source.revision > after) {
      Schedule(fleet, kServiceTime, index, io::configuration_read{fleet.source});
    } else if (it->first <= fleet.now) {
      Schedule(fleet, kServiceTime, index,
               io::configuration_read_failed{{base::error_kind::kConfigurationStale, "no newer revision"}});
    } else {
      ++it;
      continue;
    }
    it = fleet.watches.erase(it);
  }
}

void Tick(simulated_fleet& fleet, std::size_t index) {
  simulated_instance& instance = *fleet.instances[index];
  if (!instance.running || instance.frozen) return;
  io::command_list out;
  instance::context ctx = MakeContext(fleet, index, out);
  const base::duration gap = fleet.now - instance.last_run;
  if (instance.last_run != base::time_point{} && gap > std::chrono::seconds(1)) {
    HandlePause(instance.tables, ctx, gap);
  }
  instance.last_run = fleet.now;
  ExecuteCommands(fleet, index, out);
  for (const io::event& event : std::exchange(instance.pending_events, {}))
    Deliver(fleet, index, event);
  out.clear();
  instance::context run_ctx = MakeContext(fleet, index, out);
  RunMembership(instance.tables, run_ctx);
  ExecuteCommands(fleet, index, out);
}

void Step(simulated_fleet& fleet) {
  fleet.now += kTick;
  CompleteWatches(fleet);
  while (!fleet.events.empty() && fleet.events.begin()->first <= fleet.now) {
    auto node = fleet.events.extract(fleet.events.begin());
    Deliver(fleet, node.mapped().first, node.mapped().second);
  }
  for (std::size_t i = 0; i < fleet.instances.size(); ++i)
    Tick(fleet, i);
}

void Start(simulated_fleet& fleet, std::size_t index, std::uint64_t incarnation) {
  auto created = std::make_unique<simulated_instance>();
  identity& self = created->tables.members.self;
  self.ref = {base::instance_id("k" + std::to_string(index)), base::incarnation_id(incarnation)};
  self.data_centre = base::data_centre_id("dc" + std::to_string(index % fleet.data_centres));
  self.peer_address = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":9101";
  self.http_address = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":8101";
  created->random.state = base::NextRandom(fleet.random);
  fleet.by_address[self.peer_address] = index;
  fleet.instances[index] = std::move(created);
}

}  // namespace

simulated_fleet MakeFleet(std::size_t count, std::uint64_t seed, std::uint32_t data_centres) {
  simulated_fleet fleet;
  fleet.random.state = seed;
  fleet.data_centres = data_centres;
  fleet.instances.resize(count);
  for (std::size_t i = 0; i < count; ++i)
    Start(fleet, i, 1'764'825'298'000'000 + i);
  return fleet;
}

void Restart(simulated_fleet& fleet, std::size_t index) {
  Start(fleet, index, fleet.instances[index]->tables.members.self.ref.incarnation.value + 1'000'000);
}

void Run(simulated_fleet& fleet, base::duration span) {
  for (const base::time_point end = fleet.now + span; fleet.now < end;)
    Step(fleet);
}

base::duration RunUntil(simulated_fleet& fleet, base::duration limit, const std::function<bool()>& condition) {
  const base::time_point start = fleet.now;
  while (fleet.now - start < limit && !condition())
    Step(fleet);
  return fleet.now - start;
}

void Publish(simulated_fleet& fleet, std::uint64_t revision) {
  nlohmann::json document = config::MakeTestDocument();
  document["rules"]["limits"]["max_permits"] = 1000 + revision;
  fleet.source = config::MakeSource(revision, document);
}

std::size_t CountState(const simulated_fleet& fleet, std::size_t index, peer::member_state state) {
  const base::instance_ref ref = fleet.instances[index]->tables.members.self.ref;
  std::size_t count = 0;
  for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
    if (i == index || !fleet.instances[i]->running) continue;
    const member* const entry = FindMember(fleet.instances[i]->tables.members, ref.id);
    if (entry != nullptr && entry->info.member == ref && entry->info.state == state) ++count;
  }
  return count;
}

bool IsConverged(const simulated_fleet& fleet) {
  for (const auto& instance : fleet.instances) {
    if (!instance->running) continue;
    for (const auto& other : fleet.instances) {
      if (!other->running || other == instance) continue;
      const base::instance_ref& ref = other->tables.members.self.ref;
      const member* const entry = FindMember(instance->tables.members, ref.id);
      if (entry == nullptr || entry->info.member != ref || entry->info.state != peer::member_state::kAlive)
        return false;
    }
  }
  return true;
}

std::size_t CountRevision(const simulated_fleet& fleet, std::uint64_t revision) {
  return static_cast<std::size_t>(
      std::count_if(fleet.instances.begin(), fleet.instances.end(), [revision](const auto& instance) {
        const config::configuration_ptr& config = instance->tables.store.in_force;
        return instance->running && config != nullptr && config->revision.value == revision;
      }));
}

instance::context MakeContext(simulated_fleet& fleet, std::size_t index, io::command_list& out) {
  simulated_instance& instance = *fleet.instances[index];
  return instance::context{fleet.now,
                           instance.tables.store.in_force,
                           instance.tables.members,
                           instance.holders,
                           instance.tables.facts,
                           instance.random,
                           out,
                           instance.tables.members.self_leaving};
}

}  // namespace limpetrouter::core::membership
