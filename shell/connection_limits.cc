#include "shell/connection_limits.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "shell/peer_stream.h"

namespace limpetrouter::shell {
namespace {

using std::chrono::steady_clock;

constexpr std::size_t kMegabyte = 1024 * 1024;
/// Bound of a machine whose memory is not stated. 300 connections can hold one largest request each.
constexpr std::size_t kDefaultHeldBytes = 96 * kMegabyte;
constexpr std::size_t kDefaultConnections = 2'000;
/// Connections get a fifth of the memory, and requests that are passed on get another one. The rest serves the answers
/// of backend servers, messages to peers and the process itself.
constexpr std::size_t kHeldShareOfMemory = 5;
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
constexpr std::size_t kEventBatch = 64;
/// Identifies the descriptor that wakes the thread; accounts have larger numbers.
constexpr std::uint64_t kWakeId = 0;
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
  std::unordered_map<std::uint64_t, account_ptr> accounts;
  std::uint64_t next_id = kWakeId + 1;

  unique_fd epoll{::epoll_create1(EPOLL_CLOEXEC)};
  unique_fd wake{::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)};
  std::atomic<bool> stopping{false};
  std::mutex posted_mutex;
  std::vector<account_ptr> posted;
  /// Held by the thread while it calls functions of accounts.
  std::mutex callback_mutex;
  std::thread thread;

  void Wake() const {
    const std::uint64_t one = 1;
    static_cast<void>(!::write(wake.Get(), &one, sizeof one));
  }

  account_ptr Find(std::uint64_t id) const {
    const std::lock_guard lock(mutex);
    const auto found = accounts.find(id);
    return found == accounts.end() ? nullptr : found->second;
  }

  void Handle(const epoll_event& event) {
    if (event.data.u64 == kWakeId) {
      std::uint64_t count = 0;
      static_cast<void>(!::read(wake.Get(), &count, sizeof count));
    } else if (const account_ptr account = Find(event.data.u64); account != nullptr) {
      account->writable();
    }
  }

  void ResumePosted() {
    std::vector<account_ptr> taken;
    {
      const std::lock_guard lock(posted_mutex);
      taken.swap(posted);
    }
    for (const account_ptr& account : taken)
      account->resume();
  }

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
    for (const auto& [id, each] : accounts) {
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
    for (const auto& [id, each] : accounts) {
      if (each->busy || each->last_active.load() > latest) continue;
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
      for (const auto& [id, account] : accounts)
        all.push_back(account);
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
    std::array<epoll_event, kEventBatch> events{};
    steady_clock::time_point next_check = steady_clock::now() + kCheckInterval;
    while (!stopping) {
      const auto wait = std::chrono::ceil<std::chrono::milliseconds>(next_check - steady_clock::now());
      const int count = ::epoll_wait(epoll.Get(), events.data(), static_cast<int>(events.size()),
                                     std::max(0, static_cast<int>(wait.count())));
      const std::lock_guard lock(callback_mutex);
      for (int i = 0; i < count; ++i)
        Handle(events[static_cast<std::size_t>(i)]);
      ResumePosted();
      if (steady_clock::now() < next_check) continue;
      next_check = steady_clock::now() + kCheckInterval;
      CheckAll();
      if (report) report(Totals());
    }
  }
};

connection_limits::connection_limits(const connection_bounds& bounds,
                                     std::function<void(const connection_totals&)> report)
    : impl_(std::make_shared<impl>()) {
  impl_->bounds = bounds;
  impl_->report = std::move(report);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeId;
  ::epoll_ctl(impl_->epoll.Get(), EPOLL_CTL_ADD, impl_->wake.Get(), &event);
  impl_->thread = std::thread([this] { impl_->Run(); });
}

connection_limits::~connection_limits() {
  impl_->stopping = true;
  impl_->Wake();
  impl_->thread.join();
  // The accounts may refer to connections that refer to this object.
  impl_->posted.clear();
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
      if (admitted) impl_->accounts.erase(idle->id);
    }
    account->id = impl_->next_id++;
    if (admitted) impl_->accounts.emplace(account->id, account);
  }
  if (idle != nullptr) impl_->End(idle, close_reason::kIdle);
  if (!admitted) CountClosed(close_reason::kRefused);
  return admitted;
}

void connection_limits::Close(const account_ptr& account) {
  SetHeld(*account, 0);
  const std::lock_guard lock(impl_->mutex);
  impl_->accounts.erase(account->id);
}

void connection_limits::SetHeld(connection_account& account, std::size_t bytes) {
  // Unsigned arithmetic wraps, so that a decrease is added correctly as well.
  impl_->held += bytes - account.held.exchange(bytes);
}

void connection_limits::Enforce() { impl_->Enforce(); }

void connection_limits::AwaitWritable(const connection_account& account, int socket) {
  epoll_event event{};
  event.events = EPOLLOUT | EPOLLONESHOT;
  event.data.u64 = account.id;
  if (::epoll_ctl(impl_->epoll.Get(), EPOLL_CTL_MOD, socket, &event) == 0 || errno != ENOENT) return;
  ::epoll_ctl(impl_->epoll.Get(), EPOLL_CTL_ADD, socket, &event);
}

void connection_limits::PostResume(const account_ptr& account) {
  {
    const std::lock_guard lock(impl_->posted_mutex);
    impl_->posted.push_back(account);
  }
  impl_->Wake();
}

void connection_limits::AwaitCallbacks() { const std::lock_guard lock(impl_->callback_mutex); }

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
