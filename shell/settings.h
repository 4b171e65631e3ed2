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

namespace limpetrouter::shell {

/// Which log lines are written. Each level includes the ones after it.
enum class log_level : std::uint8_t {
  /// Every decision, one line per routed query included.
  kDecisions,
  /// Everything but the lines of single queries and calls.
  kInfo,
  /// Faults only.
  kWarning,
};

std::string_view ToString(log_level level);

/// Forwarding of opaque requests, as configured by the platform's store.
struct forwarding_settings {
  /// [forwarding] Where callers' requests, questions for readiness and questions for addresses are taken.
  std::string listen_entry;
  std::string listen_readiness;
  std::string listen_directory;
  /// The platform's store.
  std::string store;
  core::forwarding::fleet_bounds bounds;
};

/// Settings of one daemon, from its INI file. Addresses are "IP:port".
struct settings {
  /// [instance]
  std::string name;
  std::string data_centre;
  /// Processor share in cores; 0 if not stated.
  double capacity = 0;

  /// [listen]
  std::string listen_http;
  /// For TCP and UDP.
  std::string listen_peer;
  /// Threads of the HTTP server.
  std::uint32_t threads = 4;

  /// [advertise] What callers and other instances should connect to; the listen addresses by default.
  std::string advertise_http;
  std::string advertise_peer;

  /// Set if there is a section [forwarding]; [platform] is not needed then.
  std::optional<forwarding_settings> forwarding;
  /// [peers] Peer addresses of a few instances of the fleet, some of which may be gone.
  std::vector<std::string> seeds;

  /// [platform]
  std::string configuration_url;
  std::string instance_list_url;
  /// For one read; a watch may take its waiting time in addition.
  core::base::duration platform_timeout = std::chrono::seconds(2);

  /// [log]
  log_level level = log_level::kDecisions;

  /// [limits]
  /// Largest HTTP request, header included.
  std::size_t max_request_bytes = 128 * 1024;
  /// Messages that wait for one peer connection, in bytes.
  std::size_t max_peer_queue_bytes = 16 * 1024 * 1024;
  /// Connections accepted from other instances.
  std::uint32_t max_peer_connections = 2'000;
  /// Threads that call backend servers; each serves a part of them.
  std::uint32_t backend_threads = 2;
  /// HTTP requests that wait for their answer.
  std::uint32_t max_pending_requests = 50'000;
};

/// One fault of a settings file.
struct setting_problem {
  std::string file;
  /// From 1; 0 if the setting is missing or the file cannot be read.
  std::size_t line = 0;
  /// "section.key", or the section alone.
  std::string key;
  std::string what;
  /// Allowed values; may be empty.
  std::string allowed;
};

/// "file:line: key: what (allowed: …)".
std::string ToString(const setting_problem& problem);

/// The settings, or every problem of the file in the order of its lines.
using settings_result = tl::expected<settings, std::vector<setting_problem>>;

/// Parses and checks settings. `file` is used in messages only.
settings_result ParseSettings(std::string_view text, const std::string& file);

/// Same, for a file.
settings_result ReadSettings(const std::string& path);

/// Splits "IP:port" (IPv4, or IPv6 in brackets). False if `text` is not of that form; a port of 0 is refused.
bool SplitAddress(std::string_view text, std::string& ip, std::uint16_t& port);

}  // namespace limpetrouter::shell
