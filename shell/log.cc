#include "shell/log.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace limpetrouter::shell {
namespace {

constexpr std::size_t kMaxQueuedBytes = 64 * 1024 * 1024;

/// Decisions of gatherers about single calls. Decisions of entries about single queries are recognised by their field
/// "query".
constexpr std::array<std::string_view, 1> kCallDecisions = {"refuse"};

/// Decisions that an operator needs to see even if only faults are logged.
constexpr std::array<std::string_view, 3> kFaultDecisions = {"pause", "eject", "withhold"};

bool HasField(const core::io::log_decision& decision, std::string_view name) {
  return std::any_of(decision.fields.begin(), decision.fields.end(),
                     [name](const auto& field) { return field.first == name; });
}

template <std::size_t N>
bool Contains(const std::array<std::string_view, N>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) return true;
  return std::any_of(value.begin(), value.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte <= 0x20 || byte == 0x7f || c == '"' || c == '=' || c == '\\';
  });
}

void AppendEscaped(std::string& line, std::string_view value) {
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (c == '\n') {
      line += "\\n";
    } else if (byte < 0x20 || byte == 0x7f) {
      fmt::format_to(std::back_inserter(line), "\\x{:02x}", byte);
    } else {
      line += c;
    }
  }
}

void WriteAll(int file_descriptor, std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = ::write(file_descriptor, text.data(), text.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return;
    text.remove_prefix(static_cast<std::size_t>(written));
  }
}

}  // namespace

void AppendLogField(std::string& line, std::string_view name, std::string_view value) {
  if (!line.empty()) line += ' ';
  line += name;
  line += '=';
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  AppendEscaped(line, value);
  line += '"';
}

std::string FormatLogLine(std::chrono::system_clock::time_point at, std::string_view level, std::string_view instance,
                          std::string_view decision, const log_fields& fields) {
  const auto since_epoch = std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch());
  const auto seconds = std::chrono::floor<std::chrono::seconds>(since_epoch);
  std::string line =
      fmt::format("ts={:%Y-%m-%dT%H:%M:%S}.{:06}Z", fmt::gmtime(static_cast<std::time_t>(seconds.count())),
                  (since_epoch - seconds).count());
  AppendLogField(line, "level", level);
  AppendLogField(line, "instance", instance);
  AppendLogField(line, "decision", decision);
  for (const auto& [name, value] : fields)
    AppendLogField(line, name, value);
  return line;
}

log_level LevelOfDecision(const core::io::log_decision& decision) {
  if (HasField(decision, "query") || Contains(kCallDecisions, decision.decision)) return log_level::kDecisions;
  // A refused configuration is the only decision whose name alone does not show that it is a fault.
  const bool refused = decision.decision == "configuration" && HasField(decision, "refused");
  return refused || Contains(kFaultDecisions, decision.decision) ? log_level::kWarning : log_level::kInfo;
}

struct logger::impl {
  log_level level;
  std::string instance;
  int file_descriptor;

  std::mutex mutex;
  std::condition_variable ready;
  std::string queued;
  std::uint64_t dropped = 0;
  bool stopping = false;
  std::thread writer;

  void Add(log_level line_level, std::string_view event, const log_fields& fields) {
    if (line_level < level) return;
    const std::string_view name = line_level == log_level::kWarning ? "warning" : "info";
    std::string line = FormatLogLine(std::chrono::system_clock::now(), name, instance, event, fields);
    line += '\n';
    const std::lock_guard lock(mutex);
    if (queued.size() + line.size() > kMaxQueuedBytes) {
      ++dropped;
      return;
    }
    if (queued.empty()) ready.notify_one();
    queued += line;
  }

  void Run() {
    std::unique_lock lock(mutex);
    while (true) {
      ready.wait(lock, [this] { return stopping || !queued.empty(); });
      if (queued.empty()) return;
      std::string text;
      text.swap(queued);
      const std::uint64_t dropped_lines = std::exchange(dropped, 0);
      lock.unlock();
      if (dropped_lines > 0) {
        text += FormatLogLine(std::chrono::system_clock::now(), "warning", instance, "log_lines_dropped",
                              {{"lines", std::to_string(dropped_lines)}});
        text += '\n';
      }
      WriteAll(file_descriptor, text);
      lock.lock();
    }
  }
};

logger::logger(log_level level, std::string instance, int file_descriptor) : impl_(std::make_unique<impl>()) {
  impl_->level = level;
  impl_->instance = std::move(instance);
  impl_->file_descriptor = file_descriptor;
  impl_->writer = std::thread([this] { impl_->Run(); });
}

logger::~logger() {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
  }
  impl_->ready.notify_one();
  impl_->writer.join();
}

void logger::Decision(const core::io::log_decision& decision) {
  impl_->Add(LevelOfDecision(decision), decision.decision, decision.fields);
}

void logger::Info(std::string_view event, const log_fields& fields) { impl_->Add(log_level::kInfo, event, fields); }

void logger::Warning(std::string_view event, const log_fields& fields) {
  impl_->Add(log_level::kWarning, event, fields);
}

}  // namespace limpetrouter::shell
