#include "shell/transfer_pool.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstring>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <curl/curl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace limpetrouter::shell {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A backend server that does not accept a connection within this time is treated as unreachable, so that a read can
/// still be tried elsewhere before its deadline.
constexpr milliseconds kConnectTimeout{500};
/// Idle connections beyond this number are closed. Above the connections that one instance may hold.
constexpr long kMaxIdleConnections = 16'384;
/// Idle connections are not reused after this time, in seconds, and are closed.
constexpr long kMaxIdleSeconds = 60;
/// Longest wait for events, in milliseconds.
constexpr std::int64_t kMaxWaitMs = 1'000;
constexpr std::size_t kEventBatch = 64;
/// A probed connection is given up after about three seconds without a sign of the peer.
constexpr int kProbeSeconds = 1;
constexpr int kProbeCount = 2;
constexpr unsigned kUserTimeoutMs = 3'000;

/// Initialises libcurl before the first thread uses it.
void InitialiseCurl() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(result);
}

/// One running transfer. libcurl keeps a pointer to it.
struct transfer {
  transfer_request request;
  transfer_result result;
  CURL* handle = nullptr;
  curl_slist* header_list = nullptr;
  /// The line of `time_left_field` within `header_list`.
  char* time_left_line = nullptr;
  steady_clock::time_point started;
  /// How often libcurl was about to write the request.
  int writes = 0;
  bool too_large = false;
  bool deadline_passed = false;
};

std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* pointer) {
  auto& t = *static_cast<transfer*>(pointer);
  const std::size_t bytes = size * count;
  if (t.result.body.size() + bytes > t.request.max_answer_bytes) {
    t.too_large = true;
    return 0;
  }
  t.result.body.append(data, bytes);
  return bytes;
}

/// Collects the header fields of the last header: an interim answer comes before it.
std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* pointer) {
  auto& t = *static_cast<transfer*>(pointer);
  const std::size_t bytes = size * count;
  std::string_view line(data, bytes);
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
    line.remove_suffix(1);
  if (line.starts_with("HTTP/")) t.result.headers.clear();
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || line.starts_with("HTTP/")) return bytes;
  std::string_view value = line.substr(colon + 1);
  const auto first = value.find_first_not_of(" \t");
  value = first == std::string_view::npos ? std::string_view{} : value.substr(first);
  t.result.headers.emplace_back(line.substr(0, colon), value);
  return bytes;
}

int OnSocket(void* /*pointer*/, curl_socket_t socket, curlsocktype /*purpose*/) {
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeSeconds, sizeof kProbeSeconds);
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeSeconds, sizeof kProbeSeconds);
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount, sizeof kProbeCount);
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof kUserTimeoutMs);
  return CURL_SOCKOPT_OK;
}

std::string TimeLeftLine(const transfer& t) {
  const auto left = std::chrono::duration_cast<milliseconds>(t.request.deadline - steady_clock::now());
  return fmt::format("{}: {}", t.request.time_left_field, std::max<std::int64_t>(left.count(), 0));
}

/// Runs when the connection stands, right before the request is written. A process that was paused while it connected
/// must not start a call whose deadline has passed.
int OnBeforeWrite(void* pointer, char* /*peer_ip*/, char* /*own_ip*/, int /*peer_port*/, int /*own_port*/) {
  auto& t = *static_cast<transfer*>(pointer);
  if (t.writes > 0 && t.request.write_once) return CURL_PREREQFUNC_ABORT;
  if (steady_clock::now() >= t.request.deadline) {
    t.deadline_passed = true;
    return CURL_PREREQFUNC_ABORT;
  }
  // libcurl reads the header lines after this. The time only gets less, so the new line fits into the old one.
  if (t.time_left_line != nullptr) {
    const std::string line = TimeLeftLine(t);
    std::memcpy(t.time_left_line, line.c_str(), std::min(line.size(), std::strlen(t.time_left_line)) + 1);
  }
  ++t.writes;
  return CURL_PREREQFUNC_OK;
}

/// libcurl takes a connection that closes within the header for the end of an answer without a body.
bool EndedInHeader(const transfer& t) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  if (!t.result.body.empty() || t.result.status == kNoContent || t.result.status == kNotModified) return false;
  if (t.request.method == "HEAD") return false;
  curl_off_t announced = -1;
  curl_easy_getinfo(t.handle, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &announced);
  return announced < 0;
}

