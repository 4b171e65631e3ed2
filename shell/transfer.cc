#include "shell/transfer.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "shell/http_grammar.h"

namespace limpetrouter::shell {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A backend server that does not accept a connection within this time is treated as unreachable, so that a read can
/// still be tried on another server before its deadline.
constexpr milliseconds kConnectTimeout{500};
/// Idle connections are not reused after this time, in seconds, and are closed.
constexpr long kMaxIdleSeconds = 60;
/// With these values, a connection with keep-alive probes is closed after the peer has not responded for about three
/// seconds.
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr unsigned kUserTimeoutMs = 3'000;

constexpr char kBuffersFull[] = "the answers in progress exceed their limit together";

/// Adds received bytes of the transfer. Returns false if the limit of all answers does not allow them.
bool AddBuffered(transfer& t, std::size_t bytes) {
  answer_buffers& buffers = *t.buffers;
  const std::size_t limit = buffers.limits.max_buffered_bytes;
  if (buffers.bytes + bytes > limit && BufferedBytes(t) + bytes > limit / buffers.transfers) return false;
  buffers.bytes += bytes;
  if (buffers.bytes > buffers.max_bytes) buffers.max_bytes = buffers.bytes;
  return true;
}

/// Ends a transfer whose answer is malformed. libcurl closes the connection if a callback takes fewer bytes than it
/// got.
std::size_t EndAsMalformed(transfer& t, std::string reason) {
  t.answer_malformed = true;
  t.result.detail = std::move(reason);
  return 0;
}

std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* pointer) {
  auto& t = *static_cast<transfer*>(pointer);
  const std::size_t bytes = size * count;
  const std::string_view received(data, bytes);
  std::string decoded;
  if (t.framing.end == body_end::kLastChunk) {
    // Bytes behind the last chunk belong to no request.
    const std::size_t trailer_before = t.chunks.trailer_bytes;
    DecodeChunks(t.chunks, received, decoded);
    const std::size_t trailer = t.chunks.trailer_bytes - trailer_before;
    if (!AddBuffered(t, trailer)) return EndAsMalformed(t, kBuffersFull);
    t.header_bytes += trailer;
    const chunk_state state = t.chunks.state;
    if (state != chunk_state::kIncomplete && state != chunk_state::kComplete) return EndAsMalformed(t, t.chunks.detail);
  } else if (t.framing.end == body_end::kNone) {
    return EndAsMalformed(t, "the answer has a body where its status or request allows none");
  }
  const std::string_view body = t.framing.end == body_end::kLastChunk ? decoded : received;
  if (t.result.body.size() + body.size() > t.request.max_answer_bytes)
    return EndAsMalformed(t, fmt::format("the body exceeds {} bytes", t.request.max_answer_bytes));
  if (!AddBuffered(t, body.size())) return EndAsMalformed(t, kBuffersFull);
  t.result.body.append(body);
  return bytes;
}

/// Reads a status line. Returns false if it is none, or if it belongs to no answer, as in a trailer.
bool ReadStatusLine(transfer& t, std::string_view line) {
  /// Positions in a status line.
  constexpr std::size_t kMinorVersion = 7;
  constexpr std::size_t kStatusCode = 9;
  constexpr std::size_t kStatusDigits = 3;
  // The header of a final answer follows that of an interim one.
  if ((t.header_complete && !t.header_interim) || !IsStatusLine(line)) return false;
  t.start.status = std::atoi(std::string(line.substr(kStatusCode, kStatusDigits)).c_str());
  t.start.is_http_1_0 = line[kMinorVersion] == '0';
  t.start.answers_head_request = t.request.method == "HEAD";
  t.header_interim = line[kStatusCode] == '1';
  t.header_complete = false;
  t.result.headers.clear();
  return true;
}

/// Handles the empty line behind a header. Returns false if the answer can't be used.
bool EndHeader(transfer& t) {
  t.header_complete = true;
  if (t.header_interim) return true;
  const framing_result framing = ReadAnswerFraming(t.start, t.result.headers);
  if (!framing.has_value()) {
    EndAsMalformed(t, framing.error());
    return false;
  }
  t.framing = *framing;
  t.chunks.limits = {t.request.max_answer_bytes, t.buffers->limits.max_header_bytes};
  if (t.request.echoed_field.empty()) return true;
  const std::string* const sent = FindHeader(t.request.headers, t.request.echoed_field);
  const std::string* const echo = FindHeader(t.result.headers, t.request.echoed_field);
  t.answer_mismatched = sent != nullptr && echo != nullptr && *sent != *echo;
  if (t.answer_mismatched) t.result.detail = fmt::format("the answer belongs to request {}", *echo);
  return !t.answer_mismatched;
}

