#pragma once

#include "cli/options.h"

namespace limpetrouter::cli {

/// Each function runs one subcommand, prints its result and returns the exit code.
int CheckFiles(const options& chosen);
int ShowInstances(const options& chosen);
int ShowBackendServers(const options& chosen);
int ShowConfiguration(const options& chosen);
int ShowDrains(const options& chosen);
int ShowWithheld(const options& chosen);
int ShowBudgets(const options& chosen);
int ShowForwarding(const options& chosen);
int ExplainRequest(const options& chosen);
int ExplainQuery(const options& chosen);
int RunQuery(const options& chosen);
int ShowAddresses(const options& chosen);

}  // namespace limpetrouter::cli
