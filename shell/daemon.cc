#include "shell/daemon.h"

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <thread>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <variant>

#include "core/base/random.h"
#include "shell/backend_client.h"
#include "shell/connection_limits.h"
#include "shell/connection_report.h"
#include "shell/core_loop.h"
#include "shell/endpoints.h"
#include "shell/forwarding_gateway.h"
#include "shell/http_server.h"
#include "shell/json_codec.h"
#include "shell/log.h"
#include "shell/metrics.h"
#include "shell/peer_links.h"
#include "shell/platform_client.h"
#include "shell/task_thread.h"

namespace limpetrouter::shell {
namespace {

using core::base::error_kind;
using core::base::executed_state;

constexpr double kThousandths = 1'000;
/// At shutdown, answers to callers that read slowly may take this long to be written.
constexpr std::chrono::seconds kAnswerFlushTime{10};
/// At shutdown, messages to other instances may take this long to be written.
constexpr std::chrono::seconds kPeerFlushTime{2};
/// This limit replaces both limits above in a forwarding instance, which the platform kills soon.
constexpr std::chrono::milliseconds kForwardingFlushTime{200};
constexpr std::chrono::milliseconds kFlushPollInterval{5};

/// A restarted instance must have a higher incarnation than before. Instances have no disk, so the incarnation is taken
/// from the wall clock.
core::base::incarnation_id MakeIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return core::base::incarnation_id(
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count()));
}

core::membership::identity MakeIdentity(const settings& settings) {
  return {{core::base::instance_id(settings.name), MakeIncarnation()},
          core::base::data_centre_id(settings.data_centre),
          settings.advertise_peer,
          // Callers of a forwarding instance connect to its address for forwarded requests.
          settings.forwarding.has_value() ? settings.forwarding->listen_entry : settings.advertise_http,
          static_cast<std::uint32_t>(settings.capacity * kThousandths)};
}

/// Mixes random bits into the seed, so that two instances that start in the same microsecond get different seeds.
std::uint64_t MakeSeed(const core::membership::identity& self) {
  std::random_device device;
  return core::base::MixHash(self.ref.incarnation.value, (static_cast<std::uint64_t>(device()) << 32U) | device());
}

/// Builds an instance list from the seeds. In a fleet that is configured by seeds, the name of an instance is its IP
/// address.
core::io::instance_list_read ListSeeds(const std::vector<std::string>& seeds) {
  core::io::instance_list_read list;
  list.succeeded = true;
  for (const std::string& address : seeds) {
    core::io::listed_instance listed;
    std::uint16_t port = 0;
    if (!SplitAddress(address, listed.id.value, port)) continue;
    listed.peer_address = address;
    list.instances.push_back(std::move(listed));
  }
  return list;
}

template <class Condition>
bool WaitUntil(std::chrono::milliseconds timeout, Condition condition) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kFlushPollInterval);
  }
  return true;
}

}  // namespace

struct daemon::impl {
  settings config;
  core::membership::identity self;
  std::uint64_t seed;
  std::atomic<bool> shutdown_complete{false};
  std::atomic<bool> leave_posted{false};
  /// Guards `config.seeds`, which `Reload` changes.
  std::mutex seeds_mutex;
  bool started = false;

  logger log;
  shell::metrics metrics;
  /// Encodes and writes answers on a thread of its own, so that large answers do not delay the core thread.
  task_thread replies;
  core_loop core;
  backend_client backend;
  platform_client platform;
  peer_links peers;
  endpoint_ports ports;
  /// The connections of all callers' listeners.
  std::shared_ptr<connection_limits> limits;
  http_server http;
  /// Charges of the requests to `http` that the core has not answered.
  std::mutex charges_mutex;
  std::unordered_map<core::base::reply_handle, std::shared_ptr<void>> charges;
  /// It is null if forwarding is not configured.
  std::unique_ptr<forwarding_gateway> gateway;

