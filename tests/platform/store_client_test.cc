#include "platform/store_client.h"

#include <catch2/catch.hpp>

#include "scripted_server.h"

namespace limpetrouter::platform {
namespace {

using shell::HttpAnswer;

/// Connects a client to a store that answers according to a script.
struct store_fixture {
  shell::scripted_server server;
  shell::transfer_pool pool;
  std::mutex mutex;
  std::vector<core::io::event> events;
  store_client client;

  explicit store_fixture(shell::scripted_server::script script)
      : server(std::move(script)),
        client(server.Address(), {&pool,
                                  [this](core::io::event event) {
                                    const std::lock_guard lock(mutex);
                                    events.push_back(std::move(event));
                                  },
                                  [](std::size_t) {}}) {}
  ~store_fixture() { pool.Stop(); }

  core::io::event AwaitEvent() {
    REQUIRE(shell::Eventually([this] {
      const std::lock_guard lock(mutex);
      return !events.empty();
    }));
    const std::lock_guard lock(mutex);
    return events.front();
  }
};

// {"service":"a","address":"10.0.0.9:80","zone":"z","slots":5,"state":"ready"}
constexpr const char* kServerValue =
    "eyJzZXJ2aWNlIjoiYSIsImFkZHJlc3MiOiIxMC4wLjAuOTo4MCIsInpvbmUiOiJ6Iiwic2xvdHMiOjUsInN0YXRlIjoicmVhZHkifQ==";

std::string Item(const std::string& key, int revision, const std::string& value) {
  return R"({"key":")" + key + R"(","revision":)" + std::to_string(revision) + R"(,"value":")" + value + R"("})";
}

// Guards against lost servers of later pages, and against invalid entries that hide valid ones.
TEST_CASE("a list is read page by page") {
  store_fixture fixture([](const std::string& request) -> shell::scripted_reply {
    if (request.find("after=servers/i-1") == std::string::npos) {
      return {HttpAnswer(200, R"({"items":[)" + Item("servers/i-0", 3, "!!") + "," +
                                  Item("servers/i-1", 4, kServerValue) + R"(],"hasMore":true,"currentRev":9})")};
    }
    return {HttpAnswer(
        200, R"({"items":[7,)" + Item("servers/i-2", 5, kServerValue) + R"(],"hasMore":false,"currentRev":12})")};
  });
  fixture.client.List({5, true});
  const core::io::event event = fixture.AwaitEvent();
  const auto& changes = std::get<core::io::published_read>(event).changes;
  CHECK(changes.complete);
  CHECK(changes.read == 5);
  CHECK(changes.position.revision == 9);
  REQUIRE(changes.servers.size() == 2);
  CHECK(changes.servers[1].id.value == "i-2");
  CHECK(changes.rejected.size() == 2);
  CHECK(fixture.server.Requests().at(0).find("serializable=1") != std::string::npos);
}

std::string EncodeBase64(const std::string& text) {
  constexpr const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j)
      bits = bits << 8U | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    for (std::size_t j = 0; j < 4; ++j)
      encoded += i + j <= text.size() ? kDigits[bits >> (18 - 6 * j) & 63U] : '=';
  }
  return encoded;
}

std::string ServerValue(const std::string& address, const std::string& slots, const std::string& more = "") {
  return R"({"service":"a","address":")" + address + R"(","zone":"z","state":"ready","slots":)" + slots + more + "}";
}

