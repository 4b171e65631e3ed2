#include "shell/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

// The SimpleIni package lacks ConvertUTF.h, which its default conversion needs; this file uses only char.
#define SI_NO_CONVERSION
#include <SimpleIni.h>
#include <fmt/format.h>

namespace limpetrouter::shell {
namespace {

constexpr std::size_t kMaxSettingsBytes = 64 * 1024;
constexpr std::size_t kMaxNameLength = 64;

/// Returns the known keys by section. Any other key is reported, because a misspelled key would silently leave the
/// default in force.
const std::map<std::string, std::set<std::string>>& KnownKeys() {
  static const std::map<std::string, std::set<std::string>> keys = {
      {"instance", {"name", "data_centre", "capacity"}},
      {"listen", {"http", "peer", "threads"}},
      {"advertise", {"http", "peer"}},
      {"platform", {"configuration_url", "instance_list_url", "timeout_ms"}},
      {"log", {"level"}},
      {"peers", {"seeds", "port"}},
      {"forwarding",
       {"entry", "readiness", "directory", "store", "retry_ratio", "retry_window_s", "retry_allowance",
        "max_address_validity_s", "shutdown_grace_s", "server_heartbeat_ms", "cold_overage", "cold_slack", "contracts",
        "learned_capacity"}},
      {"limits",
       {"max_request_bytes", "max_peer_queue_bytes", "max_peer_connections", "max_pending_requests", "backend_threads",
        "max_answer_header_bytes", "max_buffered_answer_bytes", "memory_mb", "max_descriptors", "max_connections",
        "max_held_bytes", "max_pipelined_requests", "drain_timeout_ms"}},
  };
  return keys;
}

template <class Container, class Projection>
std::string Join(const Container& items, Projection projection) {
  std::string joined;
  for (const auto& item : items) {
    if (!joined.empty()) joined += ", ";
    joined += projection(item);
  }
  return joined;
}

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

/// Collects problems and the line of each key. SimpleIni provides the values, but neither line numbers nor the lines
/// that it skips.
struct checker {
  std::string file;
  CSimpleIniCaseA ini;
  std::map<std::string, std::size_t> lines;
  std::vector<setting_problem> problems;

  void Report(std::size_t line, std::string key, std::string what, std::string allowed = {}) {
    problems.push_back({file, line, std::move(key), std::move(what), std::move(allowed)});
  }

  std::size_t LineOf(const std::string& key) const {
    const auto found = lines.find(key);
    return found == lines.end() ? 0 : found->second;
  }

