#include "core/base/error_kind.h"

#include <set>

#include <catch2/catch.hpp>

namespace limpetrouter::core::base {
namespace {

// Guards against two kinds that callers cannot tell apart, and against a name that another instance cannot parse back.
TEST_CASE("every error kind has a unique name that parses back") {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<error_kind>(i);
    INFO(ToString(kind));
    CHECK(names.insert(ToString(kind)).second);
    CHECK(ParseErrorKind(ToString(kind)) == kind);
    CHECK(DescribeError(kind).http_status >= 400);
  }
}

// Guards against a refusal that states "not executed" although one of the attempts may have been executed.
TEST_CASE("combined execution state is no only if both are no") {
  struct row {
    executed_state a, b, expected;
  };
  const auto no = executed_state::kNo;
  const auto yes = executed_state::kYes;
  const auto unknown = executed_state::kUnknown;
  const auto r = GENERATE_COPY(values<row>(
      {{no, no, no}, {no, yes, yes}, {no, unknown, unknown}, {unknown, yes, yes}, {unknown, unknown, unknown}}));
  CHECK(CombineExecuted(r.a, r.b) == r.expected);
  CHECK(CombineExecuted(r.b, r.a) == r.expected);
}

// Guards against a caller that sends a request again, because the status of a refusal promises that it was not executed
// although it may have been.
TEST_CASE("the status of a refusal promises only what is known") {
  const auto executed = GENERATE(executed_state::kNo, executed_state::kYes, executed_state::kUnknown);
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<error_kind>(i);
    INFO(ToString(kind) << ", executed " << ToString(executed));
    const int status = HttpStatusOf(kind, executed);
    const bool promise = status == 408 || status == 421 || status == 429 || status == 503;
    CHECK(PromisesNotExecuted(status) == promise);
    CHECK_FALSE((promise && executed != executed_state::kNo));
    if (executed == executed_state::kNo) CHECK(status == DescribeError(kind).http_status);
  }
}

}  // namespace
}  // namespace limpetrouter::core::base
