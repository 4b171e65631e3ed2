#pragma once

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

namespace limpetrouter::tests::standins {

/// Time since the epoch in microseconds, the unit of times in the log and of `boot`.
std::uint64_t EpochMicroseconds();

/// Append-only JSON lines: what backend servers really did. Each line is written at once, so the file is complete up to
/// the last event even if the process is killed.
class execution_log {
 public:
  /// Throws std::runtime_error if the file cannot be written.
  explicit execution_log(std::string path);
  ~execution_log();
  execution_log(const execution_log&) = delete;
  execution_log& operator=(const execution_log&) = delete;

  /// Adds the time as "t" and writes the entry.
  void Write(nlohmann::json entry);

  /// Entries whose `operation` and `key` match; an empty filter matches all.
  nlohmann::json Read(const std::string& operation, const std::string& key) const;

 private:
  std::string path_;
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

}  // namespace limpetrouter::tests::standins
