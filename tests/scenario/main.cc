#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>

#include <fmt/format.h>

#include "tests/scenario/measure.h"
#include "tests/scenario/mix.h"
#include "tests/scenario/script.h"

namespace {

using namespace limpetrouter::tests::scenario;

constexpr int kPassed = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;

struct options {
  std::string path;
  /// File with further statements, which are added to those of the scenario.
  std::string with;
  std::uint64_t seed = 0;
  std::uint64_t mixes = 0;
  std::string golden;
  bool update = false;
  bool log = false;
  bool cells = false;
};

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string JoinLog(const script_outcome& outcome) {
  std::string text;
  for (const std::string& line : outcome.final_world->record().log)
    text += line + '\n';
  return text;
}

/// Prints the outcome and, for the proof table, one line for each property that the run tested.
void Print(const script_outcome& outcome, bool cells) {
  fmt::print("{}: {}\n", outcome.passed() ? "passed" : "FAILED", outcome.title);
  for (const std::string& figure : outcome.figures)
    fmt::print("  {}\n", figure);
  constexpr std::size_t kShown = 10;
  for (const property_report& report : outcome.properties) {
    if (cells) {
      fmt::print("cell|{}|{}|{}|{}\n", outcome.failure, report.property, report.checked, report.violations.size());
    }
    for (std::size_t i = 0; i < report.violations.size() && i < kShown; ++i) {
      fmt::print("  violated: {}: {}\n", report.property, report.violations[i]);
    }
    if (report.violations.size() > kShown) fmt::print("  ... {} violations\n", report.violations.size());
  }
  for (const auto& [kind, count] : Measure(*outcome.final_world, {}).refusals) {
    fmt::print("  refusals: {} {}\n", kind, count);
  }
  for (const std::string& unmet : outcome.unmet)
    fmt::print("  not met: {}\n", unmet);
}

/// Compares the decision log of a whole session with its golden file.
int CompareGolden(const script_outcome& outcome, const options& options) {
  const std::string log = JoinLog(outcome);
  if (options.update) {
    std::ofstream(options.golden) << log;
    return kPassed;
  }
  const auto expected = ReadFile(options.golden);
  if (!expected.has_value()) {
    fmt::print(stderr, "{}: cannot be read\n", options.golden);
    return kUsage;
  }
  if (*expected == log) return kPassed;
  std::istringstream a(*expected);
  std::istringstream b(log);
  std::string line_a;
  std::string line_b;
  for (int number = 1;; ++number) {
    const bool more_a = static_cast<bool>(std::getline(a, line_a));
    const bool more_b = static_cast<bool>(std::getline(b, line_b));
    if (more_a && more_b && line_a == line_b) continue;
    fmt::print("{}:{}: the session differs\n  golden: {}\n  run:    {}\n", options.golden, number,
               more_a ? line_a : "(end)", more_b ? line_b : "(end)");
    return kFailed;
  }
}

int RunText(const std::string& name, const std::string& text, const options& options) {
  const bool keep_log = options.log || !options.golden.empty();
  const auto outcome = RunScript(text, options.seed, keep_log);
  if (!outcome.has_value()) {
    fmt::print(stderr, "{}: {}\n", name, outcome.error().detail);
    return kUsage;
  }
  if (options.log) fmt::print("{}", JoinLog(*outcome));
  Print(*outcome, options.cells);
  if (!outcome->passed()) return kFailed;
  return options.golden.empty() ? kPassed : CompareGolden(*outcome, options);
}

int RunMixes(const options& options) {
  int result = kPassed;
  const std::uint64_t first = options.seed == 0 ? 1 : options.seed;
  for (std::uint64_t seed = first; seed < first + options.mixes; ++seed) {
    struct options one = options;
    one.seed = 0;
    if (RunText(fmt::format("mix {}", seed), MixScript(seed), one) != kPassed) result = kFailed;
  }
  return result;
}

}  // namespace

// Usage: scenario_runner FILE [--with FILE] [--seed N] [--log] [--cells] [--golden FILE [--update]]
//        scenario_runner --mixes COUNT [--seed FIRST] [--cells]
int main(int argc, char** argv) {
  options options;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    const bool has_value = i + 1 < argc;
    if (argument == "--seed" && has_value) {
      options.seed = std::strtoull(argv[++i], nullptr, 10);
    } else if (argument == "--with" && has_value) {
      options.with = argv[++i];
    } else if (argument == "--mixes" && has_value) {
      options.mixes = std::strtoull(argv[++i], nullptr, 10);
    } else if (argument == "--golden" && has_value) {
      options.golden = argv[++i];
    } else if (argument == "--update") {
      options.update = true;
    } else if (argument == "--log") {
      options.log = true;
    } else if (argument == "--cells") {
      options.cells = true;
    } else {
      options.path = argument;
    }
  }
  if (options.mixes > 0) return RunMixes(options);
  const auto text = ReadFile(options.path);
  const auto further = options.with.empty() ? std::string() : ReadFile(options.with);
  if (!text.has_value() || !further.has_value()) {
    fmt::print(stderr,
               "usage: scenario_runner FILE [--with FILE] [--seed N] [--log] [--cells] [--golden FILE [--update]]\n"
               "       scenario_runner --mixes COUNT [--seed FIRST] [--cells]\n");
    return kUsage;
  }
  return RunText(options.path, *text + '\n' + *further, options);
}