transfer_outcome OutcomeOf(const transfer& t, CURLcode code) {
  switch (code) {
    case CURLE_OK:
      return EndedInHeader(t) ? transfer_outcome::kLost : transfer_outcome::kAnswered;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
      // After a write this is the failure of a second connect, and the request may have run on the first connection.
      return t.writes == 0 ? transfer_outcome::kConnectFailed : transfer_outcome::kLost;
    case CURLE_OPERATION_TIMEDOUT:
      // libcurl uses the same code for its connect timeout and for the whole transfer.
      if (t.writes == 0 && steady_clock::now() < t.request.deadline) return transfer_outcome::kConnectFailed;
      return transfer_outcome::kDeadline;
    case CURLE_ABORTED_BY_CALLBACK:
      return t.deadline_passed ? transfer_outcome::kDeadline : transfer_outcome::kLost;
    case CURLE_PARTIAL_FILE:
      return transfer_outcome::kTruncated;
    case CURLE_WRITE_ERROR:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_BAD_CONTENT_ENCODING:
      return transfer_outcome::kMalformed;
    default:
      return t.result.body.empty() ? transfer_outcome::kLost : transfer_outcome::kTruncated;
  }
}

}  // namespace

std::string_view ToString(transfer_outcome outcome) {
  switch (outcome) {
    case transfer_outcome::kAnswered:
      return "answered";
    case transfer_outcome::kConnectFailed:
      return "no connection";
    case transfer_outcome::kLost:
      return "the connection broke";
    case transfer_outcome::kTruncated:
      return "the answer was cut short";
    case transfer_outcome::kMalformed:
      return "the answer is not HTTP or too large";
    case transfer_outcome::kDeadline:
      return "no answer in time";
    case transfer_outcome::kCancelled:
      break;
  }
  return "cancelled";
}

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
  std::vector<CURL*> spare_handles;

  /// libcurl tells which sockets and which time it waits for, so that an event costs the same with any number of
  /// transfers.
  int epoll = -1;
  int wake = -1;
  /// When libcurl wants to be called without an event.
  std::optional<steady_clock::time_point> timer;

  void Wake(bool was_idle) const {
    if (was_idle) WakeNow();
  }

  void WakeNow() const {
    const std::uint64_t one = 1;
    // The counter only overflows if it is not read for centuries.
    static_cast<void>(!::write(wake, &one, sizeof one));
  }

  static int OnSocketWanted(CURL* /*easy*/, curl_socket_t socket, int what, void* pointer, void* known) {
    const auto& pool = *static_cast<impl*>(pointer);
    if (what == CURL_POLL_REMOVE) {
      epoll_ctl(pool.epoll, EPOLL_CTL_DEL, socket, nullptr);
      return 0;
    }
    epoll_event event{};
    event.data.fd = socket;
    if ((what & CURL_POLL_IN) != 0) event.events |= EPOLLIN;
    if ((what & CURL_POLL_OUT) != 0) event.events |= EPOLLOUT;
    epoll_ctl(pool.epoll, known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
    // Any pointer marks the socket as registered.
    curl_multi_assign(pool.multi, socket, pointer);
    return 0;
  }

  static int OnTimerWanted(CURLM* /*multi*/, long timeout_ms, void* pointer) {
    auto& pool = *static_cast<impl*>(pointer);
    pool.timer.reset();
    if (timeout_ms >= 0) pool.timer = steady_clock::now() + milliseconds(timeout_ms);
    return 0;
  }

  void WaitAndAct() {
    std::int64_t wait = kMaxWaitMs;
    if (timer.has_value()) {
      const auto left = std::chrono::ceil<milliseconds>(*timer - steady_clock::now()).count();
      wait = std::clamp<std::int64_t>(left, 0, kMaxWaitMs);
    }
    std::array<epoll_event, kEventBatch> events;
    const int count = epoll_wait(epoll, events.data(), static_cast<int>(events.size()), static_cast<int>(wait));
    int running_transfers = 0;
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      if (event.data.fd == wake) {
        std::uint64_t calls = 0;
        static_cast<void>(!::read(wake, &calls, sizeof calls));
        continue;
      }
      int mask = 0;
      if ((event.events & (EPOLLIN | EPOLLHUP)) != 0) mask |= CURL_CSELECT_IN;
      if ((event.events & EPOLLOUT) != 0) mask |= CURL_CSELECT_OUT;
      if ((event.events & EPOLLERR) != 0) mask |= CURL_CSELECT_ERR;
      curl_multi_socket_action(multi, event.data.fd, mask, &running_transfers);
    }
    ActOnTimer();
  }

  void ActOnTimer() {
    int running_transfers = 0;
    if (!timer.has_value() || steady_clock::now() < *timer) return;
    timer.reset();
    curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running_transfers);
  }

  void Run() {
    bool stop = false;
    while (!stop) {
      stop = TakeQueued();
      ActOnTimer();
      TakeEnded();
      if (!stop) WaitAndAct();
      TakeEnded();
    }
    while (!running.empty())
      End(running.begin()->first, transfer_outcome::kCancelled);
  }

  /// Starts and cancels what other threads asked for. Returns true if the pool is to stop.
  bool TakeQueued() {
    std::vector<std::unique_ptr<transfer>> fresh;
    std::vector<transfer_id> stale;
    bool stop = false;
    {
      const std::lock_guard lock(mutex);
      fresh.swap(queued);
      stale.swap(cancelled);
      stop = stopping;
    }
    for (std::unique_ptr<transfer>& t : fresh)
      Begin(std::move(t));
    for (const transfer_id id : stale)
      End(id, transfer_outcome::kCancelled);
    return stop;
  }

  void Begin(std::unique_ptr<transfer> owned) {
    transfer& t = *owned;
    running.emplace(t.request.id, std::move(owned));
    const auto left = std::chrono::ceil<milliseconds>(t.request.deadline - steady_clock::now());
    if (left.count() <= 0) return End(t.request.id, transfer_outcome::kDeadline);
    t.handle = TakeHandle();
    SetOptions(t, left);
    curl_multi_add_handle(multi, t.handle);
  }

  CURL* TakeHandle() {
    if (spare_handles.empty()) return curl_easy_init();
    CURL* handle = spare_handles.back();
    spare_handles.pop_back();
    return handle;
  }

  void SetOptions(transfer& t, milliseconds left) const {
    CURL* h = t.handle;
    curl_easy_setopt(h, CURLOPT_URL, t.request.url.c_str());
    curl_easy_setopt(h, CURLOPT_PRIVATE, &t);
    curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
    // Backend servers are addressed by IP number; a proxy from the environment must not come between.
    curl_easy_setopt(h, CURLOPT_PROXY, "");
    curl_easy_setopt(h, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(h, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, static_cast<long>(left.count()));
    const milliseconds connect =
        t.request.connect_timeout.count() > 0 ? t.request.connect_timeout : milliseconds(kConnectTimeout);
    curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::min(left, connect).count()));
    const long max_idle = static_cast<long>(t.request.max_idle.count());
    curl_easy_setopt(h, CURLOPT_MAXAGE_CONN, max_idle > 0 ? max_idle : kMaxIdleSeconds);
    if (t.request.keep_alive_probes) curl_easy_setopt(h, CURLOPT_SOCKOPTFUNCTION, &OnSocket);
    curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(h, CURLOPT_WRITEDATA, &t);
    curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, &OnBeforeWrite);
    curl_easy_setopt(h, CURLOPT_PREREQDATA, &t);
    if (!t.request.method.empty()) SetOpaqueOptions(t);
    if (t.request.post) {
      curl_easy_setopt(h, CURLOPT_HTTPHEADER, post_headers);
      curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(t.request.body.size()));
      curl_easy_setopt(h, CURLOPT_POSTFIELDS, t.request.body.data());
    }
    if (t.request.own_connection) {
      curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(h, CURLOPT_FORBID_REUSE, 1L);
    }
  }

  static void SetOpaqueOptions(transfer& t) {
    CURL* h = t.handle;
    curl_easy_setopt(h, CURLOPT_REQUEST_TARGET, t.request.target.c_str());
    curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(h, CURLOPT_HEADERDATA, &t);
    // Fields that libcurl would add by itself are taken out unless the request has them.
    for (const char* name : {"Accept", "Content-Type"}) {
      if (FindHeader(t.request.headers, name) == nullptr)
        t.header_list = curl_slist_append(t.header_list, (std::string(name) + ":").c_str());
    }
    t.header_list = curl_slist_append(t.header_list, "Expect:");
    for (const auto& [name, value] : t.request.headers) {
      // libcurl sends a field without a value if it ends with a semicolon.
      const std::string line = value.empty() ? fmt::format("{};", name) : fmt::format("{}: {}", name, value);
      t.header_list = curl_slist_append(t.header_list, line.c_str());
    }
    if (!t.request.time_left_field.empty()) {
      t.header_list = curl_slist_append(t.header_list, TimeLeftLine(t).c_str());
      curl_slist* last = t.header_list;
      while (last->next != nullptr)
        last = last->next;
      t.time_left_line = last->data;
    }
    curl_easy_setopt(h, CURLOPT_HTTPHEADER, t.header_list);
    const bool sends_body = !t.request.body.empty() || t.request.method == "POST" || t.request.method == "PUT";
    if (sends_body) {
      curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(t.request.body.size()));
      curl_easy_setopt(h, CURLOPT_POSTFIELDS, t.request.body.data());
    } else if (t.request.method == "HEAD") {
      curl_easy_setopt(h, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, t.request.method.c_str());
  }

  void TakeEnded() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      transfer* t = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &t);
      long status = 0;
      curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
      t->result.status = static_cast<int>(status);
      long connects = 0;
      curl_easy_getinfo(message->easy_handle, CURLINFO_NUM_CONNECTS, &connects);
      t->result.opened_connection = connects > 0;
      End(t->request.id, t->too_large ? transfer_outcome::kMalformed : OutcomeOf(*t, message->data.result));
    }
  }

  void End(transfer_id id, transfer_outcome outcome) {
    const auto found = running.find(id);
    if (found == running.end()) return;
    const std::unique_ptr<transfer> t = std::move(found->second);
    running.erase(found);
    if (t->handle != nullptr) {
      // Removing a handle in the middle of its transfer closes the connection, so a late answer reaches nobody.
      curl_multi_remove_handle(multi, t->handle);
      curl_easy_reset(t->handle);
      curl_slist_free_all(t->header_list);
      spare_handles.push_back(t->handle);
    }
    t->result.outcome = outcome;
    t->result.bytes_sent = t->writes > 0;
    t->result.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - t->started);
    t->request.done(std::move(t->result));
  }
};

