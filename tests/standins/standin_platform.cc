// Configuration service and instance list of the platform.

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

/// Largest value of one key.
constexpr std::size_t kMaxValueBytes = 1024 * 1024;

struct settings {
  std::string directory = ".";
  /// Comma-separated. Each address can be taken down alone, which cuts its readers off.
  std::string addresses = "127.0.0.1:18700";
  std::string control = "127.0.0.1:18701";
  std::int64_t calls_per_second = 2'000;
};

/// A watch that waits for a revision above `after`.
struct waiting_watch {
  std::string address;
  std::uint64_t after = 0;
  std::shared_ptr<http::ResponseWriter> writer;
};

/// How the service misbehaves at present.
struct faults {
  bool down = false;
  /// Reads answer as of this revision; 0 for the newest.
  std::uint64_t stale_revision = 0;
  /// Alternates between down and up with this half period; 0 for never.
  std::int64_t flap_ms = 0;
};

class platform {
 public:
  explicit platform(const settings& chosen) : directory_(chosen.directory), limit_(chosen.calls_per_second) {
    Publish({{"inventory", ReadJsonFile(directory_ + "/inventory.json")},
             {"rules", ReadJsonFile(directory_ + "/rules.json")},
             {"shard_maps", ReadJsonFile(directory_ + "/shard_maps.json")}});
    instances_ = ReadJsonFile(directory_ + "/instances.json");
  }

  void HandleReader(const std::string& address, const http::Request& request, http::ResponseWriter writer) {
    const std::lock_guard lock(mutex_);
    const auto now = steady_clock::now();
    if (!CountCall(now)) {
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
        Control(ParseObject(request.body()));
      SendJson(writer, 200, Report().dump());
    } catch (const std::exception& failure) {
      SendJson(writer, 400, json{{"error", failure.what()}}.dump());
    }
  }

 private:
  /// Counts a call against the rate of the current second.
  bool CountCall(steady_clock::time_point now) {
    ++calls_;
    if (now - second_start_ >= std::chrono::seconds(1)) {
      second_start_ = now;
      calls_in_second_ = 0;
    }
    most_calls_in_second_ = std::max(most_calls_in_second_, ++calls_in_second_);
    if (calls_in_second_ <= limit_) return true;
    ++rejected_calls_;
    return false;
  }

  bool IsDown(const std::string& address, steady_clock::time_point now) const {
    const auto own = faults_.find(address);
    const auto all = faults_.find("*");
    for (const auto& found : {own, all}) {
      if (found == faults_.end()) continue;
      if (found->second.down) return true;
      const std::int64_t half = found->second.flap_ms;
      const auto elapsed = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
      if (half != 0 && (elapsed / half) % 2 == 1) return true;
    }
    return false;
  }

  std::uint64_t VisibleRevision() const {
    const auto all = faults_.find("*");
    const bool stale = all != faults_.end() && all->second.stale_revision != 0;
    return stale ? all->second.stale_revision : revisions_.rbegin()->first;
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

  /// Takes over the given values, keeps the others and counts the revision up.
  void Publish(const json& values) {
    for (const char* name : {"inventory", "rules", "shard_maps"}) {
      if (!values.contains(name)) continue;
      if (values[name].dump().size() > kMaxValueBytes) throw std::runtime_error(fmt::format("{} exceeds 1 MB", name));
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
      throw std::runtime_error("no such revision");
    }
    if (!entry.down) return AnswerWatches();
    // A service that goes down breaks the watches that wait.
    std::erase_if(watches_, [&address](auto& entry) {
      if (address != "*" && address != entry.second.address) return false;
      SendJson(*entry.second.writer, 503, R"({"error":"service is down"})");
      return true;
    });
  }

  void Control(const json& command) {
    if (!command.is_object()) throw std::runtime_error("the body is not a JSON object");
    if (command.contains("publish")) Publish(command["publish"]);
    if (command.contains("instances")) SetInstances(command["instances"], command.value("lag_ms", 0));
    if (command.contains("calls_per_second")) limit_ = command["calls_per_second"];
    SetFaults(command);
  }

  /// The list shows the change only after `lag_ms`.
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
            {"most_calls_in_a_second", most_calls_in_second_},
            {"waiting_watches", watches_.size()}};
  }

  std::string directory_;
  std::mutex mutex_;
  json newest_ = json::object();
  std::map<std::uint64_t, std::string> revisions_;
  json instances_;
  std::map<std::string, faults> faults_;
  std::map<std::uint64_t, waiting_watch> watches_;
  std::uint64_t next_watch_ = 1;
  std::int64_t limit_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t rejected_calls_ = 0;
  std::int64_t calls_in_second_ = 0;
  std::int64_t most_calls_in_second_ = 0;
  steady_clock::time_point second_start_;
  timer_queue timers_;
};

int Run(int argc, char** argv) {
  settings chosen;
  ParseOptions(
      argc, argv,
      {{.name = "directory",
        .help = "folder with inventory.json, rules.json, shard_maps.json, instances.json",
        .text = &chosen.directory},
       {.name = "addresses", .help = "comma-separated IP:port to serve readers on", .text = &chosen.addresses},
       {.name = "control", .help = "IP:port of the control endpoint", .text = &chosen.control},
       {.name = "calls-per-second", .help = "call rate over all readers", .number = &chosen.calls_per_second}});
  BlockStopSignals();
  platform service(chosen);
  std::vector<std::unique_ptr<http_endpoint>> endpoints;
  for (std::size_t begin = 0; begin < chosen.addresses.size();) {
    const std::size_t end = std::min(chosen.addresses.find(',', begin), chosen.addresses.size());
    const std::string address = chosen.addresses.substr(begin, end - begin);
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
  endpoints.push_back(std::make_unique<http_endpoint>(chosen.control, std::move(callbacks)));
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
  return standins::RunReported("standin_platform", [&] { return standins::Run(argc, argv); });
}
