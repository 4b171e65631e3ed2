#pragma once

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

namespace limpetrouter::tests::standins {

/// Returns the microseconds since the epoch, the unit of the times in the log and of `boot` in load reports.
std::uint64_t EpochMicroseconds();

/// Append-only file of JSON lines that records what the backend servers did. Each line is flushed at once, so the file
/// is complete up to the last event even if the process is killed.
class execution_log {
 public:
  /// Throws std::runtime_error if the file can't be opened for writing.
  explicit execution_log(std::string path);
  ~execution_log();
  execution_log(const execution_log&) = delete;
  execution_log& operator=(const execution_log&) = delete;

  /// Adds the current time as "t" and writes the entry.
  void Write(nlohmann::json entry);

  /// Returns the entries with the given `operation` and `key`. An empty filter matches every entry.
  nlohmann::json Read(const std::string& operation, const std::string& key) const;

 private:
  std::string path_;
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

}  // namespace limpetrouter::tests::standins
