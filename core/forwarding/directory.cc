#include "core/forwarding/directory.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "core/instance/instance.h"
#include "core/membership/fact_table.h"

namespace limpetrouter::core::forwarding {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The validity is short, so that callers soon stop using an instance that shuts down.
constexpr base::duration kAddressValidity = seconds(2);
constexpr std::size_t kMaxAddresses = 64;
/// Smaller instances are added to an answer with fewer instances than this, because callers could not tolerate the loss
/// of one or two of so few.
constexpr std::size_t kMinEntries = 4;
/// Instances with at least this share of the largest capacity are treated as equal.
constexpr double kEqualCapacity = 0.5;
/// Ticks that are this late on average mean that the processor is saturated.
constexpr base::duration kBusyLag = milliseconds(15);
constexpr double kLagWeight = 0.01;
/// Above this load of the thread that calls backend servers, answers wait in the sockets. Late ticks do not show that,
/// because the ticks run on another thread.
constexpr double kBusyLoad = 0.9;
constexpr base::duration kLoadLifetime = seconds(1);
/// Busy instances are left out of an answer only if at least this many others remain in it.
constexpr std::size_t kMinCalmEntries = 3;
/// A decrease of the number of entries takes effect after this time.
constexpr base::duration kEntryCountHoldTime = seconds(5);
/// The other instances consider an instance busy for this time after its report.
constexpr base::duration kBusyTime = seconds(3);

struct candidate {
  std::string address;
  bool self = false;
  std::uint32_t capacity = 0;
  /// True if the instance is in the caller's data centre.
  bool same_data_centre = false;
  bool busy = false;
  /// True if the instance has lost its links to the backend servers.
  bool cut_off = false;
};

std::vector<candidate> Candidates(const forwarding_tables& tables, const instance::context& ctx,
                                  const base::data_centre_id& from) {
  std::vector<candidate> found;
  const membership::identity& self = ctx.members.self;
  if (!ctx.leaving && tables.routing != nullptr && tables.servers.known) {
    found.push_back({self.http_address, true, self.capacity, self.data_centre == from,
                     membership::IsBusy(ctx.facts, self.ref.id, ctx.now),
                     membership::IsCutOff(ctx.facts, self.ref.id, ctx.now)});
  }
  for (const auto& [id, entry] : ctx.members.members) {
    const bool usable = entry.info.state == peer::member_state::kAlive && entry.info.member.incarnation.value != 0;
    if (!usable || entry.info.http_address.empty()) continue;
    found.push_back({entry.info.http_address, false, entry.info.capacity, entry.info.data_centre == from,
                     membership::IsBusy(ctx.facts, id, ctx.now), membership::IsCutOff(ctx.facts, id, ctx.now)});
  }
  // Instances without links to the backend servers pass requests on to the others, which callers can reach directly.
  const bool all_cut_off = std::all_of(found.begin(), found.end(), [](const candidate& each) { return each.cut_off; });
  if (!all_cut_off) std::erase_if(found, [](const candidate& each) { return each.cut_off; });
  return found;
}

/// Keeps the instances of the largest capacity, and adds those of the next smaller one while the kept ones are fewer
/// than `kMinEntries` or at least half of them are busy. Returns true if it added instances because of busy ones.
bool KeepLargest(std::vector<candidate>& candidates) {
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const candidate& a, const candidate& b) { return a.capacity > b.capacity; });
  std::size_t kept = 0;
  bool added_for_busy = false;
  while (kept < candidates.size()) {
    const double least = kEqualCapacity * candidates[kept].capacity;
    while (kept < candidates.size() && candidates[kept].capacity >= least)
      ++kept;
    const auto busy = static_cast<std::size_t>(std::count_if(candidates.begin(),
                                                             candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                                                             [](const candidate& each) { return each.busy; }));
    if (kept >= kMinEntries && 2 * busy < kept) break;
    added_for_busy = added_for_busy || 2 * busy >= kept;
  }
  candidates.resize(kept);
  return added_for_busy;
}

/// Removes the busy instances if they are a minority: their callers move to the others, which have processor time left.
void DropBusyMinority(std::vector<candidate>& candidates) {
  const auto busy = static_cast<std::size_t>(
      std::count_if(candidates.begin(), candidates.end(), [](const candidate& each) { return each.busy; }));
  if (2 * busy >= candidates.size() || candidates.size() - busy < kMinCalmEntries) return;
  std::erase_if(candidates, [](const candidate& each) { return each.busy; });
}

bool IsSaturated(const forwarding_tables& tables, base::time_point now) {
  if (tables.tick_lag_us >= static_cast<double>(kBusyLag.count())) return true;
  return tables.call_thread_load >= kBusyLoad && now - tables.call_thread_load_at < kLoadLifetime;
}

}  // namespace

void UpdateEntryCount(forwarding_tables& tables, const instance::context& ctx) {
  std::vector<candidate> candidates = Candidates(tables, ctx, {});
  KeepLargest(candidates);
  const bool takes_requests =
      std::any_of(candidates.begin(), candidates.end(), [](const candidate& each) { return each.self; });
  // A larger number takes effect at once. A smaller one takes effect later, because removed instances may still hold
  // connections.
  if (candidates.size() < tables.entries && takes_requests == tables.is_entry && ctx.now < tables.entries_until) return;
  tables.entries = std::max<std::size_t>(candidates.size(), 1);
  tables.is_entry = takes_requests;
  tables.entries_until = ctx.now + kEntryCountHoldTime;
}

base::duration AddressValidity(const forwarding_tables& tables) {
  return std::min(kAddressValidity, tables.bounds.max_address_validity);
}

void HandleEntryAddresses(const forwarding_tables& tables, instance::context& ctx,
                          const io::entry_addresses_requested& event) {
  std::vector<candidate> candidates = Candidates(tables, ctx, event.data_centre);
  const bool most_are_busy = KeepLargest(candidates);
  if (!most_are_busy) DropBusyMinority(candidates);
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const candidate& a, const candidate& b) { return a.same_data_centre && !b.same_data_centre; });
  if (candidates.size() > kMaxAddresses) candidates.resize(kMaxAddresses);
  io::reply_entry_addresses reply;
  reply.handle = event.handle;
  reply.validity = AddressValidity(tables);
  for (candidate& each : candidates)
    reply.addresses.push_back(std::move(each.address));
  ctx.out.emplace_back(std::move(reply));
}

void RunLoadReport(forwarding_tables& tables, instance::context& ctx) {
  const base::duration lag = ctx.now - tables.last_tick - instance::kTickInterval;
  const bool first = tables.last_tick == base::time_point{};
  tables.last_tick = ctx.now;
  if (first || lag > seconds(1)) return;
  tables.tick_lag_us += kLagWeight * (static_cast<double>(lag.count()) - tables.tick_lag_us);
  if (!IsSaturated(tables, ctx.now)) return;
  if (membership::IsBusy(ctx.facts, ctx.members.self.ref.id, ctx.now)) return;
  membership::RecordBusy(ctx.facts, ctx.members.self.ref.id, kBusyTime, ctx.now);
  instance::LogDecision(ctx, "busy",
                        {{"tick_lag_ms", std::to_string(static_cast<int>(tables.tick_lag_us / 1'000))},
                         {"call_thread_load", fmt::format("{:.2f}", tables.call_thread_load)}});
}

}  // namespace limpetrouter::core::forwarding
