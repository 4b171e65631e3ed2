#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "core/base/time.h"
#include "core/forwarding/request_table.h"
#include "shell/answer_limits.h"
#include "shell/caller_limits.h"

namespace limpetrouter::shell {

/// Selects which log lines are written. Each level includes the ones after it.
enum class log_level : std::uint8_t {
  /// Every decision is written, including one line per routed query.
  kDecisions,
  /// Everything is written except the lines of single queries and calls.
  kInfo,
  /// Only faults are written.
  kWarning,
};

std::string_view ToString(log_level level);

/// Settings of an instance that forwards opaque requests and reads its configuration from the platform's store.
struct forwarding_settings {
  /// [forwarding] The addresses that accept callers' requests, readiness probes and address requests.
  std::string listen_entry;
  std::string listen_readiness;
  std::string listen_directory;
  /// Address of the platform's store.
  std::string store;
  core::forwarding::fleet_bounds bounds;
  /// Names of the platform's rules that are in force. The platform adapter decides whether they call for admission
  /// control.
  std::vector<std::string> contracts;
};

/// Settings of one daemon, from its INI file. Addresses are "IP:port".
struct settings {
  /// [instance]
  std::string name;
  std::string data_centre;
  /// Processor share in cores; 0 if the setting is missing.
  double capacity = 0;

  /// [listen]
  std::string listen_http;
  /// Used for both TCP and UDP.
  std::string listen_peer;
  /// Number of threads of the HTTP server.
  std::uint32_t threads = 4;

  /// [advertise] Addresses that callers and other instances connect to; the listen addresses by default.
  std::string advertise_http;
  std::string advertise_peer;

  /// Set if there is a section [forwarding]; the URLs of [platform] are not needed then.
  std::optional<forwarding_settings> forwarding;
  /// [peers] Peer addresses of a few instances of the fleet, some of which may be unavailable.
  std::vector<std::string> seeds;

  /// [platform]
  std::string configuration_url;
  std::string instance_list_url;
  /// Limit for one read; a watch may take its waiting time in addition.
  core::base::duration platform_timeout = std::chrono::seconds(2);

  /// [log]
  log_level level = log_level::kDecisions;

  /// [limits]
  /// Largest accepted HTTP request in bytes, including its header.
  std::size_t max_request_bytes = 128 * 1024;
  /// Limit for the messages that wait for one peer connection, in bytes.
  std::size_t max_peer_queue_bytes = 16 * 1024 * 1024;
  /// Limit for the messages that wait for all peer connections, and for incomplete messages that were received from all
  /// of them, in bytes. It follows from `callers.memory_mb` if that is set.
  std::size_t max_peer_held_bytes = 64 * 1024 * 1024;
  /// Limit for open connections from other instances.
  std::uint32_t max_peer_connections = 2'000;
  /// Number of threads that call backend servers. Each thread serves a part of the servers.
  std::uint32_t backend_threads = 2;
  /// Limit for HTTP requests that wait for their answer.
  std::uint32_t max_pending_requests = 50'000;
  /// Limits of the answers that one thread receives from backend servers or the platform.
  answer_limits answers;
  caller_limits callers;
};

/// One fault of a settings file.
struct setting_problem {
  std::string file;
  /// Line number from 1; 0 if the setting is missing or the file cannot be read.
  std::size_t line = 0;
  /// "section.key", or the section alone.
  std::string key;
  std::string what;
  /// The allowed values; may be empty.
  std::string allowed;
};

/// Formats a problem as "file:line: key: what (allowed: …)".
std::string ToString(const setting_problem& problem);

/// Holds the settings, or every problem of the file in the order of its lines.
using settings_result = tl::expected<settings, std::vector<setting_problem>>;

/// Parses and checks settings. `file` appears only in the reported problems.
settings_result ParseSettings(std::string_view text, const std::string& file);

/// Reads a settings file, then parses and checks it.
settings_result ReadSettings(const std::string& path);

/// Splits "IP:port" (IPv4, or IPv6 in brackets). Returns false if `text` does not have that form or the port is 0.
bool SplitAddress(std::string_view text, std::string& ip, std::uint16_t& port);

}  // namespace limpetrouter::shell
