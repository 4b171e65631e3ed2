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
  std::vector<poptOption> popt_table;
  int next_number = 1;
  for (const option& entry : options) {
    const int argument_type = entry.flag != nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
    popt_table.push_back(
        {entry.name, '\0', static_cast<unsigned>(argument_type), nullptr, next_number++, entry.help, nullptr});
  }
  const poptOption help[] = {POPT_AUTOHELP POPT_TABLEEND};
  popt_table.push_back(help[0]);
  popt_table.push_back(help[1]);
  poptContext context = poptGetContext(argv[0], argc, const_cast<const char**>(argv), popt_table.data(), 0);
  int option_number = 0;
  while ((option_number = poptGetNextOpt(context)) > 0) {
    char* value = poptGetOptArg(context);
    StoreValue(options[static_cast<std::size_t>(option_number) - 1], value == nullptr ? "" : value);
    std::free(value);  // NOLINT: popt allocates with malloc.
  }
  if (option_number < -1) {
    fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(option_number));
    std::exit(2);
  }
  std::vector<std::string> positional;
  while (const char* argument = poptGetArg(context))
    positional.emplace_back(argument);
  poptFreeContext(context);
  return positional;
}

int RunAndReportErrors(const char* program, const std::function<int()>& run) {
  try {
    return run();
  } catch (const std::exception& failure) {
    fmt::print(stderr, "{}: {}\n", program, failure.what());
    return 1;
  }
}

}  // namespace limpetrouter::tests::standins
