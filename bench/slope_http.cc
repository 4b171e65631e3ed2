#include <atomic>
#include <chrono>
#include <ctime>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <fmt/format.h>

#include "bench/slope.h"
#include "bench/slope_sections.h"
#include "shell/backend_client.h"
#include "shell/backend_codec.h"
#include "tests/shell/scripted_server.h"

namespace limpetrouter::bench {
namespace {

namespace base = core::base;
using std::chrono::steady_clock;

constexpr std::chrono::seconds kSpan{3};

/// Processor time of the serving threads. Each thread notes its reading at every request.
struct server_meter {
  std::mutex mutex;
  std::map<std::thread::id, double> latest;

  void Note() {
    const double now = ThreadMicroseconds();
    const std::lock_guard lock(mutex);
    latest[std::this_thread::get_id()] = now;
  }
  double Total() {
    const std::lock_guard lock(mutex);
    double total = 0;
    for (const auto& [thread, us] : latest)
      total += us;
    return total;
  }
};

double ProcessMicroseconds() {
  timespec spent{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) * 1e6 + static_cast<double>(spent.tv_nsec) / 1e3;
}

std::string Answer(const std::string& request, const std::string& digest) {
  constexpr std::string_view kName = "\"attempt\":";
  const std::size_t at = request.find(kName);
  const std::uint64_t attempt = at == std::string::npos ? 0 : std::stoull(request.substr(at + kName.size()));
  return fmt::format(
      R"({{"entry":"k1","incarnation":5,"query":42,"attempt":{},"snapshot":41,"shard":3,"documents":120,)"
      R"("rows":[{{"key":"r","value":{{"a":2,"b":1}}}}],"totals":{{"litres":7}},"digest":"{}"}})",
      attempt, digest);
}

core::io::call_backend MakeCall(const std::string& address, std::uint64_t attempt) {
  core::io::call_backend call;
  call.entry = {base::instance_id("k1"), base::incarnation_id(5)};
  call.attempt = base::attempt_sequence(attempt);
  call.query = base::query_sequence(42);
  call.backend_server = base::backend_server_id("stock-01-a");
  call.address = address;
  call.snapshot = base::snapshot_id(41);
  call.shard = base::shard_id(3);
  call.body = R"({"q":17})";
  call.remaining = std::chrono::seconds(2);
  return call;
}

struct http_cost {
  double calls_per_second = 0;
  double client_us_per_second = 0;
  double failed = 0;
};

http_cost MeasureRate(std::uint32_t calls_per_second) {
  server_meter meter;
  const std::string digest = shell::AnswerDigest({{"r", R"({"a":2,"b":1})"}}, {{"litres", 7}});
  shell::scripted_server server([&](const std::string& request) {
    meter.Note();
    return shell::scripted_reply{shell::HttpAnswer(200, Answer(request, digest))};
  });
  std::atomic<std::uint64_t> ended{0};
  std::atomic<std::uint64_t> failed{0};
  shell::backend_client client([&](const core::io::event& event) {
    if (const auto* const end = std::get_if<core::io::backend_call_ended>(&event)) {
      if (!end->result.succeeded) ++failed;
      ++ended;
    }
  });
  const std::string address = server.Address();
  std::uint64_t attempt = 0;
  // Calls leave in bursts every 5 ms, as the ticks of the core and whole queries send them.
  const auto run = [&](std::chrono::milliseconds span) {
    const auto start = steady_clock::now();
    const std::uint64_t first = attempt;
    while (steady_clock::now() - start < span) {
      const std::chrono::duration<double> passed = steady_clock::now() - start;
      while (static_cast<double>(attempt - first) < passed.count() * calls_per_second)
        client.Call(MakeCall(address, ++attempt));
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  };
  run(std::chrono::milliseconds(300));
  const std::uint64_t ended_before = ended;
  const double process = ProcessMicroseconds();
  const double serving = meter.Total();
  const auto start = steady_clock::now();
  run(kSpan);
  const std::chrono::duration<double> span = steady_clock::now() - start;
  const double spent = ProcessMicroseconds() - process - (meter.Total() - serving);
  return {static_cast<double>(ended - ended_before) / span.count(), spent / span.count(), static_cast<double>(failed)};
}

}  // namespace

void MeasureHttp() {
  std::vector<slope_point> cost;
  std::vector<slope_point> failed;
  for (const std::uint32_t rate : {500U, 1000U, 2000U, 4000U, 8000U}) {
    const http_cost measured = MeasureRate(rate);
    cost.push_back({measured.calls_per_second, measured.client_us_per_second});
    failed.push_back({measured.calls_per_second, measured.failed});
  }
  PrintTableHead("HTTP client of backend servers (loopback), by calls per second");
  PrintSlope("client: processor time per second, serving threads subtracted", "us/s", cost);
  PrintSlope("calls without success", "calls", failed);
}

}  // namespace limpetrouter::bench
