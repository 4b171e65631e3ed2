#include "shell/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <atomic>
#include <deque>
#include <mutex>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include "shell/http_framing.h"
#include "shell/json_codec.h"

namespace limpetrouter::shell {
namespace {

using core::base::error_kind;
using core::base::executed_state;
using core::base::reply_handle;
using std::chrono::steady_clock;
namespace pistache_http = Pistache::Http;
namespace pistache_tcp = Pistache::Tcp;

constexpr const char* kConnectionData = "limpetrouter.connection";
/// Pistache's timeouts for the header and the body of a request, which it answers with 408. They also count while the
/// answer to a complete request is awaited, and 408 promises that the request was not executed. Requests are framed and
/// limited here, so that they are not needed.
constexpr std::chrono::hours kNoTimeout{24 * 365};
constexpr int kBacklog = 1024;
constexpr int kHeaderFieldsTooLarge = 431;

/// A request of a connection, together with its answer once there is one.
struct exchange {
  reply_handle handle;
  std::optional<http_answer> answer;
  pistache_http::Version version = pistache_http::Version::Http11;
  /// Set for HEAD requests, whose answers have no body.
  bool without_body = false;
  /// Whether the connection is closed after the answer.
  bool close_after = false;
  steady_clock::time_point received;
};

/// State of one client connection. `mutex` guards the members below it.
struct connection {
  std::weak_ptr<pistache_tcp::Peer> peer;
  /// Received bytes that do not form a complete request yet. Only the connection's thread uses them.
  std::string input;
  bool continue_sent = false;
  /// Whether further input is ignored. Only the connection's thread uses this flag.
  bool input_ended = false;

  std::mutex mutex;
  /// Exchanges whose answers have not been handed to Pistache, in the order of the requests.
  std::deque<exchange> exchanges;
  bool closed = false;
  /// An answer with "Connection: close" was handed to Pistache. An opaque server ignores later requests of the
  /// connection.
  bool closing = false;
  /// Number of answers that were handed to Pistache and are not written yet.
  std::size_t unwritten = 0;
};

using connection_ptr = std::shared_ptr<connection>;

/// State that the handlers of all threads share.
struct server_state {
  http_observer observer;
  std::size_t max_request_bytes = 0;
  std::size_t max_pending = 0;
  bool opaque = false;
  std::atomic<std::size_t> max_header_bytes{request_limits{}.max_header_bytes};
  std::atomic<std::size_t> max_body_bytes{request_limits{}.max_body_bytes};
  std::atomic<bool> close_connections{false};

