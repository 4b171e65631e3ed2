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

/// Maximum nesting depth of an accepted document. The JSON library serializes documents recursively, so deeper
/// nesting could overflow the stack.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// Parses untrusted JSON. Fails with `kind` and a detail that gives the position of the syntax error or the exceeded
/// depth.
core::base::result<nlohmann::json> ParseJson(std::string_view text, core::base::error_kind kind);

/// Serializes to compact text with sorted names. Invalid UTF-8 is replaced.
std::string WriteJson(const nlohmann::json& value);

/// Decodes the body of `POST /v1/query`. Fails with kInvalidRequest and a detail that names the field, the error and
/// the allowed values.
core::base::result<core::peer::query_request> DecodeQueryRequest(std::string_view text);
std::string EncodeQueryRequest(const core::peer::query_request& request);

/// Encodes the answer to `POST /v1/query`, a result or a refusal.
std::string EncodeQueryAnswer(const core::peer::query_answer& answer);
/// Decodes the answer to `POST /v1/query` for callers such as limpetctl. Fails with kAnswerMalformed.
core::base::result<core::peer::query_answer> DecodeQueryAnswer(std::string_view text);

/// Encodes the answer to `GET /v1/addresses`.
std::string EncodeAddresses(const core::io::addresses_answer& answer);
/// Decodes the answer to `GET /v1/addresses`. Fails with kAnswerMalformed.
core::base::result<core::io::addresses_answer> DecodeAddresses(std::string_view text);

/// Encodes a refusal that the HTTP server sends without a query answer.
std::string EncodeError(const core::base::error& error, core::base::executed_state executed);

}  // namespace limpetrouter::shell
