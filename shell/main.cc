#include <popt.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <string>

#include <fmt/format.h>

#if __has_include("platform/adapter.h")
#include "platform/adapter.h"
#endif
#include "shell/daemon.h"
#include "shell/settings.h"
#include "shell/version.h"

namespace limpetrouter::shell {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 1;
constexpr int kExitSettings = 2;
constexpr int kExitListen = 3;
constexpr int kExitInternal = 4;
constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
/// With a poll interval of 50 ms, the settings file is checked for changes every two seconds.
constexpr std::uint64_t kPollsPerFileCheck = 40;

constexpr const char* kHelpFooter =
    "\n"
    "The settings file is INI; every fault is printed with its line, key and allowed values.\n"
    "SIGTERM or SIGINT begins a graceful shutdown: the instance serves until no caller can\n"
    "still hold its address and all its work has ended. A second signal does not shorten it.\n"
    "\n"
    "Exit codes:\n"
    "  0  the graceful shutdown is complete, or --check found no fault\n"
    "  1  wrong command line\n"
    "  2  the settings are invalid\n"
    "  3  an address cannot be listened on\n"
    "  4  internal error\n";

struct options {
  std::string config;
  bool check = false;
  bool version = false;
  bool help = false;
};

struct context_deleter {
  void operator()(poptContext_s* context) const { poptFreeContext(context); }
};

/// Parses the command line. Returns false, with a message printed, if it is wrong.
bool ParseOptions(int argc, const char** argv, options& out) {
  char* config = nullptr;
  int check = 0;
  int version = 0;
  int help = 0;
  const poptOption table[] = {{"config", 'c', POPT_ARG_STRING, &config, 0, "Settings file (required)", "FILE"},
                              {"check", '\0', POPT_ARG_NONE, &check, 0, "Check the settings and exit", nullptr},
                              {"version", '\0', POPT_ARG_NONE, &version, 0, "Print the version and exit", nullptr},
                              {"help", 'h', POPT_ARG_NONE, &help, 0, "Print this help and exit", nullptr},
                              POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, context_deleter> context(poptGetContext("limpetrouterd", argc, argv, table, 0));
  const int result = poptGetNextOpt(context.get());
  if (config != nullptr) out.config = config;
  std::free(config);
  out.check = check != 0;
  out.version = version != 0;
  out.help = help != 0;
  if (result < -1) {
    fmt::print(stderr, "limpetrouterd: {}: {}\n", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
               poptStrerror(result));
    return false;
  }
  if (const char* extra = poptPeekArg(context.get()); extra != nullptr) {
    fmt::print(stderr, "limpetrouterd: unexpected argument \"{}\"\n", extra);
    return false;
  }
  if (out.help) {
    poptPrintHelp(context.get(), stdout, 0);
    std::fputs(kHelpFooter, stdout);
  } else if (!out.version && out.config.empty()) {
    fmt::print(stderr, "limpetrouterd: --config FILE is required; see --help\n");
    return false;
  }
  return true;
}

/// Raises the limit of open files to the hard limit. Each connection uses one file descriptor, and the typical soft
/// limit of 1024 is too low for a gatherer.
void RaiseFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

/// Blocks the signals for shutdown and reload in this thread and the threads that it starts, so that only
/// `sigtimedwait` receives them. Also ignores SIGPIPE.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

/// Returns the factory for the platform adapter of this build; empty if there is none.
adapter_factory PlatformAdapter() {
#if __has_include("platform/adapter.h")
  return &platform::MakeAdapter;
#else
  return {};
#endif
}

bool CallsForAdmissionControl([[maybe_unused]] const forwarding_settings& forwarding) {
#if __has_include("platform/adapter.h")
  return platform::CallsForAdmissionControl(forwarding.contracts);
#else
  return false;
#endif
}

/// Returns the modification time of the file in nanoseconds since the epoch; zero if it cannot be read.
std::int64_t ModificationTime(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return 0;
  return std::int64_t{status.st_mtim.tv_sec} * kNanosecondsPerSecond + status.st_mtim.tv_nsec;
}

int RunDaemon(const std::string& path, settings settings) {
  const sigset_t signals = BlockSignals();
  RaiseFileLimit();
  const adapter_factory make_adapter = PlatformAdapter();
  if (settings.forwarding.has_value() && !make_adapter) {
    fmt::print(stderr, "limpetrouterd: [forwarding] is set, but this build has no platform adapter\n");
    return kExitSettings;
  }
  if (settings.forwarding.has_value())
    settings.forwarding->bounds.policies.admission_control = CallsForAdmissionControl(*settings.forwarding);
  daemon instance(settings, make_adapter);
  const core::base::result<void> started = instance.Start();
  if (!started.has_value()) {
    fmt::print(stderr, "limpetrouterd: {}\n", started.error().detail);
    return started.error().kind == core::base::error_kind::kInvalidSetting ? kExitListen : kExitInternal;
  }
  constexpr timespec kPollInterval{0, 50'000'000};
  std::int64_t modified = ModificationTime(path);
  for (std::uint64_t poll = 1; !instance.IsShutdownComplete(); ++poll) {
    const int signal = sigtimedwait(&signals, nullptr, &kPollInterval);
    // The file may also change without a signal.
    const std::int64_t latest = poll % kPollsPerFileCheck == 0 ? ModificationTime(path) : modified;
    if (signal == SIGHUP || latest != modified) instance.Reload(ReadSettings(path));
    modified = latest;
    if (signal == SIGTERM || signal == SIGINT) instance.BeginShutdown();
  }
  instance.Stop();
  return kExitOk;
}

int Run(int argc, const char** argv) {
  options command_line;
  if (!ParseOptions(argc, argv, command_line)) return kExitUsage;
  if (command_line.help) return kExitOk;
  if (command_line.version) {
    fmt::print("limpetrouterd {}\n", kVersion);
    return kExitOk;
  }
  const settings_result read = ReadSettings(command_line.config);
  if (!read.has_value()) {
    for (const setting_problem& problem : read.error())
      fmt::print(stderr, "{}\n", ToString(problem));
    return kExitSettings;
  }
  if (command_line.check) {
    fmt::print("{}: no fault found\n", command_line.config);
    return kExitOk;
  }
  return RunDaemon(command_line.config, *read);
}

}  // namespace
}  // namespace limpetrouter::shell

int main(int argc, const char** argv) {
  try {
    return limpetrouter::shell::Run(argc, argv);
  } catch (const std::exception& e) {
    fmt::print(stderr, "limpetrouterd: internal error: {}\n", e.what());
    return limpetrouter::shell::kExitInternal;
  }
}
