#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "forwarding_world.h"

namespace limpetrouter::core::forwarding {

/// What the platform's store holds, and its history.
struct store_contents {
  std::uint64_t revision = 10;
  std::map<std::string, server_record> servers;
  std::map<std::string, std::uint64_t> removals;
  /// Revisions of the orders to evacuate data centres, and of the removals of such orders.
  std::map<std::string, std::uint64_t> evacuated;
  std::map<std::string, std::uint64_t> lifted;
  routing_table_ptr routing;
  std::uint64_t routing_revision = 0;

  void Write(server_record record) {
    record.revision = ++revision;
    removals.erase(record.id.value);
    servers[record.id.value] = std::move(record);
  }
  void Remove(const std::string& id) {
    servers.erase(id);
    removals[id] = ++revision;
  }
  void Evacuate(const std::string& data_centre) {
    lifted.erase(data_centre);
    evacuated[data_centre] = ++revision;
  }
  void EndEvacuation(const std::string& data_centre) {
    evacuated.erase(data_centre);
    lifted[data_centre] = ++revision;
  }
  void Configure(std::uint64_t version, std::map<base::service_id, service_rules> services = {}) {
    auto table = std::make_shared<routing_table>();
    table->version = version;
    table->services = std::move(services);
    routing = table;
    routing_revision = ++revision;
  }
  /// Returns the changes after a revision; 0 for everything.
  published_changes ChangesAfter(std::uint64_t after) const {
    published_changes changes;
    changes.complete = after == 0;
    changes.position.revision = revision;
    for (const auto& [id, record] : servers) {
      if (record.revision > after) changes.servers.push_back(record);
    }
    for (const auto& [id, removed_at] : removals) {
      if (after > 0 && removed_at > after) changes.removed.emplace_back(id, removed_at);
    }
    for (const auto& [data_centre, ordered_at] : evacuated) {
      if (ordered_at > after) changes.evacuated.push_back({base::data_centre_id(data_centre), ordered_at});
    }
    for (const auto& [data_centre, lifted_at] : lifted) {
      if (after > 0 && lifted_at > after)
        changes.evacuations_lifted.emplace_back(base::data_centre_id(data_centre), lifted_at);
    }
    if (routing_revision > after) changes.routing = routing;
    return changes;
  }
};

/// Simulates instances of a data centre, four unless another number is given, and a store that can be restored from an
/// older copy of its contents. Messages between instances arrive at once.
struct store_world {
  static constexpr std::size_t kInstances = 4;
  std::size_t count;
  std::vector<std::unique_ptr<forwarding_fixture>> instances;
  std::map<std::size_t, io::watch_published> watches;
  std::map<std::size_t, base::time_point> watch_ends;
  store_contents store;
  std::uint64_t epoch = 1;
  /// What reads that may be stale show, if it differs from `store`.
  std::optional<store_contents> stale;
  /// Instances that cannot reach the store. Their reads end without an answer, or, if `silent`, do not end.
  std::set<std::size_t> cut;
  bool silent = false;
  /// Instances that do not run.
  std::set<std::size_t> stopped;
  /// Messages with the rules for cold servers are lost while this is set.
  bool loses_rules = false;
  /// Number of messages with these rules that were sent.
  std::size_t rules_messages = 0;
  std::size_t reads = 0;
  /// Reads that cost a full call. A list that may be stale costs a tenth.
  std::size_t full_reads = 0;
  base::time_point now{seconds(1'000)};
  /// Highest version that each instance has had in force.
  std::vector<std::uint64_t> newest;
  bool regressed = false;

  /// Without `configured`, the store has no configuration, and no time has passed.
  explicit store_world(std::size_t instance_count = kInstances, bool configured = true)
      : count(instance_count), newest(instance_count) {
    for (int i = 0; i < 6; ++i)
      store.Write(Server(i));
    if (configured) store.Configure(1);
    for (std::size_t i = 0; i < count; ++i)
      instances.push_back(MakeInstance(i));
    if (configured) Run(seconds(2));
  }

  static server_record Server(int i, bool draining = false, std::uint64_t sequence = 1) {
    server_record record = forwarding_fixture::MakeServer("s" + std::to_string(i), "svc", "a");
    record.incarnation = 1;
    record.draining = draining;
    record.sequence = sequence;
    return record;
  }

  std::unique_ptr<forwarding_fixture> MakeInstance(std::size_t i) const {
    auto created = std::make_unique<forwarding_fixture>();
    created->now = now;
    created->random.state = base::MixHash(i, 5);
    JoinFleet(*created, i, count);
    return created;
  }

  void Restart(std::size_t i) {
    instances[i] = MakeInstance(i);
    watches.erase(i);
    newest[i] = 0;
  }
  void CutAll() { cut = {0, 1, 2, 3}; }
  void Restore(const store_contents& copy) {
    store = copy;
    ++epoch;
  }

  void Run(base::duration time) {
    for (const base::time_point end = now + time; now < end;) {
      now += milliseconds(5);
      for (std::size_t i = 0; i < count; ++i) {
        if (stopped.contains(i)) continue;
        forwarding_fixture& fixture = *instances[i];
        fixture.now = now;
        instance::context ctx = fixture.Context();
        RunForwarding(fixture.tables, ctx);
        AnswerReads(i);
      }
      DeliverMessages();
      for (std::size_t i = 0; i < count; ++i) {
        const std::uint64_t version = VersionOf(i);
        regressed = regressed || version < newest[i];
        newest[i] = version;
      }
    }
  }

  void AnswerReads(std::size_t i) {
    forwarding_fixture& fixture = *instances[i];
    for (const io::list_published& list : fixture.Take<io::list_published>()) {
      ++reads;
      full_reads += list.stale_allowed ? 0 : 1;
      if (cut.contains(i)) {
        EndUnanswered(i, list.read);
      } else {
        EndRead(i, list.read, (list.stale_allowed && stale.has_value() ? *stale : store).ChangesAfter(0));
      }
    }
    for (const io::watch_published& watch : fixture.Take<io::watch_published>()) {
      ++reads;
      ++full_reads;
      watches[i] = watch;
      watch_ends[i] = now + watch.wait;
    }
    const auto found = watches.find(i);
    if (found == watches.end() || (cut.contains(i) && silent)) return;
    const io::watch_published watch = found->second;
    const bool lost = watch.after > store.revision;
    if (!cut.contains(i) && !lost && watch.after == store.revision && now < watch_ends[i]) return;
    watches.erase(found);
    if (cut.contains(i)) return EndUnanswered(i, watch.read);
    if (lost) return Fail(i, {watch.read, true, "no such revision", epoch});
    EndRead(i, watch.read, store.ChangesAfter(watch.after));
  }

  void EndUnanswered(std::size_t i, std::uint64_t read) { Fail(i, {read, false, "no answer", 0}); }
  void Fail(std::size_t i, const published_read_failed& failed) {
    instance::context ctx = instances[i]->Context();
    HandlePublishedFailed(instances[i]->tables, ctx, {failed});
  }
  void EndRead(std::size_t i, std::uint64_t read, published_changes changes) {
    changes.read = read;
    changes.position.epoch = epoch;
    instance::context ctx = instances[i]->Context();
    HandlePublished(instances[i]->tables, ctx, {std::move(changes)});
  }

  void DeliverMessages() {
    for (std::size_t i = 0; i < count; ++i) {
      for (const io::send_peer& send : instances[i]->Take<io::send_peer>()) {
        const bool has_rules = std::holds_alternative<peer::service_rules_update>(send.message.body);
        rules_messages += has_rules ? 1 : 0;
        if (has_rules && loses_rules) continue;
        for (std::size_t j = 0; j < count; ++j) {
          if (send.target == FleetInstanceId(j) && !stopped.contains(j))
            ReceivePublication(*instances[j], send.message);
        }
      }
      instances[i]->out.clear();
    }
  }

  std::uint64_t VersionOf(std::size_t i) const {
    const routing_table_ptr& routing = instances[i]->tables.routing;
    return routing == nullptr ? 0 : routing->version;
  }
  /// True if an instance sends requests to the server.
  bool IsUsed(const std::string& id) const {
    for (std::size_t i = 0; i < count; ++i) {
      if (UsedServers(i).contains(id)) return true;
    }
    return false;
  }
  /// Returns the ids of the servers that instance `i` sends requests to.
  std::set<std::string> UsedServers(std::size_t i) const {
    std::set<std::string> used;
    for (const auto& [id, each] : instances[i]->tables.servers.servers) {
      if (!each.record.draining) used.insert(id.value);
    }
    return used;
  }
};

}  // namespace limpetrouter::core::forwarding
