#include "core/gather/slots.h"

#include <algorithm>

namespace limpetrouter::core::gather {
namespace {

/// A cold backend server gets all of its slots after this time at the earliest.
constexpr base::duration kColdRamp = std::chrono::seconds(2);
/// Sheds within this time count as one burst: the calls were sent before the first shed was received.
constexpr base::duration kShedBurst = std::chrono::milliseconds(20);
/// Weight of the newest call in the mean call duration.
constexpr double kCallWeight = 0.1;

}  // namespace

std::uint32_t UsableSlots(const holding_slots& slots) {
  return std::clamp(static_cast<std::uint32_t>(slots.usable), std::uint32_t{1}, slots.limit);
}

void SetSlotLimit(holding_slots& slots, std::uint32_t server_slots, std::uint32_t connections) {
  const std::uint32_t limit = std::max<std::uint32_t>(1, std::min(server_slots, connections / 4));
  const bool full = slots.usable >= slots.limit && !slots.cold;
  slots.limit = limit;
  slots.usable = full ? limit : std::min<double>(slots.usable, limit);
}

void StartCold(holding_slots& slots, base::time_point now) {
  slots.cold = true;
  slots.cold_since = now;
  slots.usable = 1;
}

void RaiseSlots(holding_slots& slots, base::duration call_time, base::time_point now) {
  const auto us = static_cast<double>(std::max<std::int64_t>(call_time.count(), 1));
  slots.mean_call_us = slots.mean_call_us == 0 ? us : slots.mean_call_us + kCallWeight * (us - slots.mean_call_us);
  double ceiling = slots.limit;
  if (slots.cold) {
    const double share = static_cast<double>((now - slots.cold_since).count()) / static_cast<double>(kColdRamp.count());
    slots.cold = share < 1;
    ceiling = std::min(ceiling, 1 + (slots.limit - 1) * share);
  }
  if (slots.usable >= ceiling) return;
  slots.usable = std::min(ceiling, slots.usable + 1 / slots.usable);
}

void LowerSlots(holding_slots& slots, base::time_point now) {
  if (slots.last_lowered != base::time_point{} && now - slots.last_lowered < kShedBurst) return;
  slots.last_lowered = now;
  slots.usable = std::max(1.0, slots.usable / 2);
}

base::duration EstimateWait(const holding& holding, bool urgent) {
  const std::uint32_t usable = UsableSlots(holding.slots);
  const std::size_t ahead = holding.urgent.size + (urgent ? 0 : holding.normal.size);
  const std::size_t calls = holding.running.size() + ahead + 1;
  if (calls <= usable) return {};
  const double rounds = static_cast<double>(calls - usable) / usable;
  return base::duration(static_cast<std::int64_t>(rounds * holding.slots.mean_call_us));
}

}  // namespace limpetrouter::core::gather
