#include <algorithm>

#include <fmt/format.h>

#include "shell/chunk_decoder.h"
#include "shell/http_grammar.h"
#include "shell/message_framing.h"
#include "tests/fuzz/fuzz_targets.h"

namespace limpetrouter::fuzz {
namespace {

using shell::body_end;
using shell::chunk_state;

constexpr shell::chunk_limits kLimits{256, 256};

struct decoded {
  chunk_state state = chunk_state::kIncomplete;
  std::string body;
  std::size_t taken = 0;
};

decoded DecodeInPieces(std::string_view input, std::size_t piece) {
  decoded result;
  shell::chunk_decoder decoder;
  decoder.limits = kLimits;
  while (result.taken < input.size() && decoder.state == chunk_state::kIncomplete)
    result.taken += DecodeChunks(decoder, input.substr(result.taken, piece), result.body);
  result.state = decoder.state;
  return result;
}

/// Reads header fields up to the first empty line. Returns false if a line is no field.
bool ReadFields(std::string_view& input, shell::http_headers& headers) {
  while (!input.empty()) {
    const std::size_t end = std::min(input.find("\r\n"), input.size());
    const std::string_view line = input.substr(0, end);
    input.remove_prefix(std::min(end + 2, input.size()));
    if (line.empty()) return true;
    if (!shell::ParseHeaderLine(line, headers)) return false;
  }
  return true;
}

/// One header is framed alike as that of a request and of an answer, and a chunked body is read alike in pieces of any
/// size.
std::string CheckAnswer(std::string_view input) {
  shell::http_headers headers;
  if (!ReadFields(input, headers)) return {};
  const shell::framing_result request = shell::ReadRequestFraming(headers);
  const shell::framing_result answer = shell::ReadAnswerFraming({}, headers);
  if (request.has_value() != answer.has_value()) return "malformed in one direction only";
  if (!answer.has_value()) return {};
  const bool without_length = request->end == body_end::kNone && answer->end == body_end::kClose;
  if (request->length != answer->length || (request->end != answer->end && !without_length))
    return "framed differently as a request and as an answer";
  const decoded whole = DecodeInPieces(input, std::max<std::size_t>(input.size(), 1));
  for (const std::size_t piece : {1, 2, 3, 17}) {
    const decoded divided = DecodeInPieces(input, piece);
    if (whole.state != divided.state || whole.body != divided.body)
      return fmt::format("chunks in pieces of {} bytes are read differently", piece);
  }
  if (whole.body.size() > std::min(kLimits.max_body_bytes, input.size())) return "the body is larger than its limit";
  return {};
}

std::vector<std::string> AnswerSeeds() {
  return {"Content-Length: 4\r\n\r\nbody", "X-A: 1\r\n\r\nbody",
          "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n0002 ;x=y\r\nbo\r\n2\r\ndy\r\n00\r\nT: t\r\n\r\nnext", "\r\n0\r\n\r\n"};
}

}  // namespace

const fuzz_target kAnswerTarget = {"answer", &CheckAnswer, &AnswerSeeds};

}  // namespace limpetrouter::fuzz
