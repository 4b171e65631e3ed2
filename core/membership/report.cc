#include <string>

#include "core/base/digest.h"
#include "core/membership/member_change.h"
#include "core/membership/membership.h"

namespace limpetrouter::core::membership {
namespace {

nlohmann::json ReportMember(const member& entry, base::time_point now) {
  nlohmann::json item = {{"id", entry.info.member.id.value},
                         {"incarnation", entry.info.member.incarnation.value},
                         {"state", ToString(entry.info.state)},
                         {"state_for_ms", base::ToMilliseconds(now - entry.since)},
                         {"data_centre", entry.info.data_centre.value},
                         {"peer_address", entry.info.peer_address},
                         {"http_address", entry.info.http_address},
                         {"listed", entry.listed},
                         {"revision", entry.revision.value},
                         {"last_contact_ms", nullptr}};
  if (entry.last_contact != base::time_point{})
    item["last_contact_ms"] = base::ToMilliseconds(now - entry.last_contact);
  return item;
}

nlohmann::json ReportSelf(const membership_tables& tables) {
  const identity& self = tables.members.self;
  const config::configuration_ptr& config = tables.store.in_force;
  return {{"id", self.ref.id.value},
          {"incarnation", self.ref.incarnation.value},
          {"state", ToString(MakeSelfUpdate(tables.members).state)},
          {"data_centre", self.data_centre.value},
          {"peer_address", self.peer_address},
          {"http_address", self.http_address},
          {"revision", config == nullptr ? 0 : config->revision.value}};
}

nlohmann::json ReportLagging(const membership_tables& tables) {
  nlohmann::json lagging = nlohmann::json::array();
  if (tables.store.in_force == nullptr) return lagging;
  for (const auto& [id, entry] : tables.members.members) {
    const bool has_contact = entry.last_contact != base::time_point{} && entry.info.state != peer::member_state::kDead;
    if (!has_contact || entry.revision >= tables.store.in_force->revision) continue;
    lagging.push_back({{"id", id.value}, {"revision", entry.revision.value}});
  }
  return lagging;
}

}  // namespace

nlohmann::json ReportInstances(const membership_tables& tables, base::time_point now) {
  nlohmann::json instances = nlohmann::json::array();
  for (const auto& [id, entry] : tables.members.members)
    instances.push_back(ReportMember(entry, now));
  return {{"self", ReportSelf(tables)}, {"instances", std::move(instances)}};
}

nlohmann::json ReportConfiguration(const membership_tables& tables, base::time_point /*now*/) {
  const config::configuration_store& store = tables.store;
  nlohmann::json report = {{"revision", 0},
                           {"digest", nullptr},
                           {"refused", nullptr},
                           {"conflicts", store.conflicts},
                           {"watching", tables.reader.watching},
                           {"read_failures", tables.reader.failures},
                           {"lagging", ReportLagging(tables)}};
  if (store.in_force != nullptr) {
    report["revision"] = store.in_force->revision.value;
    report["digest"] = base::ToHex(store.in_force->digest);
  }
  if (store.refused.has_value()) {
    report["refused"] = {{"revision", store.refused->revision.value},
                         {"error", base::ToString(store.refused->reason.kind)},
                         {"reason", store.refused->reason.detail}};
  }
  return report;
}

nlohmann::json ReportDrains(const membership_tables& tables, base::time_point /*now*/) {
  nlohmann::json recorded = nlohmann::json::array();
  for (const auto& [key, known] : tables.facts.facts) {
    if (known.fact.kind != peer::fact_kind::kBackendDraining) continue;
    recorded.push_back(
        {{"backend_server", known.fact.subject}, {"revision", known.fact.revision}, {"boot", known.fact.boot}});
  }
  nlohmann::json inventory = nlohmann::json::array();
  if (tables.store.in_force != nullptr) {
    for (const config::backend_server& server : tables.store.in_force->backend_servers) {
      if (server.state == config::backend_state::kLeaving) inventory.push_back(server.id.value);
    }
  }
  return {{"recorded", std::move(recorded)}, {"inventory", std::move(inventory)}};
}

nlohmann::json ReportWithheld(const membership_tables& tables, base::time_point now) {
  nlohmann::json withheld = nlohmann::json::array();
  for (const auto& [key, known] : tables.facts.facts) {
    if (known.fact.kind != peer::fact_kind::kRequestWithheld || known.expires <= now) continue;
    withheld.push_back(
        {{"fingerprint", known.fact.subject}, {"remaining_ms", base::ToMilliseconds(known.expires - now)}});
  }
  return {{"withheld", std::move(withheld)}};
}

}  // namespace limpetrouter::core::membership