  std::optional<std::string> Value(const std::string& section, const std::string& key) const {
    const char* value = ini.GetValue(section.c_str(), key.c_str());
    if (value == nullptr) return std::nullopt;
    return std::string(Trim(value));
  }
};

void CheckSectionLine(checker& check, std::string_view line, std::size_t number, std::string& section) {
  if (line.back() != ']') {
    check.Report(number, std::string(line), "section header without a closing bracket", "[name]");
    return;
  }
  section = Trim(line.substr(1, line.size() - 2));
  if (KnownKeys().contains(section)) return;
  check.Report(number, section, "unknown section", Join(KnownKeys(), [](const auto& s) { return s.first; }));
}

void CheckKeyLine(checker& check, std::string_view line, std::size_t number, const std::string& section) {
  const auto equals = line.find('=');
  if (equals == std::string_view::npos) {
    check.Report(number, std::string(line), "line without '='",
                 "[section], key = value, or a comment after ';' or '#'");
    return;
  }
  const std::string key(Trim(line.substr(0, equals)));
  if (section.empty()) {
    check.Report(number, key, "key before the first section");
    return;
  }
  const auto known = KnownKeys().find(section);
  if (known == KnownKeys().end()) return;
  const std::string path = section + "." + key;
  if (!known->second.contains(key)) {
    check.Report(number, path, "unknown key", Join(known->second, [](const auto& k) { return k; }));
    return;
  }
  const auto [first, inserted] = check.lines.emplace(path, number);
  if (!inserted) check.Report(number, path, fmt::format("already set in line {}", first->second));
}

void CheckLines(checker& check, std::string_view text) {
  std::string section;
  std::size_t number = 0;
  while (!text.empty()) {
    const auto end = text.find('\n');
    const std::string_view line = Trim(text.substr(0, end));
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    ++number;
    if (line.empty() || line.front() == ';' || line.front() == '#') continue;
    if (line.front() == '[') {
      CheckSectionLine(check, line, number, section);
    } else {
      CheckKeyLine(check, line, number, section);
    }
  }
}

/// Returns the value of a required key. Reports a problem and returns nothing if the key is missing or empty.
std::optional<std::string> Require(checker& check, const std::string& section, const std::string& key,
                                   const std::string& allowed) {
  const std::string path = section + "." + key;
  std::optional<std::string> value = check.Value(section, key);
  if (!value.has_value()) {
    check.Report(0, path, "missing", allowed);
    return std::nullopt;
  }
  if (value->empty()) {
    check.Report(check.LineOf(path), path, "empty", allowed);
    return std::nullopt;
  }
  return value;
}

void ReadName(checker& check, const std::string& section, const std::string& key, std::string& out) {
  static const std::string allowed = fmt::format("1 to {} letters, digits, '.', '_' or '-'", kMaxNameLength);
  const std::optional<std::string> value = Require(check, section, key, allowed);
  if (!value.has_value()) return;
  const bool valid = value->size() <= kMaxNameLength && std::all_of(value->begin(), value->end(), [](char c) {
                       return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
                              c == '_' || c == '-';
                     });
  const std::string path = section + "." + key;
  if (!valid) return check.Report(check.LineOf(path), path, fmt::format("\"{}\" is not a name", *value), allowed);
  out = *value;
}

void ReadAddress(checker& check, const std::string& section, const std::string& key, bool required, std::string& out) {
  static const std::string allowed = "IP:port with a port of 1 to 65535, such as 127.0.0.1:8101 or [::1]:8101";
  std::optional<std::string> value = required ? Require(check, section, key, allowed) : check.Value(section, key);
  if (!value.has_value()) return;
  std::string ip;
  std::uint16_t port = 0;
  const std::string path = section + "." + key;
  if (!SplitAddress(*value, ip, port)) {
    return check.Report(check.LineOf(path), path, fmt::format("\"{}\" is not an address", *value), allowed);
  }
  out = std::move(*value);
}

void ReadUrl(checker& check, const std::string& key, std::string& out) {
  static const std::string allowed = "http://IP:port/path without a query";
  std::optional<std::string> value = Require(check, "platform", key, allowed);
  if (!value.has_value()) return;
  const bool valid = value->starts_with("http://") && value->size() > 7 && (*value)[7] != '/' &&
                     value->find_first_of(" ?#") == std::string::npos;
  const std::string path = "platform." + key;
  if (!valid) return check.Report(check.LineOf(path), path, fmt::format("\"{}\" is not a URL", *value), allowed);
  out = std::move(*value);
}

template <class T>
void ReadNumber(checker& check, const std::string& section, const std::string& key, T low, T high, T& out) {
  const std::optional<std::string> value = check.Value(section, key);
  if (!value.has_value()) return;
  T number{};
  const char* const end = value->data() + value->size();
  const auto [parse_end, error] = std::from_chars(value->data(), end, number);
  const std::string path = section + "." + key;
  const std::string allowed = fmt::format("{} to {}", low, high);
  if (error != std::errc{} || parse_end != end) {
    return check.Report(check.LineOf(path), path, fmt::format("\"{}\" is not an integer", *value), allowed);
  }
  if (number < low || number > high) {
    return check.Report(check.LineOf(path), path, fmt::format("{} is out of range", number), allowed);
  }
  out = number;
}

void ReadLevel(checker& check, log_level& out) {
  const std::optional<std::string> value = check.Value("log", "level");
  if (!value.has_value()) return;
  for (const log_level level : {log_level::kDecisions, log_level::kInfo, log_level::kWarning}) {
    if (ToString(level) != *value) continue;
    out = level;
    return;
  }
  check.Report(check.LineOf("log.level"), "log.level", fmt::format("\"{}\" is not a level", *value),
               "decisions, info, warning");
}

void ReadSeconds(checker& check, const std::string& key, double high, core::base::duration& out) {
  double seconds = std::chrono::duration<double>(out).count();
  ReadNumber<double>(check, "forwarding", key, 0.1, high, seconds);
  out = std::chrono::duration_cast<core::base::duration>(std::chrono::duration<double>(seconds));
}

/// Splits at commas and leaves out empty items.
std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty()) {
    const auto comma = text.find(',');
    const std::string_view item = Trim(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    if (!item.empty()) items.emplace_back(item);
  }
  return items;
}

void ReadForwarding(checker& check, settings& out) {
  if (check.ini.GetSectionSize("forwarding") <= 0) return;
  forwarding_settings parsed;
  constexpr double kMaxSeconds = 3'600;
  constexpr std::uint32_t kMaxAllowance = 1'000'000;
  constexpr std::int64_t kMaxHeartbeatMs = 600'000;
  constexpr double kMaxColdFactor = 1'000;
  ReadAddress(check, "forwarding", "entry", true, parsed.listen_entry);
  ReadAddress(check, "forwarding", "readiness", true, parsed.listen_readiness);
  ReadAddress(check, "forwarding", "directory", true, parsed.listen_directory);
  ReadAddress(check, "forwarding", "store", true, parsed.store);
  ReadNumber<double>(check, "forwarding", "retry_ratio", 0.0, 1.0, parsed.bounds.retry_ratio);
  ReadNumber<std::uint32_t>(check, "forwarding", "retry_allowance", 0, kMaxAllowance, parsed.bounds.retry_allowance);
  ReadSeconds(check, "retry_window_s", kMaxSeconds, parsed.bounds.retry_window);
  ReadSeconds(check, "max_address_validity_s", kMaxSeconds, parsed.bounds.max_address_validity);
  ReadSeconds(check, "shutdown_grace_s", kMaxSeconds, parsed.bounds.shutdown_grace);
  std::int64_t heartbeat_ms = core::base::ToMilliseconds(parsed.bounds.server_heartbeat);
  ReadNumber<std::int64_t>(check, "forwarding", "server_heartbeat_ms", 100, kMaxHeartbeatMs, heartbeat_ms);
  parsed.bounds.server_heartbeat = std::chrono::milliseconds(heartbeat_ms);
  ReadNumber<double>(check, "forwarding", "cold_overage", 1.0, kMaxColdFactor, parsed.bounds.cold_overage);
  ReadNumber<double>(check, "forwarding", "cold_slack", 0.0, kMaxColdFactor, parsed.bounds.cold_slack);
  std::uint32_t learns_capacity = 0;
  ReadNumber<std::uint32_t>(check, "forwarding", "learned_capacity", 0, 1, learns_capacity);
  parsed.bounds.policies.learned_capacity = learns_capacity == 1;
  parsed.contracts = SplitList(check.Value("forwarding", "contracts").value_or(""));
  out.forwarding = std::move(parsed);
}

/// Reads the seeds. If `peers.port` is set, it replaces the port of each seed.
void ReadSeeds(checker& check, settings& out) {
  const std::string list = check.Value("peers", "seeds").value_or("");
  std::uint16_t peer_port = 0;
  ReadNumber<std::uint16_t>(check, "peers", "port", 1, 65'535, peer_port);
  for (const std::string& item : SplitList(list)) {
    std::string ip;
    std::uint16_t port = 0;
    if (!SplitAddress(item, ip, port)) {
      check.Report(check.LineOf("peers.seeds"), "peers.seeds", fmt::format("\"{}\" is not an address", item),
                   "IP:port, separated by commas");
      continue;
    }
    out.seeds.push_back(peer_port == 0 ? std::string(item) : fmt::format("{}:{}", ip, peer_port));
  }
}

void ReadCallerLimits(checker& check, caller_limits& out) {
  constexpr double kMaxMemoryMb = 1024 * 1024;
  constexpr std::uint32_t kMaxDescriptors = 1'000'000;
  constexpr std::int64_t kMaxDrainMs = 600'000;
  // A platform may state its figures with a fraction.
  double memory_mb = 0;
  double descriptors = 0;
  ReadNumber<double>(check, "limits", "memory_mb", 0, kMaxMemoryMb, memory_mb);
  ReadNumber<double>(check, "limits", "max_descriptors", 0, kMaxDescriptors, descriptors);
  out.memory_mb = static_cast<std::size_t>(memory_mb);
  out.max_descriptors = static_cast<std::uint32_t>(descriptors);
  ReadNumber<std::uint32_t>(check, "limits", "max_connections", 0, kMaxDescriptors, out.max_connections);
  ReadNumber<std::size_t>(check, "limits", "max_held_bytes", 0, std::size_t{1} << 36U, out.max_held_bytes);
  ReadNumber<std::uint32_t>(check, "limits", "max_pipelined_requests", 1, 10'000, out.max_pipelined_requests);
  std::int64_t drain_ms = out.drain_timeout.count();
  ReadNumber<std::int64_t>(check, "limits", "drain_timeout_ms", 100, kMaxDrainMs, drain_ms);
  out.drain_timeout = std::chrono::milliseconds(drain_ms);
}

/// Lowers the defaults that a machine of the stated memory cannot hold.
void DeriveFromMemory(const checker& check, settings& out) {
  constexpr std::size_t kMegabyte = 1024 * 1024;
  constexpr std::size_t kShareOfMemory = 8;
  // Two messages of the largest size.
  constexpr std::size_t kMinPeerBytes = 8 * kMegabyte;
  // The platform's list of backend servers may take several MB.
  constexpr std::size_t kMinAnswerBytes = 16 * kMegabyte;
  if (out.callers.memory_mb == 0) return;
  const std::size_t share = out.callers.memory_mb * kMegabyte / kShareOfMemory;
  out.max_peer_held_bytes = std::min(out.max_peer_held_bytes, std::max(share, kMinPeerBytes));
  if (check.Value("limits", "max_buffered_answer_bytes").has_value()) return;
  out.answers.max_buffered_bytes = std::min(out.answers.max_buffered_bytes, std::max(share, kMinAnswerBytes));
}

void ReadAll(checker& check, settings& out) {
  ReadForwarding(check, out);
  ReadSeeds(check, out);
  ReadName(check, "instance", "name", out.name);
  ReadName(check, "instance", "data_centre", out.data_centre);
  constexpr double kMaxCores = 1'024;
  ReadNumber<double>(check, "instance", "capacity", 0, kMaxCores, out.capacity);
  ReadAddress(check, "listen", "http", true, out.listen_http);
  ReadAddress(check, "listen", "peer", true, out.listen_peer);
  ReadNumber<std::uint32_t>(check, "listen", "threads", 1, 256, out.threads);
  out.advertise_http = out.listen_http;
  out.advertise_peer = out.listen_peer;
  ReadAddress(check, "advertise", "http", false, out.advertise_http);
  ReadAddress(check, "advertise", "peer", false, out.advertise_peer);
  if (!out.forwarding.has_value()) {
    ReadUrl(check, "configuration_url", out.configuration_url);
    ReadUrl(check, "instance_list_url", out.instance_list_url);
  }
  std::int64_t timeout_ms = core::base::ToMilliseconds(out.platform_timeout);
  ReadNumber<std::int64_t>(check, "platform", "timeout_ms", 10, 60'000, timeout_ms);
  out.platform_timeout = std::chrono::milliseconds(timeout_ms);
  ReadLevel(check, out.level);
  ReadNumber<std::size_t>(check, "limits", "max_request_bytes", 1024, 16 * 1024 * 1024, out.max_request_bytes);
  ReadNumber<std::size_t>(check, "limits", "max_peer_queue_bytes", 4 * 1024 * 1024, std::size_t{1} << 30U,
                          out.max_peer_queue_bytes);
  ReadNumber<std::uint32_t>(check, "limits", "max_peer_connections", 1, 100'000, out.max_peer_connections);
  ReadNumber<std::uint32_t>(check, "limits", "backend_threads", 1, 64, out.backend_threads);
  ReadNumber<std::uint32_t>(check, "limits", "max_pending_requests", 1, 1'000'000, out.max_pending_requests);
  ReadNumber<std::size_t>(check, "limits", "max_answer_header_bytes", 1024, 1024 * 1024, out.answers.max_header_bytes);
  // The platform's list of backend servers may take several MB.
  ReadNumber<std::size_t>(check, "limits", "max_buffered_answer_bytes", 16 * 1024 * 1024, std::size_t{1} << 30U,
                          out.answers.max_buffered_bytes);
  ReadCallerLimits(check, out.callers);
  DeriveFromMemory(check, out);
}

/// Reports advertised wildcard addresses: an instance can listen on one, but nobody can connect to it.
void CheckAdvertised(checker& check, const settings& parsed) {
  for (const auto& [key, address] : {std::pair{"http", &parsed.advertise_http}, {"peer", &parsed.advertise_peer}}) {
    std::string ip;
    std::uint16_t port = 0;
    if (!SplitAddress(*address, ip, port) || (ip != "0.0.0.0" && ip != "::")) continue;
    const std::string path = fmt::format("advertise.{}", key);
    check.Report(check.LineOf(path), path, fmt::format("\"{}\" cannot be connected to", *address),
                 "the IP:port by which others reach this instance; it defaults to the listen address");
  }
}

}  // namespace

std::string_view ToString(log_level level) {
  switch (level) {
    case log_level::kDecisions:
      return "decisions";
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      break;
  }
  return "warning";
}

std::string ToString(const setting_problem& problem) {
  std::string text = problem.file;
  if (problem.line != 0) text += fmt::format(":{}", problem.line);
  text += ": ";
  if (!problem.key.empty()) text += problem.key + ": ";
  text += problem.what;
  if (!problem.allowed.empty()) text += fmt::format(" (allowed: {})", problem.allowed);
  return text;
}

bool SplitAddress(std::string_view text, std::string& ip, std::uint16_t& port) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  std::string_view host = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  std::uint16_t number = 0;
  const auto [parse_end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (error != std::errc{} || parse_end != digits.data() + digits.size() || number == 0) return false;
  std::string candidate(host);
  unsigned char parsed[sizeof(in6_addr)];
  if (inet_pton(bracketed ? AF_INET6 : AF_INET, candidate.c_str(), parsed) != 1) return false;
  ip = std::move(candidate);
  port = number;
  return true;
}

settings_result ParseSettings(std::string_view text, const std::string& file) {
  checker check;
  check.file = file;
  if (text.size() > kMaxSettingsBytes) {
    check.Report(0, "",
                 fmt::format("file size of {} bytes exceeds the limit of {} bytes", text.size(), kMaxSettingsBytes));
    return tl::make_unexpected(std::move(check.problems));
  }
  if (text.find('\0') != std::string_view::npos) {
    check.Report(0, "", "contains a NUL byte, so it is not a text file");
    return tl::make_unexpected(std::move(check.problems));
  }
  CheckLines(check, text);
  if (check.ini.LoadData(text.data(), text.size()) != SI_OK) {
    check.Report(0, "", "cannot be parsed as an INI file");
    return tl::make_unexpected(std::move(check.problems));
  }
  settings parsed;
  ReadAll(check, parsed);
  CheckAdvertised(check, parsed);
  if (check.problems.empty()) return parsed;
  std::stable_sort(check.problems.begin(), check.problems.end(),
                   [](const auto& a, const auto& b) { return a.line < b.line; });
  return tl::make_unexpected(std::move(check.problems));
}

settings_result ReadSettings(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::stringstream text;
  if (stream) text << stream.rdbuf();
  if (!stream) {
    return tl::make_unexpected(std::vector<setting_problem>{{path, 0, "", "cannot be read", ""}});
  }
  return ParseSettings(text.str(), path);
}

}  // namespace limpetrouter::shell
