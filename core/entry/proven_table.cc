#include "core/entry/proven_table.h"

namespace limpetrouter::core::entry {

bool IsProven(proven_table& table, base::fingerprint_id fingerprint) {
  const auto found = table.positions.find(fingerprint.value);
  if (found == table.positions.end()) return false;
  table.order.splice(table.order.end(), table.order, found->second);
  return true;
}

void MarkProven(proven_table& table, base::fingerprint_id fingerprint) {
  if (IsProven(table, fingerprint)) return;
  if (table.positions.size() >= kMaxProven) {
    table.positions.erase(table.order.front());
    table.order.pop_front();
  }
  table.order.push_back(fingerprint.value);
  table.positions[fingerprint.value] = std::prev(table.order.end());
}

}  // namespace limpetrouter::core::entry