  std::mutex mutex;
  /// Connections of the requests that have no answer yet.
  std::unordered_map<reply_handle, connection_ptr> unanswered;
  /// If set, the answer to all further requests.
  std::optional<http_answer> refusal;
  std::uint64_t next_handle = 1;
  /// Number of requests without an answer plus answers that are not written yet.
  std::atomic<std::size_t> pending_answers{0};
};

http_answer MakeError(error_kind kind, int status, const std::string& detail) {
  return {status, EncodeError({kind, detail}, executed_state::kNo), true};
}

http_answer MakeError(error_kind kind, const std::string& detail) {
  return MakeError(kind, core::base::DescribeError(kind).http_status, detail);
}

/// A write that Pistache has started. Its callbacks are attached after all locks are released, because they may run
/// immediately on the same thread.
struct started_write {
  Pistache::Async::Promise<ssize_t> promise;
  /// Whether the connection is closed after the write.
  bool close_after = false;
};

/// Returns the status line and the header fields.
std::string EncodeHead(const exchange& completed, bool close) {
  const http_answer& answer = *completed.answer;
  const char* const version = completed.version == pistache_http::Version::Http10 ? "HTTP/1.0" : "HTTP/1.1";
  std::string head = fmt::format("{} {} {}\r\n", version, answer.status,
                                 pistache_http::codeString(static_cast<pistache_http::Code>(answer.status)));
  for (const auto& [name, value] : answer.headers)
    fmt::format_to(std::back_inserter(head), "{}: {}\r\n", name, value);
  if (FindHeader(answer.headers, "content-type") == nullptr) {
    head += answer.is_json ? "Content-Type: application/json\r\n" : "Content-Type: text/plain; version=0.0.4\r\n";
  }
  fmt::format_to(std::back_inserter(head), "Connection: {}\r\nContent-Length: {}\r\n\r\n",
                 close ? "close" : "keep-alive", answer.body.size());
  return head;
}

/// Hands Pistache the answers whose preceding requests have all been answered. The caller holds `c.mutex`.
void StartWrites(const server_state& state, connection& c, std::vector<started_write>& writes) {
  const std::shared_ptr<pistache_tcp::Peer> peer = c.peer.lock();
  while (peer != nullptr && !c.exchanges.empty() && c.exchanges.front().answer.has_value()) {
    exchange completed = std::move(c.exchanges.front());
    c.exchanges.pop_front();
    // An answer with pipelined requests behind it must not close the connection before their answers are sent.
    const bool close =
        completed.close_after || ((completed.answer->close || state.close_connections) && c.exchanges.empty());
    std::string text = EncodeHead(completed, close);
    if (!completed.without_body) text += completed.answer->body;
    if (close) c.closing = true;
    ++c.unwritten;
    const std::size_t size = text.size();
    writes.push_back({peer->send(Pistache::RawBuffer(std::move(text), size)), close});
  }
}

void FinishWrite(server_state& state, const connection_ptr& c, bool close_after) {
  const std::lock_guard lock(c->mutex);
  if (c->closed) return;
  --c->unwritten;
  --state.pending_answers;
  const std::shared_ptr<pistache_tcp::Peer> peer = c->peer.lock();
  if (peer == nullptr) return;
  // Only the write side is shut down: closing a socket with unread input would reset the connection before the caller
  // has read the answer.
  if (close_after) ::shutdown(peer->fd(), SHUT_WR);
  if (c->exchanges.empty()) peer->setIdle(true);
}

void AttachCallbacks(const std::shared_ptr<server_state>& state, const connection_ptr& c,
                     std::vector<started_write>& writes) {
  for (started_write& write : writes) {
    const bool close_after = write.close_after;
    write.promise.then([state, c, close_after](ssize_t) { FinishWrite(*state, c, close_after); },
                       [state, c](const std::exception_ptr&) { FinishWrite(*state, c, true); });
  }
}

/// Stores the answer and starts the writes that it unblocks. Returns the time since the request was received, or
/// nothing if its connection has been closed.
std::optional<core::base::duration> SubmitAnswer(const std::shared_ptr<server_state>& state, reply_handle handle,
                                                 http_answer answer) {
  connection_ptr c;
  {
    const std::lock_guard lock(state->mutex);
    const auto found = state->unanswered.find(handle);
    if (found == state->unanswered.end()) return std::nullopt;
    c = std::move(found->second);
    state->unanswered.erase(found);
  }
  std::vector<started_write> writes;
  core::base::duration elapsed{};
  {
    const std::lock_guard lock(c->mutex);
    if (c->closed) return std::nullopt;
    for (exchange& e : c->exchanges) {
      if (e.handle != handle) continue;
      e.answer = std::move(answer);
      elapsed = std::chrono::duration_cast<core::base::duration>(steady_clock::now() - e.received);
      break;
    }
    StartWrites(*state, *c, writes);
  }
  AttachCallbacks(state, c, writes);
  return elapsed;
}

/// Whether the caller expects the connection to be closed after the answer; HTTP/1.0 defaults to closing.
bool RequestsClose(const pistache_http::Request& request) {
  const auto header = request.headers().tryGet<pistache_http::Header::Connection>();
  if (header != nullptr) return header->control() == pistache_http::ConnectionControl::Close;
  return request.version() == pistache_http::Version::Http10;
}

http_request ConvertRequest(const pistache_http::Request& request) {
  http_request converted;
  converted.method = pistache_http::methodString(request.method());
  converted.path = request.resource();
  for (auto it = request.query().parameters_begin(); it != request.query().parameters_end(); ++it) {
    converted.parameters.emplace(it->first, it->second);
  }
  converted.body = request.body();
  return converted;
}

/// Returns the time since the last bytes arrived at the socket. A process that gets little processor time reads them
/// late.
std::chrono::milliseconds TimeSinceLastReceive(int socket) {
  // The kernel measures this time in steps of up to 10 ms, so times up to that length count as 0.
  constexpr std::uint32_t kResolutionMs = 10;
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
  return std::chrono::milliseconds(info.tcpi_last_data_recv <= kResolutionMs ? 0 : info.tcpi_last_data_recv);
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
    if (c->input_ended) return;
    c->input.append(buffer, size);
    while (!c->input_ended && ConsumeRequest(c, peer)) {
    }
  }

