#include "shell/peer_links.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <mutex>

#include <catch2/catch.hpp>

#include "core/base/random.h"
#include "core/peer/codec.h"
#include "scripted_server.h"
#include "shell/framing.h"
#include "shell/peer_stream.h"

namespace limpetrouter::shell {
namespace {

using core::io::peer_message_received;
using core::io::peer_send_failed;
using core::io::transport;
using std::chrono::milliseconds;

/// The peer links of one instance, with the messages and failures that they reported.
struct test_peer {
  std::mutex mutex;
  std::vector<peer_message_received> received;
  std::vector<peer_send_failed> failed;
  std::atomic<int> malformed{0};
  logger log{log_level::kWarning, "k1", ::open("/dev/null", O_WRONLY)};
  settings config;
  std::unique_ptr<peer_links> links;

  explicit test_peer(std::uint32_t max_connections = 100, std::size_t max_held_bytes = 64 * 1024 * 1024) {
    config.listen_peer = FreeAddress();
    config.max_peer_connections = max_connections;
    config.max_peer_queue_bytes = 4 * 1024 * 1024;
    config.max_peer_held_bytes = max_held_bytes;
    const peer_observer observer{[this](core::io::event event) { Collect(std::move(event)); },
                                 [](message_plane, std::size_t) {}, [](message_plane, std::size_t) {},
                                 [this] { ++malformed; }};
    links = std::make_unique<peer_links>(config, observer, log);
    REQUIRE(links->Start().has_value());
  }

