#include "shell/transfer_pool.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "shell/transfer.h"

namespace limpetrouter::shell {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Idle connections beyond this number are closed. The value exceeds the number of connections that one instance may
/// hold.
constexpr long kMaxIdleConnections = 16'384;
/// Longest wait for events, in milliseconds.
constexpr std::int64_t kMaxWaitMs = 1'000;
constexpr std::size_t kEventBatch = 64;
/// The load of the pool's thread is measured over times of this length.
constexpr milliseconds kLoadWindow{250};

/// Initialises libcurl before the first thread uses it.
void InitialiseCurl() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(result);
}

}  // namespace

struct transfer_pool::impl {
  CURLM* multi = nullptr;
  curl_slist* post_headers = nullptr;
  std::thread thread;

  std::atomic<transfer_id> next_id{1};

  std::mutex mutex;
  std::vector<std::unique_ptr<transfer>> queued;
  std::vector<transfer_id> cancelled;
  bool stopping = false;

  /// Used by the pool's thread only.
  std::unordered_map<transfer_id, std::unique_ptr<transfer>> running;
  answer_buffers buffers;
  double load = 0;
  steady_clock::time_point load_window_start = steady_clock::now();
  steady_clock::duration waited{};
  std::vector<CURL*> idle_handles;

  /// Watches the sockets that libcurl reports through its socket callback, so that the cost of an event does not depend
  /// on the number of transfers.
  int epoll = -1;
  int wake = -1;
  /// Time at which libcurl must be called without an event, as reported through its timer callback.
  std::optional<steady_clock::time_point> timer;

  void WakeIfIdle(bool was_idle) const {
    if (was_idle) WakeThread();
  }

  void WakeThread() const {
    const std::uint64_t one = 1;
    // The write fails only if the counter overflows, which takes centuries without a read.
    static_cast<void>(!::write(wake, &one, sizeof one));
  }

  static int OnSocketChanged(CURL* /*easy*/, curl_socket_t socket, int action, void* pointer, void* registered) {
    const auto& pool = *static_cast<impl*>(pointer);
    if (action == CURL_POLL_REMOVE) {
      epoll_ctl(pool.epoll, EPOLL_CTL_DEL, socket, nullptr);
      return 0;
    }
    epoll_event event{};
    event.data.fd = socket;
    if ((action & CURL_POLL_IN) != 0) event.events |= EPOLLIN;
    if ((action & CURL_POLL_OUT) != 0) event.events |= EPOLLOUT;
    epoll_ctl(pool.epoll, registered == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
    // Any non-null pointer marks the socket as registered.
    curl_multi_assign(pool.multi, socket, pointer);
    return 0;
  }

  static int OnTimerChanged(CURLM* /*multi*/, long timeout_ms, void* pointer) {
    auto& pool = *static_cast<impl*>(pointer);
    pool.timer.reset();
    if (timeout_ms >= 0) pool.timer = steady_clock::now() + milliseconds(timeout_ms);
    return 0;
  }

  void ProcessEvents() {
    std::int64_t wait_ms = kMaxWaitMs;
    if (timer.has_value()) {
      const auto left = std::chrono::ceil<milliseconds>(*timer - steady_clock::now()).count();
      wait_ms = std::clamp<std::int64_t>(left, 0, kMaxWaitMs);
    }
    std::array<epoll_event, kEventBatch> events;
    const steady_clock::time_point wait_start = steady_clock::now();
    const int count = epoll_wait(epoll, events.data(), static_cast<int>(events.size()), static_cast<int>(wait_ms));
    MeasureLoad(wait_start, wait_ms);
    int running_transfers = 0;
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      if (event.data.fd == wake) {
        std::uint64_t wake_count = 0;
        static_cast<void>(!::read(wake, &wake_count, sizeof wake_count));
        continue;
      }
      int mask = 0;
      if ((event.events & (EPOLLIN | EPOLLHUP)) != 0) mask |= CURL_CSELECT_IN;
      if ((event.events & EPOLLOUT) != 0) mask |= CURL_CSELECT_OUT;
      if ((event.events & EPOLLERR) != 0) mask |= CURL_CSELECT_ERR;
      curl_multi_socket_action(multi, event.data.fd, mask, &running_transfers);
    }
    ProcessTimer();
  }

  /// Updates the load after a wait of at most `wait_ms`. A longer wait is a lack of processor time.
  void MeasureLoad(steady_clock::time_point wait_start, std::int64_t wait_ms) {
    const steady_clock::time_point now = steady_clock::now();
    waited += std::min<steady_clock::duration>(now - wait_start, milliseconds(wait_ms));
    const steady_clock::duration window = now - load_window_start;
    if (window < kLoadWindow) return;
    load = 1 - static_cast<double>(waited.count()) / static_cast<double>(window.count());
    load_window_start = now;
    waited = {};
  }