  impl(const settings& s, const adapter_factory& make_adapter)
      : config(s),
        self(MakeIdentity(s)),
        seed(MakeSeed(self)),
        log(s.level, s.name, STDOUT_FILENO),
        core(self, seed,
             {[this](core::io::command&& command) { Execute(std::move(command)); },
              [this](core::base::duration lag) { metrics.TickDelayed(lag); }},
             [&s](core::instance::instance& instance) {
               if (!s.forwarding.has_value()) return;
               instance.forwarding.enabled = true;
               instance.forwarding.bounds = s.forwarding->bounds;
               instance.forwarding.servers.learns_capacity = s.forwarding->bounds.policies.learned_capacity;
             }),
        backend([this](core::io::event event) { PostBackendEvent(std::move(event)); }, s.backend_threads, s.answers),
        platform(
            s, [this](core::io::event event) { core.Post(std::move(event)); },
            [this](std::size_t bytes) { metrics.PlatformBytesReceived(bytes); }),
        peers(s, MakePeerObserver(), log),
        ports(MakeEndpointPorts()),
        limits(std::make_shared<connection_limits>(DeriveBounds(s.callers), MakeConnectionReporter(log, metrics))),
        http(s, MakeHttpObserver(), limits) {
    if (!s.forwarding.has_value()) return;
    gateway = std::make_unique<forwarding_gateway>(
        s, make_adapter, [this](core::io::event event) { core.Post(std::move(event)); }, metrics, limits);
  }

  peer_observer MakePeerObserver() {
    return {[this](core::io::event event) { core.Post(std::move(event)); },
            [this](message_plane plane, std::size_t bytes) { metrics.PeerBytesSent(plane, bytes); },
            [this](message_plane plane, std::size_t bytes) { metrics.PeerBytesReceived(plane, bytes); },
            [this] { metrics.PeerMessageMalformed(); }};
  }

  endpoint_ports MakeEndpointPorts() {
    return {[this](core::io::event event) { core.Post(std::move(event)); },
            [this](core_loop::task work) { core.PostTask(std::move(work)); },
            [this](core::base::reply_handle handle, http_answer answer) {
              ReleaseCharge(handle);
              replies.Post([this, handle, answer = std::move(answer)] { http.Answer(handle, answer); });
            },
            &metrics};
  }

  http_observer MakeHttpObserver() {
    return {[this](core::base::reply_handle handle, const http_request& request) {
              {
                const std::lock_guard lock(charges_mutex);
                charges.emplace(handle, request.charge);
              }
              HandleRequest(ports, handle, request);
            },
            [this](core::base::reply_handle handle) {
              core.Post(core::io::query_abandoned{handle});
              // The core handles the request and its abandonment before this task.
              core.PostTask([this, handle](const auto&, auto) { ReleaseCharge(handle); });
            }};
  }

  void ReleaseCharge(core::base::reply_handle handle) {
    const std::lock_guard lock(charges_mutex);
    charges.erase(handle);
  }

  void PostBackendEvent(core::io::event event) {
    if (const auto* const ended = std::get_if<core::io::backend_call_ended>(&event); ended != nullptr) {
      metrics.BackendCallEnded(ended->result);
    }
    core.Post(std::move(event));
  }

  /// The core loop calls this on the core thread.
  void Execute(core::io::command&& command) {
    std::visit([this](auto&& alternative) { Run(std::forward<decltype(alternative)>(alternative)); },
               std::move(command));
  }

  void Run(core::io::reply_query&& reply) {
    ReleaseCharge(reply.handle);
    replies.Post([this, reply = std::move(reply)] {
      const core::peer::query_answer& answer = reply.answer;
      const int status = answer.succeeded ? 200 : core::base::HttpStatusOf(answer.failure, answer.executed);
      const auto elapsed = http.Answer(reply.handle, {status, EncodeQueryAnswer(answer), true});
      if (elapsed.has_value()) metrics.QueryEnded(answer, *elapsed);
    });
  }

  void Run(core::io::reply_addresses&& reply) {
    ReleaseCharge(reply.handle);
    replies.Post([this, reply = std::move(reply)] {
      http.Answer(reply.handle, {200, EncodeAddresses(reply.answer), true});
    });
  }

  void Run(core::io::send_peer&& send) { peers.Send(std::move(send)); }
  void Run(core::io::call_backend&& call) { backend.Call(call); }
  void Run(core::io::cancel_backend_call&& cancel) { backend.Cancel(cancel); }
  void Run(core::io::probe_backend&& probe) { backend.Probe(probe); }
  /// A forwarding instance reads its configuration through the gateway, so the command is ignored there.
  void Run(core::io::read_configuration&& read) {
    if (gateway == nullptr) platform.ReadConfiguration(read);
  }
  void Run(core::io::read_instance_list&& /*read*/) {
    if (gateway == nullptr) return platform.ReadInstanceList();
    const std::lock_guard lock(seeds_mutex);
    core.Post(ListSeeds(config.seeds));
  }

