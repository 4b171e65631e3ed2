#include "shell/http_server.h"

#include <sys/socket.h>

#include <cstdlib>
#include <deque>
#include <filesystem>
#include <mutex>
#include <string_view>
#include <system_error>
#include <utility>

#include <fmt/format.h>
#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include "shell/http_connection.h"
#include "shell/http_request_reader.h"
#include "shell/peer_stream.h"

namespace limpetrouter::shell {
namespace {

using core::base::error_kind;
using core::base::reply_handle;
namespace pistache_http = Pistache::Http;
namespace pistache_tcp = Pistache::Tcp;

constexpr const char* kConnectionData = "limpetrouter.connection";
/// Pistache's timeouts for the header and the body of a request, which it answers with 408. They also count while the
/// answer to a complete request is awaited, and 408 promises that the request was not executed. Requests are framed and
/// limited here, so that they are not needed.
constexpr std::chrono::hours kNoTimeout{24 * 365};
constexpr int kBacklog = 1024;
/// Buffers of a caller's socket; the kernel doubles the sizes. What a caller sends before its connection is served, or
/// does not read, is held in them. They allow 64 Mbit/s for each connection at a round trip of 2 ms.
constexpr int kReceiveBufferBytes = 16 * 1024;
constexpr int kSendBufferBytes = 32 * 1024;

/// Limits the buffers of the sockets that the listener on `address` accepts. They inherit them from the listening
/// socket, which Pistache does not give away. A later change of an accepted socket would shrink a window that was
/// announced.
void LimitSocketBuffers(const std::string& address) {
  const std::string wanted = ParseSocketAddress(address).bytes;
  std::error_code failure;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", failure)) {
    const int fd = std::atoi(entry.path().filename().c_str());
    int listening = 0;
    socklen_t size = sizeof listening;
    if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) != 0 || listening == 0) continue;
    sockaddr_storage bound{};
    size = sizeof bound;
    if (::getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size) != 0) continue;
    if (std::string_view(reinterpret_cast<const char*>(&bound), size) != wanted) continue;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof kSendBufferBytes);
  }
}

/// Replaces the request handling of Pistache's handler, which answers malformed input in plain text by itself, drops
/// pipelined requests, and lets answers overtake each other.
class request_handler : public pistache_http::Handler {
 public:
  HTTP_PROTOTYPE(request_handler)

  explicit request_handler(std::shared_ptr<server_state> state) : state_(std::move(state)) {}

  void onRequest(const pistache_http::Request& /*request*/, pistache_http::ResponseWriter /*response*/) override {}

  void onInput(const char* buffer, std::size_t size, const std::shared_ptr<pistache_tcp::Peer>& peer) override {
    const connection_ptr c = ConnectionOf(peer);
    {
      const std::lock_guard lock(c->mutex);
      if (c->closed || c->ended) return;
      c->received.append(buffer, size);
      UpdateAccount(*c);
    }
    ConsumeInput(state_, c);
    state_->limits->Enforce();
  }

  void onConnection(const std::shared_ptr<pistache_tcp::Peer>& peer) override {
    // Pistache's own handler does the same; its function is private.
    peer->putData(ParserData, std::make_shared<pistache_http::RequestParser>(getMaxRequestSize()));
    const connection_ptr c = ConnectionOf(peer);
    if (!state_->limits->Open(c->account)) EndConnection(*c, close_reason::kRefused);
  }

  /// Pistache calls this function before it closes the file descriptor. Nothing is written to it afterwards, because
  /// the next connection may reuse it.
  void onDisconnection(const std::shared_ptr<pistache_tcp::Peer>& peer) override {
    const connection_ptr c = ConnectionOf(peer);
    std::deque<exchange> unanswered;
    {
      const std::lock_guard lock(c->mutex);
      c->closed = true;
      unanswered.swap(c->exchanges);
      state_->pending_answers -= unanswered.size() + CountUnwritten(*c);
      c->unwritten.clear();
    }
    state_->limits->Close(c->account);
    for (const exchange& e : unanswered) {
      {
        const std::lock_guard lock(state_->mutex);
        if (state_->unanswered.erase(e.handle) == 0) continue;
      }
      state_->observer.on_abandoned(e.handle);
    }
  }

