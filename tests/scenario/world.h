#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/config/configuration.h"
#include "core/instance/instance.h"
#include "tests/scenario/fake_backend.h"
#include "tests/scenario/forward_world.h"
#include "tests/scenario/trace.h"

namespace limpetrouter::tests::scenario {

/// One request pattern of the load.
struct load_spec {
  std::string collection;
  std::string operation;
  double rate = 10;
  base::time_point from{};
  base::time_point to = base::time_point::max();
  base::duration deadline = std::chrono::seconds(2);
  /// Distinct bodies; 0 makes every body new.
  std::uint32_t distinct_bodies = 50;
  /// Each request has a key of its own.
  bool unique_key = false;
  bool urgent = false;
  bool repeatable = true;
  /// Sends after the first, through the next address, when no answer arrives.
  std::uint32_t resends = 0;
  /// Sends the same request at once through so many instances.
  std::uint32_t copies = 1;
  /// Body marker that crashes each backend server that runs it.
  bool crashes = false;
};

/// One-way delays.
struct network_spec {
  base::duration within = std::chrono::microseconds(200);
  base::duration between = std::chrono::milliseconds(1);
  base::duration from_callers = std::chrono::milliseconds(3);
  double duplicate_share = 0.0;
  /// Extra delay of up to this on each message between instances, which reorders datagrams.
  base::duration jitter = std::chrono::microseconds(100);
};

struct instance_spec {
  std::string id;
  std::string data_centre;
};

/// True if the text is the pattern, in which the first "*" stands for anything.
bool Matches(const std::string& pattern, const std::string& text);

/// A few instances of the real decision core over fakes of everything outside it, on a virtual clock. Deterministic for
/// a seed.
class world {
 public:
  world(std::uint64_t seed, const nlohmann::json& document, std::vector<instance_spec> instances, network_spec network);

  // Driving.
  void AddLoad(const load_spec& load);
  void At(base::duration when, std::function<void()> action);
  void RunUntil(base::duration when);
  base::time_point now() const { return now_; }

  // Faults. Names are ids of instances, backend servers or data centres.
  void Kill(const std::string& instance);
  void Start(const std::string& instance);
  void Leave(const std::string& instance);
  void Freeze(const std::string& instance, base::duration time);
  void Cut(const std::string& from, const std::string& to);
  void Heal(const std::string& from, const std::string& to);
  void SetBackendUp(const std::string& id, bool up);
  void SetBackendFrozen(const std::string& id, bool frozen);
  void SetBackendDraining(const std::string& id, bool draining);
  void RestartBackend(const std::string& id);
  fake_backend& backend(const std::string& id);
  std::vector<std::string> BackendsMatching(const std::string& pattern) const;
  std::vector<std::string> InstancesMatching(const std::string& pattern) const;

  // Platform.
  void Publish(const nlohmann::json& document);
  void SetPlatformDown(bool down) { platform_down_ = down; }
  void SetPlatformStale(std::optional<std::uint64_t> revision) { stale_revision_ = revision; }
  void SetPlatformCut(const std::string& instance, bool cut);
  void SetListLag(base::duration lag) { list_lag_ = lag; }
  const nlohmann::json& document() const { return published_.rbegin()->second; }
  /// The configuration of a published revision, or null if that revision is invalid.
  core::config::configuration_ptr ConfigurationAt(std::uint64_t revision) const;

  // Forwarded requests (world_forwarding.cc).
  void AddForwardRoute(const forward_route_spec& route);
  void AddForwardLoad(const forward_load_spec& load);
  std::vector<std::string> ForwardServersMatching(const std::string& pattern) const;
  forward_server& ForwardServer(const std::string& id) { return forward_.servers.at(id); }
  /// All calls at the server break. Its entry is deleted after the lease of two seconds.
  void CrashForwardServer(const std::string& id);
  /// Starts it again with a new incarnation.
  void StartForwardServer(const std::string& id);
  void DrainForwardServer(const std::string& id);
  void CutFromServers(const std::string& instance, server_cut_kind kind);
  void HealFromServers(const std::string& instance);
  /// Keeps a copy of the platform's store, which `RestoreForwardStore` goes back to.
  void CopyForwardStore();
  void RestoreForwardStore();
  /// The backend server writes its entry once more.
  void PublishServer(const std::string& id);
  const forward_fakes& forwarding() const { return forward_; }

  trace& record() { return trace_; }
  const trace& record() const { return trace_; }
  void KeepLog(bool keep) { keep_log_ = keep; }
  core::instance::instance* Find(const std::string& instance);
  base::random_source& random() { return random_; }
  double NextNormal();

 private:
  struct process {
    instance_spec spec;
    std::unique_ptr<core::instance::instance> core;
    bool running = false;
    bool frozen = false;
    std::uint64_t life = 0;
    std::vector<core::io::event> held;
    std::set<call_key> calls;
    /// Connections by backend server: idle and in use.
    std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> connections;
    std::map<std::uint64_t, std::size_t> requests_by_handle;
    std::uint64_t last_revision = 0;
  };
  struct timed_action {
    base::time_point at;
    std::uint64_t order;
    std::function<void()> run;
  };
  struct later {
    bool operator()(const timed_action& a, const timed_action& b) const {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };
  struct address_cache {
    std::vector<std::string> instances;
    base::time_point expires{};
  };

