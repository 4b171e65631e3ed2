#include "core/entry/permit_table.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <fmt/format.h>

#include "core/base/digest.h"

namespace limpetrouter::core::entry {
namespace {

/// How often records past their retention are removed.
constexpr base::duration kSweepInterval = std::chrono::seconds(1);

template <class Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const auto [end, error_code] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error_code != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// Text form of a permit up to its check field.
std::string Prefix(const base::instance_ref& owner, std::uint64_t serial, std::int64_t expiry_us) {
  return fmt::format("{}/{}/{}/{}/", owner.id.value, owner.incarnation.value, serial, expiry_us);
}

/// Keyed hash of the other fields of a permit.
std::string Check(std::uint64_t key, std::string_view prefix) { return base::ToHex(base::HashBytes(prefix, key)); }

}  // namespace

std::optional<permit> ParsePermit(std::string_view text) {
  // The text is split from the right, because only the instance id may contain a slash.
  std::array<std::string_view, 4> fields;
  for (std::size_t i = fields.size(); i-- > 0;) {
    const std::size_t slash = text.rfind('/');
    if (slash == std::string_view::npos) return std::nullopt;
    fields[i] = text.substr(slash + 1);
    text = text.substr(0, slash);
  }
  const auto incarnation = ParseNumber<std::uint64_t>(fields[0]);
  const auto serial = ParseNumber<std::uint64_t>(fields[1]);
  const auto expiry_us = ParseNumber<std::int64_t>(fields[2]);
  if (text.empty() || !incarnation || !serial || !expiry_us || fields[3].size() != 16) return std::nullopt;
  permit parsed;
  parsed.owner.id = base::instance_id(std::string(text));
  parsed.owner.incarnation = base::incarnation_id(*incarnation);
  parsed.serial = *serial;
  parsed.expiry_us = *expiry_us;
  parsed.check = std::string(fields[3]);
  return parsed;
}

std::vector<std::string> IssuePermits(permit_table& table, const base::instance_ref& self, std::uint32_t count,
                                      const config::limits& limit, base::random_source& random, base::time_point now) {
  ExpirePermits(table, now);
  if (!table.key) table.key = base::NextRandom(random);
  const std::uint64_t occupied = table.open + table.records.size();
  const std::uint64_t capacity = occupied < limit.max_permits ? limit.max_permits - occupied : 0;
  const auto issued = static_cast<std::uint32_t>(std::min<std::uint64_t>(count, capacity));
  std::vector<std::string> texts;
  if (issued == 0) return texts;
  const base::time_point expiry = now + limit.permit_validity;
  table.issued.push_back({table.next_serial, issued, 0, expiry});
  table.open += issued;
  for (std::uint32_t i = 0; i < issued; ++i) {
    const std::string prefix = Prefix(self, table.next_serial++, expiry.time_since_epoch().count());
    texts.push_back(prefix + Check(*table.key, prefix));
  }
  return texts;
}

bool IsGenuine(const permit_table& table, const permit& permit) {
  if (!table.key || permit.serial >= table.next_serial) return false;
  return Check(*table.key, Prefix(permit.owner, permit.serial, permit.expiry_us)) == permit.check;
}

void MarkFinished(permit_table& table, std::uint64_t serial) {
  table.running.erase(serial);
  const auto next_batch = std::upper_bound(table.issued.begin(), table.issued.end(), serial,
                                           [](std::uint64_t s, const permit_batch& batch) { return s < batch.first; });
  if (next_batch == table.issued.begin()) return;
  permit_batch& batch = *std::prev(next_batch);
  if (serial < batch.first + batch.count) ++batch.finished;
}

void ExpirePermits(permit_table& table, base::time_point now) {
  while (!table.issued.empty() && table.issued.front().expiry < now) {
    table.open -= table.issued.front().count;
    table.issued.pop_front();
  }
  if (now - table.last_sweep < kSweepInterval) return;
  table.last_sweep = now;
  std::erase_if(table.records, [&](const auto& entry) {
    return entry.second.state == permit_state::kFinished && entry.second.retained_until < now;
  });
}

bool HasOpenPermits(const permit_table& table, base::time_point now) {
  if (!table.running.empty()) return true;
  return std::any_of(table.issued.begin(), table.issued.end(),
                     [&](const permit_batch& batch) { return batch.expiry >= now && batch.finished < batch.count; });
}

}  // namespace limpetrouter::core::entry
