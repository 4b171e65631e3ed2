#include "core/forwarding/routing_table.h"

namespace limpetrouter::core::forwarding {

const route* FindRoute(const routing_table& table, std::string_view host, std::string_view path) {
  const route* best = nullptr;
  for (const route& each : table.routes) {
    if (each.host != host || !path.starts_with(each.prefix)) continue;
    if (best == nullptr || each.prefix.size() > best->prefix.size()) best = &each;
  }
  return best;
}

std::size_t NextService(round_robin_state& turn, const std::vector<weighted_service>& split) {
  turn.credit.resize(split.size());
  std::int64_t total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < split.size(); ++i) {
    turn.credit[i] += split[i].weight;
    total += split[i].weight;
    if (turn.credit[i] > turn.credit[best]) best = i;
  }
  turn.credit[best] -= total;
  return best;
}

}  // namespace limpetrouter::core::forwarding