  void Schedule(base::duration delay, std::function<void()> action);
  /// Calls `look` after `delay`, and again in small steps until it returns true.
  void Poll(base::duration delay, std::function<bool()> look);
  process& ProcessOf(const std::string& instance);
  life_record& LastLife(const std::string& instance);
  void Tick(const std::string& instance, std::uint64_t life);
  void Deliver(const std::string& instance, std::uint64_t life, core::io::event event);
  void Execute(process& p, core::io::command_list& commands);
  void NoteRevision(process& p);
  void NoteInventoryDrains(const core::config::configuration& config);

  // Network.
  bool IsCut(const std::string& from, const std::string& to) const;
  base::duration Delay(const std::string& from_dc, const std::string& to_dc);
  void SendPeer(process& p, const core::io::send_peer& send);

  // Backend servers (world_backend.cc).
  void CallBackend(process& p, const core::io::call_backend& call);
  void CancelBackend(process& p, const core::io::cancel_backend_call& cancel);
  void ProbeBackend(process& p, const core::io::probe_backend& probe);
  void Arrive(const std::string& id, pending_call call);
  void StartCall(fake_backend& server, pending_call call);
  void FinishCall(const std::string& id, std::uint64_t life, const call_key& key);
  void StartQueued(fake_backend& server);
  void Crash(fake_backend& server);
  void BreakAll(fake_backend& server);
  void ReleaseConnection(process& p, const std::string& server, bool close);
  std::uint32_t ConnectionsTo(const std::string& server) const;
  base::duration ServiceTime(const fake_backend& server);
  peer::attempt_result MakeAnswer(const fake_backend& server, const core::io::call_backend& call) const;

  // Callers (world_callers.cc).
  void NextArrival(std::size_t load);
  void SendRequest(std::size_t request, const std::string& instance, std::uint32_t resends_left, bool copy);
  void Resend(std::size_t request, std::uint32_t resends_left, const std::string& failed);
  void AskAddresses(const std::string& caller, std::uint32_t permits,
                    std::function<void(const core::io::addresses_answer&)> then);
  std::string PickInstance(const std::string& caller);
  void ReceiveAnswer(std::size_t request, const std::string& instance, const peer::query_answer& answer);

  // Forwarded requests (world_forwarding.cc).
  bool ExecuteForwarding(process& p, core::io::command& command);
  void UnpublishServer(const std::string& id, std::uint64_t incarnation);
  core::forwarding::published_changes PublishedAll() const;
  void ListPublished(process& p, std::uint64_t read);
  void WatchPublished(process& p, const core::io::watch_published& watch);
  void StartForwardCall(process& p, const core::io::start_call& call);
  /// Ends the call as the cut between its instance and the servers requires. Returns false if it reaches its server.
  bool CutForwardCall(const forward_server::held_call& held);
  void ProbeForwardServer(process& p, const core::io::probe_server& probe);
  void ArriveForwardCall(const std::string& server, forward_server::held_call held);
  void RunForwardCall(forward_server& server, forward_server::held_call held);
  void FinishForwardRun(const std::string& server, std::uint64_t run);
  void StartQueuedForward(forward_server& server);
  void DropForwardCalls(const std::string& instance, std::uint64_t life, std::optional<std::uint64_t> call);
  void EndForwardCall(const forward_server::held_call& held, core::forwarding::call_result result, bool at_once);
  void NextForwardArrival(std::size_t load);
  void SendForwardTry(std::uint64_t request, const std::string& route, const std::string& content,
                      base::time_point first_sent, std::uint32_t number);
  void RetryForward(const forward_try& failed, base::duration pause, base::time_point first_sent, std::uint32_t number);
  void LoseForwardTries(const std::string& instance);

  // Platform.
  void ReadConfiguration(process& p, const core::io::read_configuration& read);
  void ReadInstanceList(process& p);
  std::uint64_t VisibleRevision() const;

  base::random_source random_;
  base::time_point now_{std::chrono::seconds(1)};
  std::uint64_t next_order_ = 0;
  std::uint64_t next_handle_ = 1;
  std::uint64_t next_request_ = 1;
  std::priority_queue<timed_action, std::vector<timed_action>, later> actions_;
  network_spec network_;
  std::map<std::string, process> processes_;
  std::map<std::string, fake_backend> backends_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::pair<std::string, std::string>, base::time_point> stream_order_;

  std::map<std::uint64_t, nlohmann::json> published_;
  std::map<std::uint64_t, core::config::configuration_ptr> configurations_;
  bool platform_down_ = false;
  std::optional<std::uint64_t> stale_revision_;
  std::set<std::string> platform_cuts_;
  base::duration list_lag_ = std::chrono::seconds(2);
  struct list_state {
    base::time_point at;
    bool listed;
    bool leaving;
  };
  std::map<std::string, std::vector<list_state>> list_history_;

  forward_fakes forward_;
  struct forward_caller_state {
    base::time_point first_sent;
    std::uint32_t number = 0;
  };
  std::map<std::size_t, forward_caller_state> forward_callers_;

  std::vector<load_spec> loads_;
  std::map<std::string, address_cache> address_caches_;
  std::map<std::uint64_t, std::function<void(const core::io::addresses_answer&)>> address_waiters_;
  trace trace_;
  bool keep_log_ = false;
};

}  // namespace limpetrouter::tests::scenario