transfer_pool::transfer_pool() : impl_(std::make_unique<impl>()) {
  InitialiseCurl();
  impl_->multi = curl_multi_init();
  curl_multi_setopt(impl_->multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  impl_->epoll = epoll_create1(EPOLL_CLOEXEC);
  impl_->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = impl_->wake;
  epoll_ctl(impl_->epoll, EPOLL_CTL_ADD, impl_->wake, &event);
  curl_multi_setopt(impl_->multi, CURLMOPT_SOCKETFUNCTION, &impl::OnSocketWanted);
  curl_multi_setopt(impl_->multi, CURLMOPT_SOCKETDATA, impl_.get());
  curl_multi_setopt(impl_->multi, CURLMOPT_TIMERFUNCTION, &impl::OnTimerWanted);
  curl_multi_setopt(impl_->multi, CURLMOPT_TIMERDATA, impl_.get());
  impl_->post_headers = curl_slist_append(impl_->post_headers, "Content-Type: application/json");
  // Without this, libcurl waits up to a second for a "100 Continue" before it sends a larger body.
  impl_->post_headers = curl_slist_append(impl_->post_headers, "Expect:");
  impl_->thread = std::thread([this] { impl_->Run(); });
}

transfer_pool::~transfer_pool() {
  Stop();
  for (CURL* handle : impl_->spare_handles)
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
  impl_->Wake(was_idle);
}

void transfer_pool::Cancel(transfer_id id) {
  std::unique_lock lock(impl_->mutex);
  if (impl_->stopping) return;
  const bool was_idle = impl_->queued.empty() && impl_->cancelled.empty();
  impl_->cancelled.push_back(id);
  lock.unlock();
  impl_->Wake(was_idle);
}

void transfer_pool::Stop() {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
  }
  impl_->WakeNow();
  if (impl_->thread.joinable()) impl_->thread.join();
}

}  // namespace limpetrouter::shell
