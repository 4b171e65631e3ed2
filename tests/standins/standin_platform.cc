// Stand-in for the configuration service and the instance list of the platform.

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "tests/standins/deployment.h"
#include "tests/standins/http_endpoint.h"
#include "tests/standins/options.h"
#include "tests/standins/timer_queue.h"

namespace limpetrouter::tests::standins {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
namespace http = Pistache::Http;

/// Largest serialized value of one key.
constexpr std::size_t kMaxValueBytes = 1024 * 1024;

/// Values of the command-line options.
struct settings {
  std::string directory = ".";
  /// Comma-separated list. Each address can be taken down on its own, which isolates the instances that read from it.
  std::string addresses = "127.0.0.1:18700";
  std::string control = "127.0.0.1:18701";
  std::int64_t calls_per_second = 2'000;
};

/// A long poll that waits for a revision above `after`.
struct pending_watch {
  std::string address;
  std::uint64_t after = 0;
  std::shared_ptr<http::ResponseWriter> writer;
};

/// Faults that are injected at present.
struct faults {
  bool down = false;
  /// Revision that reads return; 0 for the newest.
  std::uint64_t stale_revision = 0;
  /// Half period with which the service alternates between down and up; 0 for never.
  std::int64_t flap_ms = 0;
};

/// State of the stand-in: the published revisions, the instance list, the pending watches and the faults.
class platform_service {
 public:
  explicit platform_service(const settings& options)
      : directory_(options.directory), calls_per_second_limit_(options.calls_per_second) {
    Publish({{"inventory", ReadJsonFile(directory_ + "/inventory.json")},
             {"rules", ReadJsonFile(directory_ + "/rules.json")},
             {"shard_maps", ReadJsonFile(directory_ + "/shard_maps.json")}});
    instances_ = ReadJsonFile(directory_ + "/instances.json");
  }

  void HandleReader(const std::string& address, const http::Request& request, http::ResponseWriter writer) {
    const std::lock_guard lock(mutex_);
    const auto now = steady_clock::now();
    if (!AdmitCall(now)) {
      SendJson(writer, 429, R"({"error":"call rate exceeded"})");
    } else if (IsDown(address, now)) {
      SendJson(writer, 503, R"({"error":"service is down"})");
    } else if (request.resource() == "/v1/instances") {
      SendJson(writer, 200, instances_.dump());
    } else if (request.resource() == "/v1/configuration") {
      ReadConfiguration(address, request, std::move(writer));
    } else {
      SendJson(writer, 404, R"({"error":"no such resource"})");
    }
  }

  void HandleControl(const http::Request& request, http::ResponseWriter writer) {
    const std::lock_guard lock(mutex_);
    try {
      if (request.resource() == "/control" && request.method() == http::Method::Post)
        ApplyControlRequest(ParseObject(request.body()));
      SendJson(writer, 200, Report().dump());
    } catch (const std::exception& failure) {
      SendJson(writer, 400, json{{"error", failure.what()}}.dump());
    }
  }

 private:
  /// Counts a call. Returns false if it exceeds the limit of the current second.
  bool AdmitCall(steady_clock::time_point now) {
    ++calls_;
    if (now - second_start_ >= std::chrono::seconds(1)) {
      second_start_ = now;
      calls_in_second_ = 0;
    }
    peak_calls_per_second_ = std::max(peak_calls_per_second_, ++calls_in_second_);
    if (calls_in_second_ <= calls_per_second_limit_) return true;
    ++rejected_calls_;
    return false;
  }

  bool IsDown(const std::string& address, steady_clock::time_point now) const {
    const auto address_faults = faults_.find(address);
    const auto global_faults = faults_.find("*");
    for (const auto& found : {address_faults, global_faults}) {
      if (found == faults_.end()) continue;
      if (found->second.down) return true;
      const std::int64_t half_period = found->second.flap_ms;
      const auto elapsed = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
      if (half_period != 0 && (elapsed / half_period) % 2 == 1) return true;
    }
    return false;
  }

  /// Returns the revision that reads return at present.
  std::uint64_t VisibleRevision() const {
    const auto global_faults = faults_.find("*");
    const bool stale = global_faults != faults_.end() && global_faults->second.stale_revision != 0;
    return stale ? global_faults->second.stale_revision : revisions_.rbegin()->first;
  }

  void ReadConfiguration(const std::string& address, const http::Request& request, http::ResponseWriter writer) {
    const std::uint64_t visible = VisibleRevision();
    const std::string after_text = QueryParameter(request, "after");
    const std::uint64_t after = after_text.empty() ? 0 : std::stoull(after_text);
    const std::string wait_text = QueryParameter(request, "wait_ms");
    if (after_text.empty() || visible > after) {
      SendJson(writer, 200, revisions_.at(visible));
      return;
    }
    const auto wait = milliseconds(wait_text.empty() ? 0 : std::stoll(wait_text));
    const std::uint64_t id = next_watch_++;
    watches_[id] = {address, after, std::make_shared<http::ResponseWriter>(std::move(writer))};
    timers_.RunAt(steady_clock::now() + wait, [this, id] {
      const std::lock_guard lock(mutex_);
      const auto found = watches_.find(id);
      if (found == watches_.end()) return;
      SendJson(*found->second.writer, 304, "");
      watches_.erase(found);
    });
  }

