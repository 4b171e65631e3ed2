#pragma once

#include <optional>

#include "core/base/time.h"
#include "core/config/store.h"
#include "core/membership/fact_table.h"
#include "core/membership/member_table.h"

namespace limpetrouter::core::membership {

/// State of the peer role.
struct membership_tables {
  member_table members;
  fact_table facts;
  config::configuration_store store;
  /// When the peer role ran first.
  std::optional<base::time_point> started;
  base::time_point next_list_read{};
  base::time_point next_configuration_read{};
};

}  // namespace limpetrouter::core::membership
