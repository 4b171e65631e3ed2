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

/// How a platform writes what forwarding takes and gives: names and formats only. Functions are called on several
/// threads and keep no state.
struct protocol_adapter {
  /// Fails with kInvalidRequest if the request lacks what every request must have.
  std::function<core::base::result<core::forwarding::request>(http_request&&)> decode_request;
  /// Sets all of a transfer but its id, its deadline and its callback.
  std::function<transfer_request(const core::io::start_call&)> encode_call;
  std::function<core::forwarding::call_result(const core::forwarding::request&, transfer_result&&)> decode_result;
  /// `request` is null for a caller whose request could not be decoded.
  std::function<http_answer(const core::forwarding::request*, core::forwarding::answer&&)> encode_answer;
  /// Where the caller is; nothing if this is not a question for addresses.
  std::function<std::optional<core::base::data_centre_id>(const http_request&)> decode_address_request;
  std::function<http_answer(const core::io::reply_entry_addresses&)> encode_addresses;
  /// True for a question whether this instance takes requests.
  std::function<bool(const http_request&)> is_readiness_probe;
  /// Reads of the platform's store; each ends with one `published_read` or `published_read_failed`.
  std::function<void(const core::io::list_published&)> list;
  std::function<void(const core::io::watch_published&)> watch;
};

/// What a store client needs: the pool that carries its calls, and where its events go.
struct store_ports {
  transfer_pool* pool = nullptr;
  std::function<void(core::io::event)> post;
  /// Sizes of answers.
  std::function<void(std::size_t)> count_bytes;
};

}  // namespace limpetrouter::shell
