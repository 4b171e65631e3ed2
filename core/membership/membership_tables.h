#pragma once

#include <optional>

#include "core/base/time.h"
#include "core/config/store.h"
#include "core/membership/anti_entropy.h"
#include "core/membership/configuration_fetch.h"
#include "core/membership/configuration_reader.h"
#include "core/membership/fact_table.h"
#include "core/membership/failure_detector.h"
#include "core/membership/instance_list.h"
#include "core/membership/member_table.h"
#include "core/membership/spread_queue.h"

namespace limpetrouter::core::membership {

/// State of the peer role: membership, facts and configuration.
struct membership_tables {
  member_table members;
  fact_table facts;
  config::configuration_store store;
  failure_detector detector;
  spread_queue spread;
  configuration_reader reader;
  configuration_fetch fetch;
  anti_entropy exchange;
  instance_list list;
  /// When the peer role ran for the first time.
  std::optional<base::time_point> started;
  base::time_point next_cleanup{};
};

}  // namespace limpetrouter::core::membership
