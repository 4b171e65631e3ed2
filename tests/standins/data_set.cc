#include "tests/standins/data_set.h"

#include <array>

#include <fmt/format.h>

#include "core/base/digest.h"
#include "core/base/random.h"

namespace limpetrouter::tests::standins {
namespace {

using core::base::NextBelow;
using core::base::random_source;

/// Sets the fields and totals of one document. The numbers of `snapshot_random` differ between snapshots, those of
/// `random` do not.
using fill_function = void (*)(random_source& random, random_source& snapshot_random, document& out);

template <std::size_t N>
const char* Pick(random_source& random, const std::array<const char*, N>& names) {
  return names[NextBelow(random, N)];
}

constexpr std::array<const char*, 5> kTankFarms = {"Dalin", "Linyuan", "Mailiao", "Taoyuan", "Yongan"};
constexpr std::array<const char*, 4> kProducts = {"crude", "diesel", "gasoline", "jet fuel"};
constexpr std::array<const char*, 3> kPorts = {"Anping", "Kaohsiung", "Mailiao"};
constexpr std::array<const char*, 4> kPaints = {"RAL 1003", "RAL 3020", "RAL 5015", "RAL 9005"};
constexpr std::array<const char*, 3> kHubs = {"4x100", "5x112", "5x114.3"};
constexpr std::array<const char*, 4> kWorkshops = {"Fukuoka", "Kumamoto", "Oita", "Saga"};
constexpr std::array<const char*, 3> kTicketStates = {"done", "open", "waiting for parts"};

void FillTank(random_source& random, random_source& snapshot_random, document& out) {
  out.value["farm"] = Pick(random, kTankFarms);
  out.value["product"] = Pick(random, kProducts);
  const auto litres = static_cast<std::int64_t>(500'000 + NextBelow(snapshot_random, 20'000'000));
  out.value["litres"] = litres;
  out.totals = {{"litres", litres}, {"tanks", 1}};
}

void FillBerthSlot(random_source& random, random_source& snapshot_random, document& out) {
  out.value["port"] = Pick(random, kPorts);
  out.value["berth"] = NextBelow(random, 12) + 1;
  const bool taken = NextBelow(snapshot_random, 3) != 0;
  out.value["taken"] = taken;
  out.totals = {{"berth_slots", 1}, {"taken", taken ? 1 : 0}};
}

void FillTransfer(random_source& random, random_source& /*snapshot_random*/, document& out) {
  out.value["from"] = Pick(random, kTankFarms);
  out.value["to"] = Pick(random, kPorts);
  const auto litres = static_cast<std::int64_t>(10'000 + NextBelow(random, 900'000));
  out.value["litres"] = litres;
  out.totals = {{"litres", litres}, {"transfers", 1}};
}

void FillInspector(random_source& random, random_source& snapshot_random, document& out) {
  out.value["farm"] = Pick(random, kTankFarms);
  out.value["on_duty"] = NextBelow(snapshot_random, 2) == 1;
  out.totals = {{"inspectors", 1}};
}

void FillWheelPart(random_source& random, random_source& snapshot_random, document& out) {
  out.value["paint"] = Pick(random, kPaints);
  out.value["hub"] = Pick(random, kHubs);
  out.value["workshop"] = Pick(random, kWorkshops);
  const auto pieces = static_cast<std::int64_t>(NextBelow(snapshot_random, 9));
  out.value["pieces"] = pieces;
  out.totals = {{"parts", 1}, {"pieces", pieces}};
}

void FillVolunteer(random_source& random, random_source& snapshot_random, document& out) {
  out.value["workshop"] = Pick(random, kWorkshops);
  out.value["hours"] = NextBelow(snapshot_random, 20);
  out.totals = {{"volunteers", 1}};
}

void FillTicket(random_source& random, random_source& snapshot_random, document& out) {
  out.value["hub"] = Pick(random, kHubs);
  out.value["workshop"] = Pick(random, kWorkshops);
  out.value["state"] = Pick(snapshot_random, kTicketStates);
  out.totals = {{"tickets", 1}};
}

void FillDonor(random_source& random, random_source& snapshot_random, document& out) {
  out.value["workshop"] = Pick(random, kWorkshops);
  const auto wheels = static_cast<std::int64_t>(NextBelow(snapshot_random, 40));
  out.value["wheels"] = wheels;
  out.totals = {{"donors", 1}, {"wheels", wheels}};
}

void FillItem(random_source& /*random*/, random_source& snapshot_random, document& out) {
  out.value["number"] = NextBelow(snapshot_random, 1000);
  out.totals = {{"items", 1}};
}

struct collection_spec {
  std::string_view collection;
  std::string_view key_prefix;
  std::uint64_t documents;
  fill_function fill;
};

constexpr std::array<collection_spec, 8> kCollections = {{
    {"stock-ledger", "TANK", 1'200, FillTank},
    {"berth-scheduling", "BERTH", 450, FillBerthSlot},
    {"custody-archive", "TRANSFER", 5'000, FillTransfer},
    {"inspector-roster", "INSPECTOR", 260, FillInspector},
    {"bench-search", "PART", 2'400, FillWheelPart},
    {"volunteer-rosters", "VOLUNTEER", 600, FillVolunteer},
    {"job-board", "TICKET", 800, FillTicket},
    {"donor-ledger", "DONOR", 360, FillDonor},
}};

constexpr collection_spec kDefaultCollection = {"", "ITEM", 1'000, FillItem};

const collection_spec& FindCollection(const std::string& collection) {
  for (const collection_spec& spec : kCollections) {
    if (spec.collection == collection) return spec;
  }
  return kDefaultCollection;
}

}  // namespace

document MakeDocument(const std::string& collection, std::uint64_t snapshot, std::uint64_t seed, std::uint64_t index) {
  const collection_spec& spec = FindCollection(collection);
  document generated;
  generated.key = fmt::format("{}-{:05}", spec.key_prefix, index + 1);
  random_source random{core::base::HashBytes(generated.key, seed)};
  random_source snapshot_random{core::base::HashBytes(generated.key, core::base::MixHash(seed, snapshot))};
  generated.value = nlohmann::json::object();
  spec.fill(random, snapshot_random, generated);
  return generated;
}

std::uint64_t DocumentCount(const std::string& collection) { return FindCollection(collection).documents; }

std::vector<std::vector<document>> PlaceDocuments(const std::string& collection, std::uint64_t snapshot,
                                                  std::uint64_t seed, std::uint64_t count, std::size_t shards) {
  std::vector<std::vector<document>> shard_documents(shards);
  for (std::uint64_t i = 0; i < count && shards != 0; ++i) {
    document generated = MakeDocument(collection, snapshot, seed, i);
    const std::size_t shard = core::base::HashBytes(generated.key) % shards;
    shard_documents[shard].push_back(std::move(generated));
  }
  return shard_documents;
}

void AddTotals(std::map<std::string, std::int64_t>& into, const std::map<std::string, std::int64_t>& from) {
  for (const auto& [name, value] : from)
    into[name] += value;
}

}  // namespace limpetrouter::tests::standins