  void Collect(core::io::event event) {
    const std::lock_guard lock(mutex);
    if (auto* const message = std::get_if<peer_message_received>(&event)) received.push_back(std::move(*message));
    if (auto* const failure = std::get_if<peer_send_failed>(&event)) failed.push_back(std::move(*failure));
  }
  std::size_t Received() {
    const std::lock_guard lock(mutex);
    return received.size();
  }
  std::size_t Failed() {
    const std::lock_guard lock(mutex);
    return failed.size();
  }
};

core::peer::message MakeRequest(std::uint64_t query, std::size_t body_bytes = 10) {
  core::peer::gather_request request;
  request.query = core::base::query_sequence(query);
  request.body = std::string(body_bytes, 'b');
  core::peer::message message;
  message.header.sender.id = core::base::instance_id("k1");
  message.body = request;
  return message;
}

core::io::send_peer SendTo(const std::string& address, std::uint64_t query, transport via = transport::kStream,
                           std::size_t body_bytes = 10) {
  return {core::base::instance_id("k2"), address, via, MakeRequest(query, body_bytes)};
}

std::uint64_t QueryOf(const core::peer::message& message) {
  return std::get<core::peer::gather_request>(message.body).query.value;
}

// Guards against lost, reordered or damaged messages, from small ones up to the size limit.
TEST_CASE("messages reach a peer in order") {
  test_peer a;
  test_peer b;
  for (std::uint64_t i = 0; i < 500; ++i)
    a.links->Send(SendTo(b.config.listen_peer, i, transport::kStream, i == 250 ? 3'000'000 : i * 7));
  REQUIRE(Eventually([&] { return b.Received() == 500; }));
  for (std::uint64_t i = 0; i < 500; ++i)
    REQUIRE(QueryOf(b.received[i].message) == i);
  CHECK(b.received[0].from.empty());
  CHECK(a.links->IsFlushed());
  a.links->Send(SendTo(b.config.listen_peer, 7, transport::kDatagram));
  a.links->Send(SendTo(b.config.listen_peer, 8, transport::kDatagram, 2000));
  REQUIRE(Eventually([&] { return b.Received() == 501; }));
  CHECK(b.received[500].from == a.config.listen_peer);
}

// Guards against a lost message that is not reported, and against one that was never sent but is reported as possibly
// sent, which could not be retried.
TEST_CASE("a message to a closed port fails as not sent") {
  test_peer a;
  const std::string closed_port = FreeAddress();
  a.links->Send(SendTo(closed_port, 1));
  a.links->Send(SendTo(closed_port, 2));
  REQUIRE(Eventually([&] { return a.Failed() == 2; }));
  CHECK_FALSE(a.failed[0].bytes_sent);
  CHECK(QueryOf(a.failed[1].message) == 2);
  CHECK(a.failed[0].target.value == "k2");
}

// Guards against requests to a peer that crashes right after it received them: without a report, their sender would
// wait until its deadline.
TEST_CASE("requests written shortly before a connection is lost are reported as possibly sent") {
  scripted_server unused([](const std::string&) { return scripted_reply{}; });
  test_peer a;
  auto b = std::make_unique<test_peer>();
  a.links->Send(SendTo(b->config.listen_peer, 1));
  REQUIRE(Eventually([&] { return b->Received() == 1; }));
  b->links->Stop();
  b.reset();
  REQUIRE(Eventually([&] { return a.Failed() == 1; }));
  CHECK(a.failed[0].bytes_sent);
}

// Guards against an unbounded queue for a peer that is frozen and accepts no bytes.
TEST_CASE("messages beyond the queue limit of a frozen peer fail as not sent") {
  const int frozen = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  REQUIRE(::bind(frozen, reinterpret_cast<sockaddr*>(&address), size) == 0);
  REQUIRE(::listen(frozen, 1) == 0);
  ::getsockname(frozen, reinterpret_cast<sockaddr*>(&address), &size);
  const std::string target = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  test_peer a;
  for (std::uint64_t i = 0; i < 40; ++i)
    a.links->Send(SendTo(target, i, transport::kStream, 1'000'000));
  REQUIRE(Eventually([&] { return a.Failed() >= 20; }));
  CHECK_FALSE(a.failed[0].bytes_sent);
  CHECK_FALSE(a.links->IsFlushed());
  ::close(frozen);
}

// Guards against memory that grows with the number of connections which announce a large message and never complete it.
TEST_CASE("incomplete messages of all connections together are limited") {
  test_peer peer(100, 1024 * 1024);
  std::vector<int> open;
  std::string start = MakeFrame(std::string(600'000, 'x'));
  start.resize(500'000);
  for (int i = 0; i < 4; ++i) {
    open.push_back(ConnectTo(peer.config.listen_peer));
    ::send(open.back(), start.data(), start.size(), MSG_NOSIGNAL);
  }
  std::size_t closed = 0;
  REQUIRE(Eventually([&] {
    closed = 0;
    for (const int fd : open) {
      char byte = 0;
      const ssize_t count = ::recv(fd, &byte, 1, MSG_DONTWAIT);
      if (count == 0 || (count < 0 && errno != EAGAIN)) ++closed;
    }
    return closed >= 2;
  }));
  CHECK(closed == 2);
  for (const int fd : open)
    ::close(fd);
}

// Guards against a peer or another client that disrupts the instance with bytes that are not messages.
TEST_CASE("malformed streams are counted and closed") {
  test_peer b(200);
  core::base::random_source random{17};
  const std::string frame = MakeFrame(core::peer::EncodeMessage(MakeRequest(1)));
  for (int i = 0; i < 100; ++i) {
    std::string damaged = frame;
    damaged[core::base::NextBelow(random, damaged.size())] = static_cast<char>(core::base::NextRandom(random));
    const int fd = ConnectTo(b.config.listen_peer);
    ::send(fd, damaged.data(), damaged.size(), MSG_NOSIGNAL);
    ::close(fd);
  }
  const int fd = ConnectTo(b.config.listen_peer);
  const std::string oversized_prefix("\xff\xff\xff\x7f", 4);
  ::send(fd, oversized_prefix.data(), oversized_prefix.size(), MSG_NOSIGNAL);
  CHECK(ReadSome(fd, 1, milliseconds(1000)).empty());
  CHECK(Eventually([&] { return b.malformed > 0; }));
  ::close(fd);
  test_peer a;
  a.links->Send(SendTo(b.config.listen_peer, 909));
  CHECK(Eventually([&] {
    const std::lock_guard lock(b.mutex);
    return !b.received.empty() && QueryOf(b.received.back().message) == 909;
  }));
}

// Guards against datagrams that are accepted although they are too short, too long or not messages.
TEST_CASE("malformed datagrams are counted and dropped") {
  test_peer b;

  const int datagram = ::socket(AF_INET, SOCK_DGRAM, 0);
  const socket_address to = ParseSocketAddress(b.config.listen_peer);
  for (const std::size_t bytes : {std::size_t{0}, std::size_t{10}, std::size_t{1201}, std::size_t{60'000}}) {
    const std::string text(bytes, 'x');
    ::sendto(datagram, text.data(), bytes, 0, reinterpret_cast<const sockaddr*>(to.bytes.data()),
             static_cast<socklen_t>(to.bytes.size()));
  }
  CHECK(Eventually([&] { return b.malformed == 4; }));
  ::close(datagram);
}

// Guards against connections that exhaust the file descriptors of an instance.
TEST_CASE("connections beyond the limit are closed") {
  test_peer b(2);
  std::vector<int> open;
  for (int i = 0; i < 3; ++i)
    open.push_back(ConnectTo(b.config.listen_peer));
  const auto start = std::chrono::steady_clock::now();
  CHECK(ReadSome(open[2], 1, milliseconds(2000)).empty());
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(1500));
  for (const int fd : open)
    ::close(fd);
}

}  // namespace
}  // namespace limpetrouter::shell
