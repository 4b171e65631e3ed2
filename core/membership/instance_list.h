#pragma once

#include "core/base/time.h"
#include "core/instance/context.h"
#include "core/io/event.h"

namespace limpetrouter::core::membership {

struct membership_tables;

/// State of the reads of the platform's instance list.
struct instance_list {
  base::time_point next_read{};
  /// A list has been read in this life.
  bool loaded = false;
};

/// Adds seeds and leaving marks. A failed read keeps the old list.
void MergeInstanceList(membership_tables& tables, instance::context& ctx, const io::instance_list_read& event);
void RunInstanceList(membership_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::membership
