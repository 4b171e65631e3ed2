#include "core/gather/entries.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "core/base/digest.h"
#include "core/base/random.h"
#include "core/gather/calls.h"

namespace limpetrouter::core::gather {
namespace {

/// Returns the keys of the calls of one entry, in the order of their attempts.
std::vector<call_key> CallsOf(const gather_tables& tables, std::uint32_t entry) {
  std::vector<call_key> keys;
  for (const auto& [key, call] : tables.calls) {
    if (key.entry == entry) keys.push_back(key);
  }
  std::sort(keys.begin(), keys.end());
  return keys;
}

void CancelCalls(gather_tables& tables, instance::context& ctx, std::uint32_t entry) {
  for (const call_key& key : CallsOf(tables, entry)) {
    const auto found = tables.calls.find(key);
    if (found == tables.calls.end()) continue;
    CancelCall(tables, ctx, found->second);
  }
}

}  // namespace

std::uint32_t FindOrAddEntry(gather_tables& tables, const base::instance_ref& ref) {
  const auto [found, added] = tables.entry_index.try_emplace(ref, tables.next_entry);
  if (!added) return found->second;
  entry_record& record = tables.entries[tables.next_entry];
  record.ref = ref;
  record.hash = base::HashBytes(ref.id.value, ref.incarnation.value);
  return tables.next_entry++;
}

void SweepEntries(gather_tables& tables, instance::context& ctx) {
  std::map<base::instance_id, base::incarnation_id> newest;
  for (const auto& [entry, record] : tables.entries) {
    base::incarnation_id& incarnation = newest[record.ref.id];
    incarnation = std::max(incarnation, record.ref.incarnation);
  }
  std::vector<std::uint32_t> outdated;
  for (const auto& [entry, record] : tables.entries) {
    if (record.calls != 0 && !membership::IsCurrent(ctx.members, record.ref)) CancelCalls(tables, ctx, entry);
    // The newest incarnation is kept even if it is unreachable: after a partition, it may send the same attempts again.
    if (record.calls == 0 && record.ref.incarnation < newest[record.ref.id]) outdated.push_back(entry);
  }
  for (const std::uint32_t entry : outdated) {
    tables.entry_index.erase(tables.entries.at(entry).ref);
    tables.entries.erase(entry);
  }
}

void FlushResults(gather_tables& tables, instance::context& ctx) {
  if (tables.pending.empty()) return;
  std::vector<pending_result> pending = std::move(tables.pending);
  tables.pending.clear();
  std::stable_sort(pending.begin(), pending.end(), [](const pending_result& a, const pending_result& b) {
    return std::pair(a.entry, a.query) < std::pair(b.entry, b.query);
  });
  for (std::size_t i = 0; i < pending.size();) {
    const std::uint32_t entry = pending[i].entry;
    const auto record = tables.entries.find(entry);
    peer::gather_answer answer;
    if (record != tables.entries.end()) answer.entry = record->second.ref;
    answer.query = pending[i].query;
    for (; i < pending.size() && pending[i].entry == entry && pending[i].query == answer.query; ++i)
      answer.results.push_back(std::move(pending[i].result));
    if (record == tables.entries.end() || !membership::IsCurrent(ctx.members, answer.entry)) continue;
    const base::instance_id target = answer.entry.id;
    instance::SendToPeer(ctx, target, std::move(answer));
  }
}

}  // namespace limpetrouter::core::gather