// Guards against orders to evacuate a data centre that are missed because of their value, and against an order and its
// removal in one answer that are applied in the wrong sequence.
TEST_CASE("orders to evacuate a data centre are decoded from lists and watches") {
  struct row {
    std::string what;
    std::string items;
    std::vector<std::string> evacuated;
    std::vector<std::string> lifted;
    std::size_t rejected = 0;
  };
  const std::string order = Item("op/evacuate/cuyo-a", 4, "e30=");
  const std::string removal = R"({"key":"op/evacuate/cuyo-a","revision":5,"deleted":true})";
  const std::string later = Item("op/evacuate/cuyo-a", 6, "e30=");
  const auto r = GENERATE_COPY(values<row>({
      {"an order", order, {"cuyo-a"}, {}},
      {"an empty value", Item("op/evacuate/cuyo-a", 4, ""), {"cuyo-a"}, {}},
      {"a value that is not base64", Item("op/evacuate/cuyo-a", 4, "!!"), {"cuyo-a"}, {}},
      {"two data centres", order + "," + Item("op/evacuate/b", 5, ""), {"cuyo-a", "b"}, {}},
      {"an order and its removal", order + "," + removal, {}, {"cuyo-a"}},
      {"a removal and a new order", removal + "," + later, {"cuyo-a"}, {}},
      {"order, removal, order", order + "," + removal + "," + later, {"cuyo-a"}, {}},
      {"no data centre", Item("op/evacuate/", 4, "e30="), {}, {}, 1},
      {"an overlong name", Item("op/evacuate/" + std::string(300, 'a'), 4, "e30="), {}, {}, 1},
      {"a similar key", Item("op/evacuated/a", 4, "e30="), {}, {}},
  }));
  INFO(r.what);
  const bool by_watch = GENERATE(false, true);
  store_fixture fixture([&r, by_watch](const std::string&) -> shell::scripted_reply {
    const std::string list =
        by_watch ? R"({"events":[)" + r.items + "]" : R"({"items":[)" + r.items + R"(],"hasMore":false)";
    return {HttpAnswer(200, list + R"(,"currentRev":9})")};
  });
  if (by_watch) {
    fixture.client.Watch({1, 2, std::chrono::milliseconds(100)});
  } else {
    fixture.client.List({1, true});
  }
  const core::io::event event = fixture.AwaitEvent();
  REQUIRE(std::holds_alternative<core::io::published_read>(event));
  const auto& changes = std::get<core::io::published_read>(event).changes;
  std::vector<std::string> evacuated;
  std::vector<std::string> lifted;
  for (const auto& record : changes.evacuated)
    evacuated.push_back(record.data_centre.value);
  for (const auto& [data_centre, revision] : changes.evacuations_lifted)
    lifted.push_back(data_centre.value);
  CHECK(evacuated == r.evacuated);
  CHECK(lifted == r.lifted);
  CHECK(changes.rejected.size() == r.rejected);
}

// Guards against a process that ends, or no longer follows the list, because of an odd entry that another writer has
// left among those of the backend servers.
TEST_CASE("an odd entry is rejected, and the entries around it hold") {
  constexpr std::size_t kDepth = 300'000;
  const auto odd = GENERATE(values<std::string>({
      std::string(kDepth, '['),
      std::string(kDepth, '[') + std::string(kDepth, ']'),
      R"({"service":)" + std::string(kDepth, '{') + "}",
      ServerValue("10.0.0.9:80", "1e999"),
      ServerValue("10.0.0.9:80", "99999999999999999999999"),
      ServerValue("10.0.0.9:80", "4294967296"),
      ServerValue("10.0.0.9:80", "-1"),
      ServerValue("10.0.0.9:80", "5", R"(,"born":1e30)"),
      ServerValue("10.0.0.9:80", "5", R"(,"seq":18446744073709551615)"),
      ServerValue("10.0.0.9:80", "5", R"(,"coldLeftMs":99999999999999999999)"),
      ServerValue("10.0.0.9:65536", "5"),
      ServerValue("10.0.0.9:0", "5"),
      ServerValue("10.0.0.9:-1", "5"),
      ServerValue("10.0.0.9:99999999999999999999", "5"),
      ServerValue("10.0.0.9:", "5"),
      std::string("\xff\xfe\x00", 3),
      "",
  }));
  INFO(odd.substr(0, 120));
  const bool by_watch = GENERATE(false, true);
  store_fixture fixture([&odd, by_watch](const std::string&) -> shell::scripted_reply {
    const std::string items = Item("servers/i-1", 3, kServerValue) + "," + Item("servers/odd", 4, EncodeBase64(odd)) +
                              "," + Item("servers/i-2", 5, kServerValue);
    const std::string list =
        by_watch ? R"({"events":[)" + items + "]" : R"({"items":[)" + items + R"(],"hasMore":false)";
    return {HttpAnswer(200, list + R"(,"currentRev":9})")};
  });
  if (by_watch) {
    fixture.client.Watch({1, 2, std::chrono::milliseconds(100)});
  } else {
    fixture.client.List({1, true});
  }
  const core::io::event event = fixture.AwaitEvent();
  REQUIRE(std::holds_alternative<core::io::published_read>(event));
  const auto& changes = std::get<core::io::published_read>(event).changes;
  CHECK(changes.position.revision == 9);
  REQUIRE(changes.servers.size() == 2);
  CHECK(changes.servers[0].id.value == "i-1");
  CHECK(changes.servers[1].id.value == "i-2");
  CHECK(changes.rejected.size() == 1);
}

