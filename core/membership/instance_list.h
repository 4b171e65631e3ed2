#pragma once

#include "core/base/time.h"
#include "core/instance/context.h"
#include "core/io/event.h"

namespace limpetrouter::core::membership {

struct membership_tables;

/// State of the reads of the platform's instance list.
struct instance_list {
  base::time_point next_read{};
  /// The list has been read at least once in this incarnation.
  bool loaded = false;
};

/// Adds the instances of the list as seeds and updates their leaving marks. After a failed read the previous list stays
/// in effect.
void MergeInstanceList(membership_tables& tables, instance::context& ctx, const io::instance_list_read& event);
/// Reads the list if a read is due.
void RunInstanceList(membership_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::membership
