#include "shell/settings.h"

#include <catch2/catch.hpp>

namespace limpetrouter::shell {
namespace {

constexpr std::string_view kMinimalSettings =
    "[instance]\nname = k1\ndata_centre = kaohsiung\n[listen]\nhttp = 127.0.0.1:8101\npeer = 127.0.0.1:9101\n"
    "[platform]\nconfiguration_url = http://127.0.0.1:7000/v1/configuration\n"
    "instance_list_url = http://127.0.0.1:7001/v1/instances\n";

// Guards against missing defaults, in particular of the advertised addresses.
TEST_CASE("minimal settings are complete") {
  const settings_result read = ParseSettings(kMinimalSettings, "k1.ini");
  REQUIRE(read.has_value());
  CHECK(read->name == "k1");
  CHECK(read->advertise_http == "127.0.0.1:8101");
  CHECK(read->advertise_peer == "127.0.0.1:9101");
  CHECK(read->platform_timeout == std::chrono::seconds(2));
  CHECK(read->level == log_level::kDecisions);
}

// Guards against a faulty setting that is accepted silently, or reported without its line, key or allowed values.
TEST_CASE("a faulty setting is reported with file, line, key and allowed values") {
  struct row {
    std::string appended;
    std::string message;
  };
  const auto r = GENERATE(values<row>({
      {"[log]\nlevel = debug\n", "k1.ini:11: log.level: \"debug\" is not a level (allowed: decisions, info, warning)"},
      {"[log]\nlevle = info\n", "k1.ini:11: log.levle: unknown key (allowed: level)"},
      {"[logs]\n",
       "k1.ini:10: logs: unknown section (allowed: advertise, forwarding, instance, limits, listen, log, peers, "
       "platform)"},
      {"[peers]\nseeds = 10.0.0.1:1, nowhere\n",
       "k1.ini:11: peers.seeds: \"nowhere\" is not an address (allowed: IP:port, separated by commas)"},
      {"[log\n", "k1.ini:10: [log: section header without a closing bracket (allowed: [name])"},
      {"timeout_ms = 2s\n", "k1.ini:10: platform.timeout_ms: \"2s\" is not an integer (allowed: 10 to 60000)"},
      {"timeout_ms = 5\n", "k1.ini:10: platform.timeout_ms: 5 is out of range (allowed: 10 to 60000)"},
      {"[limits]\nmax_answer_header_bytes = 100\n",
       "k1.ini:11: limits.max_answer_header_bytes: 100 is out of range (allowed: 1024 to 1048576)"},
      {"[limits]\nmax_buffered_answer_bytes = 1024\n",
       "k1.ini:11: limits.max_buffered_answer_bytes: 1024 is out of range (allowed: 16777216 to 1073741824)"},
      {"timeout_ms = 50\ntimeout_ms = 60\n", "k1.ini:11: platform.timeout_ms: already set in line 10"},
      {"nonsense\n",
       "k1.ini:10: nonsense: line without '=' (allowed: [section], key = value, or a comment after ';' or '#')"},
      {"[advertise]\nhttp = localhost:80\n",
       "k1.ini:11: advertise.http: \"localhost:80\" is not an address (allowed: IP:port with a port of 1 to 65535, "
       "such "
       "as 127.0.0.1:8101 or [::1]:8101)"},
      {"[advertise]\npeer = 0.0.0.0:80\n",
       "k1.ini:11: advertise.peer: \"0.0.0.0:80\" cannot be connected to (allowed: the IP:port by which others reach "
       "this instance; it defaults to the listen address)"},
  }));
  const settings_result read = ParseSettings(std::string(kMinimalSettings) + r.appended, "k1.ini");
  REQUIRE_FALSE(read.has_value());
  REQUIRE(read.error().size() == 1);
  CHECK(ToString(read.error().front()) == r.message);
}

// Guards against a forwarding instance that requires the [platform] URLs of services which its platform does not have,
// and against bounds of the platform that are not applied.
TEST_CASE("a forwarding instance reads its own section and its seeds") {
  const settings_result read = ParseSettings(
      "[instance]\nname = 10.0.0.1\ndata_centre = a\n[listen]\nhttp = 10.0.0.1:1\npeer = 10.0.0.1:2\n"
      "[peers]\nseeds = 10.0.0.2:8224,10.0.0.3:8224\nport = 7740\n"
      "[forwarding]\nentry = 10.0.0.1:3\nreadiness = 10.0.0.1:4\ndirectory = 10.0.0.1:5\nstore = 10.9.0.1:6\n"
      "retry_ratio = 0.25\nretry_window_s = 8\nretry_allowance = 7\nshutdown_grace_s = 2.5\n"
      "server_heartbeat_ms = 900\ncold_overage = 2\ncold_slack = 3\ncontracts = base, drain,,config\nlearned_capacity "
      "= 1\n",
      "f.ini");
  REQUIRE(read.has_value());
  REQUIRE(read->forwarding.has_value());
  CHECK(read->forwarding->store == "10.9.0.1:6");
  CHECK(read->forwarding->bounds.retry_ratio == 0.25);
  CHECK(read->forwarding->bounds.retry_window == std::chrono::seconds(8));
  CHECK(read->forwarding->bounds.retry_allowance == 7);
  CHECK(read->forwarding->bounds.shutdown_grace == std::chrono::milliseconds(2'500));
  CHECK(read->forwarding->bounds.server_heartbeat == std::chrono::milliseconds(900));
  CHECK(read->forwarding->bounds.cold_overage == 2);
  CHECK(read->forwarding->bounds.cold_slack == 3);
  CHECK(read->forwarding->bounds.policies.learned_capacity);
  CHECK(read->forwarding->contracts == std::vector<std::string>{"base", "drain", "config"});
  CHECK(read->seeds == std::vector<std::string>{"10.0.0.2:7740", "10.0.0.3:7740"});
}

// Guards against a check that stops at the first fault, which costs an operator one restart per fault.
TEST_CASE("all missing settings are reported at once") {
  const settings_result read = ParseSettings("", "empty.ini");
  REQUIRE_FALSE(read.has_value());
  CHECK(read.error().size() == 6);
  CHECK(ToString(read.error().front()) ==
        "empty.ini: instance.name: missing (allowed: 1 to 64 letters, digits, '.', '_' or '-')");
}

// Guards against host names and out-of-range ports that reach the socket calls.
TEST_CASE("an address is an IP address and a port") {
  struct row {
    std::string text;
    bool valid;
  };
  const auto r = GENERATE(values<row>({{"127.0.0.1:1", true},
                                       {"[::1]:65535", true},
                                       {"127.0.0.1:0", false},
                                       {"127.0.0.1:65536", false},
                                       {"127.0.0.1:", false},
                                       {"127.0.0.1", false},
                                       {"::1:80", false},
                                       {"127.0.0.1:80 ", false},
                                       {":80", false}}));
  std::string ip;
  std::uint16_t port = 0;
  INFO(r.text);
  CHECK(SplitAddress(r.text, ip, port) == r.valid);
}

// Guards against limits of callers that are accepted but not applied, and against defaults that exceed a small machine.
TEST_CASE("limits follow from the memory of the machine") {
  const std::string section = "[limits]\nmemory_mb = 160.0\nmax_descriptors = 4100\nmax_pipelined_requests = 8\n";
  settings_result read = ParseSettings(std::string(kMinimalSettings) + section, "k1.ini");
  REQUIRE(read.has_value());
  CHECK(read->callers.memory_mb == 160);
  CHECK(read->callers.max_descriptors == 4100);
  CHECK(read->callers.max_pipelined_requests == 8);
  CHECK(read->max_peer_held_bytes == 20 * 1024 * 1024);
  CHECK(read->answers.max_buffered_bytes == 20 * 1024 * 1024);
  read = ParseSettings(std::string(kMinimalSettings) + section + "max_buffered_answer_bytes = 30000000\n", "k1.ini");
  REQUIRE(read.has_value());
  CHECK(read->answers.max_buffered_bytes == 30'000'000);
  read = ParseSettings(kMinimalSettings, "k1.ini");
  REQUIRE(read.has_value());
  CHECK(read->max_peer_held_bytes == 64 * 1024 * 1024);
  CHECK(read->answers.max_buffered_bytes == 32 * 1024 * 1024);
}

}  // namespace
}  // namespace limpetrouter::shell
