// Hosts all backend servers of an inventory in one process, each on its own address.

#include <memory>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "core/base/digest.h"
#include "tests/standins/backend_server.h"
#include "tests/standins/options.h"

namespace limpetrouter::tests::standins {
namespace {

using nlohmann::json;
namespace http = Pistache::Http;

/// Number of threads that finish calls. With several threads, one large answer does not delay the others.
constexpr std::size_t kTimerThreads = 4;

/// Values of the command-line options.
struct settings {
  std::string directory = ".";
  std::string control = "127.0.0.1:18000";
  std::string log = "execution.log";
  std::int64_t seed = 1;
  behaviour initial;
  bool ledger = false;
};

/// All backend servers of the process with their shared execution log.
class server_fleet {
 public:
  explicit server_fleet(settings options) : settings_(std::move(options)), log_(settings_.log), timers_(kTimerThreads) {
    for (auto& queue : timers_)
      queue = std::make_unique<timer_queue>();
    Reload();
  }

  ~server_fleet() {
    for (auto& server : servers_)
      server->Stop();
    timers_.clear();
  }

  void Handle(const http::Request& request, http::ResponseWriter writer) {
    const std::lock_guard lock(mutex_);
    try {
      RouteRequest(request, writer);
    } catch (const std::exception& failure) {
      SendJson(writer, 400, json{{"error", failure.what()}}.dump());
    }
  }

 private:
  void RouteRequest(const http::Request& request, http::ResponseWriter& writer) {
    if (request.resource() == "/control/log") {
      const json found = log_.Read(QueryParameter(request, "operation"), QueryParameter(request, "key"));
      SendJson(writer, 200, found.dump());
    } else if (request.resource() == "/control/servers") {
      json report = json::array();
      for (auto& server : servers_)
        report.push_back(server->Report());
      SendJson(writer, 200, report.dump());
    } else if (request.resource() == "/control/ledger") {
      SendJson(writer, 200, ledger_.dump());
    } else if (request.resource() == "/control" && request.method() == http::Method::Post) {
      SendJson(writer, 200, json{{"servers", ApplyControlRequest(ParseObject(request.body()))}}.dump());
    } else {
      SendJson(writer, 404, R"({"error":"no such resource"})");
    }
  }

  /// Changes the selected servers, or reloads the deployment. Returns the number of servers that were changed.
  std::size_t ApplyControlRequest(const json& command) {
    if (!command.is_object()) throw std::runtime_error("the request body is not a JSON object");
    if (command.value("reload", false)) {
      Reload();
      return servers_.size();
    }
    std::size_t changed = 0;
    for (auto& server : servers_) {
      const server_entry& entry = server->entry();
      const std::string id = command.value("server", "");
      const bool selected = id == "*" || id == entry.id || command.value("service", "") == entry.service ||
                            command.value("data_centre", "") == entry.data_centre;
      if (!selected) continue;
      const std::string failure = server->Apply(command.at("set"));
      if (!failure.empty()) throw std::runtime_error(failure);
      ++changed;
    }
    if (changed == 0) throw std::runtime_error("no backend server matches server, service or data_centre");
    return changed;
  }

  /// Reads the deployment again, starts new servers, and gives all servers the shards that the shard maps now list.
  void Reload() {
    deployment loaded = LoadDeployment(settings_.directory, static_cast<std::uint64_t>(settings_.seed));
    ledger_ = std::move(loaded.ledger);
    for (server_entry& entry : loaded.servers) {
      const std::string id = entry.id;
      auto found = std::find_if(servers_.begin(), servers_.end(), [&id](const auto& s) { return s->entry().id == id; });
      if (found == servers_.end()) {
        timer_queue& timers = *timers_[core::base::HashBytes(id) % timers_.size()];
        servers_.push_back(std::make_shared<backend_server>(std::move(entry), settings_.initial,
                                                            static_cast<std::uint64_t>(settings_.seed), timers, log_));
        servers_.back()->SetHeld(std::move(loaded.held[id]));
        servers_.back()->Start();
      } else {
        (*found)->SetHeld(std::move(loaded.held[id]));
      }
    }
  }

  settings settings_;
  std::mutex mutex_;
  execution_log log_;
  std::vector<std::unique_ptr<timer_queue>> timers_;
  std::vector<std::shared_ptr<backend_server>> servers_;
  json ledger_;
};

int Run(int argc, char** argv) {
  settings options;
  ParseOptions(
      argc, argv,
      {{.name = "directory", .help = "folder with inventory.json and shard_maps.json", .text = &options.directory},
       {.name = "control", .help = "IP:port of the control endpoint", .text = &options.control},
       {.name = "log", .help = "file of the execution log", .text = &options.log},
       {.name = "seed", .help = "seed of data and service times", .number = &options.seed},
       {.name = "median-us", .help = "median service time", .number = &options.initial.median_us},
       {.name = "sigma", .help = "sigma of the log-normal service time", .real = &options.initial.sigma},
       {.name = "straggler-probability",
        .help = "probability of a slow call",
        .real = &options.initial.straggler_probability},
       {.name = "straggler-factor", .help = "factor of a slow call", .real = &options.initial.straggler_factor},
       {.name = "cold-ms",
        .help = "time after a start during which a server is slow",
        .number = &options.initial.cold_ms},
       {.name = "ledger", .help = "print the true totals and exit", .flag = &options.ledger}});
  if (options.ledger) {
    fmt::print("{}\n", LoadDeployment(options.directory, static_cast<std::uint64_t>(options.seed)).ledger.dump(1));
    return 0;
  }
  BlockStopSignals();
  server_fleet fleet(options);
  endpoint_callbacks callbacks;
  callbacks.on_request = [&fleet](const http::Request& request, http::ResponseWriter writer) {
    fleet.Handle(request, std::move(writer));
  };
  const http_endpoint control(options.control, std::move(callbacks));
  fmt::print("ready\n");
  std::fflush(stdout);
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace limpetrouter::tests::standins

int main(int argc, char** argv) {
  namespace standins = limpetrouter::tests::standins;
  return standins::RunAndReportErrors("standin_backend", [&] { return standins::Run(argc, argv); });
}
