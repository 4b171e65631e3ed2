#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "shell/http_framing.h"
#include "shell/http_request_parser.h"
#include "tests/fuzz/fuzz_targets.h"

namespace limpetrouter::fuzz {
namespace {

using shell::parse_state;
using shell::parsed_request;

constexpr shell::request_limits kLimits{512, 256};
constexpr std::size_t kMaxFramedBytes = 1'024;

struct reading {
  parsed_request request;
  std::size_t max_held = 0;
};

/// Reads a request whose input arrives in pieces of `piece` bytes.
reading ReadInPieces(std::string_view input, std::size_t piece) {
  reading result;
  shell::request_parser parser;
  std::string pending;
  while (!input.empty() && parser.request.state == parse_state::kIncomplete) {
    pending += input.substr(0, piece);
    input.remove_prefix(std::min(piece, input.size()));
    pending.erase(0, shell::TakeInput(parser, pending, kLimits));
    result.max_held = std::max(result.max_held, HeldBytes(parser));
  }
  result.request = std::move(parser.request);
  return result;
}

bool IsSame(const parsed_request& a, const parsed_request& b) {
  if (a.state != b.state) return false;
  if (a.state != parse_state::kComplete) return true;
  return a.size == b.size && a.method == b.method && a.target == b.target && a.headers == b.headers &&
         a.body == b.body && a.close == b.close;
}

/// The reading does not depend on how the input is divided, what is held is bounded, and the two servers of an instance
/// find the same end of a request.
std::string CheckRequest(std::string_view input) {
  const reading whole = ReadInPieces(input, std::max<std::size_t>(input.size(), 1));
  for (const std::size_t piece : {1, 2, 3, 16, 61}) {
    const reading divided = ReadInPieces(input, piece);
    if (!IsSame(whole.request, divided.request)) return fmt::format("pieces of {} bytes are read differently", piece);
    if (divided.max_held > kLimits.max_header_bytes * 2 + kLimits.max_body_bytes + 1'100)
      return fmt::format("{} bytes are held", divided.max_held);
  }
  if (whole.request.state != parse_state::kComplete) return {};
  if (whole.request.size > input.size()) return "the request is larger than the input";
  const shell::request_frame frame = shell::FrameRequest(input, kMaxFramedBytes);
  if (frame.state == shell::request_state::kComplete && frame.size != whole.request.size)
    return fmt::format("ends at {} and at {}", whole.request.size, frame.size);
  return {};
}

std::vector<std::string> RequestSeeds() {
  return {"GET /a?b=%31 HTTP/1.1\r\nHost: h\r\n\r\n",
          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabcGET /",
          "PUT /a/../b HTTP/1.1\r\nhOsT: h\r\nX-Y:  v w \r\nTransfer-Encoding: chunked\r\n\r\n"
          "2;ext=1\r\nab\r\n3\r\ncde\r\n0\r\nTrailer: t\r\n\r\n",
          "POST /a HTTP/1.0\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n"};
}

}  // namespace

const fuzz_target kRequestTarget = {"request", &CheckRequest, &RequestSeeds};

}  // namespace limpetrouter::fuzz