// Guards against a lost history, a refusal or a damaged answer that is taken for "no changes".
TEST_CASE("a watch distinguishes changes, a lost history and failures") {
  struct row {
    std::string answer;
    bool succeeds;
    bool history_lost;
  };
  const auto r = GENERATE(values<row>({{HttpAnswer(200, R"({"events":[],"currentRev":20})"), true, false},
                                       {HttpAnswer(410, "{}"), false, true},
                                       {HttpAnswer(503, "{}"), false, false},
                                       {HttpAnswer(429, "{}"), false, false},
                                       {HttpAnswer(200, R"({"events":[]})"), false, false},
                                       {HttpAnswer(200, R"({"events":{},"currentRev":20})"), false, false},
                                       {HttpAnswer(200, "[]"), false, false},
                                       {"nonsense", false, false}}));
  store_fixture fixture([&r](const std::string&) -> shell::scripted_reply { return {r.answer, true}; });
  fixture.client.Watch({1, 10, std::chrono::milliseconds(100)});
  const core::io::event event = fixture.AwaitEvent();
  INFO(r.answer);
  REQUIRE(std::holds_alternative<core::io::published_read>(event) == r.succeeds);
  if (!r.succeeds) CHECK(std::get<core::io::published_read_failed>(event).failed.history_lost == r.history_lost);
}

std::string EpochAnswer(int status, const std::string& epoch, const std::string& body) {
  std::string answer = HttpAnswer(status, body);
  return answer.insert(answer.find("\r\n") + 2, "Store-Era: " + epoch + "\r\n");
}

// Guards against changes that are ordered by the revisions of a history that the store has lost: every result states
// the epoch of its revision, also a failure.
TEST_CASE("a result states the epoch of the store") {
  struct row {
    std::string answer;
    std::uint64_t epoch;
  };
  const std::string body = R"({"events":[],"currentRev":20})";
  const auto r = GENERATE_COPY(values<row>({{EpochAnswer(200, "3", body), 3},
                                            {EpochAnswer(410, "4", "{}"), 4},
                                            {EpochAnswer(503, "5", "{}"), 5},
                                            {EpochAnswer(200, "-1", body), 0},
                                            {EpochAnswer(200, "6x", body), 0},
                                            {HttpAnswer(200, body), 0}}));
  store_fixture fixture([&r](const std::string&) -> shell::scripted_reply { return {r.answer, true}; });
  fixture.client.Watch({1, 10, std::chrono::milliseconds(100)});
  const core::io::event event = fixture.AwaitEvent();
  INFO(r.answer);
  if (const auto* read = std::get_if<core::io::published_read>(&event); read != nullptr) {
    CHECK(read->changes.position == core::forwarding::store_position{r.epoch, 20});
  } else {
    CHECK(std::get<core::io::published_read_failed>(event).failed.epoch == r.epoch);
  }
}

// Guards against a list of which one part shows the contents before a restoration and the other those after it.
TEST_CASE("a list whose pages are of two epochs is given up") {
  store_fixture fixture([](const std::string& request) -> shell::scripted_reply {
    const bool first = request.find("after=servers/i-1") == std::string::npos;
    return {EpochAnswer(200, first ? "3" : "4",
                        R"({"items":[)" + Item(first ? "servers/i-1" : "servers/i-2", 4, kServerValue) +
                            R"(],"hasMore":)" + (first ? "true" : "false") + R"(,"currentRev":9})")};
  });
  fixture.client.List({5, false});
  const core::io::event event = fixture.AwaitEvent();
  const auto& failed = std::get<core::io::published_read_failed>(event).failed;
  CHECK(failed.history_lost);
  CHECK(failed.epoch == 4);
}

// Guards against a server that is taken for removed or present because events are applied out of order.
TEST_CASE("the last event of a server takes precedence") {
  const std::string deletion = R"({"key":"servers/i-1","revision":12,"deleted":true})";
  const std::string update = Item("servers/i-1", 11, kServerValue);
  struct row {
    std::string events;
    std::size_t servers;
    std::size_t removed;
  };
  const auto r = GENERATE_COPY(values<row>({{update + "," + deletion, 0, 1}, {deletion + "," + update, 1, 0}}));
  store_fixture fixture([&r](const std::string&) -> shell::scripted_reply {
    return {HttpAnswer(200, R"({"events":[)" + r.events + R"(],"currentRev":13})")};
  });
  fixture.client.Watch({1, 10, std::chrono::milliseconds(100)});
  const core::io::event event = fixture.AwaitEvent();
  const auto& changes = std::get<core::io::published_read>(event).changes;
  CHECK(changes.servers.size() == r.servers);
  CHECK(changes.removed.size() == r.removed);
}

}  // namespace
}  // namespace limpetrouter::platform
