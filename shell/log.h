#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/io/command.h"
#include "shell/settings.h"

namespace limpetrouter::shell {

using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Appends `name=value`, with the value quoted and escaped if it holds a space, a quote, an equals sign or a control
/// character.
void AppendLogField(std::string& line, std::string_view name, std::string_view value);

/// Returns one structured line without its newline: ts, level, instance, decision, then the fields in their order.
std::string FormatLogLine(std::chrono::system_clock::time_point at, std::string_view level, std::string_view instance,
                          std::string_view decision, const log_fields& fields);

/// Returns the least detailed log level at which a decision of the core is still written.
log_level LevelOfDecision(const core::io::log_decision& decision);

/// Writes lines to a file descriptor on its own thread, so that a slow reader of the log does not delay decisions.
/// Thread-safe. If more than 64 MiB are queued, further lines are dropped and their number is logged.
class logger {
 public:
  logger(log_level level, std::string instance, int file_descriptor);
  /// Writes the queued lines, then ends the thread.
  ~logger();
  logger(const logger&) = delete;
  logger& operator=(const logger&) = delete;

  void Decision(const core::io::log_decision& decision);
  void Info(std::string_view event, const log_fields& fields);
  void Warning(std::string_view event, const log_fields& fields);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