  /// Pistache calls this function before it closes the file descriptor. Answers in Pistache's write queue are flushed
  /// here: the queue identifies a connection only by its file descriptor, which the next connection may reuse.
  void onDisconnection(const std::shared_ptr<pistache_tcp::Peer>& peer) override {
    const connection_ptr c = ConnectionOf(peer);
    std::deque<exchange> unanswered;
    {
      const std::lock_guard lock(c->mutex);
      c->closed = true;
      unanswered.swap(c->exchanges);
      state_->pending_answers -= unanswered.size() + std::exchange(c->unwritten, 0);
    }
    transport()->flush();
    for (const exchange& e : unanswered) {
      {
        const std::lock_guard lock(state_->mutex);
        if (state_->unanswered.erase(e.handle) == 0) continue;
      }
      state_->observer.on_abandoned(e.handle);
    }
  }

 private:
  static connection_ptr ConnectionOf(const std::shared_ptr<pistache_tcp::Peer>& peer) {
    if (auto data = peer->tryGetData(kConnectionData); data != nullptr)
      return std::static_pointer_cast<connection>(data);
    auto created = std::make_shared<connection>();
    created->peer = peer;
    peer->putData(kConnectionData, created);
    return created;
  }

  /// Removes one request from the input and dispatches it. Returns false if the input holds no complete request or
  /// an unacceptable one.
  bool ConsumeRequest(const connection_ptr& c, const std::shared_ptr<pistache_tcp::Peer>& peer) {
    if (state_->opaque) return ConsumeOpaqueRequest(c, peer);
    const request_frame frame = FrameRequest(c->input, state_->max_request_bytes);
    switch (frame.state) {
      case request_state::kIncomplete:
        if (frame.expects_continue) SendContinue(*c, *peer);
        return false;
      case request_state::kTooLarge:
        Refuse(c, MakeError(error_kind::kRequestTooLarge, frame.detail));
        return false;
      case request_state::kMalformed:
        Refuse(c, MakeError(error_kind::kInvalidRequest, frame.detail));
        return false;
      case request_state::kComplete:
        break;
    }
    ParseRequestText(c, peer, std::string_view(c->input).substr(0, frame.size));
    c->input.erase(0, frame.size);
    c->continue_sent = false;
    return true;
  }

  /// Like `ConsumeRequest`, but for opaque servers: the target and the header fields are not decoded.
  bool ConsumeOpaqueRequest(const connection_ptr& c, const std::shared_ptr<pistache_tcp::Peer>& peer) {
    if (c->input.empty() || IsClosing(*c)) return false;
    parsed_request parsed = ParseRequest(c->input, {state_->max_header_bytes, state_->max_body_bytes});
    switch (parsed.state) {
      case parse_state::kIncomplete:
        if (parsed.expects_continue) SendContinue(*c, *peer);
        return false;
      case parse_state::kHeaderTooLarge:
        Refuse(c, MakeError(error_kind::kRequestTooLarge, kHeaderFieldsTooLarge, parsed.detail));
        return false;
      case parse_state::kBodyTooLarge:
        Refuse(c, MakeError(error_kind::kRequestTooLarge, parsed.detail));
        return false;
      case parse_state::kMalformed:
        Refuse(c, MakeError(error_kind::kInvalidRequest, parsed.detail));
        return false;
      case parse_state::kComplete:
        break;
    }
    c->input.erase(0, parsed.size);
    c->continue_sent = false;
    // Pistache measures the idle time from the last reset of its parser, which an opaque server does not use otherwise.
    getParser(peer)->reset();
    peer->setIdle(false);
    const auto version = pistache_http::Version::Http11;
    const reply_handle handle = AddExchange(c, version, parsed.close, parsed.method == "HEAD");
    c->input_ended = parsed.close;
    http_request request;
    request.method = std::move(parsed.method);
    request.path = parsed.target.substr(0, parsed.target.find('?'));
    request.target = std::move(parsed.target);
    request.headers = std::move(parsed.headers);
    request.body = std::move(parsed.body);
    request.read_delay = TimeSinceLastReceive(peer->fd());
    Dispatch(handle, std::move(request));
    return true;
  }