 private:
  connection_ptr ConnectionOf(const std::shared_ptr<pistache_tcp::Peer>& peer) const {
    if (auto data = peer->tryGetData(kConnectionData); data != nullptr)
      return std::static_pointer_cast<http_connection>(data);
    auto created = std::make_shared<http_connection>(peer, state_->limits);
    PrepareConnection(created);
    const std::weak_ptr<http_connection> weak = created;
    // The state holds connections, so that a strong reference here would be a cycle.
    const std::weak_ptr<server_state> weak_state = state_;
    created->account->writable = [weak_state, weak] {
      const std::shared_ptr<server_state> state = weak_state.lock();
      const connection_ptr c = weak.lock();
      if (state != nullptr && c != nullptr) WriteAnswers(state, c);
    };
    created->account->resume = [weak_state, weak] {
      const std::shared_ptr<server_state> state = weak_state.lock();
      const connection_ptr c = weak.lock();
      if (state != nullptr && c != nullptr) ConsumeInput(state, c);
    };
    peer->putData(kConnectionData, created);
    return created;
  }

  std::shared_ptr<server_state> state_;
};

}  // namespace

struct http_server::impl {
  std::string address;
  std::uint32_t threads = 1;
  std::chrono::milliseconds idle_timeout{};
  std::shared_ptr<server_state> state = std::make_shared<server_state>();
  std::unique_ptr<pistache_http::Endpoint> endpoint;
};

namespace {

http_server_options OptionsFor(const settings& settings, std::shared_ptr<connection_limits> limits) {
  http_server_options options;
  options.limits = std::move(limits);
  options.address = settings.listen_http;
  options.threads = settings.threads;
  options.max_request_bytes = settings.max_request_bytes;
  options.max_pending = settings.max_pending_requests;
  return options;
}

}  // namespace

http_server::http_server(const settings& settings, http_observer observer, std::shared_ptr<connection_limits> limits)
    : http_server(OptionsFor(settings, std::move(limits)), std::move(observer)) {}

http_server::http_server(const http_server_options& options, http_observer observer) : impl_(std::make_unique<impl>()) {
  impl_->address = options.address;
  impl_->threads = options.threads;
  impl_->idle_timeout = options.idle_timeout;
  impl_->state->observer = std::move(observer);
  impl_->state->max_request_bytes = options.max_request_bytes;
  impl_->state->max_pending = options.max_pending;
  impl_->state->opaque = options.opaque;
  impl_->state->limits =
      options.limits != nullptr ? options.limits : std::make_shared<connection_limits>(DeriveBounds({}));
}

http_server::~http_server() { Stop(); }

core::base::result<void> http_server::Start() {
  try {
    impl_->endpoint = std::make_unique<pistache_http::Endpoint>(Pistache::Address(impl_->address));
    auto options = pistache_http::Endpoint::options();
    options.threads(static_cast<int>(impl_->threads))
        .flags(pistache_tcp::Options::ReuseAddr | pistache_tcp::Options::NoDelay)
        .backlog(kBacklog)
        .maxRequestSize(impl_->state->max_request_bytes)
        .headerTimeout(kNoTimeout)
        .bodyTimeout(kNoTimeout)
        .keepaliveTimeout(impl_->idle_timeout);
    impl_->endpoint->init(options);
    impl_->endpoint->setHandler(std::make_shared<request_handler>(impl_->state));
    impl_->endpoint->serveThreaded();
    LimitSocketBuffers(impl_->address);
  } catch (const std::exception& e) {
    impl_->endpoint.reset();
    return core::base::Fail(error_kind::kInvalidSetting,
                            fmt::format("cannot listen on {}: {}", impl_->address, e.what()));
  }
  return {};
}

std::optional<core::base::duration> http_server::Answer(reply_handle handle, http_answer answer) {
  return SubmitAnswer(impl_->state, handle, std::move(answer));
}

void http_server::SetLimits(const request_limits& limits) {
  impl_->state->max_header_bytes = limits.max_header_bytes;
  impl_->state->max_body_bytes = limits.max_body_bytes;
}

void http_server::CloseConnections() { impl_->state->close_connections = true; }

void http_server::RefuseWith(http_answer answer) {
  const std::lock_guard lock(impl_->state->mutex);
  impl_->state->refusal = std::move(answer);
}

std::size_t http_server::PendingAnswers() const { return impl_->state->pending_answers; }

void http_server::Stop() {
  if (impl_->endpoint == nullptr) return;
  impl_->state->stopped = true;
  impl_->endpoint->shutdown();
  impl_->endpoint.reset();
  impl_->state->limits->AwaitCallbacks();
}

}  // namespace limpetrouter::shell
