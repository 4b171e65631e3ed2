#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <pistache/endpoint.h>
#include <pistache/peer.h>
#include <nlohmann/json.hpp>

namespace limpetrouter::tests::standins {

using peer_ptr = std::shared_ptr<Pistache::Tcp::Peer>;

/// Functions that an endpoint calls on its threads. Only on_request is required.
struct endpoint_callbacks {
  std::function<void(const Pistache::Http::Request&, Pistache::Http::ResponseWriter)> on_request;
  std::function<void(const peer_ptr&)> on_connect;
  std::function<void(const peer_ptr&)> on_disconnect;
};

/// HTTP server on one listening address, implemented with Pistache.
class http_endpoint {
 public:
  /// `address` is "IP:port". Throws std::runtime_error if the address is in use.
  http_endpoint(const std::string& address, endpoint_callbacks callbacks, int threads = 1);
  /// Stops listening and closes all connections. Must not be called on a thread of the endpoint.
  ~http_endpoint();

 private:
  std::unique_ptr<Pistache::Http::Endpoint> endpoint_;
};

/// Sends `body` as a JSON response with the given HTTP status.
void SendJson(Pistache::Http::ResponseWriter& writer, int status, const std::string& body);

/// Closes a connection. May be called on any thread.
void CloseConnection(const peer_ptr& peer);

/// Returns the bytes of a complete HTTP response, for malformed answers that Pistache would not send.
std::string RawResponse(int status, const std::string& body);

/// Writes raw bytes to a connection, as far as the socket buffer has space. May be called on any thread.
void SendRaw(const peer_ptr& peer, const std::string& bytes);

/// Parses a request body. Returns null if it is not a JSON object.
nlohmann::json ParseObject(const std::string& text);

/// Returns the value of a query parameter, or the empty string if it is missing.
std::string QueryParameter(const Pistache::Http::Request& request, const std::string& name);

/// Blocks SIGINT and SIGTERM and ignores SIGPIPE. Must be called before any thread starts.
void BlockStopSignals();
/// Waits for SIGINT or SIGTERM.
void WaitForStopSignal();

}  // namespace limpetrouter::tests::standins
