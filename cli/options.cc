#include "cli/options.h"

#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>

#include <fmt/format.h>

#include "shell/settings.h"
#include "shell/version.h"

namespace limpetrouter::cli {
namespace {

/// Codes that popt returns for options that need work of their own.
enum option_code : std::uint8_t { kAddress = 1, kHelp, kKey, kBody, kRequestId, kPermit, kCaller };

struct subcommand {
  std::string_view name;
  const char* arguments;
  const char* summary;
  std::size_t least_arguments;
  std::size_t most_arguments;
  bool needs_address;
};

constexpr std::array<subcommand, 12> kSubcommands = {{
    {"check", "settings FILE | configuration INVENTORY RULES SHARD_MAPS", "Check files without an instance", 2, 4,
     false},
    {"instances", "", "Instances with their state, as the first reachable instance sees them", 0, 0, true},
    {"backend-servers", "", "Backend servers with holders, load and health", 0, 0, true},
    {"configuration", "", "Revision in force on each instance, who lags, and why a revision was refused", 0, 0, true},
    {"drains", "", "Backend servers that get no new work", 0, 0, true},
    {"withheld", "", "Requests withheld because they crashed backend servers", 0, 0, true},
    {"budgets", "", "Hedge and retry budgets and admission limits", 0, 0, true},
    {"forwarding", "", "Configuration, backend servers and budgets of the given forwarding instances", 0, 0, true},
    {"request", "ATTEMPT_ID", "Decisions of the given forwarding instances about one request", 1, 1, true},
    {"explain", "QUERY_ID", "Decisions taken for one query", 1, 1, true},
    {"query", "COLLECTION OPERATION", "Run one query and print its answer", 2, 2, true},
    {"addresses", "", "Addresses, and permits, that a caller gets", 0, 0, true},
}};

constexpr const char* kExitCodes =
    "\n"
    "Exit codes:\n"
    "  0  done\n"
    "  1  the request was refused, or a check found a fault\n"
    "  2  wrong command line\n"
    "  3  no instance could be reached\n";

struct context_deleter {
  void operator()(poptContext_s* context) const { poptFreeContext(context); }
};
using context_ptr = std::unique_ptr<poptContext_s, context_deleter>;

const subcommand* FindSubcommand(std::string_view name) {
  const auto* found = std::find_if(kSubcommands.begin(), kSubcommands.end(),
                                   [name](const subcommand& each) { return each.name == name; });
  return found == kSubcommands.end() ? nullptr : found;
}

void PrintOverview(std::FILE* out) {
  fmt::print(out, "Usage: limpetctl COMMAND [OPTIONS]\n\nCommands:\n");
  for (const subcommand& each : kSubcommands)
    fmt::print(out, "  {:<16} {}\n", each.name, each.summary);
  fmt::print(out, "\n\"limpetctl COMMAND --help\" lists the options of a command.\n{}", kExitCodes);
}

/// popt writes to int and long; these are copied into the options afterwards.
struct popt_targets {
  int json = 0;
  int get_permit = 0;
  long timeout_ms = 5'000;
  long permits = 0;
  long deadline_ms = 0;
  long rows = 20;
};

std::vector<poptOption> MakeTable(const subcommand& command, popt_targets& targets) {
  std::vector<poptOption> table;
  const auto add = [&table](const char* name, unsigned kind, void* target, int code, const char* help,
                            const char* value) {
    table.push_back({name, '\0', kind, target, code, help, value});
  };
  if (command.needs_address) {
    add("address", POPT_ARG_STRING, nullptr, kAddress, "Instance to ask; repeat to name others to fall back on",
        "IP:PORT");
    add("timeout-ms", POPT_ARG_LONG | POPT_ARGFLAG_SHOW_DEFAULT, &targets.timeout_ms, 0, "Time to wait for one answer",
        "MS");
  }
  if (command.name == "addresses" || command.name == "query") {
    add("caller", POPT_ARG_STRING, nullptr, kCaller, "Name of the caller (default: limpetctl)", "NAME");
  }
  if (command.name == "addresses") {
    add("permits", POPT_ARG_LONG, &targets.permits, 0, "Permits to ask for, 0 to 100", "N");
  }
  if (command.name == "query") {
    add("key", POPT_ARG_STRING, nullptr, kKey, "Key, for operations on one shard", "KEY");
    add("body", POPT_ARG_STRING, nullptr, kBody, "JSON object for backend servers", "JSON");
    add("request-id", POPT_ARG_STRING, nullptr, kRequestId, "Own name of the request, echoed", "ID");
    add("deadline-ms", POPT_ARG_LONG, &targets.deadline_ms, 0, "Deadline (default: from the rules)", "MS");
    add("permit", POPT_ARG_STRING, nullptr, kPermit, "Permit, for operations that are not repeatable", "PERMIT");
    add("get-permit", POPT_ARG_NONE, &targets.get_permit, 0, "Get a permit first, and print it", nullptr);
    add("rows", POPT_ARG_LONG | POPT_ARGFLAG_SHOW_DEFAULT, &targets.rows, 0, "Rows to print", "N");
  }
  add("json", POPT_ARG_NONE, &targets.json, 0, "Print one JSON document", nullptr);
  add("help", POPT_ARG_NONE, nullptr, kHelp, "Print this help", nullptr);
  const poptOption end = POPT_TABLEEND;
  table.push_back(end);
  return table;
}

void StoreText(int code, const std::string& value, options& out) {
  if (code == kAddress) out.addresses.push_back(value);
  if (code == kKey) out.key = value;
  if (code == kBody) out.body = value;
  if (code == kRequestId) out.request_id = value;
  if (code == kPermit) out.permit = value;
  if (code == kCaller) out.caller = value;
}

std::string CheckOptions(const subcommand& command, const options& parsed) {
  const std::size_t count = parsed.arguments.size();
  if (count < command.least_arguments || count > command.most_arguments) {
    return fmt::format("{} arguments (expected: {})", count, *command.arguments == '\0' ? "none" : command.arguments);
  }
  if (command.needs_address && parsed.addresses.empty()) return "no --address IP:PORT of an instance";
  for (const std::string& address : parsed.addresses) {
    std::string ip;
    std::uint16_t port = 0;
    if (!shell::SplitAddress(address, ip, port)) return fmt::format("--address \"{}\" is not IP:PORT", address);
  }
  if (parsed.timeout_ms <= 0) return "--timeout-ms must be above 0";
  if (parsed.deadline_ms < 0) return "--deadline-ms must not be negative";
  if (parsed.permits < 0 || parsed.permits > 100) return "--permits must be from 0 to 100";
  if (parsed.get_permit && !parsed.permit.empty()) return "--permit and --get-permit exclude each other";
  return {};
}

int FailUsage(std::string_view command, const std::string& what) {
  fmt::print(stderr, "limpetctl {}: {}\nTry \"limpetctl {} --help\".\n", command, what, command);
  return kExitUsage;
}

}  // namespace

std::optional<options> ParseCommandLine(int argc, const char** argv, int& exit_code) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  exit_code = kExitOk;
  if (name == "--help" || name == "-h" || name == "help") {
    PrintOverview(stdout);
    return std::nullopt;
  }
  if (name == "--version") {
    fmt::print("limpetctl {}\n", shell::kVersion);
    return std::nullopt;
  }
  const subcommand* command = FindSubcommand(name);
  if (command == nullptr) {
    if (!name.empty()) fmt::print(stderr, "limpetctl: unknown command \"{}\"\n", name);
    PrintOverview(stderr);
    exit_code = kExitUsage;
    return std::nullopt;
  }
  options parsed;
  parsed.command = name;
  popt_targets targets;
  const std::vector<poptOption> table = MakeTable(*command, targets);
  const std::string title = fmt::format("limpetctl {}", name);
  // popt prints the first argument as the name of the program.
  std::vector<const char*> words(argv + 1, argv + argc);
  words[0] = title.c_str();
  const context_ptr context(
      poptGetContext(title.c_str(), static_cast<int>(words.size()), words.data(), table.data(), 0));
  const std::string usage = fmt::format("{} [OPTIONS]\n{}", command->arguments, command->summary);
  poptSetOtherOptionHelp(context.get(), usage.c_str());
  int code = 0;
  while ((code = poptGetNextOpt(context.get())) > 0) {
    if (code == kHelp) {
      poptPrintHelp(context.get(), stdout, 0);
      std::fputs(kExitCodes, stdout);
      return std::nullopt;
    }
    char* value = poptGetOptArg(context.get());
    StoreText(code, value == nullptr ? "" : value, parsed);
    std::free(value);
  }
  if (code < -1) {
    exit_code = FailUsage(
        name, fmt::format("{}: {}", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(code)));
    return std::nullopt;
  }
  while (const char* argument = poptGetArg(context.get()))
    parsed.arguments.emplace_back(argument);
  parsed.json = targets.json != 0;
  parsed.get_permit = targets.get_permit != 0;
  parsed.timeout_ms = targets.timeout_ms;
  parsed.permits = targets.permits;
  parsed.deadline_ms = targets.deadline_ms;
  parsed.rows = targets.rows;
  const std::string fault = CheckOptions(*command, parsed);
  if (!fault.empty()) {
    exit_code = FailUsage(name, fault);
    return std::nullopt;
  }
  return parsed;
}

}  // namespace limpetrouter::cli
