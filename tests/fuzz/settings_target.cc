#include "shell/settings.h"
#include "tests/fuzz/fuzz_targets.h"

namespace limpetrouter::fuzz {
namespace {

/// Settings are accepted, or refused with at least one problem that has a text, and alike each time.
std::string CheckSettings(std::string_view input) {
  const shell::settings_result first = shell::ParseSettings(input, "file");
  const shell::settings_result second = shell::ParseSettings(input, "file");
  if (first.has_value() != second.has_value()) return "read differently the second time";
  if (first.has_value()) return {};
  if (first.error().empty()) return "refused without a problem";
  if (first.error().size() != second.error().size()) return "refused differently the second time";
  for (const shell::setting_problem& problem : first.error()) {
    if (ToString(problem).empty()) return "a problem has no text";
  }
  return {};
}

std::vector<std::string> SettingsSeeds() {
  return {
      "[instance]\nname = 10.0.0.1\ndata_centre = a\ncapacity = 0.25\n[listen]\nhttp = 10.0.0.1:80\n"
      "peer = 10.0.0.1:81\nthreads = 1\n[peers]\nseeds = 10.0.0.1:80,10.0.0.2:80\nport = 81\n[limits]\n"
      "backend_threads = 1\nmemory_mb = 260\nmax_descriptors = 4100\n[forwarding]\nentry = 10.0.0.1:82\n"
      "readiness = 10.0.0.1:83\ndirectory = 10.0.0.1:84\nstore = 10.0.0.9:80\nretry_ratio = 0.2\n"
      "retry_window_s = 10\nretry_allowance = 58\nmax_address_validity_s = 5\ncontracts = base,drain\n"
      "server_heartbeat_ms = 1200\nshutdown_grace_s = 6\n"};
}

}  // namespace

const fuzz_target kSettingsTarget = {"settings", &CheckSettings, &SettingsSeeds};

}  // namespace limpetrouter::fuzz
