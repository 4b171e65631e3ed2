#include "shell/peer_links.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "core/peer/codec.h"
#include "shell/peer_stream.h"

namespace limpetrouter::shell {
namespace {

using core::base::error_kind;
using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kConnectTimeout{500};
/// A connected peer that accepts no bytes for this long is treated as frozen or partitioned, and the messages that are
/// queued for it are reported as undelivered.
constexpr std::chrono::seconds kStallTimeout{5};
/// The sending side closes an idle connection first, so that the receiving side never closes one while a message is on
/// its way.
constexpr std::chrono::seconds kOutgoingIdleTimeout{60};
constexpr std::chrono::seconds kIncomingIdleTimeout{180};
constexpr std::chrono::milliseconds kExpiryCheckInterval{100};
/// Limit for the reads from one socket before the other sockets are served.
constexpr int kMaxReadsPerTurn = 64;
constexpr std::size_t kReadBytes = 64 * 1024;

constexpr std::uint64_t kWakeTag = 0;
constexpr std::uint64_t kDatagramTag = 1;
constexpr std::uint64_t kListenTag = 2;
constexpr std::uint64_t kFirstLinkTag = 3;

}  // namespace

struct peer_links::impl {
  std::string listen_address;
  std::size_t max_queue_bytes = 0;
  /// Limit for the messages to all peers, and for the incomplete messages from all peers.
  std::size_t max_held_bytes = 0;
  std::size_t max_connections = 0;
  peer_observer observer;
  logger* log = nullptr;

  unique_fd epoll;
  unique_fd wake;
  unique_fd datagrams;
  unique_fd listener;
  std::thread thread;

  std::mutex mutex;
  std::vector<core::io::send_peer> inbox;
  bool stopping = false;
  std::atomic<std::size_t> queued_bytes{0};

  /// The following members are used by the thread of the links only. Tags are never reused, so an event of a closed
  /// socket matches no link.
  std::uint64_t next_tag = kFirstLinkTag;
  std::unordered_map<std::string, std::uint64_t> outgoing_tags;
  std::unordered_map<std::uint64_t, outgoing_link> outgoing;
  std::unordered_map<std::uint64_t, incoming_link> incoming;
  std::size_t incomplete_bytes = 0;
  steady_clock::time_point last_expiry_check;
  std::vector<char> read_buffer = std::vector<char>(kReadBytes);

  core::base::result<void> Open();
  void Run();
  bool TakeInbox();
  void Handle(const epoll_event& event);
  void Watch(int fd, std::uint64_t tag, std::uint32_t events, int operation) const;

  void SendDatagram(const core::io::send_peer& command);
  void ReadDatagrams();

  void Enqueue(core::io::send_peer command);
  void Connect(outgoing_link& link, std::uint64_t tag, steady_clock::time_point now);
  void HandleOutgoing(outgoing_link& link, std::uint64_t tag, std::uint32_t events);
  void Write(outgoing_link& link, std::uint64_t tag);
  void CloseAndReportUndelivered(outgoing_link& link, std::string_view reason);
  void ReportSendFailure(const core::base::instance_id& target, bool bytes_sent, core::peer::message message);

  void Accept();
  void HandleIncoming(std::uint64_t tag);
  /// Returns false if the connection must be closed.
  bool ReadIncoming(incoming_link& link);
  bool TakeFrames(incoming_link& link);
  bool CountIncomplete(incoming_link& link);
  void CloseIncoming(std::unordered_map<std::uint64_t, incoming_link>::iterator link);
  void ReportMalformed(const std::string& from, const core::base::error& error);
  void CloseExpiredLinks();
};

core::base::result<void> peer_links::impl::Open() {
  epoll = unique_fd(::epoll_create1(EPOLL_CLOEXEC));
  wake = unique_fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!epoll.IsOpen() || !wake.IsOpen()) {
    return core::base::Fail(error_kind::kInternal,
                            fmt::format("cannot create epoll or eventfd: {}", std::strerror(errno)));
  }
  listener = OpenBoundSocket(listen_address, SOCK_STREAM);
  if (!listener.IsOpen()) {
    return core::base::Fail(error_kind::kInvalidSetting, fmt::format("listen.peer: cannot listen on TCP {}: {}",
                                                                     listen_address, std::strerror(errno)));
  }
  datagrams = OpenBoundSocket(listen_address, SOCK_DGRAM);
  if (!datagrams.IsOpen()) {
    return core::base::Fail(error_kind::kInvalidSetting,
                            fmt::format("listen.peer: cannot bind UDP {}: {}", listen_address, std::strerror(errno)));
  }
  Watch(wake.Get(), kWakeTag, EPOLLIN, EPOLL_CTL_ADD);
  Watch(datagrams.Get(), kDatagramTag, EPOLLIN, EPOLL_CTL_ADD);
  Watch(listener.Get(), kListenTag, EPOLLIN, EPOLL_CTL_ADD);
  return {};
}

