#include "tests/standins/execution_log.h"

#include <chrono>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace limpetrouter::tests::standins {

std::uint64_t EpochMicroseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

execution_log::execution_log(std::string path) : path_(std::move(path)), file_(std::fopen(path_.c_str(), "ae")) {
  if (file_ == nullptr) throw std::runtime_error("cannot open the execution log " + path_);
}

execution_log::~execution_log() { std::fclose(file_); }

void execution_log::Write(nlohmann::json entry) {
  entry["t"] = EpochMicroseconds();
  const std::string line = entry.dump() + "\n";
  const std::lock_guard lock(mutex_);
  std::fwrite(line.data(), 1, line.size(), file_);
  std::fflush(file_);
}

nlohmann::json execution_log::Read(const std::string& operation, const std::string& key) const {
  auto matches = nlohmann::json::array();
  std::ifstream file(path_);
  std::string line;
  while (std::getline(file, line)) {
    auto entry = nlohmann::json::parse(line, nullptr, false);
    if (!entry.is_object()) continue;
    if (!operation.empty() && entry.value("operation", "") != operation) continue;
    if (!key.empty() && entry.value("key", "") != key) continue;
    matches.push_back(std::move(entry));
  }
  return matches;
}

}  // namespace limpetrouter::tests::standins
