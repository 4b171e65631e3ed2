#include "shell/json_codec.h"
#include "tests/fuzz/fuzz_targets.h"

namespace limpetrouter::fuzz {
namespace {

std::string CheckQuery(std::string_view input) {
  const auto query = shell::DecodeQueryRequest(input);
  if (!query.has_value()) return query.error().detail.empty() ? "a query is refused without a reason" : "";
  const std::string encoded = shell::EncodeQueryRequest(*query);
  const auto again = shell::DecodeQueryRequest(encoded);
  if (!again.has_value()) return "an encoded query is refused: " + again.error().detail;
  return shell::EncodeQueryRequest(*again) == encoded ? "" : "a query is encoded differently after decoding";
}

std::string CheckQueryAnswer(std::string_view input) {
  const auto answer = shell::DecodeQueryAnswer(input);
  if (!answer.has_value()) return answer.error().detail.empty() ? "an answer is refused without a reason" : "";
  const std::string encoded = shell::EncodeQueryAnswer(*answer);
  const auto again = shell::DecodeQueryAnswer(encoded);
  if (!again.has_value()) return "an encoded answer is refused: " + again.error().detail;
  return shell::EncodeQueryAnswer(*again) == encoded ? "" : "an answer is encoded differently after decoding";
}

/// What callers and operators send is refused with a reason, or is the same after encoding and decoding.
std::string CheckJson(std::string_view input) {
  std::string violation = CheckQuery(input);
  if (violation.empty()) violation = CheckQueryAnswer(input);
  const auto addresses = shell::DecodeAddresses(input);
  if (!violation.empty() || !addresses.has_value()) return violation;
  const std::string encoded = shell::EncodeAddresses(*addresses);
  const auto again = shell::DecodeAddresses(encoded);
  if (!again.has_value()) return "encoded addresses are refused: " + again.error().detail;
  return shell::EncodeAddresses(*again) == encoded ? "" : "addresses are encoded differently after decoding";
}

std::vector<std::string> JsonSeeds() {
  return {
      R"({"request_id":"r1","collection":"c","operation":"o","key":"k","deadline_ms":100,"permit":"p","body":{"a":[1]}})",
      R"({"request_id":"r1","query_id":"k/1/2","status":"ok","snapshot":41,"revision":7,"coverage":)"
      R"({"documents_answered":12,"documents_total":12,"shards_answered":1,"shards_total":1,"complete":true},)"
      R"("rows":[{"key":"k","value":{}}],"totals":{"litres":5}})",
      R"({"status":"refused","error":"overloaded","executed":"no","detail":"d","retry_after_ms":50})",
      R"({"addresses":[{"instance":"i","address":"10.0.0.1:80"}],"valid_for_ms":1000,"permits":["p"],)"
      R"("permits_valid_for_ms":500})"};
}

}  // namespace

const fuzz_target kJsonTarget = {"json", &CheckJson, &JsonSeeds};

}  // namespace limpetrouter::fuzz
