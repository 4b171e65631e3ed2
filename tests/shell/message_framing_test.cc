#include "shell/message_framing.h"

#include <optional>
#include <string>

#include <catch2/catch.hpp>

namespace limpetrouter::shell {
namespace {

// Guards against a message whose body another recipient would end elsewhere: a request that is smuggled behind it, or
// an answer that is passed on cut short.
TEST_CASE("the framing of a message follows from its header, or the message is malformed") {
  struct row {
    http_headers headers;
    std::optional<body_end> request;
    std::optional<body_end> answer;
    std::size_t length;
  };
  const auto none = body_end::kNone;
  const auto length = body_end::kLength;
  const auto chunks = body_end::kLastChunk;
  const auto r = GENERATE_COPY(values<row>({
      {{}, none, body_end::kClose, 0},
      {{{"Content-Length", "0"}}, length, length, 0},
      {{{"content-LENGTH", "32"}}, length, length, 32},
      {{{"Content-Length", "0032"}}, length, length, 32},
      {{{"Content-Length", "18446744073709551615"}}, length, length, 18446744073709551615U},
      {{{"Content-Length", "18446744073709551616"}}, {}, {}, 0},
      {{{"Content-Length", ""}}, {}, {}, 0},
      {{{"Content-Length", "4x0"}}, {}, {}, 0},
      {{{"Content-Length", "+4"}}, {}, {}, 0},
      {{{"Content-Length", "-4"}}, {}, {}, 0},
      {{{"Content-Length", "0x4"}}, {}, {}, 0},
      {{{"Content-Length", "4.0"}}, {}, {}, 0},
      {{{"Content-Length", "32, 32"}}, {}, {}, 0},
      {{{"Content-Length", "32"}, {"Content-Length", "128"}}, {}, {}, 0},
      {{{"Content-Length", "32"}, {"content-length", "32"}}, {}, {}, 0},
      {{{"Transfer-Encoding", "chunked"}}, chunks, chunks, 0},
      {{{"transfer-encoding", "Chunked"}}, chunks, chunks, 0},
      {{{"Transfer-Encoding", ""}}, {}, {}, 0},
      {{{"Transfer-Encoding", "identity"}}, {}, {}, 0},
      {{{"Transfer-Encoding", "gzip, chunked"}}, {}, {}, 0},
      {{{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}}, {}, {}, 0},
      {{{"Transfer-Encoding", "chunked"}, {"Content-Length", "4"}}, {}, {}, 0},
      {{{"Content-Length", "4"}, {"Transfer-Encoding", "gzip"}}, {}, {}, 0},
  }));
  INFO((r.headers.empty() ? std::string("no field") : r.headers.front().first + ": " + r.headers.front().second));
  const framing_result request = ReadRequestFraming(r.headers);
  REQUIRE(request.has_value() == r.request.has_value());
  if (request.has_value()) CHECK((request->end == *r.request && request->length == r.length));
  const framing_result answer = ReadAnswerFraming({}, r.headers);
  REQUIRE(answer.has_value() == r.answer.has_value());
  if (answer.has_value()) CHECK((answer->end == *r.answer && answer->length == r.length));
  if (!answer.has_value()) CHECK_FALSE(answer.error().empty());
}

// Guards against a body that is expected where there is none, so that the next answer is taken for it.
TEST_CASE("some answers have no body, whatever their header says") {
  struct row {
    answer_start start;
    http_headers headers;
    std::optional<body_end> end;
  };
  const http_headers sized = {{"Content-Length", "32"}};
  const http_headers chunked = {{"Transfer-Encoding", "chunked"}};
  const auto r = GENERATE_COPY(values<row>({
      {{200, false, false}, sized, body_end::kLength},
      {{200, false, true}, sized, body_end::kNone},
      {{200, false, true}, chunked, body_end::kNone},
      {{200, false, true}, {}, body_end::kNone},
      {{200, false, true}, {{"Content-Length", "4x0"}}, {}},
      {{103, false, false}, {}, body_end::kNone},
      {{204, false, false}, sized, body_end::kNone},
      {{204, false, false}, {{"Content-Length", "4x0"}}, {}},
      {{205, false, false}, sized, body_end::kLength},
      {{304, false, false}, sized, body_end::kNone},
      {{503, false, false}, {}, body_end::kClose},
      {{200, true, false}, {}, body_end::kClose},
      {{200, true, false}, sized, body_end::kLength},
      {{200, true, false}, chunked, {}},
  }));
  INFO("status " << r.start.status << ", HTTP/1.0 " << r.start.is_http_1_0);
  const framing_result framing = ReadAnswerFraming(r.start, r.headers);
  REQUIRE(framing.has_value() == r.end.has_value());
  if (framing.has_value()) CHECK(framing->end == *r.end);
}

}  // namespace
}  // namespace limpetrouter::shell
