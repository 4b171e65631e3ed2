#include "core/forwarding/server_capacity.h"

#include <algorithm>
#include <cmath>

#include "core/routing/concurrency_estimate.h"

namespace limpetrouter::core::forwarding {
namespace {

/// Without new samples, a slow server counts as a typical one again after about this time, and gets a call.
constexpr double kSlownessLifetimeUs = 4'000'000;

/// An answer of a former incarnation says nothing about the present one.
bool IsFormer(const server& each, const running_call& ended) { return ended.incarnation != each.record.incarnation; }

double RelativeLatency(const running_call& ended, base::duration elapsed) {
  const auto expected = static_cast<double>(std::max<base::duration::rep>(ended.expected.count(), 1'000));
  return static_cast<double>(elapsed.count()) / expected;
}

}  // namespace

double CapacityOf(const server& each, base::time_point now) {
  return routing::ConcurrencyOf(each.concurrency, each.record.slots, now);
}

double WorkLimitOf(const server& each, double max_work, base::time_point now) {
  const double capacity = CapacityOf(each, now);
  if (max_work <= 1) return max_work * capacity;
  const double share = capacity / std::max<std::uint32_t>(each.record.slots, 1);
  return capacity * (1 + (max_work - 1) * share * share);
}

double SlownessOf(const server& each, base::time_point now) {
  const double age = static_cast<double>((now - each.slowness_at).count());
  return 1 + (each.slowness - 1) * std::exp(-age / kSlownessLifetimeUs);
}

double SpeedOf(const server& each, base::time_point now) {
  return each.learns_capacity ? routing::SpeedOf(each.concurrency, now) : SlownessOf(each, now);
}

void LearnCapacity(server& each, const running_call& ended, base::duration elapsed,
                   const std::optional<server_load>& load, base::time_point now) {
  if (IsFormer(each, ended)) return;
  double work = ended.work;
  // The work at the start is known from earlier reports only, which may be old. The mean of the start and the end is
  // closer to what the call met.
  if (load.has_value()) work = (work + std::max<double>(load->running + load->waiting, 1)) / 2;
  routing::AddSample(each.concurrency, {work, RelativeLatency(ended, elapsed)}, each.record.slots, now);
}

void LearnOverdue(server& each, const running_call& ended, base::duration elapsed, base::time_point now) {
  if (IsFormer(each, ended)) return;
  const double latency = RelativeLatency(ended, elapsed);
  if (latency <= SpeedOf(each, now)) return;
  routing::AddSample(each.concurrency, {ended.work, latency}, each.record.slots, now);
}

std::vector<service_capacity> SummarizeCapacity(const server_table& table, std::size_t max_services,
                                                base::time_point now) {
  std::vector<service_capacity> summary;
  for (const auto& [service, ids] : table.by_service) {
    if (ids.empty()) continue;
    if (summary.size() >= max_services) break;
    service_capacity& added = summary.emplace_back();
    added.service = service;
    for (const base::backend_server_id& id : ids) {
      const server& each = table.servers.at(id);
      const double capacity = CapacityOf(each, now);
      added.lowest = added.total == 0 ? capacity : std::min(added.lowest, capacity);
      added.total += capacity;
      if (each.concurrency.samples > 0) added.age = std::max(added.age, now - each.concurrency.updated);
    }
  }
  return summary;
}

}  // namespace limpetrouter::core::forwarding
