#include "core/forwarding/server_table.h"

#include <algorithm>
#include <set>

#include "core/forwarding/cold_servers.h"

namespace limpetrouter::core::forwarding {
namespace {

/// Entries that expired while the service registry was unavailable reappear about two seconds after its return.
constexpr base::duration kReregistrationTime = std::chrono::milliseconds(2'300);
/// An interruption of the contact makes removals doubtful for this time after the interruption.
constexpr base::duration kRemovalDoubtTime = std::chrono::seconds(3);
/// More removals than this within a second that are also more than a fifth of all servers are taken for expired
/// entries.
constexpr std::size_t kPlausibleRemovals = 2;
constexpr std::size_t kPlausibleShareDivisor = 5;
constexpr base::duration kRemovalWindow = std::chrono::seconds(1);
/// Number of removals that are kept, and that can be sent to followers one by one.
constexpr std::size_t kKeptRemovals = 1'024;
/// Number of departed servers that are remembered.
constexpr std::size_t kKeptDepartures = 4'096;

/// True if the server stated `record` before it stated what `known` holds. The sequence starts anew with each
/// incarnation.
template <class Statement>
bool IsOlderStatement(const server_record& record, const Statement& known) {
  if (record.incarnation != known.incarnation) return record.incarnation < known.incarnation;
  return record.incarnation != 0 && record.sequence < known.sequence;
}

void RemoveFromService(server_table& table, const server& removed_server) {
  const auto found = table.by_service.find(removed_server.record.service);
  if (found == table.by_service.end()) return;
  std::erase(found->second, removed_server.record.id);
  if (found->second.empty()) table.by_service.erase(found);
}

void NoteDeparture(server_table& table, const server& removed) {
  const server_record& record = removed.record;
  const departed_server departure{record.incarnation, record.sequence, removed.leaving};
  if (!table.departed.insert_or_assign(record.id, departure).second) return;
  table.departure_order.push_back(record.id);
  if (table.departure_order.size() <= kKeptDepartures) return;
  table.departed.erase(table.departure_order.front());
  table.departure_order.pop_front();
}

void Erase(server_table& table, const base::backend_server_id& id) {
  const auto found = table.servers.find(id);
  if (found == table.servers.end()) return;
  NoteDeparture(table, found->second);
  RemoveFromService(table, found->second);
  table.servers.erase(found);
}

bool IsRemovalDoubtful(server_table& table, std::size_t removals, base::time_point now) {
  std::erase_if(table.recent_removals, [now](base::time_point at) { return now - at > kRemovalWindow; });
  const std::size_t recent = table.recent_removals.size() + removals;
  const bool many = recent > kPlausibleRemovals && recent * kPlausibleShareDivisor > table.servers.size();
  return many || now - table.contact_since < kRemovalDoubtTime;
}

void Remove(server_table& table, const base::backend_server_id& id, bool doubtful, base::time_point now,
            std::vector<server_change>& changes) {
  const auto found = table.servers.find(id);
  if (found == table.servers.end()) return;
  server& removed_server = found->second;
  table.recent_removals.push_back(now);
  // A draining server is not expected to return.
  if (!doubtful || removed_server.record.draining) {
    changes.push_back({id, "removed", removed_server.record.revision});
    return Erase(table, id);
  }
  if (removed_server.missing_since != base::time_point{}) return;
  removed_server.missing_since = now;
  changes.push_back({id, "missing", removed_server.record.revision});
}

void AddNew(server_table& table, const server_record& record, base::time_point now,
            std::vector<server_change>& changes) {
  server added;
  added.record = record;
  added.learns_capacity = table.learns_capacity;
  added.record_read_at = added.slowness_at = added.concurrency.updated = added.failure_at = now;
  // An entry that lapsed and came back belongs to the same process.
  const auto departed = table.departed.find(record.id);
  if (departed != table.departed.end() && departed->second.incarnation == record.incarnation)
    added.leaving = departed->second.leaving;
  NoteColdStatement(added, departed != table.departed.end() && record.incarnation > departed->second.incarnation, now);
  table.by_service[record.service].push_back(record.id);
  table.servers.emplace(record.id, std::move(added));
  changes.push_back({record.id, record.draining ? "added draining" : "added", record.revision});
}

/// True if the entry of a departed server states nothing that the server had not stated before its departure, so that
/// it does not show that the server is back.
bool IsReturnedEntry(const server_table& table, const server_record& record) {
  const auto found = table.departed.find(record.id);
  if (found == table.departed.end() || record.incarnation == 0 || record.sequence == 0) return false;
  const departed_server& departure = found->second;
  const bool same = record.incarnation == departure.incarnation && record.sequence == departure.sequence;
  return same || IsOlderStatement(record, departure);
}

void HoldReturned(server_table& table, const server_record& record, base::time_point now,
                  std::vector<server_change>& changes) {
  const auto [entry, inserted] = table.returned.try_emplace(record.id, returned_entry{record, now});
  entry->second.record = record;
  if (inserted) changes.push_back({record.id, "returned", record.revision});
}

void AddUnknown(server_table& table, const server_record& record, base::time_point now,
                std::vector<server_change>& changes) {
  if (IsReturnedEntry(table, record)) return HoldReturned(table, record, now, changes);
  table.returned.erase(record.id);
  AddNew(table, record, now, changes);
}

void Add(server_table& table, const server_record& record, base::time_point now, std::vector<server_change>& changes) {
  const auto found = table.servers.find(record.id);
  if (found == table.servers.end()) return AddUnknown(table, record, now, changes);
  server& known = found->second;
  if (record.revision <= known.record.revision && known.missing_since == base::time_point{}) return;
  // A late write, or an entry of a restored store, says nothing about what the server has stated since.
  if (IsOlderStatement(record, known.record)) {
    if (known.missing_since != base::time_point{}) HoldReturned(table, record, now, changes);
    return;
  }
  table.returned.erase(record.id);
  const bool restarted = record.incarnation > known.record.incarnation || record.address != known.record.address;
  const bool drains = record.draining && !known.record.draining;
  if (record.service != known.record.service) {
    RemoveFromService(table, known);
    table.by_service[record.service].push_back(record.id);
  }
  // An entry that was read again states the cold time as of its first reading.
  const bool same_statement = !restarted && record.sequence != 0 && record.sequence == known.record.sequence &&
                              record.warmup_left == known.record.warmup_left;
  known.record = record;
  known.record_read_at = now;
  known.missing_since = {};
  if (restarted) {
    // Calls to the former incarnation keep running until they end.
    std::vector<running_call> running = std::move(known.running);
    known = server{};
    known.record = record;
    known.learns_capacity = table.learns_capacity;
    known.record_read_at = known.slowness_at = known.concurrency.updated = known.failure_at = now;
    known.running = std::move(running);
  }
  if (!same_statement) NoteColdStatement(known, restarted, now);
  if (restarted || drains) changes.push_back({record.id, restarted ? "restarted" : "draining", record.revision});
}

/// Prepares the table for the first complete state of a restored store. The store gives out revisions again, so those
/// that are known order nothing any more. Entries that were written after the copy was made are missing until they are
/// written again.
void BeginEpoch(server_table& table, std::uint64_t epoch, base::time_point now) {
  for (auto& [id, each] : table.servers)
    each.record.revision = 0;
  table.removals.clear();
  table.removals_since = 0;
  table.position = {epoch, 0};
  NoteContactLost(table, now);
}

}  // namespace

std::vector<server_change> ApplyRecords(server_table& table, const published_changes& changes, base::time_point now) {
  std::vector<server_change> applied;
  if (changes.position < table.position) return applied;
  if (table.known && changes.position.epoch > table.position.epoch) {
    if (!changes.complete) return applied;
    BeginEpoch(table, changes.position.epoch, now);
  }
  if (table.contact_since == base::time_point{}) table.contact_since = now;
  std::set<base::backend_server_id> listed;
  for (const server_record& record : changes.servers) {
    listed.insert(record.id);
    Add(table, record, now, applied);
  }
  std::vector<base::backend_server_id> removed;
  for (const auto& [id, revision] : changes.removed) {
    table.returned.erase(id);
    const auto found = table.servers.find(id);
    if (found != table.servers.end() && found->second.record.revision < revision) removed.push_back(id);
  }
  if (changes.complete && table.known) {
    for (const auto& [id, known] : table.servers) {
      if (!listed.contains(id) && known.record.revision <= changes.position.revision) removed.push_back(id);
    }
  }
  if (changes.complete)
    std::erase_if(table.returned, [&listed](const auto& item) { return !listed.contains(item.first); });
  // A complete list does not state at which revision an entry was removed.
  if (changes.complete) table.removals_since = std::max(table.removals_since, changes.position.revision);
  table.removals.insert(table.removals.end(), changes.removed.begin(), changes.removed.end());
  while (table.removals.size() > kKeptRemovals) {
    table.removals_since = std::max(table.removals_since, table.removals.front().second);
    table.removals.pop_front();
  }
  const bool doubtful = IsRemovalDoubtful(table, removed.size(), now);
  for (const base::backend_server_id& id : removed)
    Remove(table, id, doubtful, now, applied);
  table.position = changes.position;
  table.known = true;
  return applied;
}

void NoteContactLost(server_table& table, base::time_point now) { table.contact_since = now; }

std::vector<server_change> UpdateDoubtful(server_table& table, base::duration entry_lifetime, base::time_point now) {
  std::vector<server_change> changes;
  for (const auto& [id, each] : table.servers) {
    if (each.missing_since == base::time_point{} || now - each.missing_since < kReregistrationTime) continue;
    changes.push_back({id, "gone", each.record.revision});
  }
  for (const server_change& each : changes)
    Erase(table, each.server);
  std::erase_if(table.returned, [&table, entry_lifetime, now, &changes](const auto& item) {
    if (now - item.second.since < entry_lifetime || table.servers.contains(item.first)) return false;
    AddNew(table, item.second.record, now, changes);
    return true;
  });
  return changes;
}

published_changes ChangesSince(const server_table& table, const store_position& position) {
  published_changes changes;
  changes.position = table.position;
  changes.complete = position < store_position{table.position.epoch, table.removals_since};
  for (const auto& [id, each] : table.servers) {
    // A missing entry either reappears soon or is removed; followers decide this by themselves.
    if (each.missing_since != base::time_point{}) continue;
    if (changes.complete || each.record.revision > position.revision) changes.servers.push_back(each.record);
  }
  for (const auto& [id, entry] : table.returned) {
    if (changes.complete || entry.record.revision > position.revision) changes.servers.push_back(entry.record);
  }
  if (changes.complete) return changes;
  for (const auto& removal : table.removals) {
    if (removal.second > position.revision) changes.removed.push_back(removal);
  }
  return changes;
}

bool AcceptsRequests(const server_table& table, const server& each, base::time_point now) {
  if (IsEvacuated(table.evacuations, each.record.data_centre)) return false;
  return !each.record.draining && !each.leaving && !each.misdirected && each.backs_off_until <= now;
}

void NoteBackOff(server& each, base::duration time, base::time_point now) {
  each.backs_off_until = std::max(each.backs_off_until, now + time);
  each.resumes = true;
}

const std::vector<base::backend_server_id>& ServersOf(const server_table& table, const base::service_id& service) {
  static const std::vector<base::backend_server_id> none;
  const auto found = table.by_service.find(service);
  return found == table.by_service.end() ? none : found->second;
}

}  // namespace limpetrouter::core::forwarding
