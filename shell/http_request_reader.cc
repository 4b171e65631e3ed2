#include "shell/http_request_reader.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <string_view>
#include <utility>

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

/// A connection whose requests are not taken may send one largest request and this much more.
constexpr std::size_t kInputMarginBytes = 64 * 1024;
/// Capacity of an emptied input buffer that is kept.
constexpr std::size_t kKeptInputBytes = 16 * 1024;
constexpr int kHeaderFieldsTooLarge = 431;

http_answer MakeError(error_kind kind, int status, const std::string& detail) {
  return {status, EncodeError({kind, detail}, executed_state::kNo), true};
}

http_answer MakeError(error_kind kind, const std::string& detail) {
  return MakeError(kind, core::base::DescribeError(kind).http_status, detail);
}

}  // namespace

void WriteAnswers(const std::shared_ptr<server_state>& state, const connection_ptr& c) {
  const std::lock_guard lock(c->mutex);
  c->awaiting_writable = false;
  state->pending_answers -= WriteQueued(*c);
  if (c->paused && !IsBehind(*c)) state->limits->PostResume(c->account);
}

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
  core::base::duration elapsed{};
  {
    const std::lock_guard lock(c->mutex);
    if (c->closed || c->ended) return std::nullopt;
    for (exchange& e : c->exchanges) {
      if (e.handle != handle) continue;
      c->waiting_answer_bytes += answer.body.size();
      e.answer = std::move(answer);
      elapsed = std::chrono::duration_cast<core::base::duration>(steady_clock::now() - e.received);
      break;
    }
    QueueAnswers(*c, state->close_connections);
    state->pending_answers -= WriteQueued(*c);
    // Parsing may take long, and this thread may be the one of the core.
    if (c->paused && !IsBehind(*c)) state->limits->PostResume(c->account);
  }
  state->limits->Enforce();
  return elapsed;
}

namespace {

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

/// Takes requests from the input of one connection and dispatches them. Used by the thread that set `parsing`.
class request_reader {
 public:
  request_reader(std::shared_ptr<server_state> state, connection_ptr c, std::shared_ptr<pistache_tcp::Peer> peer)
      : state_(std::move(state)), c_(std::move(c)), peer_(std::move(peer)) {}

  /// Removes one request from the input and dispatches it. Returns false if the input holds no complete request or
  /// an unacceptable one.
  bool ConsumeRequest() {
    if (state_->opaque) return ConsumeOpaqueRequest();
    const request_frame frame = FrameRequest(c_->framer, c_->input, state_->max_request_bytes);
    if (frame.state != request_state::kIncomplete) c_->framer = {};
    switch (frame.state) {
      case request_state::kIncomplete:
        if (frame.expects_continue) SendContinue();
        return false;
      case request_state::kTooLarge:
        Refuse(MakeError(error_kind::kRequestTooLarge, frame.detail));
        return false;
      case request_state::kMalformed:
        Refuse(MakeError(error_kind::kInvalidRequest, frame.detail));
        return false;
      case request_state::kComplete:
        break;
    }
    ParseRequestText(std::string_view(c_->input).substr(0, frame.size));
    c_->input.erase(0, frame.size);
    c_->continue_sent = false;
    return true;
  }

 private:
  /// Like `ConsumeRequest`, but for opaque servers: the target and the header fields are not decoded.
  bool ConsumeOpaqueRequest() {
    if (c_->input.empty() || IsClosing()) return false;
    c_->input.erase(0, TakeInput(c_->parser, c_->input, {state_->max_header_bytes, state_->max_body_bytes}));
    if (c_->parser.request.state == parse_state::kIncomplete) {
      if (c_->parser.request.expects_continue) SendContinue();
      return false;
    }
    parsed_request parsed = std::exchange(c_->parser, {}).request;
    switch (parsed.state) {
      case parse_state::kHeaderTooLarge:
        Refuse(MakeError(error_kind::kRequestTooLarge, kHeaderFieldsTooLarge, parsed.detail));
        return false;
      case parse_state::kBodyTooLarge:
        Refuse(MakeError(error_kind::kRequestTooLarge, parsed.detail));
        return false;
      case parse_state::kMalformed:
        Refuse(MakeError(error_kind::kInvalidRequest, parsed.detail));
        return false;
      case parse_state::kIncomplete:
      case parse_state::kComplete:
        break;
    }
    c_->continue_sent = false;
    // Pistache measures the idle time from the last reset of its parser, which an opaque server does not use otherwise.
    pistache_http::Handler::getParser(peer_)->reset();
    const auto version = pistache_http::Version::Http11;
    const reply_handle handle = AddExchange(version, parsed.close, parsed.method == "HEAD", parsed.size);
    c_->input_ended = parsed.close;
    const std::size_t size = parsed.size;
    http_request request;
    request.method = std::move(parsed.method);
    request.path = parsed.target.substr(0, parsed.target.find('?'));
    request.target = std::move(parsed.target);
    request.headers = std::move(parsed.headers);
    request.body = std::move(parsed.body);
    request.read_delay = TimeSinceLastReceive(peer_->fd());
    Dispatch(handle, std::move(request), size);
    return true;
  }

  /// Whether an answer with "Connection: close" was handed to Pistache.
  bool IsClosing() const {
    const std::lock_guard lock(c_->mutex);
    return c_->closing;
  }

  void SendContinue() {
    if (std::exchange(c_->continue_sent, true)) return;
    const std::lock_guard lock(c_->mutex);
    if (c_->closed || c_->ended) return;
    outgoing_text line{"HTTP/1.1 100 Continue\r\n\r\n", 0, false, false};
    if (c_->unwritten.empty()) c_->write_started = steady_clock::now();
    c_->unwritten_bytes += line.bytes.size();
    c_->unwritten.push_back(std::move(line));
    state_->pending_answers -= WriteQueued(*c_);
  }

