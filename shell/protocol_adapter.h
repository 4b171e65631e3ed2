#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/base/error_kind.h"
#include "core/forwarding/messages.h"
#include "core/io/command.h"
#include "core/io/event.h"
#include "shell/http_server.h"
#include "shell/settings.h"
#include "shell/transfer_pool.h"

namespace limpetrouter::shell {

/// Translates between a platform's protocol and the types of forwarding. An adapter knows names and formats only. Its
/// functions are called on several threads and keep no state.
struct protocol_adapter {
  /// Fails with kInvalidRequest if a mandatory header field is missing or a header field is invalid.
  std::function<core::base::result<core::forwarding::request>(http_request&&)> decode_request;
  /// Sets the address, the method, the target, the header fields and the body of the transfer. The caller sets its id,
  /// deadline, limits and callback.
  std::function<transfer_request(const core::io::start_call&)> encode_call;
  /// Converts a completed transfer to the result of its call. The caller sets the elapsed time.
  std::function<core::forwarding::call_result(const core::forwarding::request&, transfer_result&&)> decode_result;
  /// The request is null if it could not be decoded.
  std::function<http_answer(const core::forwarding::request*, core::forwarding::answer&&)> encode_answer;
  /// Returns the caller's data centre, or nothing if the request does not ask for addresses.
  std::function<std::optional<core::base::data_centre_id>(const http_request&)> decode_address_request;
  std::function<http_answer(const core::io::reply_entry_addresses&)> encode_addresses;
  /// Whether the request asks if this instance accepts requests.
  std::function<bool(const http_request&)> is_readiness_probe;
  /// `list` and `watch` start a read of the platform's store. Each read ends with one `published_read` or
  /// `published_read_failed` event.
  std::function<void(const core::io::list_published&)> list;
  std::function<void(const core::io::watch_published&)> watch;
};

/// Dependencies of a store client.
struct store_ports {
  /// Executes the client's calls.
  transfer_pool* pool = nullptr;
  /// Receives the client's events.
  std::function<void(core::io::event)> post;
  /// Counts the size in bytes of each answer.
  std::function<void(std::size_t)> count_bytes;
};

}  // namespace limpetrouter::shell
