#include "platform/request_codec.h"

#include <catch2/catch.hpp>

namespace limpetrouter::platform {
namespace {

using core::base::error_kind;
using core::base::executed_state;
using shell::http_headers;
using shell::transfer_outcome;

shell::http_request MakeRequest(http_headers headers) {
  shell::http_request request;
  request.method = "GET";
  request.target = "/p/x?y";
  request.path = "/p/x";
  request.headers = std::move(headers);
  return request;
}

// Guards against hop-by-hop fields that are forwarded, and against callers that set the fields of this system.
TEST_CASE("only end-to-end fields of a request are forwarded") {
  const auto request = DecodeRequest(MakeRequest({{"Host", "h"},
                                                  {"X-Attempt-Id", "a1"},
                                                  {"X-Deadline-Ms", "600"},
                                                  {"X-Expect-Instance", "i-evil"},
                                                  {"Connection", "keep-alive, X-Hop"},
                                                  {"X-Hop", "1"},
                                                  {"Content-Length", "0"},
                                                  {"Accept", "x/y"},
                                                  {"X-Own", "v"}}));
  REQUIRE(request.has_value());
  CHECK(request->attempt == "a1");
  CHECK(request->client_timeout == std::chrono::milliseconds(600));
  CHECK(request->headers == http_headers{{"Accept", "x/y"}, {"X-Own", "v"}});
  core::io::start_call call;
  call.server = core::base::backend_server_id("i-1");
  call.address = "10.0.0.1:80";
  call.request = std::make_shared<const core::forwarding::request>(*request);
  const shell::transfer_request transfer = EncodeCall(call);
  CHECK(transfer.target == "/p/x?y");
  CHECK(*shell::FindHeader(transfer.headers, "x-expect-instance") == "i-1");
  // The transfer pool sends the remaining time at the moment of sending, and the caller's own value is not forwarded.
  CHECK(transfer.time_left_field == "X-Deadline-Ms");
  CHECK(shell::CountHeader(transfer.headers, "x-deadline-ms") == 0);
  CHECK(shell::CountHeader(transfer.headers, "host") == 1);
}

// Guards against requests whose answers could not be matched, and against invalid timeouts.
TEST_CASE("a request without exactly one attempt id or with an invalid timeout is refused") {
  const auto headers =
      GENERATE(values<http_headers>({{{"Host", "h"}},
                                     {{"Host", "h"}, {"X-Attempt-Id", ""}},
                                     {{"Host", "h"}, {"X-Attempt-Id", "a"}, {"x-attempt-id", "b"}},
                                     {{"Host", "h"}, {"X-Attempt-Id", "a"}, {"X-Deadline-Ms", "-1"}},
                                     {{"Host", "h"}, {"X-Attempt-Id", "a"}, {"X-Deadline-Ms", "1s"}}}));
  const auto request = DecodeRequest(MakeRequest(headers));
  REQUIRE_FALSE(request.has_value());
  CHECK(request.error().kind == error_kind::kInvalidRequest);
}

/// Decodes the end of a call of request "a1".
core::forwarding::call_result DecodeAnswer(transfer_outcome outcome, int status, const http_headers& headers) {
  core::forwarding::request request;
  request.attempt = "a1";
  shell::transfer_result ended;
  ended.outcome = outcome;
  ended.status = status;
  ended.headers = headers;
  return DecodeResult(request, std::move(ended));
}

// Guards against an answer to another request, a damaged answer or one of another program that is taken for the backend
// server's, and against the promise "not executed" without the server's statement.
TEST_CASE("an answer is accepted only if it is complete, signed and for this request") {
  struct row {
    transfer_outcome outcome;
    bool sent;
    int status;
    http_headers headers;
    std::optional<error_kind> failure;
    executed_state executed;
  };
  const http_headers valid_headers = {{"x-attempt-id", "a1"}, {"X-Server-Stamp", "s"}};
  const auto with_header = [&valid_headers](const std::string& name, const std::string& value) {
    http_headers changed = valid_headers;
    changed.emplace_back(name, value);
    return changed;
  };
  const auto r = GENERATE_COPY(values<row>({
      {transfer_outcome::kAnswered, true, 200, valid_headers, {}, executed_state::kYes},
      {transfer_outcome::kAnswered, true, 500, valid_headers, {}, executed_state::kYes},
      {transfer_outcome::kAnswered,
       true,
       200,
       {{"X-Attempt-Id", "a2"}, {"X-Server-Stamp", "s"}},
       error_kind::kAnswerMismatched,
       executed_state::kUnknown},
      {transfer_outcome::kAnswered,
       true,
       200,
       {{"X-Server-Stamp", "s"}},
       error_kind::kAnswerMismatched,
       executed_state::kUnknown},
      {transfer_outcome::kAnswered,
       true,
       200,
       {{"X-Attempt-Id", "a1"}},
       error_kind::kAnswerMismatched,
       executed_state::kUnknown},
      {transfer_outcome::kAnswered, true, 200, with_header("Content-Encoding", "gzip"), error_kind::kAnswerMalformed,
       executed_state::kUnknown},
      {transfer_outcome::kAnswered, true, 503, with_header("X-Not-Executed", "1"), error_kind::kBackendShed,
       executed_state::kNo},
      {transfer_outcome::kAnswered,
       true,
       503,
       {{"X-Not-Executed", "1"}},
       error_kind::kBackendShed,
       executed_state::kNo},
      {transfer_outcome::kAnswered,
       true,
       503,
       {{"X-Attempt-Id", "a2"}, {"X-Not-Executed", "1"}},
       error_kind::kAnswerMismatched,
       executed_state::kUnknown},
      {transfer_outcome::kAnswered,
       true,
       421,
       {{"X-Instance-Id", "i-2"}},
       error_kind::kBackendReplaced,
       executed_state::kNo},
      {transfer_outcome::kAnswered,
       true,
       421,
       {{"X-Attempt-Id", "a2"}, {"X-Instance-Id", "i-2"}},
       error_kind::kAnswerMismatched,
       executed_state::kUnknown},
      {transfer_outcome::kAnswered, true, 421, with_header("X-Not-Executed", "1"), error_kind::kBackendReplaced,
       executed_state::kNo},
      {transfer_outcome::kAnswered, true, 421, valid_headers, {}, executed_state::kYes},
      {transfer_outcome::kAnswered, true, 408, valid_headers, {}, executed_state::kYes},
      {transfer_outcome::kAnswered, true, 429, valid_headers, {}, executed_state::kYes},
      {transfer_outcome::kAnswered, true, 503, valid_headers, {}, executed_state::kYes},
      {transfer_outcome::kAnswered, true, 0, valid_headers, error_kind::kAnswerMalformed, executed_state::kUnknown},
      {transfer_outcome::kAnswered, true, 99, valid_headers, error_kind::kAnswerMalformed, executed_state::kUnknown},
      {transfer_outcome::kAnswered, true, 101, valid_headers, error_kind::kAnswerMalformed, executed_state::kUnknown},
      {transfer_outcome::kAnswered, true, 600, valid_headers, error_kind::kAnswerMalformed, executed_state::kUnknown},
      {transfer_outcome::kAnswered, true, 1'000, valid_headers, error_kind::kAnswerMalformed, executed_state::kUnknown},
      {transfer_outcome::kAnswered, true, 0, with_header("X-Not-Executed", "1"), error_kind::kAnswerMalformed,
       executed_state::kUnknown},
      {transfer_outcome::kConnectFailed, false, 0, {}, error_kind::kConnectFailed, executed_state::kNo},
      {transfer_outcome::kConnectionLost, true, 0, {}, error_kind::kConnectionLost, executed_state::kUnknown},
      {transfer_outcome::kTruncated, true, 200, valid_headers, error_kind::kAnswerTruncated, executed_state::kUnknown},
      {transfer_outcome::kMalformed, true, 0, {}, error_kind::kAnswerMalformed, executed_state::kUnknown},
      {transfer_outcome::kDeadlineExceeded, false, 0, {}, error_kind::kDeadlineExceeded, executed_state::kNo},
      {transfer_outcome::kDeadlineExceeded, true, 0, {}, error_kind::kDeadlineExceeded, executed_state::kUnknown},
  }));
  core::forwarding::request request;
  request.attempt = "a1";
  shell::transfer_result ended;
  ended.outcome = r.outcome;
  ended.bytes_sent = r.sent;
  ended.status = r.status;
  ended.headers = r.headers;
  const core::forwarding::call_result result = DecodeResult(request, std::move(ended));
  INFO(ToString(r.outcome) << " " << r.status);
  CHECK(result.failure == r.failure);
  CHECK(result.executed == r.executed);
}

// Guards against load reports and idle times that are decoded from damaged fields.
TEST_CASE("load and idle time are decoded from well-formed fields only") {
  struct row {
    std::string load, keep_alive;
    std::optional<double> slowdown;
    std::optional<core::base::duration> idle;
  };
  const auto r = GENERATE(values<row>({{"3,1,8", "timeout=5", 1.0, std::chrono::seconds(5)},
                                       {"3,1,8,250", "timeout=5, max=9", 2.5, std::chrono::seconds(5)},
                                       {"3,1", "timeout=x", {}, {}},
                                       {"3,-1,8", "5", {}, {}},
                                       {"", "", {}, {}}}));
  core::forwarding::request request;
  request.attempt = "a1";
  shell::transfer_result ended;
  ended.outcome = transfer_outcome::kAnswered;
  ended.headers = {{"X-Attempt-Id", "a1"}, {"X-Server-Load", r.load}, {"Keep-Alive", r.keep_alive}};
  const core::forwarding::call_result result = DecodeResult(request, std::move(ended));
  CHECK(result.load.has_value() == r.slowdown.has_value());
  if (result.load.has_value()) CHECK(result.load->slowdown == *r.slowdown);
  CHECK(result.keep_alive == r.idle);
}

// Guards against a rate limit that is missed, that a damaged field or a refusal ends, or that another server states.
TEST_CASE("the rate limit of an answer is decoded, and only the server's own complete answer can end it") {
  struct row {
    int status;
    http_headers headers;
    bool states;
    std::optional<double> per_second;
  };
  const http_headers own = {{"X-Attempt-Id", "a1"}, {"X-Server-Stamp", "s"}};
  const auto with_limit = [&own](const std::string& value) {
    http_headers changed = own;
    changed.emplace_back("server-limit", value);
    return changed;
  };
  const auto r = GENERATE_COPY(values<row>({
      {200, with_limit("31.8"), true, 31.8},
      {500, with_limit("20"), true, 20.0},
      {200, with_limit("0"), true, 0.0},
      {200, own, true, {}},
      {200, with_limit(""), false, {}},
      {200, with_limit("many"), false, {}},
      {200, with_limit("-1"), false, {}},
      {200, with_limit("inf"), false, {}},
      {200, with_limit("3,5"), false, {}},
      {503, {{"X-Not-Executed", "1"}, {"Server-Limit", "5.5"}}, true, 5.5},
      {503, {{"X-Not-Executed", "1"}}, false, {}},
      {200, {{"X-Attempt-Id", "a2"}, {"X-Server-Stamp", "s"}, {"Server-Limit", "5"}}, false, {}},
      {421, {{"X-Instance-Id", "i-2"}, {"Server-Limit", "5"}}, false, {}},
  }));
  const core::forwarding::call_result result = DecodeAnswer(transfer_outcome::kAnswered, r.status, r.headers);
  REQUIRE(result.rate_limit.has_value() == r.states);
  if (!r.states) return;
  REQUIRE(result.rate_limit->limit.has_value() == r.per_second.has_value());
  if (r.per_second.has_value()) CHECK(result.rate_limit->limit->per_second == *r.per_second);
  CHECK(shell::FindHeader(result.headers, "Server-Limit") == nullptr);
}

// Guards against requests that are sent to a server that has said it leaves, and against another server's word.
TEST_CASE("an answer states whether its server leaves") {
  struct row {
    transfer_outcome outcome;
    int status;
    http_headers headers;
    bool leaving;
  };
  const http_headers own = {{"X-Attempt-Id", "a1"}, {"X-Server-Stamp", "s"}};
  const auto with = [&own](const std::string& value) {
    http_headers changed = own;
    changed.emplace_back("server-leaving", value);
    return changed;
  };
  http_headers two = with("0");
  two.emplace_back("Server-Leaving", "1");
  const auto r = GENERATE_COPY(values<row>({
      {transfer_outcome::kAnswered, 200, with("1"), true},
      {transfer_outcome::kAnswered, 500, with("1"), true},
      {transfer_outcome::kAnswered, 404, with("1"), true},
      {transfer_outcome::kAnswered, 503, {{"X-Not-Executed", "1"}, {"Server-Leaving", "1"}}, true},
      {transfer_outcome::kAnswered, 200, two, true},
      {transfer_outcome::kAnswered, 200, own, false},
      {transfer_outcome::kAnswered, 200, with(""), false},
      {transfer_outcome::kAnswered, 200, with("0"), false},
      {transfer_outcome::kAnswered, 200, with("true"), false},
      {transfer_outcome::kAnswered,
       200,
       {{"X-Attempt-Id", "a2"}, {"X-Server-Stamp", "s"}, {"Server-Leaving", "1"}},
       false},
      {transfer_outcome::kAnswered, 421, {{"X-Instance-Id", "i-2"}, {"Server-Leaving", "1"}}, false},
      {transfer_outcome::kMalformed, 200, with("1"), false},
      {transfer_outcome::kTruncated, 200, with("1"), false},
  }));
  INFO(ToString(r.outcome) << " " << r.status);
  const core::forwarding::call_result result = DecodeAnswer(r.outcome, r.status, r.headers);
  CHECK(result.server_leaving == r.leaving);
  CHECK(shell::FindHeader(result.headers, "Server-Leaving") == nullptr);
}

// Guards against a pause that is missed, or that a damaged field or another server states.
TEST_CASE("the pause that a server asks for is decoded from its own 503 only") {
  using std::chrono::milliseconds;
  struct row {
    int status;
    http_headers headers;
    std::optional<core::base::duration> pause;
  };
  const http_headers own = {{"X-Attempt-Id", "a1"}, {"X-Server-Stamp", "s"}};
  const auto with = [&own](const std::string& value) {
    http_headers changed = own;
    changed.emplace_back("retry-after", value);
    return changed;
  };
  http_headers two = with("1");
  two.emplace_back("Retry-After", "2.5");
  const auto r = GENERATE_COPY(values<row>({
      {503, with("2"), milliseconds(2'000)},
      {503, with("0.25"), milliseconds(250)},
      {503, {{"X-Not-Executed", "1"}, {"Retry-After", "1.5"}}, milliseconds(1'500)},
      {503, two, milliseconds(2'500)},
      {503, with("90000"), std::chrono::hours(1)},
      {503, with(std::string(1'000, '9')), {}},
      {503, own, {}},
      {503, with(""), {}},
      {503, with("0"), {}},
      {503, with("-1"), {}},
      {503, with("1e3"), {}},
      {503, with("inf"), {}},
      {503, with("2 s"), {}},
      {503, with("Sat, 05 Dec 2026 17:00:00 GMT"), {}},
      {429, {{"X-Not-Executed", "1"}, {"Retry-After", "1.5"}}, {}},
      {500, with("2"), {}},
      {200, with("2"), {}},
      {503, {{"X-Attempt-Id", "a2"}, {"X-Server-Stamp", "s"}, {"Retry-After", "2"}}, {}},
      {503, {{"Retry-After", "2"}}, {}},
  }));
  const std::string* const text = shell::FindHeader(r.headers, "retry-after");
  INFO(r.status << " " << (text == nullptr ? "" : text->substr(0, 40)));
  CHECK(DecodeAnswer(transfer_outcome::kAnswered, r.status, r.headers).back_off == r.pause);
}

// Guards against this instance's own answer carrying a backend server's proof, and against hidden missing parts.
TEST_CASE("a merged answer states its parts and the missing ones, and a failure carries no proof") {
  core::forwarding::request request;
  request.attempt = "a1";
  core::forwarding::answer merged;
  merged.merged = true;
  merged.signatures = {"s1", "s2"};
  merged.missing_parts = 1;
  const shell::http_answer merged_answer = EncodeAnswer(&request, std::move(merged));
  CHECK(merged_answer.status == 200);
  CHECK(*shell::FindHeader(merged_answer.headers, "X-Part-Stamps") == "s1, s2");
  CHECK(*shell::FindHeader(merged_answer.headers, "X-Missing-Parts") == "1");
  core::forwarding::answer refusal;
  refusal.status = 503;
  refusal.failure = core::base::error{error_kind::kOverloaded, "full"};
  refusal.executed = executed_state::kNo;
  refusal.retry_after = std::chrono::milliseconds(250);
  const shell::http_answer refused = EncodeAnswer(&request, std::move(refusal));
  CHECK(*shell::FindHeader(refused.headers, "Retry-After") == "0.250");
  CHECK(shell::FindHeader(refused.headers, "X-Server-Stamp") == nullptr);
}

// Guards against callers that get no addresses because their request is not recognised.
TEST_CASE("requests for addresses and readiness are recognised") {
  shell::http_request request = MakeRequest({});
  request.path = "/resolve";
  request.target = "/resolve?name=h&region=r&zone=z%2D1";
  CHECK(DecodeAddressRequest(request)->value == "z-1");
  request.target = "/resolve";
  CHECK(DecodeAddressRequest(request)->value.empty());
  request.path = "/other";
  CHECK_FALSE(DecodeAddressRequest(request).has_value());
  request.path = "/ready";
  CHECK(IsReadinessProbe(request));
  const shell::http_answer answer =
      EncodeAddresses({core::base::reply_handle(1), {"10.0.0.1:80"}, std::chrono::seconds(2)});
  CHECK(answer.body == R"({"addrs":["10.0.0.1:80"],"ttl_s":2})");
}

}  // namespace
}  // namespace limpetrouter::platform
