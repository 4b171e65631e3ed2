#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetrouter::cli {

/// Exit codes of limpetctl.
inline constexpr int kExitOk = 0;
/// The request was refused, or a check found a fault.
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;
/// No instance could be reached.
inline constexpr int kExitUnreachable = 3;

/// The command line of one subcommand.
struct options {
  std::string command;
  /// Arguments after the subcommand that are not options.
  std::vector<std::string> arguments;
  /// Instances to ask, "IP:port", in order of preference.
  std::vector<std::string> addresses;
  /// Machine-readable output.
  bool json = false;
  std::int64_t timeout_ms = 5'000;

  /// Name that limpetctl gives itself as a caller.
  std::string caller = "limpetctl";
  /// addresses: permits to ask for.
  std::int64_t permits = 0;

  /// query
  std::string key;
  std::string body;
  std::string request_id;
  std::int64_t deadline_ms = 0;
  std::string permit;
  bool get_permit = false;
  /// Rows to print.
  std::int64_t rows = 20;
};

/// Parses the command line. Empty after an error or a request for help, which have been printed; `exit_code` is then
/// set.
std::optional<options> ParseCommandLine(int argc, const char** argv, int& exit_code);

}  // namespace limpetrouter::cli