  /// Whether an answer with "Connection: close" was handed to Pistache.
  static bool IsClosing(connection& c) {
    const std::lock_guard lock(c.mutex);
    return c.closing;
  }

  static void SendContinue(connection& c, pistache_tcp::Peer& peer) {
    if (std::exchange(c.continue_sent, true)) return;
    const std::string line = "HTTP/1.1 100 Continue\r\n\r\n";
    peer.send(Pistache::RawBuffer(line, line.size()));
  }

  /// Parses the complete request `text` with Pistache's parser and dispatches or refuses it.
  void ParseRequestText(const connection_ptr& c, const std::shared_ptr<pistache_tcp::Peer>& peer,
                        std::string_view text) {
    const auto parser = getParser(peer);
    parser->reset();
    std::string error;
    try {
      const bool complete =
          parser->feed(text.data(), text.size()) && parser->parse() == pistache_http::Private::State::Done;
      if (!complete) error = "the HTTP request is malformed";
    } catch (const std::exception& e) {
      error = fmt::format("the HTTP request is malformed: {}", e.what());
    }
    if (!error.empty()) return Refuse(c, MakeError(error_kind::kInvalidRequest, error));
    peer->setIdle(false);
    DispatchParsedRequest(c, parser->request);
    parser->reset();
  }

  void DispatchParsedRequest(const connection_ptr& c, const pistache_http::Request& request) {
    const bool close_after = RequestsClose(request);
    c->input_ended = close_after;
    const reply_handle handle =
        AddExchange(c, request.version(), close_after, request.method() == pistache_http::Method::Head);
    Dispatch(handle, ConvertRequest(request));
  }

  /// Passes the request to the observer. Refuses it if `RefuseWith` was called or too many requests are pending.
  void Dispatch(reply_handle handle, http_request request) {
    std::optional<http_answer> refusal;
    {
      const std::lock_guard lock(state_->mutex);
      refusal = state_->refusal;
      if (!refusal.has_value() && state_->unanswered.size() > state_->max_pending) {
        refusal = MakeError(error_kind::kOverloaded,
                            fmt::format("the limit of {} pending requests is reached", state_->max_pending));
      }
    }
    if (refusal.has_value()) {
      SubmitAnswer(state_, handle, std::move(*refusal));
    } else {
      state_->observer.on_request(handle, std::move(request));
    }
  }

  /// Appends an exchange without an answer to the connection.
  reply_handle AddExchange(const connection_ptr& c, pistache_http::Version version, bool close_after,
                           bool without_body) {
    reply_handle handle;
    {
      const std::lock_guard lock(state_->mutex);
      handle = reply_handle(state_->next_handle++);
      state_->unanswered.emplace(handle, c);
    }
    ++state_->pending_answers;
    const std::lock_guard lock(c->mutex);
    c->exchanges.push_back({handle, std::nullopt, version, without_body, close_after, steady_clock::now()});
    return handle;
  }

  /// Answers malformed or oversized input and closes the connection, because the start of the next request is unknown.
  void Refuse(const connection_ptr& c, http_answer answer) {
    c->input_ended = true;
    SubmitAnswer(state_, AddExchange(c, pistache_http::Version::Http11, true, false), std::move(answer));
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

http_server_options OptionsFor(const settings& settings) {
  http_server_options options;
  options.address = settings.listen_http;
  options.threads = settings.threads;
  options.max_request_bytes = settings.max_request_bytes;
  options.max_pending = settings.max_pending_requests;
  return options;
}

}  // namespace

http_server::http_server(const settings& settings, http_observer observer)
    : http_server(OptionsFor(settings), std::move(observer)) {}

http_server::http_server(const http_server_options& options, http_observer observer) : impl_(std::make_unique<impl>()) {
  impl_->address = options.address;
  impl_->threads = options.threads;
  impl_->idle_timeout = options.idle_timeout;
  impl_->state->observer = std::move(observer);
  impl_->state->max_request_bytes = options.max_request_bytes;
  impl_->state->max_pending = options.max_pending;
  impl_->state->opaque = options.opaque;
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
  impl_->endpoint->shutdown();
  impl_->endpoint.reset();
}

}  // namespace limpetrouter::shell