/// Handles one line of an answer's header. libcurl checks little of it, so each line is checked here: what is passed on
/// to a caller must be HTTP. The fields of an opaque request's final answer are collected. Each status line discards
/// the fields of an interim answer before it, but these still count towards the limit, because interim answers may come
/// without end.
std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* pointer) {
  constexpr std::string_view kLineEnd = "\r\n";
  auto& t = *static_cast<transfer*>(pointer);
  const std::size_t bytes = size * count;
  const std::size_t limit = t.buffers->limits.max_header_bytes;
  if (t.header_bytes + bytes > limit) return EndAsMalformed(t, fmt::format("the header exceeds {} bytes", limit));
  if (!AddBuffered(t, bytes)) return EndAsMalformed(t, kBuffersFull);
  t.header_bytes += bytes;
  std::string_view line(data, bytes);
  if (!line.ends_with(kLineEnd)) return EndAsMalformed(t, "a header line does not end with CRLF");
  line.remove_suffix(kLineEnd.size());
  if (line.empty()) {
    if (!EndHeader(t)) return 0;
    if (t.request.method.empty()) t.result.headers.clear();
  } else if (line.starts_with("HTTP/")) {
    if (!ReadStatusLine(t, line)) return EndAsMalformed(t, "a status line is malformed or belongs to no answer");
  } else if (!ParseHeaderLine(line, t.result.headers)) {
    return EndAsMalformed(t, "a header field is malformed");
  }
  return bytes;
}

int OnSocketCreated(void* /*pointer*/, curl_socket_t socket, curlsocktype /*purpose*/) {
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIntervalSeconds, sizeof kKeepAliveIntervalSeconds);
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds, sizeof kKeepAliveIntervalSeconds);
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof kKeepAliveProbes);
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof kUserTimeoutMs);
  return CURL_SOCKOPT_OK;
}

std::string TimeLeftLine(const transfer& t) {
  const auto left = std::chrono::duration_cast<milliseconds>(t.request.deadline - steady_clock::now());
  return fmt::format("{}: {}", t.request.time_left_field, std::max<std::int64_t>(left.count(), 0));
}

/// libcurl calls this once the connection is established, right before the request is written. A process that was
/// paused while it connected must not start a call whose deadline has passed.
int OnBeforeWrite(void* pointer, char* /*peer_ip*/, char* /*local_ip*/, int /*peer_port*/, int /*local_port*/) {
  auto& t = *static_cast<transfer*>(pointer);
  if (t.write_attempts > 0 && t.request.write_once) return CURL_PREREQFUNC_ABORT;
  if (steady_clock::now() >= t.request.deadline) {
    t.deadline_passed = true;
    return CURL_PREREQFUNC_ABORT;
  }
  // libcurl reads the header lines after this callback. The time left only decreases, so the new line fits into the
  // buffer of the old one.
  if (t.time_left_line != nullptr) {
    const std::string line = TimeLeftLine(t);
    std::memcpy(t.time_left_line, line.c_str(), std::min(line.size(), std::strlen(t.time_left_line)) + 1);
  }
  ++t.write_attempts;
  return CURL_PREREQFUNC_OK;
}

void SetOpaqueOptions(transfer& t) {
  CURL* handle = t.handle;
  curl_easy_setopt(handle, CURLOPT_REQUEST_TARGET, t.request.target.c_str());
  // An empty field suppresses the one that libcurl would add by itself, unless the request has that field.
  for (const char* name : {"Accept", "Content-Type"}) {
    if (FindHeader(t.request.headers, name) == nullptr)
      t.header_list = curl_slist_append(t.header_list, (std::string(name) + ":").c_str());
  }
  t.header_list = curl_slist_append(t.header_list, "Expect:");
  for (const auto& [name, value] : t.request.headers) {
    // libcurl sends a field without a value if the line ends with a semicolon.
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
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, t.header_list);
  const std::string& body = t.request.shared_body != nullptr ? *t.request.shared_body : t.request.body;
  const bool sends_body = !body.empty() || t.request.method == "POST" || t.request.method == "PUT";
  if (sends_body) {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.data());
  } else if (t.request.method == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
  }
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, t.request.method.c_str());
}

}  // namespace

