#include "tests/standins/options.h"

#include <cstdlib>
#include <exception>

#include <fmt/format.h>
#include <popt.h>

namespace limpetrouter::tests::standins {
namespace {

void StoreValue(const option& target, const std::string& value) {
  if (target.text != nullptr) *target.text = value;
  if (target.number != nullptr) *target.number = std::strtoll(value.c_str(), nullptr, 10);
  if (target.real != nullptr) *target.real = std::strtod(value.c_str(), nullptr);
  if (target.flag != nullptr) *target.flag = true;
}

}  // namespace

std::vector<std::string> ParseOptions(int argc, char** argv, const std::vector<option>& options) {
  std::vector<poptOption> table;
  int code = 1;
  for (const option& entry : options) {
    const int kind = entry.flag != nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
    table.push_back({entry.name, '\0', static_cast<unsigned>(kind), nullptr, code++, entry.help, nullptr});
  }
  const poptOption help[] = {POPT_AUTOHELP POPT_TABLEEND};
  table.push_back(help[0]);
  table.push_back(help[1]);
  poptContext context = poptGetContext(argv[0], argc, const_cast<const char**>(argv), table.data(), 0);
  int found = 0;
  while ((found = poptGetNextOpt(context)) > 0) {
    char* value = poptGetOptArg(context);
    StoreValue(options[static_cast<std::size_t>(found) - 1], value == nullptr ? "" : value);
    std::free(value);  // NOLINT: popt allocates with malloc.
  }
  if (found < -1) {
    fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(found));
    std::exit(2);
  }
  std::vector<std::string> rest;
  while (const char* argument = poptGetArg(context))
    rest.emplace_back(argument);
  poptFreeContext(context);
  return rest;
}

int RunReported(const char* program, const std::function<int()>& run) {
  try {
    return run();
  } catch (const std::exception& failure) {
    fmt::print(stderr, "{}: {}\n", program, failure.what());
    return 1;
  }
}

}  // namespace limpetrouter::tests::standins
