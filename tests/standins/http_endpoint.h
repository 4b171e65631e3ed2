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

/// What an endpoint reports. The functions run on the thread of the endpoint.
struct endpoint_callbacks {
  std::function<void(const Pistache::Http::Request&, Pistache::Http::ResponseWriter)> on_request;
  std::function<void(const peer_ptr&)> on_open;
  std::function<void(const peer_ptr&)> on_close;
};

/// One listening socket served by Pistache.
class http_endpoint {
 public:
  /// `address` is "IP:port". Throws std::runtime_error if the address is in use.
  http_endpoint(const std::string& address, endpoint_callbacks callbacks, int threads = 1);
  /// Stops listening and closes all connections. Must not be called on a thread of the endpoint.
  ~http_endpoint();

 private:
  std::unique_ptr<Pistache::Http::Endpoint> endpoint_;
};

/// Sends `body` as JSON with the HTTP status.
void SendJson(Pistache::Http::ResponseWriter& writer, int status, const std::string& body);

/// Closes a connection from any thread.
void CloseConnection(const peer_ptr& peer);

/// The text of a whole HTTP response, for answers that Pistache would not send.
std::string RawResponse(int status, const std::string& body);

/// Writes raw bytes on a connection from any thread.
void SendRaw(const peer_ptr& peer, const std::string& bytes);

/// Parses a request body. Null if it is not a JSON object.
nlohmann::json ParseObject(const std::string& text);

/// A query parameter or the empty string.
std::string QueryParameter(const Pistache::Http::Request& request, const std::string& name);

/// Waits for SIGINT or SIGTERM, which must be blocked before any thread starts.
void BlockStopSignals();
void WaitForStopSignal();

}  // namespace limpetrouter::tests::standins