void peer_links::impl::Watch(int fd, std::uint64_t tag, std::uint32_t events, int operation) const {
  epoll_event event{};
  event.events = events;
  event.data.u64 = tag;
  ::epoll_ctl(epoll.Get(), operation, fd, &event);
}

void peer_links::impl::Run() {
  std::array<epoll_event, 256> events{};
  while (true) {
    const int count = ::epoll_wait(epoll.Get(), events.data(), static_cast<int>(events.size()),
                                   static_cast<int>(kExpiryCheckInterval.count()));
    for (int i = 0; i < count; ++i)
      Handle(events[static_cast<std::size_t>(i)]);
    if (TakeInbox()) return;
    CloseExpiredLinks();
  }
}

bool peer_links::impl::TakeInbox() {
  std::vector<core::io::send_peer> taken;
  {
    const std::lock_guard lock(mutex);
    taken.swap(inbox);
    if (stopping) return true;
  }
  for (core::io::send_peer& command : taken) {
    if (command.via == core::io::transport::kDatagram) {
      SendDatagram(command);
    } else {
      Enqueue(std::move(command));
    }
  }
  // Writing starts after all messages are queued, so that small messages to one peer are sent in quick succession.
  for (auto& [tag, link] : outgoing) {
    if (link.fd.IsOpen() && !link.connecting && !link.queue.empty()) Write(link, tag);
  }
  return false;
}

void peer_links::impl::Handle(const epoll_event& event) {
  const std::uint64_t tag = event.data.u64;
  if (tag == kWakeTag) {
    std::uint64_t ignored = 0;
    static_cast<void>(::read(wake.Get(), &ignored, sizeof(ignored)));
  } else if (tag == kDatagramTag) {
    ReadDatagrams();
  } else if (tag == kListenTag) {
    Accept();
  } else if (const auto found = outgoing.find(tag); found != outgoing.end()) {
    HandleOutgoing(found->second, tag, event.events);
  } else {
    HandleIncoming(tag);
  }
}

void peer_links::impl::SendDatagram(const core::io::send_peer& command) {
  const std::string bytes = core::peer::EncodeMessage(command.message);
  if (bytes.size() > core::peer::kMaxDatagramBytes) {
    log->Warning("datagram_too_large", {{"target", command.target.value}, {"bytes", std::to_string(bytes.size())}});
    return;
  }
  const socket_address to = ParseSocketAddress(command.address);
  if (to.bytes.empty()) return;
  // The failure detector tolerates lost datagrams, so a full buffer or an ICMP error is not reported.
  const ssize_t sent =
      ::sendto(datagrams.Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(to.bytes.data()), static_cast<socklen_t>(to.bytes.size()));
  if (sent > 0) observer.sent(message_plane::kControl, bytes.size());
}

void peer_links::impl::ReadDatagrams() {
  for (int i = 0; i < kMaxReadsPerTurn; ++i) {
    sockaddr_storage from{};
    socklen_t from_size = sizeof(from);
    const ssize_t size = ::recvfrom(datagrams.Get(), read_buffer.data(), read_buffer.size(), 0,
                                    reinterpret_cast<sockaddr*>(&from), &from_size);
    if (size < 0) return;
    const std::string sender = FormatSocketAddress({std::string(reinterpret_cast<const char*>(&from), from_size)});
    const std::string_view bytes(read_buffer.data(), static_cast<std::size_t>(size));
    core::base::result<core::peer::message> message = core::peer::DecodeMessage(bytes, core::peer::kMaxDatagramBytes);
    if (!message.has_value()) {
      ReportMalformed(sender, message.error());
      continue;
    }
    observer.received(message_plane::kControl, bytes.size());
    observer.post(core::io::peer_message_received{std::move(*message), sender});
  }
}

void peer_links::impl::Enqueue(core::io::send_peer command) {
  const auto now = steady_clock::now();
  const auto [entry, inserted] = outgoing_tags.emplace(command.address, next_tag);
  if (inserted) ++next_tag;
  outgoing_link& link = outgoing[entry->second];
  if (inserted) link.address = command.address;
  std::string encoded = core::peer::EncodeMessage(command.message);
  if (encoded.size() > core::peer::kMaxStreamMessageBytes) {
    log->Warning("message_too_large", {{"target", command.target.value}, {"bytes", std::to_string(encoded.size())}});
    return ReportSendFailure(command.target, false, std::move(command.message));
  }
  if (link.queued_bytes + encoded.size() > max_queue_bytes || queued_bytes + encoded.size() > max_held_bytes) {
    return ReportSendFailure(command.target, false, std::move(command.message));
  }
  if (link.queue.empty()) link.last_progress = now;
  outgoing_frame frame{command.target, MakeFrame(encoded), 0, ExpectsAnswer(command.message), {}};
  link.queued_bytes += frame.bytes.size();
  queued_bytes += frame.bytes.size();
  observer.sent(PlaneOf(command.message), frame.bytes.size());
  link.queue.push_back(std::move(frame));
  if (!link.fd.IsOpen()) Connect(link, entry->second, now);
}

