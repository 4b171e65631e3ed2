#include "core/membership/fact_table.h"

#include <algorithm>
#include <utility>

#include "core/base/digest.h"

namespace limpetrouter::core::membership {
namespace {

using peer::fact_kind;

/// The fact that a drain has ended must outlive the longest partition (one hour) during which another instance could
/// still hold the drain.
constexpr base::duration kDrainEndLifetime = std::chrono::hours(2);
/// Crashes under an answered request are not held against it for this time. It covers the time until all instances have
/// forgotten the earlier crashes, and is short because a change of the backend servers may make the request dangerous.
constexpr base::duration kAnsweredLifetime = std::chrono::seconds(10);
/// Upper bound for the lifetime of a fact that another instance states.
constexpr base::duration kMaxLifetime = std::chrono::hours(24);

std::string DrainEndSubject(const std::string& server, std::uint64_t boot) { return server + "/" + base::ToHex(boot); }

/// Facts about one request besides its first crash have subjects of their own. Instances of earlier versions pass facts
/// with such subjects on without using them; a new kind of fact would make them refuse the message.
std::string RepeatedCrashSubject(const std::string& fingerprint) { return fingerprint + "/repeated"; }
std::string AnsweredSubject(const std::string& fingerprint) { return fingerprint + "/answered"; }

bool Expires(fact_kind kind) { return kind != fact_kind::kBackendDraining; }

const known_fact* Find(const fact_table& table, fact_kind kind, const std::string& subject) {
  const auto found = table.facts.find({kind, subject});
  return found == table.facts.end() ? nullptr : &found->second;
}

const known_fact* FindUnexpired(const fact_table& table, fact_kind kind, const std::string& subject,
                                base::time_point now) {
  const known_fact* const known = Find(table, kind, subject);
  return known != nullptr && known->expires > now ? known : nullptr;
}

void Put(fact_table& table, const peer::fact& fact, base::duration lifetime, base::time_point now) {
  known_fact& known = table.facts[{fact.kind, fact.subject}];
  known.fact = fact;
  known.learned = now;
  known.fact.expires_in_us = Expires(fact.kind) ? lifetime.count() : 0;
  known.expires = Expires(fact.kind) ? now + lifetime : base::time_point::max();
  known.transmissions_left = kFactTransmissions;
  table.announcement_due = true;
}

/// True if the drain of incarnation `boot` of the server is recorded as ended. 0 stands for an unknown incarnation.
bool HasEnded(const fact_table& table, const std::string& server, std::uint64_t boot) {
  return boot != 0 && Find(table, fact_kind::kDrainEnded, DrainEndSubject(server, boot)) != nullptr;
}

void PutDrainEnd(fact_table& table, const std::string& server, std::uint64_t boot, base::time_point now) {
  if (boot == 0 || HasEnded(table, server, boot)) return;
  peer::fact end;
  end.kind = fact_kind::kDrainEnded;
  end.subject = DrainEndSubject(server, boot);
  Put(table, end, kDrainEndLifetime, now);
}

/// True if `offered` replaces `held`. A drain that has not ended precedes one that has, then the higher generation
/// precedes, then a known incarnation.
bool Supersedes(const fact_table& table, const peer::fact& offered, const peer::fact& held) {
  const bool offered_ended = HasEnded(table, offered.subject, offered.boot);
  const bool held_ended = HasEnded(table, held.subject, held.boot);
  if (offered_ended != held_ended) return held_ended;
  if (offered.revision != held.revision) return offered.revision > held.revision;
  return offered.boot > held.boot;
}

bool MergeDrain(fact_table& table, const peer::fact& fact, base::time_point now) {
  const known_fact* const held = Find(table, fact_kind::kBackendDraining, fact.subject);
  if (held == nullptr ? HasEnded(table, fact.subject, fact.boot) : !Supersedes(table, fact, held->fact)) return false;
  Put(table, fact, {}, now);
  return true;
}

bool MergeTimed(fact_table& table, const peer::fact& fact, base::duration lifetime, base::time_point now) {
  const known_fact* const held = FindUnexpired(table, fact.kind, fact.subject, now);
  if (held != nullptr && held->fact.revision >= fact.revision) return false;
  Put(table, fact, lifetime, now);
  return true;
}

/// Records a fact without content other than its subject, unless an unexpired one is known already. Returns true if the
/// fact was recorded.
bool PutIfAbsent(fact_table& table, fact_kind kind, std::string subject, base::duration lifetime,
                 base::time_point now) {
  peer::fact fact;
  fact.kind = kind;
  fact.subject = std::move(subject);
  return MergeTimed(table, fact, lifetime, now);
}

/// Fingerprint that a fact about a request is about.
std::string FingerprintOf(const peer::fact& fact) { return fact.subject.substr(0, fact.subject.find('/')); }

bool IsAnswered(const fact_table& table, const std::string& fingerprint, base::time_point now) {
  return FindUnexpired(table, fact_kind::kRequestSuspected, AnsweredSubject(fingerprint), now) != nullptr;
}

/// Records that the request was answered, and forgets the crashes that it was suspected of.
bool PutAnswered(fact_table& table, const std::string& fingerprint, base::duration lifetime, base::time_point now) {
  if (!PutIfAbsent(table, fact_kind::kRequestSuspected, AnsweredSubject(fingerprint), lifetime, now)) return false;
  table.facts.erase({fact_kind::kRequestSuspected, fingerprint});
  table.facts.erase({fact_kind::kRequestSuspected, RepeatedCrashSubject(fingerprint)});
  table.facts.erase({fact_kind::kRequestWithheld, fingerprint});
  return true;
}

bool MergeSuspicion(fact_table& table, const peer::fact& fact, base::duration lifetime, base::time_point now) {
  const known_fact* const held = FindUnexpired(table, fact.kind, fact.subject, now);
  if (held == nullptr) {
    Put(table, fact, lifetime, now);
    return true;
  }
  const bool certain = fact.revision != 0 || held->fact.revision != 0;
  bool withheld = false;
  if (held->fact.boot != fact.boot && certain) {
    withheld = PutIfAbsent(table, fact_kind::kRequestWithheld, fact.subject, lifetime, now);
  }
  // The certain crash is kept, then the one with the higher hash, so that the result does not depend on the order of
  // arrival.
  if (std::pair(fact.revision, fact.boot) <= std::pair(held->fact.revision, held->fact.boot)) return withheld;
  Put(table, fact, lifetime, now);
  return true;
}

}  // namespace

void RecordDrain(fact_table& table, const base::backend_server_id& id, base::generation_id generation,
                 std::uint64_t boot, base::time_point now) {
  const known_fact* const held = Find(table, fact_kind::kBackendDraining, id.value);
  const std::uint64_t held_boot = held == nullptr ? 0 : held->fact.boot;
  // A statement without an incarnation is assigned to the recorded incarnation, unless that one has ended.
  if (boot == 0 && !HasEnded(table, id.value, held_boot)) boot = held_boot;
  if (HasEnded(table, id.value, boot)) return;
  if (held != nullptr && held->fact.revision >= generation.value && held_boot == boot) return;
  peer::fact fact;
  fact.kind = fact_kind::kBackendDraining;
  fact.subject = id.value;
  fact.revision = held == nullptr ? generation.value : std::max(held->fact.revision, generation.value);
  fact.boot = boot;
  if (held_boot != boot) PutDrainEnd(table, id.value, held_boot, now);
  Put(table, fact, {}, now);
}

void RecordBoot(fact_table& table, const base::backend_server_id& id, std::uint64_t boot, bool draining,
                base::time_point now) {
  if (boot == 0) return;
  const known_fact* const held = Find(table, fact_kind::kBackendDraining, id.value);
  if (held == nullptr || held->fact.boot == boot) return;
  if (HasEnded(table, id.value, boot)) return;
  if (held->fact.boot == 0) {
    peer::fact fact = held->fact;
    fact.boot = boot;
    Put(table, fact, {}, now);
    return;
  }
  if (draining) return;
  PutDrainEnd(table, id.value, held->fact.boot, now);
  table.facts.erase({fact_kind::kBackendDraining, id.value});
}

bool IsDraining(const fact_table& table, const config::configuration& config, const base::backend_server_id& id) {
  const config::backend_server* const server = config::FindBackendServer(config, id);
  if (server != nullptr && server->state == config::backend_state::kLeaving) return true;
  if (table.facts.empty()) return false;
  const known_fact* const held = Find(table, fact_kind::kBackendDraining, id.value);
  if (held == nullptr || HasEnded(table, id.value, held->fact.boot)) return false;
  return server == nullptr || server->generation.value <= held->fact.revision;
}

void RecordWithheld(fact_table& table, base::fingerprint_id fingerprint, base::duration lifetime,
                    base::time_point now) {
  PutIfAbsent(table, fact_kind::kRequestWithheld, base::ToHex(fingerprint.value), lifetime, now);
}

bool IsWithheld(const fact_table& table, base::fingerprint_id fingerprint, base::time_point now) {
  if (table.facts.empty()) return false;
  return FindUnexpired(table, fact_kind::kRequestWithheld, base::ToHex(fingerprint.value), now) != nullptr;
}

void RecordBusy(fact_table& table, const base::instance_id& id, base::duration lifetime, base::time_point now) {
  PutIfAbsent(table, fact_kind::kInstanceBusy, id.value, lifetime, now);
}

bool IsBusy(const fact_table& table, const base::instance_id& id, base::time_point now) {
  return FindUnexpired(table, fact_kind::kInstanceBusy, id.value, now) != nullptr;
}

void RecordCutOff(fact_table& table, const base::instance_id& id, bool cut_off, base::duration lifetime,
                  base::time_point now) {
  const known_fact* const held = Find(table, fact_kind::kInstanceCutOff, id.value);
  peer::fact fact;
  fact.kind = fact_kind::kInstanceCutOff;
  fact.subject = id.value;
  fact.revision = held == nullptr ? 1 : held->fact.revision + 1;
  fact.boot = cut_off ? 1 : 0;
  Put(table, fact, lifetime, now);
}

bool IsCutOff(const fact_table& table, const base::instance_id& id, base::time_point now) {
  if (table.facts.empty()) return false;
  const known_fact* const known = FindUnexpired(table, fact_kind::kInstanceCutOff, id.value, now);
  return known != nullptr && known->fact.boot != 0;
}

void RecordSuspected(fact_table& table, base::fingerprint_id fingerprint, const crash_suspicion& crash,
                     base::duration lifetime, base::time_point now) {
  peer::fact fact;
  fact.kind = fact_kind::kRequestSuspected;
  fact.subject = base::ToHex(fingerprint.value);
  fact.boot = crash.crashed_server;
  fact.revision = crash.certain ? 1 : 0;
  MergeSuspicion(table, fact, lifetime, now);
}

std::optional<crash_suspicion> FindSuspicion(const fact_table& table, base::fingerprint_id fingerprint,
                                             base::time_point now) {
  if (table.facts.empty()) return std::nullopt;
  const known_fact* const known =
      FindUnexpired(table, fact_kind::kRequestSuspected, base::ToHex(fingerprint.value), now);
  if (known == nullptr) return std::nullopt;
  return crash_suspicion{known->fact.boot, known->fact.revision != 0};
}

std::optional<base::time_point> SuspectedSince(const fact_table& table, base::fingerprint_id fingerprint,
                                               base::time_point now) {
  const known_fact* const known =
      FindUnexpired(table, fact_kind::kRequestSuspected, base::ToHex(fingerprint.value), now);
  return known == nullptr ? std::nullopt : std::optional(known->learned);
}

bool IsSuspected(const fact_table& table, base::fingerprint_id fingerprint, base::time_point now) {
  return FindSuspicion(table, fingerprint, now).has_value();
}

void RecordRepeatedCrash(fact_table& table, base::fingerprint_id fingerprint, const repeated_crash& crash,
                         base::duration lifetime, base::time_point now) {
  const std::string subject = RepeatedCrashSubject(base::ToHex(fingerprint.value));
  const known_fact* const held = FindUnexpired(table, fact_kind::kRequestSuspected, subject, now);
  if (held == nullptr) {
    peer::fact fact;
    fact.kind = fact_kind::kRequestSuspected;
    fact.subject = subject;
    fact.revision = crash.crashed_server;
    Put(table, fact, lifetime, now);
  } else if (crash.call_started >= held->learned && held->fact.revision != crash.crashed_server) {
    RecordWithheld(table, fingerprint, lifetime, now);
  }
}

void RecordAnswered(fact_table& table, base::fingerprint_id fingerprint, base::time_point now) {
  if (!IsSuspected(table, fingerprint, now) && !IsWithheld(table, fingerprint, now)) return;
  PutAnswered(table, base::ToHex(fingerprint.value), kAnsweredLifetime, now);
}

bool IsAnswered(const fact_table& table, base::fingerprint_id fingerprint, base::time_point now) {
  return !table.facts.empty() && IsAnswered(table, base::ToHex(fingerprint.value), now);
}

bool MergeFact(fact_table& table, const peer::fact& fact, base::time_point now) {
  if (fact.kind == fact_kind::kBackendDraining) return MergeDrain(table, fact, now);
  if (fact.expires_in_us <= 0) return false;
  const base::duration lifetime = std::min(base::duration(fact.expires_in_us), kMaxLifetime);
  if (fact.kind == fact_kind::kRequestSuspected || fact.kind == fact_kind::kRequestWithheld) {
    const std::string fingerprint = FingerprintOf(fact);
    if (fact.subject == AnsweredSubject(fingerprint)) return PutAnswered(table, fingerprint, lifetime, now);
    if (IsAnswered(table, fingerprint, now)) return false;
    if (fact.kind == fact_kind::kRequestSuspected && fact.subject == fingerprint)
      return MergeSuspicion(table, fact, lifetime, now);
  }
  return MergeTimed(table, fact, lifetime, now);
}

void ExpireFacts(fact_table& table, base::time_point now) {
  std::erase_if(table.facts, [now](const auto& entry) { return entry.second.expires <= now; });
}

}  // namespace limpetrouter::core::membership
