#include "shell/connection_limits.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_set>
#include <utility>
#include <vector>

namespace limpetrouter::shell {
namespace {

using std::chrono::steady_clock;

constexpr std::size_t kMegabyte = 1024 * 1024;
/// Bound of a machine whose memory is not stated. 300 connections can hold one largest request each.
constexpr std::size_t kDefaultHeldBytes = 96 * kMegabyte;
constexpr std::size_t kDefaultConnections = 2'000;
/// Connections get a quarter of the memory, and requests that are passed on get another one. The rest serves the
/// answers of backend servers and the process itself.
constexpr std::size_t kHeldShareOfMemory = 4;
/// Descriptors for logs, listeners and the platform's own use.
constexpr std::uint32_t kReservedDescriptors = 200;
/// Callers get half of the other descriptors. The rest serves backend servers and peers.
constexpr std::uint32_t kCallerShareOfDescriptors = 2;
constexpr std::size_t kMinConnections = 16;
/// A request that is passed on occupies about this much in queues and tables besides its own bytes.
constexpr std::size_t kRequestOverheadBytes = 8 * 1024;
/// Connections are closed until this share of the bound is held, so that each check does not close another one.
constexpr double kTargetShare = 0.875;
constexpr std::chrono::milliseconds kCheckInterval{250};
/// A connection that was used more recently is not idle: its next request may be on its way.
constexpr std::chrono::seconds kMinIdle{5};

}  // namespace

std::string_view ToString(close_reason reason) {
  switch (reason) {
    case close_reason::kRefused:
      return "refused";
    case close_reason::kIdle:
      return "idle";
    case close_reason::kInput:
      return "input";
    case close_reason::kNotDrained:
      return "not_drained";
    case close_reason::kHeldBytes:
      break;
  }
  return "held_bytes";
}

connection_bounds DeriveBounds(const caller_limits& limits) {
  connection_bounds bounds;
  bounds.max_held_bytes = limits.max_held_bytes;
  if (bounds.max_held_bytes == 0) {
    bounds.max_held_bytes =
        limits.memory_mb == 0 ? kDefaultHeldBytes : limits.memory_mb * kMegabyte / kHeldShareOfMemory;
  }
  bounds.max_request_bytes = bounds.max_held_bytes;
  bounds.max_connections = limits.max_connections;
  if (bounds.max_connections == 0) {
    const std::uint32_t usable = limits.max_descriptors - std::min(limits.max_descriptors, kReservedDescriptors);
    bounds.max_connections = limits.max_descriptors == 0
                                 ? kDefaultConnections
                                 : std::max<std::size_t>(kMinConnections, usable / kCallerShareOfDescriptors);
  }
  bounds.max_pipelined_requests = limits.max_pipelined_requests;
  bounds.drain_timeout = limits.drain_timeout;
  return bounds;
}

struct connection_limits::impl {
  connection_bounds bounds;
  std::function<void(const connection_totals&)> report;

  std::atomic<std::size_t> held{0};
  std::atomic<std::size_t> request_bytes{0};
  std::array<std::atomic<std::uint64_t>, kCloseReasons> closed{};

  mutable std::mutex mutex;
  std::condition_variable stop;
  bool stopping = false;
  std::unordered_set<account_ptr> accounts;
  std::thread thread;

  bool End(const account_ptr& account, close_reason reason) {
    if (!account->end(reason)) return false;
    ++closed[static_cast<std::size_t>(reason)];
    return true;
  }

  /// Returns the connection that holds most, or null if none holds anything.
  account_ptr FindLargest() const {
    const std::lock_guard lock(mutex);
    account_ptr largest;
    std::size_t most = 0;
    for (const account_ptr& each : accounts) {
      if (each->held <= most) continue;
      most = each->held;
      largest = each;
    }
    return largest;
  }

  /// Returns the connection that has been idle for longest, or null if none is.
  account_ptr FindIdle() const {
    account_ptr oldest;
    const steady_clock::time_point latest = steady_clock::now() - kMinIdle;
    for (const account_ptr& each : accounts) {
      if (each->held > 0 || each->last_active.load() > latest) continue;
      if (oldest == nullptr || each->last_active.load() < oldest->last_active.load()) oldest = each;
    }
    return oldest;
  }

