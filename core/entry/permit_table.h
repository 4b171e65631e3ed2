#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/random.h"
#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/entry/query_table.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::entry {

/// The right to execute one non-repeatable request once, at one incarnation of one instance.
struct permit {
  base::instance_ref owner;
  std::uint64_t serial = 0;
  /// Expiry in microseconds on the owner's clock.
  std::int64_t expiry_us = 0;
  /// Keyed hash of the other fields, 16 hexadecimal digits, by which the owner recognizes its permits.
  std::string check;
};

/// Parses the text form "instance/incarnation/serial/expiry_us/check". Returns nullopt if the text is malformed.
std::optional<permit> ParsePermit(std::string_view text);

/// Execution state of a used permit.
enum class permit_state : std::uint8_t { kRunning, kFinished };

/// A used permit that this instance owns.
struct permit_record {
  /// Fingerprint of the request that used the permit. Other requests may not use it.
  base::fingerprint_id fingerprint;
  permit_state state = permit_state::kRunning;
  /// The answer, once finished.
  peer::query_answer answer;
  /// Copies of the request that wait for the answer.
  std::vector<answer_target> waiters;
  /// The record is removed after this time if the request has finished.
  base::time_point retained_until{};
};

/// Permits issued together, with consecutive serials.
struct permit_batch {
  /// Serial of the first permit.
  std::uint64_t first = 0;
  std::uint32_t count = 0;
  /// Number of permits whose request has finished.
  std::uint32_t finished = 0;
  base::time_point expiry{};
};

/// Permits owned by this incarnation of the instance.
struct permit_table {
  /// Key of the hash in `permit::check`; drawn once, when the first permits are issued.
  std::optional<std::uint64_t> key;
  std::uint64_t next_serial = 1;
  /// Issued permits that have not expired.
  std::deque<permit_batch> issued;
  /// Number of permits in `issued`.
  std::uint64_t open = 0;
  /// Used permits by serial, kept until their expiry plus the retention.
  std::map<std::uint64_t, permit_record> records;
  /// Serials of the records whose request is running.
  std::set<std::uint64_t> running;
  /// When old records were last removed.
  base::time_point last_sweep{};
};

/// Issues up to `count` permits, fewer if the table would hold more than `limit.max_permits`.
std::vector<std::string> IssuePermits(permit_table& table, const base::instance_ref& self, std::uint32_t count,
                                      const config::limits& limit, base::random_source& random, base::time_point now);

/// True if this incarnation issued the permit and no field of it was changed.
bool IsGenuine(const permit_table& table, const permit& permit);

/// Marks the request of a permit as finished, so that a leaving instance need not wait for it.
void MarkFinished(permit_table& table, std::uint64_t serial);

/// Removes expired permits, and answers past their retention.
void ExpirePermits(permit_table& table, base::time_point now);

/// True if a caller may still use a permit, or a request with a permit is running.
bool HasOpenPermits(const permit_table& table, base::time_point now);

}  // namespace limpetrouter::core::entry
