#include "core/peer/codec.h"
#include "tests/fuzz/fuzz_targets.h"

namespace limpetrouter::fuzz {
namespace {

using namespace core;  // NOLINT(google-build-using-namespace): the seeds name many types of the messages.

/// What is decoded is encoded to the same bytes each time: another instance reads what this one has read.
std::string CheckPeerMessage(std::string_view input) {
  const auto message = peer::DecodeMessage(input, peer::kMaxStreamMessageBytes);
  if (!message.has_value()) return message.error().detail.empty() ? "refused without a reason" : "";
  const std::string encoded = peer::EncodeMessage(*message);
  const auto again = peer::DecodeMessage(encoded, peer::kMaxStreamMessageBytes);
  if (!again.has_value()) return "the encoded message is refused: " + again.error().detail;
  if (peer::EncodeMessage(*again) != encoded) return "the message is encoded differently after decoding";
  return {};
}

std::vector<std::string> PeerSeeds() {
  std::vector<std::string> seeds;
  peer::message m;
  m.header.sender = {base::instance_id("a1"), base::incarnation_id(3)};
  peer::relay_request request;
  request.token = 7;
  request.request.method = "GET";
  request.request.target = "/a?b";
  request.request.headers = {{"X-A", "1"}};
  m.body = request;
  seeds.push_back(peer::EncodeMessage(m));
  peer::relay_answer answer;
  answer.origin = m.header.sender;
  answer.answer.failure = base::error{base::error_kind::kBackendFailed, "detail"};
  answer.answer.signatures = {"s"};
  m.body = answer;
  seeds.push_back(peer::EncodeMessage(m));
  peer::attempt_result result;
  result.rows = {{"k1", R"({"litres":5})"}};
  result.totals = {{"litres", 5}};
  m.body = peer::gather_answer{m.header.sender, base::query_sequence(5), {result}};
  seeds.push_back(peer::EncodeMessage(m));
  return seeds;
}

}  // namespace

const fuzz_target kPeerTarget = {"peer", &CheckPeerMessage, &PeerSeeds};

}  // namespace limpetrouter::fuzz