void peer_links::impl::Connect(outgoing_link& link, std::uint64_t tag, steady_clock::time_point now) {
  link.fd = StartConnection(link.address);
  if (!link.fd.IsOpen()) return CloseAndReportUndelivered(link, std::strerror(errno));
  link.connecting = true;
  link.connect_deadline = now + kConnectTimeout;
  Watch(link.fd.Get(), tag, EPOLLIN | EPOLLOUT | EPOLLRDHUP, EPOLL_CTL_ADD);
}

void peer_links::impl::HandleOutgoing(outgoing_link& link, std::uint64_t tag, std::uint32_t events) {
  if (!link.fd.IsOpen()) return;
  if (link.connecting) {
    int socket_error = 0;
    socklen_t size = sizeof(socket_error);
    ::getsockopt(link.fd.Get(), SOL_SOCKET, SO_ERROR, &socket_error, &size);
    if (socket_error != 0) return CloseAndReportUndelivered(link, std::strerror(socket_error));
    if ((events & EPOLLOUT) == 0U) return;
    link.connecting = false;
    link.last_progress = steady_clock::now();
  }
  // Peers answer on connections of their own, so a readable socket means that this connection was closed.
  if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP)) != 0U)
    return CloseAndReportUndelivered(link, "connection closed by the peer");
  Write(link, tag);
}

void peer_links::impl::Write(outgoing_link& link, std::uint64_t tag) {
  const std::size_t before = link.queued_bytes;
  std::size_t written = 0;
  const bool connected = WriteQueue(link, steady_clock::now(), written);
  queued_bytes -= before - link.queued_bytes;
  if (!connected) return CloseAndReportUndelivered(link, std::strerror(errno));
  const std::uint32_t wanted_events =
      EPOLLIN | EPOLLRDHUP | (link.queue.empty() ? 0U : static_cast<std::uint32_t>(EPOLLOUT));
  Watch(link.fd.Get(), tag, wanted_events, EPOLL_CTL_MOD);
}

void peer_links::impl::CloseAndReportUndelivered(outgoing_link& link, std::string_view reason) {
  queued_bytes -= link.queued_bytes;
  std::vector<undelivered_frame> undelivered = CloseLink(link, steady_clock::now());
  if (!undelivered.empty()) {
    log->Info("peer_link_broken", {{"address", link.address},
                                   {"undelivered", std::to_string(undelivered.size())},
                                   {"reason", std::string(reason)}});
  }
  for (undelivered_frame& item : undelivered) {
    const std::string_view encoded = std::string_view(item.frame.bytes).substr(kFramePrefixBytes);
    auto message = core::peer::DecodeMessage(encoded, core::peer::kMaxStreamMessageBytes);
    if (message.has_value()) ReportSendFailure(item.frame.target, item.bytes_sent, std::move(*message));
  }
}

void peer_links::impl::ReportSendFailure(const core::base::instance_id& target, bool bytes_sent,
                                         core::peer::message message) {
  observer.post(core::io::peer_send_failed{target, bytes_sent, std::move(message)});
}

