#include "tests/standins/http_endpoint.h"

#include <csignal>
#include <utility>

#include <sys/socket.h>

#include <fmt/format.h>

namespace limpetrouter::tests::standins {
namespace {

namespace http = Pistache::Http;

/// Largest request and response. The largest request publishes the three values of a configuration.
constexpr std::size_t kMaxRequestBytes = 8 * 1024 * 1024;

class endpoint_handler : public http::Handler {
 public:
  HTTP_PROTOTYPE(endpoint_handler)

  explicit endpoint_handler(std::shared_ptr<const endpoint_callbacks> callbacks) : callbacks_(std::move(callbacks)) {}

  void onRequest(const http::Request& request, http::ResponseWriter writer) override {
    // Pistache answers "Connection: Close" to a request without a Connection header, although HTTP/1.1 connections are
    // persistent by default. Callers would then close every connection.
    if (!request.headers().has<http::Header::Connection>()) {
      writer.headers().remove<http::Header::Connection>();
      writer.headers().add<http::Header::Connection>(http::ConnectionControl::KeepAlive);
    }
    callbacks_->on_request(request, std::move(writer));
  }

  void onDisconnection(const peer_ptr& peer) override {
    if (callbacks_->on_disconnect) callbacks_->on_disconnect(peer);
  }

 private:
  // The base class declares its implementation private, so this override has to attach the parser itself.
  void onConnection(const peer_ptr& peer) override {
    peer->putData(ParserData, std::make_shared<http::RequestParser>(getMaxRequestSize()));
    if (callbacks_->on_connect) callbacks_->on_connect(peer);
  }

  std::shared_ptr<const endpoint_callbacks> callbacks_;
};

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace

http_endpoint::http_endpoint(const std::string& address, endpoint_callbacks callbacks, int threads)
    : endpoint_(std::make_unique<http::Endpoint>(Pistache::Address(address))) {
  auto options = http::Endpoint::options()
                     .threads(threads)
                     .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
                     .maxRequestSize(kMaxRequestBytes)
                     .maxResponseSize(kMaxRequestBytes)
                     .keepaliveTimeout(std::chrono::hours(24));
  endpoint_->init(options);
  endpoint_->setHandler(
      std::make_shared<endpoint_handler>(std::make_shared<const endpoint_callbacks>(std::move(callbacks))));
  endpoint_->serveThreaded();
}

http_endpoint::~http_endpoint() { endpoint_->shutdown(); }

void SendJson(http::ResponseWriter& writer, int status, const std::string& body) {
  writer.send(static_cast<http::Code>(status), body, MIME(Application, Json));
}

void CloseConnection(const peer_ptr& peer) { ::shutdown(peer->fd(), SHUT_RDWR); }

std::string RawResponse(int status, const std::string& body) {
  return fmt::format("HTTP/1.1 {} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}", status,
                     body.size(), body);
}

void SendRaw(const peer_ptr& peer, const std::string& bytes) {
  // A full socket buffer truncates the answer, which is acceptable because these answers are meant to be faulty.
  [[maybe_unused]] const ssize_t sent = ::send(peer->fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

nlohmann::json ParseObject(const std::string& text) {
  auto parsed = nlohmann::json::parse(text, nullptr, false);
  if (!parsed.is_object()) return nullptr;
  return parsed;
}

std::string QueryParameter(const http::Request& request, const std::string& name) {
  return request.query().get(name).value_or("");
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace limpetrouter::tests::standins
