#include "shell/json_codec.h"

#include <catch2/catch.hpp>

#include "core/base/random.h"

namespace limpetrouter::shell {
namespace {

using core::base::error_kind;

const std::string kQuery =
    R"({"request_id":"r1","collection":"stock","operation":"sweep","key":"k","body":{"b":1,"a":[2]},"deadline_ms":250})";

// Guards against a field that is dropped, and against a body whose text depends on the order of its names: the request
// fingerprint is a hash of that text.
TEST_CASE("a query request is decoded with its body in canonical form") {
  const auto request = DecodeQueryRequest(kQuery);
  REQUIRE(request.has_value());
  CHECK(request->request_id == "r1");
  CHECK(request->collection.value == "stock");
  CHECK(request->operation.value == "sweep");
  CHECK(request->key == "k");
  CHECK(request->body == R"({"a":[2],"b":1})");
  CHECK(request->deadline_ms == 250);
  CHECK(DecodeQueryRequest(EncodeQueryRequest(*request))->body == request->body);
}

// Guards against a wrong type that is converted silently, and against messages that do not name the field.
TEST_CASE("an invalid query request is refused with an exact message") {
  struct row {
    std::string text;
    std::string detail;
  };
  const auto r = GENERATE(values<row>({
      {R"([])", "the document is not an object"},
      {R"({"operation":"o"})", "collection is missing"},
      {R"({"collection":"","operation":"o"})", "collection is empty (allowed: 1 to 128 bytes)"},
      {R"({"collection":7,"operation":"o"})", "collection is a number, not a string"},
      {R"({"collection":"c","operation":"o","deadline_ms":1.5})", "deadline_ms is a fraction, not an integer"},
      {R"({"collection":"c","operation":"o","deadline_ms":-1})", "deadline_ms is -1 (allowed: 1 to 86400000)"},
      {R"({"collection":"c","operation":"o","deadline_ms":99999999999999999999})",
       "deadline_ms is a fraction, not an integer"},
      {R"({"collection":"c","operation":"o","body":"x"})", "body is a string, not an object"},
  }));
  const auto request = DecodeQueryRequest(r.text);
  REQUIRE_FALSE(request.has_value());
  CHECK(request.error().kind == error_kind::kInvalidRequest);
  CHECK(request.error().detail == r.detail);
}

// Guards against a crash or an accepted request on input that is cut short, oversized, deeply nested or random.
TEST_CASE("damaged query requests are refused") {
  for (std::size_t length = 0; length < kQuery.size(); ++length) {
    CHECK_FALSE(DecodeQueryRequest(std::string_view(kQuery).substr(0, length)).has_value());
  }
  CHECK_FALSE(DecodeQueryRequest(std::string(1'000'000, '[')).has_value());
  CHECK_FALSE(DecodeQueryRequest(R"({"collection":"c","operation":"o","key":")" + std::string(300, 'x') + "\"}"));
  core::base::random_source random{7};
  for (int i = 0; i < 20'000; ++i) {
    std::string text = kQuery;
    for (std::uint64_t n = 1 + core::base::NextBelow(random, 4); n > 0; --n) {
      text[core::base::NextBelow(random, text.size())] = static_cast<char>(core::base::NextRandom(random));
    }
    const auto request = DecodeQueryRequest(text);
    if (!request.has_value()) {
      CHECK_NOTHROW(nlohmann::json::parse(EncodeError(request.error(), core::base::executed_state::kNo)));
    }
  }
}

// Guards against an answer that loses its coverage or rows on the way to limpetctl, and against a partial answer that
// is presented as complete.
TEST_CASE("answers survive encoding") {
  core::peer::query_answer answer;
  answer.request_id = "r\"1";
  answer.query_id = "k1/5/9";
  answer.succeeded = true;
  answer.snapshot = core::base::snapshot_id(41);
  answer.revision = core::base::revision_id(7);
  answer.coverage = {100, 120, 9, 10};
  answer.rows = {{"a", R"({"x":1})"}, {"b", "null"}};
  answer.totals = {{"litres", -5}};
  const std::string text = EncodeQueryAnswer(answer);
  CHECK(nlohmann::json::parse(text)["coverage"]["complete"] == false);
  const auto decoded = DecodeQueryAnswer(text);
  REQUIRE(decoded.has_value());
  CHECK(decoded->request_id == answer.request_id);
  CHECK(decoded->coverage == answer.coverage);
  CHECK(decoded->rows == answer.rows);
  CHECK(decoded->totals == answer.totals);

  core::peer::query_answer refusal;
  refusal.failure = error_kind::kOverloaded;
  refusal.executed = core::base::executed_state::kNo;
  refusal.retry_after_ms = 50;
  const auto refused = DecodeQueryAnswer(EncodeQueryAnswer(refusal));
  REQUIRE(refused.has_value());
  CHECK_FALSE(refused->succeeded);
  CHECK(refused->failure == error_kind::kOverloaded);
  CHECK(refused->executed == core::base::executed_state::kNo);
  CHECK(refused->retry_after_ms == 50);
}

// Guards against addresses or permits in a different order than the core chose.
TEST_CASE("addresses survive encoding") {
  core::io::addresses_answer answer;
  answer.addresses = {{core::base::instance_id("k2"), "127.0.0.1:2"}, {core::base::instance_id("k1"), "127.0.0.1:1"}};
  answer.validity = std::chrono::seconds(10);
  answer.permits = {"k1/1/2/3/f"};
  answer.permit_validity = std::chrono::seconds(30);
  const auto decoded = DecodeAddresses(EncodeAddresses(answer));
  REQUIRE(decoded.has_value());
  REQUIRE(decoded->addresses.size() == 2);
  CHECK(decoded->addresses[0].instance.value == "k2");
  CHECK(decoded->addresses[1].http_address == "127.0.0.1:1");
  CHECK(decoded->permits == answer.permits);
  CHECK(decoded->permit_validity == answer.permit_validity);
}

}  // namespace
}  // namespace limpetrouter::shell
