#pragma once

#include "core/config/store.h"
#include "core/membership/fact_table.h"
#include "core/membership/member_table.h"

namespace limpetrouter::core::membership {

/// State of the peer role.
struct membership_tables {
  member_table members;
  fact_table facts;
  config::configuration_store store;
};

}  // namespace limpetrouter::core::membership
