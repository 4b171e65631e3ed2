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

/// The right to run one non-repeatable request once, at one incarnation of one instance.
struct permit {
  base::instance_ref owner;
  std::uint64_t serial = 0;
  /// On the owner's clock.
  std::int64_t expiry_us = 0;
  std::string check;
};

/// Text form: "instance/incarnation/serial/expiry_us/check".
std::optional<permit> ParsePermit(std::string_view text);

enum class permit_state : std::uint8_t { kRunning, kFinished };

/// A permit that was used at this instance.
struct permit_record {
  base::fingerprint_id fingerprint;
  permit_state state = permit_state::kRunning;
  /// The answer, once finished.
  peer::query_answer answer;
  /// Requests that wait for the answer.
  std::vector<answer_target> waiters;
  base::time_point retained_until{};
};

/// Permits issued together, with consecutive serials.
struct permit_batch {
  std::uint64_t first = 0;
  std::uint32_t count = 0;
  std::uint32_t finished = 0;
  base::time_point expiry{};
};

/// Permits owned by this incarnation.
struct permit_table {
  /// Key of the check digits; drawn once.
  std::optional<std::uint64_t> key;
  std::uint64_t next_serial = 1;
  /// Issued permits that have not expired.
  std::deque<permit_batch> issued;
  std::uint64_t open = 0;
  /// Used permits by serial, until expiry plus retention.
  std::map<std::uint64_t, permit_record> records;
  /// Serials of the records that run.
  std::set<std::uint64_t> running;
  base::time_point last_sweep{};
};

/// Issues up to `count` permits, fewer if the table would hold more than `limit.max_permits`.
std::vector<std::string> IssuePermits(permit_table& table, const base::instance_ref& self, std::uint32_t count,
                                      const config::limits& limit, base::random_source& random, base::time_point now);

/// True if this incarnation issued the permit.
bool IsGenuine(const permit_table& table, const permit& permit);

/// Marks a permit as used up, so that a leaving instance need not wait for it.
void MarkFinished(permit_table& table, std::uint64_t serial);

/// Forgets expired permits and answers past their retention.
void ExpirePermits(permit_table& table, base::time_point now);

/// True if a caller may still use a permit, or a permitted request runs.
bool HasOpenPermits(const permit_table& table, base::time_point now);

}  // namespace limpetrouter::core::entry