void peer_links::impl::Accept() {
  for (int i = 0; i < kMaxReadsPerTurn; ++i) {
    sockaddr_storage from{};
    socklen_t from_size = sizeof(from);
    unique_fd fd(
        ::accept4(listener.Get(), reinterpret_cast<sockaddr*>(&from), &from_size, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd.IsOpen()) return;
    const std::string sender = FormatSocketAddress({std::string(reinterpret_cast<const char*>(&from), from_size)});
    if (incoming.size() >= max_connections) {
      log->Warning("peer_connection_refused", {{"from", sender}, {"open", std::to_string(incoming.size())}});
      continue;
    }
    const std::uint64_t tag = next_tag++;
    Watch(fd.Get(), tag, EPOLLIN, EPOLL_CTL_ADD);
    incoming.emplace(tag, incoming_link{std::move(fd), sender, frame_reader(core::peer::kMaxStreamMessageBytes),
                                        steady_clock::now()});
  }
}

void peer_links::impl::HandleIncoming(std::uint64_t tag) {
  const auto found = incoming.find(tag);
  if (found == incoming.end()) return;
  if (!ReadIncoming(found->second)) CloseIncoming(found);
}

bool peer_links::impl::ReadIncoming(incoming_link& link) {
  for (int i = 0; i < kMaxReadsPerTurn; ++i) {
    const ssize_t size = ::recv(link.fd.Get(), read_buffer.data(), read_buffer.size(), 0);
    if (size < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    if (size == 0) return false;
    link.last_read = steady_clock::now();
    link.frames.Append({read_buffer.data(), static_cast<std::size_t>(size)});
    if (!TakeFrames(link)) return false;
    if (!CountIncomplete(link)) return false;
  }
  return true;
}

bool peer_links::impl::CountIncomplete(incoming_link& link) {
  const std::size_t bytes = link.frames.IncompleteBytes();
  incomplete_bytes += bytes - std::exchange(link.counted_bytes, bytes);
  if (incomplete_bytes <= max_held_bytes) return true;
  log->Warning("peer_connection_closed", {{"from", link.from}, {"incomplete_bytes", std::to_string(incomplete_bytes)}});
  return false;
}

void peer_links::impl::CloseIncoming(std::unordered_map<std::uint64_t, incoming_link>::iterator link) {
  incomplete_bytes -= link->second.counted_bytes;
  incoming.erase(link);
}

bool peer_links::impl::TakeFrames(incoming_link& link) {
  while (true) {
    const auto next = link.frames.Next();
    if (!next.has_value()) {
      ReportMalformed(link.from, next.error());
      return false;
    }
    if (!next->has_value()) return true;
    auto message = core::peer::DecodeMessage(**next, core::peer::kMaxStreamMessageBytes);
    if (!message.has_value()) {
      ReportMalformed(link.from, message.error());
      return false;
    }
    observer.received(PlaneOf(*message), kFramePrefixBytes + (*next)->size());
    observer.post(core::io::peer_message_received{std::move(*message), ""});
  }
}

void peer_links::impl::ReportMalformed(const std::string& from, const core::base::error& error) {
  observer.malformed();
  log->Warning("peer_message_malformed", {{"from", from}, {"reason", error.detail}});
}

void peer_links::impl::CloseExpiredLinks() {
  const auto now = steady_clock::now();
  if (now - last_expiry_check < kExpiryCheckInterval) return;
  last_expiry_check = now;
  for (auto it = outgoing.begin(); it != outgoing.end();) {
    outgoing_link& link = it->second;
    ExpireWrittenFrames(link, now);
    if (link.connecting && now >= link.connect_deadline)
      CloseAndReportUndelivered(link, "no connection within the connect timeout");
    if (!link.queue.empty() && !link.connecting && now - link.last_progress > kStallTimeout) {
      CloseAndReportUndelivered(link, "the peer accepted no bytes within the stall timeout");
    }
    if (!link.queue.empty() || now - link.last_progress <= kOutgoingIdleTimeout) {
      ++it;
      continue;
    }
    outgoing_tags.erase(link.address);
    it = outgoing.erase(it);
  }
  for (auto it = incoming.begin(); it != incoming.end();) {
    const auto link = it++;
    if (now - link->second.last_read > kIncomingIdleTimeout) CloseIncoming(link);
  }
}

peer_links::peer_links(const settings& settings, peer_observer observer, logger& log)
    : impl_(std::make_unique<impl>()) {
  impl_->listen_address = settings.listen_peer;
  impl_->max_queue_bytes = settings.max_peer_queue_bytes;
  impl_->max_held_bytes = settings.max_peer_held_bytes;
  impl_->max_connections = settings.max_peer_connections;
  impl_->observer = std::move(observer);
  impl_->log = &log;
}

peer_links::~peer_links() { Stop(); }

core::base::result<void> peer_links::Start() {
  core::base::result<void> opened = impl_->Open();
  if (!opened.has_value()) return opened;
  impl_->thread = std::thread([this] { impl_->Run(); });
  return {};
}

void peer_links::Send(core::io::send_peer command) {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->inbox.push_back(std::move(command));
    if (impl_->inbox.size() > 1) return;
  }
  const std::uint64_t one = 1;
  static_cast<void>(::write(impl_->wake.Get(), &one, sizeof(one)));
}

bool peer_links::IsFlushed() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->queued_bytes == 0 && impl_->inbox.empty();
}

void peer_links::Stop() {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
  }
  const std::uint64_t one = 1;
  static_cast<void>(::write(impl_->wake.Get(), &one, sizeof(one)));
  if (impl_->thread.joinable()) impl_->thread.join();
}

}  // namespace limpetrouter::shell