std::string_view ToString(transfer_outcome outcome) {
  switch (outcome) {
    case transfer_outcome::kAnswered:
      return "answered";
    case transfer_outcome::kConnectFailed:
      return "connection failed";
    case transfer_outcome::kConnectionLost:
      return "connection lost before the answer's body";
    case transfer_outcome::kTruncated:
      return "connection lost within the answer's body";
    case transfer_outcome::kMalformed:
      return "the answer is not HTTP or exceeds its size limit";
    case transfer_outcome::kMismatched:
      return "the answer belongs to another request";
    case transfer_outcome::kDeadlineExceeded:
      return "no answer before the deadline";
    case transfer_outcome::kCancelled:
      break;
  }
  return "cancelled";
}

std::size_t BufferedBytes(const transfer& t) { return t.header_bytes + t.result.body.size(); }

void SetOptions(transfer& t, milliseconds time_left, const curl_slist* post_headers) {
  CURL* handle = t.handle;
  curl_easy_setopt(handle, CURLOPT_URL, t.request.url.c_str());
  curl_easy_setopt(handle, CURLOPT_PRIVATE, &t);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  // Backend servers are addressed by IP; a proxy that is configured in the environment must not be used.
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(time_left.count()));
  const milliseconds connect_timeout =
      t.request.connect_timeout.count() > 0 ? t.request.connect_timeout : milliseconds(kConnectTimeout);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::min(time_left, connect_timeout).count()));
  const long max_idle = static_cast<long>(t.request.max_idle.count());
  curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, max_idle > 0 ? max_idle : kMaxIdleSeconds);
  if (t.request.keep_alive_probes) curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &OnSocketCreated);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &t);
  // libcurl takes unreadable chunk sizes and extensions without end, so that chunks are decoded here.
  curl_easy_setopt(handle, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &t);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &OnBeforeWrite);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, &t);
  if (!t.request.method.empty()) SetOpaqueOptions(t);
  if (t.request.post) {
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, post_headers);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(t.request.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, t.request.body.data());
  }
  curl_easy_setopt(handle, CURLOPT_CONNECT_ONLY, t.request.connect_only ? 1L : 0L);
  if (t.request.own_connection || t.request.connect_only) {
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  }
}

void CheckWholeBody(transfer& t) {
  if (t.request.connect_only || !t.header_complete || t.answer_malformed) return;
  const std::size_t size = t.result.body.size();
  if (t.framing.end == body_end::kLength && size != t.framing.length) {
    EndAsMalformed(t, fmt::format("the body has {} bytes instead of {}", size, t.framing.length));
  } else if (t.framing.end == body_end::kLastChunk && t.chunks.state != chunk_state::kComplete) {
    EndAsMalformed(t, "the chunked body has no end");
  }
}

transfer_outcome OutcomeOf(const transfer& t, CURLcode code) {
  if (t.answer_mismatched) return transfer_outcome::kMismatched;
  if (t.answer_malformed) return transfer_outcome::kMalformed;
  switch (code) {
    case CURLE_OK:
      // libcurl takes a connection that closes within the header for the end of an answer without a body.
      return t.request.connect_only || t.header_complete ? transfer_outcome::kAnswered
                                                         : transfer_outcome::kConnectionLost;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
      // After a first write, this is the failure of a second connect, and the request may have been executed on the
      // first connection.
      return t.write_attempts == 0 ? transfer_outcome::kConnectFailed : transfer_outcome::kConnectionLost;
    case CURLE_OPERATION_TIMEDOUT:
      // libcurl uses the same code for its connect timeout and for the timeout of the complete transfer.
      if (t.write_attempts == 0 && steady_clock::now() < t.request.deadline) return transfer_outcome::kConnectFailed;
      return transfer_outcome::kDeadlineExceeded;
    case CURLE_ABORTED_BY_CALLBACK:
      return t.deadline_passed ? transfer_outcome::kDeadlineExceeded : transfer_outcome::kConnectionLost;
    case CURLE_PARTIAL_FILE:
      return t.header_complete ? transfer_outcome::kTruncated : transfer_outcome::kConnectionLost;
    // libcurl reports a header line beyond its own limit as lack of memory.
    case CURLE_OUT_OF_MEMORY:
    case CURLE_WRITE_ERROR:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_BAD_CONTENT_ENCODING:
      return transfer_outcome::kMalformed;
    default:
      return t.result.body.empty() ? transfer_outcome::kConnectionLost : transfer_outcome::kTruncated;
  }
}

}  // namespace limpetrouter::shell