  void ProcessTimer() {
    int running_transfers = 0;
    if (!timer.has_value() || steady_clock::now() < *timer) return;
    timer.reset();
    curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running_transfers);
  }

  void Run() {
    bool stop = false;
    while (!stop) {
      stop = ProcessQueued();
      ProcessTimer();
      ProcessEndedTransfers();
      if (!stop) ProcessEvents();
      ProcessEndedTransfers();
    }
    while (!running.empty())
      EndTransfer(running.begin()->first, transfer_outcome::kCancelled);
  }

  /// Starts and cancels transfers as requested by other threads. Returns true if the pool must stop.
  bool ProcessQueued() {
    std::vector<std::unique_ptr<transfer>> to_start;
    std::vector<transfer_id> to_cancel;
    bool stop = false;
    {
      const std::lock_guard lock(mutex);
      to_start.swap(queued);
      to_cancel.swap(cancelled);
      stop = stopping;
    }
    for (std::unique_ptr<transfer>& t : to_start)
      StartTransfer(std::move(t));
    for (const transfer_id id : to_cancel)
      EndTransfer(id, transfer_outcome::kCancelled);
    return stop;
  }

  void StartTransfer(std::unique_ptr<transfer> owned) {
    transfer& t = *owned;
    t.buffers = &buffers;
    ++buffers.transfers;
    running.emplace(t.request.id, std::move(owned));
    const auto time_left = std::chrono::ceil<milliseconds>(t.request.deadline - steady_clock::now());
    if (time_left.count() <= 0) return EndTransfer(t.request.id, transfer_outcome::kDeadlineExceeded);
    t.handle = TakeHandle();
    SetOptions(t, time_left, post_headers);
    curl_multi_add_handle(multi, t.handle);
  }

  CURL* TakeHandle() {
    if (idle_handles.empty()) return curl_easy_init();
    CURL* handle = idle_handles.back();
    idle_handles.pop_back();
    return handle;
  }

  void ProcessEndedTransfers() {
    int messages_left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi, &messages_left)) {
      if (message->msg != CURLMSG_DONE) continue;
      transfer* t = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &t);
      long status = 0;
      curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
      t->result.status = static_cast<int>(status);
      long connects = 0;
      curl_easy_getinfo(message->easy_handle, CURLINFO_NUM_CONNECTS, &connects);
      t->result.opened_connection = connects > 0;
      if (message->data.result == CURLE_OK) CheckWholeBody(*t);
      const transfer_outcome outcome = OutcomeOf(*t, message->data.result);
      // libcurl refuses some answers by itself.
      if (outcome == transfer_outcome::kMalformed && t->result.detail.empty())
        t->result.detail = curl_easy_strerror(message->data.result);
      EndTransfer(t->request.id, outcome);
    }
  }

  void EndTransfer(transfer_id id, transfer_outcome outcome) {
    const auto found = running.find(id);
    if (found == running.end()) return;
    const std::unique_ptr<transfer> t = std::move(found->second);
    running.erase(found);
    --buffers.transfers;
    buffers.bytes -= BufferedBytes(*t);
    if (t->handle != nullptr) {
      // Removing a handle in the middle of its transfer closes the connection, so a late answer is never delivered.
      curl_multi_remove_handle(multi, t->handle);
      curl_easy_reset(t->handle);
      curl_slist_free_all(t->header_list);
      idle_handles.push_back(t->handle);
    }
    t->result.outcome = outcome;
    t->result.pool_load = load;
    t->result.bytes_sent = t->write_attempts > 0;
    t->result.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - t->started);
    t->request.done(std::move(t->result));
  }
};

transfer_pool::transfer_pool(const answer_limits& limits) : impl_(std::make_unique<impl>()) {
  InitialiseCurl();
  impl_->buffers.limits = limits;
  impl_->multi = curl_multi_init();
  curl_multi_setopt(impl_->multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  impl_->epoll = epoll_create1(EPOLL_CLOEXEC);
  impl_->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = impl_->wake;
  epoll_ctl(impl_->epoll, EPOLL_CTL_ADD, impl_->wake, &event);
  curl_multi_setopt(impl_->multi, CURLMOPT_SOCKETFUNCTION, &impl::OnSocketChanged);
  curl_multi_setopt(impl_->multi, CURLMOPT_SOCKETDATA, impl_.get());
  curl_multi_setopt(impl_->multi, CURLMOPT_TIMERFUNCTION, &impl::OnTimerChanged);
  curl_multi_setopt(impl_->multi, CURLMOPT_TIMERDATA, impl_.get());
  impl_->post_headers = curl_slist_append(impl_->post_headers, "Content-Type: application/json");
  // Without this, libcurl waits up to a second for a "100 Continue" before it sends a larger body.
  impl_->post_headers = curl_slist_append(impl_->post_headers, "Expect:");
  impl_->thread = std::thread([this] { impl_->Run(); });
}

transfer_pool::~transfer_pool() {
  Stop();
  for (CURL* handle : impl_->idle_handles)
    curl_easy_cleanup(handle);
  curl_multi_cleanup(impl_->multi);
  ::close(impl_->epoll);
  ::close(impl_->wake);
  curl_slist_free_all(impl_->post_headers);
}

transfer_id transfer_pool::NewId() { return impl_->next_id.fetch_add(1, std::memory_order_relaxed); }

void transfer_pool::Start(transfer_request request) {
  auto t = std::make_unique<transfer>();
  t->request = std::move(request);
  t->started = steady_clock::now();
  std::unique_lock lock(impl_->mutex);
  if (impl_->stopping) {
    lock.unlock();
    t->request.done(std::move(t->result));
    return;
  }
  const bool was_idle = impl_->queued.empty() && impl_->cancelled.empty();
  impl_->queued.push_back(std::move(t));
  lock.unlock();
  impl_->WakeIfIdle(was_idle);
}

void transfer_pool::Cancel(transfer_id id) {
  std::unique_lock lock(impl_->mutex);
  if (impl_->stopping) return;
  const bool was_idle = impl_->queued.empty() && impl_->cancelled.empty();
  impl_->cancelled.push_back(id);
  lock.unlock();
  impl_->WakeIfIdle(was_idle);
}

std::size_t transfer_pool::MaxBufferedBytes() const { return impl_->buffers.max_bytes; }

void transfer_pool::Stop() {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
  }
  impl_->WakeThread();
  if (impl_->thread.joinable()) impl_->thread.join();
}

}  // namespace limpetrouter::shell
