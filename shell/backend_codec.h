#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/base/error_kind.h"
#include "core/io/command.h"
#include "core/io/event.h"
#include "core/peer/messages.h"

namespace limpetrouter::shell {

/// Maximum size of an accepted answer of a backend server.
inline constexpr std::size_t kMaxBackendAnswerBytes = 4 * 1024 * 1024;

/// Encodes the body of `POST /v1/run`.
std::string EncodeRun(const core::io::call_backend& call);

/// Encodes the body of `POST /v1/cancel`.
std::string EncodeCancel(const core::io::cancel_backend_call& cancel);

/// Returns an attempt result that identifies `call` and has no outcome yet.
core::peer::attempt_result MakeAttemptResult(const core::io::call_backend& call);

/// Returns the result of a failed attempt of `call`.
core::peer::attempt_result MakeFailure(const core::io::call_backend& call, core::base::error_kind failure,
                                       core::base::executed_state executed);

/// Decodes the answer to `POST /v1/run` with HTTP status `status`. An answer is accepted only if it echoes the fields
/// that identify the call and its digest matches its rows and totals. Any other answer is converted to the failure that
/// protocol.md specifies.
core::peer::attempt_result DecodeRunAnswer(const core::io::call_backend& call, int status, std::string_view text);

/// Returns the digest of rows and totals that protocol.md defines, as 16 hexadecimal digits.
std::string AnswerDigest(const std::vector<core::peer::result_row>& rows,
                         const std::vector<core::peer::result_total>& totals);

/// Decodes the answer to `GET /v1/load`. Fails with kAnswerMalformed.
core::base::result<core::io::load_report> DecodeLoad(std::string_view text);

}  // namespace limpetrouter::shell
