#include <catch2/catch.hpp>

#include "core/gather/slots.h"
#include "tests/core/gather/gather_fixture.h"

namespace limpetrouter::core::gather {
namespace {

using base::error_kind;
using attempts = std::vector<std::uint64_t>;

const base::backend_server_id kServer("s1");

// Guards against a wrong load report that raises the number of calls above the slots or leaves a server unused.
TEST_CASE_METHOD(gather_fixture, "a load report never changes the number of calls") {
  const std::uint32_t in_use = GENERATE(0U, 3U, 1000U);
  EndProbe("s1", true, {in_use, in_use, false, 5});
  Send(Request(1, 6));
  CHECK(TakeSent() == attempts{1, 2, 3});
}

// Guards against a restarted server that gets its full load immediately, and against one that never gets it back.
TEST_CASE_METHOD(gather_fixture, "a restarted server starts with one slot and has all within a few seconds") {
  EndProbe("s1", true, {0, 0, false, 5});
  EndProbe("s1", true, {0, 0, false, 6});
  std::uint64_t next = 1;
  std::size_t max_sent = 0;
  for (int round = 0; round < 400; ++round) {
    Send(Request(next, 3));
    const auto sent = TakeSent();
    if (round == 0) CHECK(sent.size() == 1);
    max_sent = std::max(max_sent, sent.size());
    for (std::uint64_t attempt = next; attempt < next + 3; ++attempt)
      End(attempt);
    TakeSent();
    for (std::uint64_t attempt = next; attempt < next + 3; ++attempt)
      End(attempt);
    next += 3;
    Tick(std::chrono::milliseconds(10));
  }
  CHECK(max_sent == 3);
  Send(Request(next, 6));
  CHECK(TakeSent().size() == 3);
}

// Guards against two active holders that keep a server above its slots.
TEST_CASE_METHOD(gather_fixture, "a burst of sheds lowers the usable slots once, never below one") {
  holding_slots slots;
  SetSlotLimit(slots, 8, 100);
  CHECK(UsableSlots(slots) == 8);
  for (int i = 0; i < 5; ++i)
    LowerSlots(slots, now);
  CHECK(UsableSlots(slots) == 4);
  for (int i = 0; i < 10; ++i)
    LowerSlots(slots, now + std::chrono::milliseconds(50 * (i + 1)));
  CHECK(UsableSlots(slots) == 1);
  for (int i = 0; i < 40; ++i)
    RaiseSlots(slots, std::chrono::milliseconds(1), now);
  CHECK(UsableSlots(slots) == 8);
}

// Guards against holders that together open more connections than a server accepts.
TEST_CASE_METHOD(gather_fixture, "slots stay within a quarter of the connection limit") {
  struct row {
    std::uint32_t slots, connections, limit;
  };
  const auto r = GENERATE(values<row>({{5, 40, 5}, {3, 8, 2}, {5, 3, 1}, {1, 40, 1}}));
  holding_slots slots;
  SetSlotLimit(slots, r.slots, r.connections);
  CHECK(slots.limit == r.limit);
}

// Guards against a flood of calls to a server that is down, and against a server that is never tried again.
TEST_CASE_METHOD(gather_fixture, "failing connections are tried at intervals and recover by a probe or a trial") {
  Send(Request(1, 3));
  for (const std::uint64_t attempt : {1U, 2U, 3U})
    End(attempt, error_kind::kConnectFailed);
  TakeSent();
  Send(Request(11, 2));
  CHECK(TakeSent().empty());
  Tick(std::chrono::milliseconds(600));
  CHECK_FALSE(TakeProbes().empty());
  Send(Request(21, 4));
  CHECK(TakeSent() == attempts{21});
  if (GENERATE(true, false)) {
    End(21);
  } else {
    EndProbe("s1", true, {0, 0, false, 5});
    End(21, error_kind::kConnectFailed);
  }
  Send(Request(31, 4));
  CHECK(TakeSent() == attempts{31});
}

// Guards against a burst of new connections after a change of many holdings, and against calls that have to wait for a
// connection to be opened.
TEST_CASE_METHOD(gather_fixture, "connections are opened ahead of use, a few servers at a time") {
  config::configuration configuration;
  configuration.revision.value = 8;
  placement.by_backend_server.clear();
  for (int i = 0; i < 20; ++i) {
    AddServer(configuration, "t" + std::to_string(i));
    placement.by_backend_server.push_back({members.self.ref.id, base::instance_id("other")});
  }
  SetConfiguration(std::move(configuration));
  placement.revision.value = 8;
  std::size_t opened = 0;
  for (int tick = 0; tick < 12; ++tick) {
    Tick();
    std::size_t in_tick = 0;
    for (const io::probe_backend& probe : TakeProbes()) {
      if (probe.connections == 1) continue;
      CHECK(probe.connections == 4);
      ++in_tick;
    }
    CHECK(in_tick <= 2);
    opened += in_tick;
  }
  CHECK(opened == 20);
}

// Guards against probes that are sent too often, or that stop when the end of one probe is never reported.
TEST_CASE_METHOD(gather_fixture, "each held server is probed about once a second") {
  for (const char* server : {"s1", "s2", "s3"})
    EndProbe(server, true, {0, 0, false, 5});
  std::size_t probes = 0;
  for (int tick = 0; tick < 2000; ++tick) {
    Tick();
    for (const io::probe_backend& probe : TakeProbes()) {
      if (probe.backend_server == kServer) ++probes;
      // The probes of s2 never end.
      if (probe.backend_server.value != "s2") EndProbe(probe.backend_server.value, true, {0, 0, false, 5});
    }
  }
  CHECK(probes >= 8);
  CHECK(probes <= 13);
  CHECK(tables.holdings.at(base::backend_server_id("s2")).health.probe_sent > now - std::chrono::seconds(6));
  const auto report = ReportHoldings(tables, now);
  CHECK(report["s1"]["role"] == "primary");
  CHECK(report["s3"]["role"] == "standby");
}

}  // namespace
}  // namespace limpetrouter::core::gather
