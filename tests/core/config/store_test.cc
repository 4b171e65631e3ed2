#include "core/config/store.h"

#include <catch2/catch.hpp>

#include "core/base/digest.h"
#include "core/base/random.h"
#include "tests/core/config/test_configuration.h"

namespace limpetrouter::core::config {
namespace {

nlohmann::json MakeDocument(std::uint64_t revision) {
  nlohmann::json document = MakeTestDocument();
  document["rules"]["limits"]["max_permits"] = 1000 + revision;
  // Makes the document larger than 16 patches, so that merged patches are sent instead of it.
  for (int i = 0; i < 50; ++i)
    document["inventory"]["services"].push_back({{"id", "p" + std::to_string(i)}, {"collection", "ledger"}});
  if (revision % 3 == 0) document["inventory"]["services"].push_back({{"id", "s3"}, {"collection", "ledger"}});
  return document;
}

configuration_store MakeStore(std::uint64_t first, std::uint64_t last) {
  configuration_store store;
  for (std::uint64_t revision = first; revision <= last; ++revision)
    REQUIRE(OfferSource(store, MakeSource(revision, MakeDocument(revision))).value());
  return store;
}

// Guards against a revision in force that decreases or changes its content, whatever is offered in whatever order.
TEST_CASE("the revision in force never decreases under random offers") {
  base::random_source random{GENERATE(1U, 2U, 3U)};
  const configuration_store other = MakeStore(1, 30);
  configuration_store store;
  std::uint64_t highest = 0;
  for (int i = 0; i < 300; ++i) {
    const std::uint64_t revision = 1 + base::NextBelow(random, 30);
    configuration_source source = MakeSource(revision, MakeDocument(revision));
    const std::uint64_t kind = base::NextBelow(random, 5);
    if (kind == 0) source.rules = R"({"collections":[)";
    if (kind == 1) source.inventory = "{}";
    if (kind == 2) {
      const auto payload = MakePayload(other, base::revision_id(base::NextBelow(random, 31)));
      if (payload.has_value()) static_cast<void>(OfferPayload(store, *payload));
    } else {
      const auto offered = OfferSource(store, source);
      if (kind <= 1) CHECK_FALSE(offered.has_value());
    }
    if (store.in_force == nullptr) continue;
    CHECK(store.in_force->revision.value >= highest);
    highest = store.in_force->revision.value;
    CHECK(store.document == MakeDocument(highest));
    CHECK(store.in_force->digest == base::HashBytes(store.document.dump()));
    CHECK(store.patches.size() <= kMaxPatches);
  }
}

TEST_CASE("the same revision with other content is a conflict and is not accepted") {
  configuration_store store = MakeStore(5, 5);
  CHECK(OfferSource(store, MakeSource(5, MakeDocument(5))).value() == false);
  const auto conflict = OfferSource(store, MakeSource(5, MakeDocument(6)));
  REQUIRE_FALSE(conflict.has_value());
  CHECK(conflict.error().kind == base::error_kind::kConfigurationConflict);
  CHECK(store.conflicts == 1);
  CHECK(store.document == MakeDocument(5));
  CHECK(OfferSource(store, MakeSource(4, MakeDocument(4))).error().kind == base::error_kind::kConfigurationStale);
}

// Guards against sending the full document for every change, and against a patch to the wrong revision.
TEST_CASE("a payload is a patch while the patches are kept, and brings every receiver to the same document") {
  const configuration_store sender = MakeStore(1, 30);
  const auto [receiver_revision, is_patch] =
      GENERATE(table<std::uint64_t, bool>({{0, false}, {13, false}, {14, true}, {29, true}}));
  configuration_store receiver =
      receiver_revision == 0 ? configuration_store() : MakeStore(receiver_revision, receiver_revision);
  const auto payload = MakePayload(sender, base::revision_id(receiver_revision));
  REQUIRE(payload.has_value());
  CHECK((payload->base.value == receiver_revision && receiver_revision != 0) == is_patch);
  CHECK(OfferPayload(receiver, *payload).value());
  CHECK(receiver.in_force->digest == sender.in_force->digest);
  CHECK_FALSE(MakePayload(sender, base::revision_id(30)).has_value());
}

// Guards against a damaged patch that changes the store or crashes the process.
TEST_CASE("a damaged payload never changes the store") {
  const configuration_store sender = MakeStore(1, 3);
  configuration_store store = MakeStore(2, 2);
  base::random_source random{7};
  const configuration_payload good = *MakePayload(sender, base::revision_id(GENERATE(0U, 2U)));
  for (int i = 0; i < 500; ++i) {
    configuration_payload bad = good;
    const std::uint64_t position = base::NextBelow(random, bad.text.size());
    if (i % 3 == 0) {
      bad.text.resize(position);
    } else {
      bad.text[position] = static_cast<char>(bad.text[position] + 1 + static_cast<char>(base::NextBelow(random, 200)));
    }
    if (i % 3 == 2) bad.digest += 1;
    if (OfferPayload(store, bad).has_value()) FAIL("accepted " << bad.text);
    REQUIRE(store.in_force->revision.value == 2);
    REQUIRE(store.document == MakeDocument(2));
  }
  for (const char* const patch : {R"([{"op":"copy","from":"/rules","path":"/rules/rules"}])",
                                  R"([{"op":"add","path":"/inventory/deployment/x","value":1}])",
                                  R"([{"op":"remove","path":"/none"}])", R"([{"op":"remove"}])", "{}"}) {
    CHECK_FALSE(OfferPayload(store, {base::revision_id(3), 1, base::revision_id(2), patch}).has_value());
  }
  CHECK(store.document == MakeDocument(2));
}

// Guards against a refused revision that blocks a later valid one.
TEST_CASE("an invalid revision is remembered until a newer one is accepted") {
  configuration_store store = MakeStore(2, 2);
  configuration_source source = MakeSource(3, MakeDocument(3));
  source.rules = "{}";
  CHECK_FALSE(OfferSource(store, source).has_value());
  REQUIRE(store.refused.has_value());
  CHECK(store.refused->revision.value == 3);
  CHECK(store.refused->reason.detail == "rules.collections: is missing");
  CHECK(OfferSource(store, MakeSource(4, MakeDocument(4))).value());
  CHECK_FALSE(store.refused.has_value());
}

}  // namespace
}  // namespace limpetrouter::core::config
