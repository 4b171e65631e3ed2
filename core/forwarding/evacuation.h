#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/strong_id.h"
#include "core/base/time.h"
#include "core/forwarding/messages.h"

namespace limpetrouter::core::forwarding {

/// An operator's order in force: the backend servers of a data centre get no requests.
struct evacuation {
  std::uint64_t revision = 0;
  base::time_point learned{};
  /// When the first list of a restored store did not contain the order; zero otherwise.
  base::time_point missing_since{};
};

/// Evacuated data centres. The operator's order is a key of the store, which lasts until the key is removed.
struct evacuation_table {
  std::map<base::data_centre_id, evacuation> orders;
  /// The table holds everything that the store held here.
  store_position position;
};

/// One change of the table, for the log.
struct evacuation_change {
  base::data_centre_id data_centre;
  std::string what;
  std::uint64_t revision = 0;
};

/// Applies what was read from the store, or what another instance has read, and returns the changes of the table.
/// Changes up to an older position are ignored, and changes of a later epoch that are not its complete state.
std::vector<evacuation_change> ApplyEvacuations(evacuation_table& table, const evacuation_changes& changes,
                                                base::time_point now);
/// Ends orders that a restored store did not hold and that were not written again in time.
std::vector<evacuation_change> ExpireMissingOrders(evacuation_table& table, base::time_point now);

bool IsEvacuated(const evacuation_table& table, const base::data_centre_id& data_centre);
/// Returns the orders in force, for other instances.
std::vector<evacuation_record> EvacuationRecords(const evacuation_table& table);
/// Returns the evacuated data centres, separated by commas.
std::string DescribeEvacuations(const evacuation_table& table);

}  // namespace limpetrouter::core::forwarding