  void Run(core::io::start_call&& command) { gateway->Run(std::move(command)); }
  void Run(core::io::cancel_call&& command) { gateway->Run(command); }
  void Run(core::io::probe_server&& command) { gateway->Run(command); }
  void Run(core::io::reply_forwarded&& command) { gateway->Run(std::move(command)); }
  void Run(core::io::reply_entry_addresses&& command) { gateway->Run(command); }
  void Run(core::io::list_published&& command) { gateway->Run(command); }
  void Run(core::io::watch_published&& command) { gateway->Run(command); }
  void Run(core::io::apply_caller_limits&& command) { gateway->Run(command); }
  void Run(core::io::report_readiness&& command) { gateway->Run(command); }

  void Run(core::io::log_decision&& decision) {
    metrics.DecisionMade(decision.decision);
    log.Decision(decision);
  }

  void Run(core::io::exit_process&& /*exit*/) {
    if (gateway != nullptr) gateway->RefuseRequests();
    shutdown_complete = true;
  }
};

daemon::daemon(const settings& settings, const adapter_factory& make_adapter)
    : impl_(std::make_unique<impl>(settings, make_adapter)) {}

daemon::~daemon() { Stop(); }

core::base::result<void> daemon::Start() {
  impl& d = *impl_;
  core::base::result<void> bound = d.peers.Start();
  if (!bound.has_value()) return bound;
  bound = d.http.Start();
  if (!bound.has_value()) return bound;
  if (d.gateway != nullptr) bound = d.gateway->Start();
  if (!bound.has_value()) return bound;
  d.core.Start();
  d.started = true;
  d.log.Info("start", {{"data_centre", d.config.data_centre},
                       {"incarnation", std::to_string(d.self.ref.incarnation.value)},
                       {"http", d.config.listen_http},
                       {"peer", d.config.listen_peer},
                       {"seed", std::to_string(d.seed)}});
  return {};
}

void daemon::BeginShutdown() {
  if (impl_->leave_posted.exchange(true)) return;
  impl_->log.Info("leave", {});
  if (impl_->gateway != nullptr) impl_->gateway->BeginShutdown();
  impl_->core.Post(core::io::leave_requested{});
}

void daemon::Reload(const settings_result& reread) {
  if (!reread.has_value()) {
    for (const setting_problem& problem : reread.error())
      impl_->log.Warning("settings_refused", {{"problem", ToString(problem)}});
    return;
  }
  std::size_t seeds = 0;
  {
    const std::lock_guard lock(impl_->seeds_mutex);
    impl_->config.seeds = reread->seeds;
    seeds = impl_->config.seeds.size();
  }
  impl_->log.Info("settings_reload", {{"seeds", std::to_string(seeds)}});
}

bool daemon::IsShutdownComplete() const { return impl_->shutdown_complete; }

void daemon::Stop() {
  impl& d = *impl_;
  if (std::exchange(d.started, false)) {
    // The core thread still runs, so requests that are already queued for it are answered. Later ones are refused.
    const core::base::error leaving{error_kind::kInstanceLeaving, "the instance has shut down; use another address"};
    d.http.RefuseWith(
        {core::base::DescribeError(leaving.kind).http_status, EncodeError(leaving, executed_state::kNo), true});
    const bool forwarding = d.gateway != nullptr;
    const auto flush_time = forwarding ? kForwardingFlushTime : std::chrono::milliseconds(kAnswerFlushTime);
    const bool answered = WaitUntil(flush_time, [&d, forwarding] {
      return d.http.PendingAnswers() == 0 && (!forwarding || d.gateway->PendingAnswers() == 0);
    });
    const bool flushed = WaitUntil(forwarding ? kForwardingFlushTime : std::chrono::milliseconds(kPeerFlushTime),
                                   [&d] { return d.peers.IsFlushed(); });
    d.log.Info("exit", {{"answers_pending", answered ? "0" : std::to_string(d.http.PendingAnswers())},
                        {"peer_messages_flushed", flushed ? "yes" : "no"}});
  }
  // Each component is stopped before the components that it posts to.
  d.replies.Stop();
  d.http.Stop();
  d.core.Stop();
  if (d.gateway != nullptr) d.gateway->Stop();
  d.backend.Stop();
  d.platform.Stop();
  d.peers.Stop();
}

}  // namespace limpetrouter::shell
