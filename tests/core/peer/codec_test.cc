#include "core/peer/codec.h"

#include <catch2/catch.hpp>

#include "core/base/random.h"

namespace limpetrouter::core::peer {
namespace {

message MakeGatherAnswer() {
  attempt_result result;
  result.attempt.value = 7;
  result.succeeded = true;
  result.executed = base::executed_state::kYes;
  result.documents = 42;
  result.rows = {{"k1", R"({"litres":5})"}, {"k2", "{}"}};
  result.totals = {{"litres", 5}};
  message m;
  m.header.sender = {base::instance_id("a1"), base::incarnation_id(3)};
  m.header.revision.value = 9;
  m.body = gather_answer{{base::instance_id("b2"), base::incarnation_id(4)}, base::query_sequence(5), {result}};
  return m;
}

message MakeAnnounce() {
  message m;
  m.body = announce{{{member_update{}}, {fact{}}}};
  return m;
}

TEST_CASE("a message survives encoding and decoding") {
  const message m = MakeGatherAnswer();
  const auto decoded = DecodeMessage(EncodeMessage(m), kMaxStreamMessageBytes);
  REQUIRE(decoded.has_value());
  CHECK(decoded->header.sender == m.header.sender);
  const auto& answer = std::get<gather_answer>(decoded->body);
  REQUIRE(answer.results.size() == 1);
  CHECK(answer.results[0].rows == std::get<gather_answer>(m.body).results[0].rows);
  CHECK(answer.results[0].totals == std::get<gather_answer>(m.body).results[0].totals);
}

// Guards against orders of operators that are lost, or decoded with another position, on their way to the followers.
TEST_CASE("the evacuated data centres survive encoding and decoding") {
  message m;
  m.body = evacuation_update{{2, 7}, {{base::data_centre_id("a"), 3}, {base::data_centre_id("b"), 7}}};
  const auto update = DecodeMessage(EncodeMessage(m), kMaxStreamMessageBytes);
  REQUIRE(update.has_value());
  const auto& decoded = std::get<evacuation_update>(update->body);
  CHECK(decoded.position == forwarding::store_position{2, 7});
  REQUIRE(decoded.evacuations.size() == 2);
  CHECK(decoded.evacuations[1].data_centre.value == "b");
  CHECK(decoded.evacuations[1].revision == 7);
  m.body = evacuation_request{{2, 6}};
  const auto request = DecodeMessage(EncodeMessage(m), kMaxStreamMessageBytes);
  REQUIRE(request.has_value());
  CHECK(std::get<evacuation_request>(request->body).position == forwarding::store_position{2, 6});
}

// Guards against a truncated message that is accepted as complete.
TEST_CASE("every truncated message is refused") {
  const auto make = GENERATE(MakeGatherAnswer, MakeAnnounce);
  const std::string bytes = EncodeMessage(make());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    INFO("size " << size);
    CHECK_FALSE(DecodeMessage(std::string_view(bytes).substr(0, size), kMaxStreamMessageBytes).has_value());
  }
  CHECK_FALSE(DecodeMessage(bytes + "x", kMaxStreamMessageBytes).has_value());
  CHECK_FALSE(DecodeMessage(bytes, bytes.size() - 1).has_value());
}

// Guards against memory exhaustion and crashes on damaged messages.
TEST_CASE("a randomly damaged message is refused or decoded without a crash") {
  base::random_source random{GENERATE(1U, 2U, 3U)};
  const std::string bytes = EncodeMessage(MakeGatherAnswer());
  for (int iteration = 0; iteration < 2000; ++iteration) {
    std::string damaged = bytes;
    const std::uint64_t changes = 1 + base::NextBelow(random, 8);
    for (std::uint64_t i = 0; i < changes; ++i) {
      damaged[base::NextBelow(random, damaged.size())] = static_cast<char>(base::NextRandom(random));
    }
    const auto decoded = DecodeMessage(damaged, kMaxStreamMessageBytes);
    if (!decoded.has_value()) CHECK(decoded.error().kind == base::error_kind::kPeerMessageMalformed);
  }
}

}  // namespace
}  // namespace limpetrouter::core::peer
