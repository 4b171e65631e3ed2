#pragma once

#include "core/base/random.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/io/command.h"
#include "core/membership/fact_table.h"
#include "core/membership/member_table.h"
#include "core/membership/placement.h"

namespace limpetrouter::core::instance {

/// The state that every subsystem of an instance may read, and the list to which it appends its commands. A context is
/// valid for one event or tick.
struct context {
  base::time_point now;
  /// Configuration in force; null until the first one is accepted.
  config::configuration_ptr config;
  const membership::member_table& members;
  const membership::placement& placement;
  membership::fact_table& facts;
  base::random_source& random;
  io::command_list& out;
  /// True if this instance is shutting down.
  bool leaving = false;
};

/// Returns the header of a message that this instance sends: its identity and the configuration in force.
peer::message_header MakeHeader(const context& ctx);

/// Queues a message to another instance, or to this one, over TCP. Returns false if the address of `target` is not
/// known.
bool SendToPeer(context& ctx, const base::instance_id& target, peer::message_body body);

/// Queues a structured log line.
void LogDecision(context& ctx, std::string decision, std::vector<std::pair<std::string, std::string>> fields);

}  // namespace limpetrouter::core::instance