  void Enforce() {
    if (held <= bounds.max_held_bytes) return;
    const auto target = static_cast<std::size_t>(static_cast<double>(bounds.max_held_bytes) * kTargetShare);
    while (held > target) {
      const account_ptr largest = FindLargest();
      if (largest == nullptr || !End(largest, close_reason::kHeldBytes)) return;
    }
  }

  void CheckAll() {
    std::vector<account_ptr> all;
    {
      const std::lock_guard lock(mutex);
      all.assign(accounts.begin(), accounts.end());
    }
    const steady_clock::time_point now = steady_clock::now();
    for (const account_ptr& account : all) {
      if (const std::optional<close_reason> reason = account->check(now); reason.has_value()) End(account, *reason);
    }
    Enforce();
  }

  connection_totals Totals() const {
    connection_totals totals;
    totals.held_bytes = held;
    totals.request_bytes = request_bytes;
    for (std::size_t i = 0; i < kCloseReasons; ++i)
      totals.closed[i] = closed[i];
    const std::lock_guard lock(mutex);
    totals.open = accounts.size();
    return totals;
  }

  void Run() {
    std::unique_lock lock(mutex);
    while (!stop.wait_for(lock, kCheckInterval, [this] { return stopping; })) {
      lock.unlock();
      CheckAll();
      if (report) report(Totals());
      lock.lock();
    }
  }
};

connection_limits::connection_limits(const connection_bounds& bounds,
                                     std::function<void(const connection_totals&)> report)
    : impl_(std::make_shared<impl>()) {
  impl_->bounds = bounds;
  impl_->report = std::move(report);
  impl_->thread = std::thread([this] { impl_->Run(); });
}

connection_limits::~connection_limits() {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
  }
  impl_->stop.notify_all();
  impl_->thread.join();
}

const connection_bounds& connection_limits::Bounds() const { return impl_->bounds; }

bool connection_limits::Open(const account_ptr& account) {
  account_ptr idle;
  bool admitted = false;
  {
    const std::lock_guard lock(impl_->mutex);
    admitted = impl_->held <= impl_->bounds.max_held_bytes;
    if (admitted && impl_->accounts.size() >= impl_->bounds.max_connections) {
      idle = impl_->FindIdle();
      admitted = idle != nullptr;
      // The idle connection leaves the count at once, although its thread closes it later.
      if (admitted) impl_->accounts.erase(idle);
    }
    if (admitted) impl_->accounts.insert(account);
  }
  if (idle != nullptr) impl_->End(idle, close_reason::kIdle);
  if (!admitted) CountClosed(close_reason::kRefused);
  return admitted;
}

void connection_limits::Close(const account_ptr& account) {
  SetHeld(*account, 0);
  const std::lock_guard lock(impl_->mutex);
  impl_->accounts.erase(account);
}

void connection_limits::SetHeld(connection_account& account, std::size_t bytes) {
  // Unsigned arithmetic wraps, so that a decrease is added correctly as well.
  impl_->held += bytes - account.held.exchange(bytes);
}

void connection_limits::Enforce() { impl_->Enforce(); }

void connection_limits::CountClosed(close_reason reason) { ++impl_->closed[static_cast<std::size_t>(reason)]; }

std::shared_ptr<void> connection_limits::ChargeRequest(std::size_t bytes) {
  const std::size_t charge = bytes + kRequestOverheadBytes;
  // A single request is accepted whatever its size, so that the bound cannot refuse all requests of a small machine.
  const std::size_t before = impl_->request_bytes.fetch_add(charge);
  if (before != 0 && before + charge > impl_->bounds.max_request_bytes) {
    impl_->request_bytes -= charge;
    return nullptr;
  }
  return {impl_.get(), [state = impl_, charge](void*) { state->request_bytes -= charge; }};
}

connection_totals connection_limits::Totals() const { return impl_->Totals(); }

}  // namespace limpetrouter::shell
