#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/base/error_kind.h"
#include "core/io/command.h"
#include "core/io/event.h"
#include "core/peer/messages.h"

namespace limpetrouter::shell {

/// Deepest nesting of an accepted document. The JSON library writes documents recursively, so the stack bounds it.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// Parses untrusted JSON. Fails with `kind` and the position of the fault.
core::base::result<nlohmann::json> ParseJson(std::string_view text, core::base::error_kind kind);

/// Compact text with sorted names. Bytes that are not UTF-8 are replaced.
std::string WriteJson(const nlohmann::json& value);

/// Body of `POST /v1/query`. Fails with kInvalidRequest; the detail names the field, what is wrong and what is allowed.
core::base::result<core::peer::query_request> DecodeQueryRequest(std::string_view text);
std::string EncodeQueryRequest(const core::peer::query_request& request);

/// Answer to `POST /v1/query`, success or refusal.
std::string EncodeQueryAnswer(const core::peer::query_answer& answer);
/// For callers such as limpetctl. Fails with kAnswerMalformed.
core::base::result<core::peer::query_answer> DecodeQueryAnswer(std::string_view text);

/// Answer to `GET /v1/addresses`.
std::string EncodeAddresses(const core::io::addresses_answer& answer);
core::base::result<core::io::addresses_answer> DecodeAddresses(std::string_view text);

/// A refusal that the HTTP server itself gives.
std::string EncodeError(const core::base::error& error, core::base::executed_state executed);

}  // namespace limpetrouter::shell
