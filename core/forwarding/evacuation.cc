#include "core/forwarding/evacuation.h"

#include <set>

namespace limpetrouter::core::forwarding {
namespace {

/// Whatever a restored store has lost is written again within about two seconds of its return.
constexpr base::duration kRewriteTime = std::chrono::milliseconds(2'300);

void Order(evacuation_table& table, const evacuation_record& record, base::time_point now,
           std::vector<evacuation_change>& changes) {
  const auto [found, inserted] = table.orders.try_emplace(record.data_centre, evacuation{record.revision, now, {}});
  if (inserted) {
    changes.push_back({record.data_centre, "ordered", record.revision});
    return;
  }
  evacuation& known = found->second;
  if (record.revision < known.revision) return;
  known.revision = record.revision;
  known.missing_since = {};
}

void Lift(evacuation_table& table, const base::data_centre_id& data_centre, std::uint64_t revision,
          std::vector<evacuation_change>& changes) {
  const auto found = table.orders.find(data_centre);
  if (found == table.orders.end() || found->second.revision > revision) return;
  table.orders.erase(found);
  changes.push_back({data_centre, "lifted", revision});
}

/// Ends the orders that a complete list does not contain. The first list of a restored store may lack orders that were
/// written after the copy was made, so these remain until they are written again or have not been in time.
void ApplyAbsence(evacuation_table& table, const evacuation_changes& changes, bool restored, base::time_point now,
                  std::vector<evacuation_change>& applied) {
  std::set<base::data_centre_id> listed;
  for (const evacuation_record& record : changes.ordered)
    listed.insert(record.data_centre);
  std::vector<base::data_centre_id> absent;
  for (auto& [data_centre, order] : table.orders) {
    if (listed.contains(data_centre) || order.missing_since != base::time_point{}) continue;
    if (!restored) {
      absent.push_back(data_centre);
      continue;
    }
    order.missing_since = now;
    applied.push_back({data_centre, "missing", order.revision});
  }
  for (const base::data_centre_id& data_centre : absent)
    Lift(table, data_centre, changes.position.revision, applied);
}

}  // namespace

std::vector<evacuation_change> ApplyEvacuations(evacuation_table& table, const evacuation_changes& changes,
                                                base::time_point now) {
  std::vector<evacuation_change> applied;
  if (changes.position < table.position) return applied;
  const bool known = table.position != store_position{};
  const bool restored = known && changes.position.epoch > table.position.epoch;
  if (restored && !changes.complete) return applied;
  // A restored store gives out revisions again, so those that are known order nothing any more.
  if (restored) {
    for (auto& [data_centre, order] : table.orders)
      order.revision = 0;
  }
  for (const evacuation_record& record : changes.ordered)
    Order(table, record, now, applied);
  for (const auto& [data_centre, revision] : changes.lifted)
    Lift(table, data_centre, revision, applied);
  if (changes.complete) ApplyAbsence(table, changes, restored, now, applied);
  table.position = changes.position;
  return applied;
}

std::vector<evacuation_change> ExpireMissingOrders(evacuation_table& table, base::time_point now) {
  std::vector<evacuation_change> expired;
  std::erase_if(table.orders, [&](const auto& item) {
    const evacuation& order = item.second;
    if (order.missing_since == base::time_point{} || now - order.missing_since < kRewriteTime) return false;
    expired.push_back({item.first, "lifted", order.revision});
    return true;
  });
  return expired;
}

bool IsEvacuated(const evacuation_table& table, const base::data_centre_id& data_centre) {
  return table.orders.contains(data_centre);
}

std::vector<evacuation_record> EvacuationRecords(const evacuation_table& table) {
  std::vector<evacuation_record> records;
  for (const auto& [data_centre, order] : table.orders)
    records.push_back({data_centre, order.revision});
  return records;
}

std::string DescribeEvacuations(const evacuation_table& table) {
  std::string list;
  for (const auto& [data_centre, order] : table.orders)
    list += (list.empty() ? "" : ",") + data_centre.value;
  return list;
}

}  // namespace limpetrouter::core::forwarding
