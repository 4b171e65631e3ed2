#include "shell/log.h"

#include <unistd.h>

#include <catch2/catch.hpp>

namespace limpetrouter::shell {
namespace {

// Guards against a value that splits the log line or looks like another field.
TEST_CASE("values are quoted and escaped when needed") {
  struct row {
    std::string value;
    std::string written;
  };
  const auto r = GENERATE(values<row>({{"k1/5/9", "x=k1/5/9"},
                                       {"", "x=\"\""},
                                       {"two words", "x=\"two words\""},
                                       {"a=b", "x=\"a=b\""},
                                       {"say \"no\"", "x=\"say \\\"no\\\"\""},
                                       {"line\nbreak\x01", "x=\"line\\nbreak\\x01\""},
                                       {"\xe8\x93\x9d", "x=\xe8\x93\x9d"}}));
  std::string line;
  AppendLogField(line, "x", r.value);
  CHECK(line == r.written);
}

// Guards against a changed order or format of the leading fields, which operators parse.
TEST_CASE("a line begins with time, level, instance and decision") {
  const auto at = std::chrono::system_clock::time_point(std::chrono::microseconds(1'796'361'600'123'456));
  CHECK(FormatLogLine(at, "info", "k1", "route", {{"query", "k1/5/9"}, {"reason", "least loaded"}}) ==
        "ts=2026-12-04T05:20:00.123456Z level=info instance=k1 decision=route query=k1/5/9 reason=\"least loaded\"");
}

// Guards against a log level that drops faults, or that drops only some lines of a kind.
TEST_CASE("a log level drops all lines of the excluded kinds") {
  struct row {
    log_level level;
    std::string decisions;
  };
  const auto r = GENERATE(values<row>({{log_level::kDecisions, "route route place eject configuration fault "},
                                       {log_level::kInfo, "place eject configuration fault "},
                                       {log_level::kWarning, "eject configuration fault "}}));
  int pipe_fds[2];
  REQUIRE(::pipe(pipe_fds) == 0);
  {
    logger log(r.level, "k1", pipe_fds[1]);
    for (const char* decision : {"route", "route"})
      log.Decision({decision, {{"query", "7"}}});
    for (const char* decision : {"place", "eject"})
      log.Decision({decision, {}});
    log.Decision({"configuration", {{"refused", "invalid_configuration"}}});
    log.Warning("fault", {});
  }
  ::close(pipe_fds[1]);
  char buffer[4096];
  const ssize_t size = ::read(pipe_fds[0], buffer, sizeof(buffer));
  ::close(pipe_fds[0]);
  std::string written(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
  std::string decisions;
  for (std::size_t at = written.find("decision="); at != std::string::npos; at = written.find("decision=", at + 1)) {
    decisions += written.substr(at + 9, written.find_first_of(" \n", at) - at - 9) + " ";
  }
  CHECK(decisions == r.decisions);
}

}  // namespace
}  // namespace limpetrouter::shell
