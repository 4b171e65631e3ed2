#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/base/error_kind.h"
#include "core/io/command.h"
#include "core/io/event.h"
#include "core/peer/messages.h"

namespace limpetrouter::shell {

/// Largest accepted answer of a backend server.
inline constexpr std::size_t kMaxBackendAnswerBytes = 4 * 1024 * 1024;

/// Body of `POST /v1/run`.
std::string EncodeRun(const core::io::call_backend& call);

/// Body of `POST /v1/cancel`.
std::string EncodeCancel(const core::io::cancel_backend_call& cancel);

/// Attempt result of `call` without an outcome.
core::peer::attempt_result MakeAttemptResult(const core::io::call_backend& call);

/// Attempt result of `call` that failed.
core::peer::attempt_result MakeFailure(const core::io::call_backend& call, core::base::error_kind failure,
                                       core::base::executed_state executed);

/// Decodes the answer to `POST /v1/run` with HTTP status `status`. An answer is accepted only if it echoes the call and
/// its rows and totals have the stated digest; everything else becomes the failure that protocol.md names.
core::peer::attempt_result DecodeRunAnswer(const core::io::call_backend& call, int status, std::string_view text);

/// Digest over rows and totals as protocol.md defines it, as 16 hexadecimal digits.
std::string AnswerDigest(const std::vector<core::peer::result_row>& rows,
                         const std::vector<core::peer::result_total>& totals);

/// Answer to `GET /v1/load`. Fails with kAnswerMalformed.
core::base::result<core::io::load_report> DecodeLoad(std::string_view text);

}  // namespace limpetrouter::shell