  /// Parses the complete request `text` with Pistache's parser and dispatches or refuses it.
  void ParseRequestText(std::string_view text) {
    const auto parser = pistache_http::Handler::getParser(peer_);
    parser->reset();
    std::string error;
    try {
      const bool complete =
          parser->feed(text.data(), text.size()) && parser->parse() == pistache_http::Private::State::Done;
      if (!complete) error = "the HTTP request is malformed";
    } catch (const std::exception& e) {
      error = fmt::format("the HTTP request is malformed: {}", e.what());
    }
    if (!error.empty()) return Refuse(MakeError(error_kind::kInvalidRequest, error));
    DispatchParsedRequest(parser->request, text.size());
    parser->reset();
  }

  void DispatchParsedRequest(const pistache_http::Request& request, std::size_t size) {
    const bool close_after = RequestsClose(request);
    c_->input_ended = close_after;
    const reply_handle handle =
        AddExchange(request.version(), close_after, request.method() == pistache_http::Method::Head, size);
    Dispatch(handle, ConvertRequest(request), size);
  }

  /// Passes the request to the observer. Refuses it if `RefuseWith` was called or too many requests are pending.
  void Dispatch(reply_handle handle, http_request request, std::size_t size) {
    std::optional<http_answer> refusal;
    {
      const std::lock_guard lock(state_->mutex);
      refusal = state_->refusal;
      if (!refusal.has_value() && state_->unanswered.size() > state_->max_pending) {
        refusal = MakeError(error_kind::kOverloaded,
                            fmt::format("the limit of {} pending requests is reached", state_->max_pending));
      }
    }
    if (!refusal.has_value()) {
      request.charge = state_->limits->ChargeRequest(size);
      if (request.charge == nullptr) {
        refusal =
            MakeError(error_kind::kOverloaded, fmt::format("the limit of {} bytes of requests in progress is reached",
                                                           state_->limits->Bounds().max_request_bytes));
      }
    }
    if (refusal.has_value()) {
      SubmitAnswer(state_, handle, std::move(*refusal));
    } else {
      state_->observer.on_request(handle, std::move(request));
    }
  }

  /// Appends an exchange without an answer to the connection.
  reply_handle AddExchange(pistache_http::Version version, bool close_after, bool without_body, std::size_t size) {
    reply_handle handle;
    {
      const std::lock_guard lock(state_->mutex);
      handle = reply_handle(state_->next_handle++);
      state_->unanswered.emplace(handle, c_);
    }
    const std::lock_guard lock(c_->mutex);
    if (c_->closed) {
      // Nobody abandons a request that is added after the connection was closed.
      const std::lock_guard state_lock(state_->mutex);
      state_->unanswered.erase(handle);
      return handle;
    }
    ++state_->pending_answers;
    c_->exchanges.push_back({handle, std::nullopt, version, without_body, close_after, size, steady_clock::now()});
    c_->request_bytes += size;
    peer_->setIdle(false);
    c_->account->last_active = steady_clock::now();
    return handle;
  }

  /// Answers malformed or oversized input and closes the connection, because the start of the next request is unknown.
  void Refuse(http_answer answer) {
    c_->input_ended = true;
    SubmitAnswer(state_, AddExchange(pistache_http::Version::Http11, true, false, 0), std::move(answer));
  }

  std::shared_ptr<server_state> state_;
  connection_ptr c_;
  std::shared_ptr<pistache_tcp::Peer> peer_;
};

/// Returns whether another request may be taken. If not because of earlier requests, the connection is paused.
bool MayTakeRequest(http_connection& c) {
  const std::lock_guard lock(c.mutex);
  if (c.closed || c.ended) return false;
  c.paused = IsBehind(c);
  return !c.paused;
}

/// Drops input that is ignored. Returns whether the connection must be closed because of the input that is left. The
/// caller holds `c.mutex` and has set `parsing`.
bool ExceedsInputBound(const server_state& state, http_connection& c) {
  const std::size_t largest_request =
      state.opaque ? state.max_header_bytes + state.max_body_bytes : state.max_request_bytes;
  if (c.input_ended || c.closing) {
    c.ignored_bytes += c.input.size();
    c.input.clear();
    c.parser = {};
    c.framer = {};
  }
  if (c.input.empty() && c.input.capacity() > kKeptInputBytes) c.input.shrink_to_fit();
  c.input_bytes = c.input.size() + HeldBytes(c.parser);
  UpdateAccount(c);
  // The parser limits the input while requests are taken.
  const std::size_t unused = c.ignored_bytes + (c.paused ? c.input_bytes + c.received.size() : 0);
  return unused > largest_request + kInputMarginBytes;
}

}  // namespace

void ConsumeInput(const std::shared_ptr<server_state>& state, const connection_ptr& c) {
  const std::shared_ptr<pistache_tcp::Peer> peer = c->peer.lock();
  if (peer == nullptr || state->stopped) return;
  request_reader reader(state, c, peer);
  std::unique_lock lock(c->mutex);
  c->parse_again = true;
  if (std::exchange(c->parsing, true)) return;
  bool exceeded = false;
  while (std::exchange(c->parse_again, false) && !c->closed && !c->ended) {
    c->input += c->received;
    c->received.clear();
    lock.unlock();
    while (!c->input_ended && MayTakeRequest(*c) && reader.ConsumeRequest()) {
    }
    lock.lock();
    exceeded = ExceedsInputBound(*state, *c);
  }
  c->parsing = false;
  lock.unlock();
  if (exceeded && EndConnection(*c, close_reason::kInput)) state->limits->CountClosed(close_reason::kInput);
}

}  // namespace limpetrouter::shell