  /// Answers the watches for which a newer revision is visible.
  void AnswerWatches() {
    const std::uint64_t visible = VisibleRevision();
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (it->second.after >= visible) {
        ++it;
        continue;
      }
      SendJson(*it->second.writer, 200, revisions_.at(visible));
      it = watches_.erase(it);
    }
  }

  /// Publishes the given values as a new revision. Values that are not given stay as they were. The number of the
  /// revision is the next one unless `values` has it.
  void Publish(const json& values) {
    for (const char* name : {"inventory", "rules", "shard_maps"}) {
      if (!values.contains(name)) continue;
      if (values[name].dump().size() > kMaxValueBytes)
        throw std::runtime_error(fmt::format("{} exceeds the limit of 1 MiB", name));
      newest_[name] = values[name];
    }
    newest_["revision"] = values.value("revision", revisions_.empty() ? 1 : revisions_.rbegin()->first + 1);
    revisions_[newest_["revision"].get<std::uint64_t>()] = newest_.dump();
    AnswerWatches();
  }

  void SetFaults(const json& command) {
    const std::string address = command.value("address", "*");
    faults& entry = faults_[address];
    entry.down = command.value("down", entry.down);
    entry.flap_ms = command.value("flap_ms", entry.flap_ms);
    entry.stale_revision = command.value("stale_revision", entry.stale_revision);
    if (entry.stale_revision != 0 && !revisions_.contains(entry.stale_revision)) {
      entry.stale_revision = 0;
      throw std::runtime_error("stale_revision was never published");
    }
    if (!entry.down) return AnswerWatches();
    // A service that goes down answers its pending watches with 503.
    std::erase_if(watches_, [&address](auto& entry) {
      if (address != "*" && address != entry.second.address) return false;
      SendJson(*entry.second.writer, 503, R"({"error":"service is down"})");
      return true;
    });
  }

  void ApplyControlRequest(const json& command) {
    if (!command.is_object()) throw std::runtime_error("the request body is not a JSON object");
    if (command.contains("publish")) Publish(command["publish"]);
    if (command.contains("instances")) SetInstances(command["instances"], command.value("lag_ms", 0));
    if (command.contains("calls_per_second")) calls_per_second_limit_ = command["calls_per_second"];
    SetFaults(command);
  }

  /// Replaces the instance list after `lag_ms`.
  void SetInstances(const json& instances, std::int64_t lag_ms) {
    timers_.RunAt(steady_clock::now() + milliseconds(lag_ms), [this, instances] {
      const std::lock_guard lock(mutex_);
      instances_ = json{{"instances", instances}};
    });
  }

  json Report() const {
    return {{"revision", revisions_.rbegin()->first},
            {"calls", calls_},
            {"rejected_calls", rejected_calls_},
            {"most_calls_in_a_second", peak_calls_per_second_},
            {"waiting_watches", watches_.size()}};
  }

  std::string directory_;
  std::mutex mutex_;
  json newest_ = json::object();
  std::map<std::uint64_t, std::string> revisions_;
  json instances_;
  std::map<std::string, faults> faults_;
  std::map<std::uint64_t, pending_watch> watches_;
  std::uint64_t next_watch_ = 1;
  std::int64_t calls_per_second_limit_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t rejected_calls_ = 0;
  std::int64_t calls_in_second_ = 0;
  std::int64_t peak_calls_per_second_ = 0;
  steady_clock::time_point second_start_;
  timer_queue timers_;
};

int Run(int argc, char** argv) {
  settings options;
  ParseOptions(
      argc, argv,
      {{.name = "directory",
        .help = "folder with inventory.json, rules.json, shard_maps.json, instances.json",
        .text = &options.directory},
       {.name = "addresses", .help = "comma-separated IP:port to serve readers on", .text = &options.addresses},
       {.name = "control", .help = "IP:port of the control endpoint", .text = &options.control},
       {.name = "calls-per-second", .help = "call rate over all readers", .number = &options.calls_per_second}});
  BlockStopSignals();
  platform_service service(options);
  std::vector<std::unique_ptr<http_endpoint>> endpoints;
  for (std::size_t begin = 0; begin < options.addresses.size();) {
    const std::size_t end = std::min(options.addresses.find(',', begin), options.addresses.size());
    const std::string address = options.addresses.substr(begin, end - begin);
    endpoint_callbacks callbacks;
    callbacks.on_request = [&service, address](const http::Request& request, http::ResponseWriter writer) {
      service.HandleReader(address, request, std::move(writer));
    };
    endpoints.push_back(std::make_unique<http_endpoint>(address, std::move(callbacks)));
    begin = end + 1;
  }
  endpoint_callbacks callbacks;
  callbacks.on_request = [&service](const http::Request& request, http::ResponseWriter writer) {
    service.HandleControl(request, std::move(writer));
  };
  endpoints.push_back(std::make_unique<http_endpoint>(options.control, std::move(callbacks)));
  fmt::print("ready\n");
  std::fflush(stdout);
  WaitForStopSignal();
  endpoints.clear();
  return 0;
}

}  // namespace
}  // namespace limpetrouter::tests::standins

int main(int argc, char** argv) {
  namespace standins = limpetrouter::tests::standins;
  return standins::RunAndReportErrors("standin_platform", [&] { return standins::Run(argc, argv); });
}
