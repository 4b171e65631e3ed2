#include "shell/forwarding_gateway.h"

#include <atomic>
#include <mutex>
#include <unordered_map>
#include <utility>

#include <fmt/format.h>

#include "shell/core_loop.h"
#include "shell/json_codec.h"

namespace limpetrouter::shell {
namespace {

using core::base::error_kind;
using core::base::executed_state;
using core::base::reply_handle;
using core::forwarding::call_id;

/// One thread serves the requests of all callers, because an instance has only a fraction of a processor.
constexpr std::uint32_t kServerThreads = 1;
/// Largest accepted answer of a backend server, in bytes.
constexpr std::size_t kMaxCallAnswerBytes = 16 * 1024 * 1024;
/// A connection that is not accepted within this time counts as refused, and nothing was sent on it.
constexpr std::chrono::milliseconds kCallConnectTimeout{300};
/// Exceeds the connect timeout, so that a probe ends with the outcome of its connection.
constexpr std::chrono::milliseconds kProbeTimeout{2 * kCallConnectTimeout};
/// A connection that stays idle longer is not reused, so that connections beyond the typical number of calls are closed
/// soon: a backend server accepts few connections, and those of a failed instance count until the server notices.
constexpr std::chrono::seconds kMaxIdle{3};
constexpr int kNotFound = 404;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// A request together with its charge, which counts it until the core and the calls have released it.
struct charged_request {
  core::forwarding::request request;
  std::shared_ptr<void> charge;
};

}  // namespace

struct forwarding_gateway::impl {
  std::function<void(core::io::event)> post;
  metrics& request_metrics;
  transfer_pool pool;
  protocol_adapter adapter;
  std::atomic<bool> ready{false};

  std::mutex mutex;
  std::unordered_map<call_id, transfer_id> transfers;
  /// Charges of the address requests that the core has not answered.
  std::unordered_map<reply_handle, std::shared_ptr<void>> address_charges;

  std::shared_ptr<connection_limits> limits;
  http_server entry;
  http_server readiness;
  http_server directory;

  impl(const settings& settings, const adapter_factory& make_adapter, std::function<void(core::io::event)> post_event,
       metrics& metrics, std::shared_ptr<connection_limits> connection_limits)
      : post(std::move(post_event)),
        request_metrics(metrics),
        pool(settings.answers),
        adapter(make_adapter(settings,
                             {&pool, post, [&metrics](std::size_t bytes) { metrics.PlatformBytesReceived(bytes); }})),
        limits(std::move(connection_limits)),
        entry(OptionsFor(settings, settings.forwarding->listen_entry),
              {[this](reply_handle handle, http_request request) { HandleRequest(handle, std::move(request)); },
               [this](reply_handle handle) { post(core::io::request_abandoned{handle}); }}),
        readiness(OptionsFor(settings, settings.forwarding->listen_readiness),
                  {[this](reply_handle handle, const http_request& request) { HandleReadinessProbe(handle, request); },
                   [](reply_handle) {}}),
        directory(OptionsFor(settings, settings.forwarding->listen_directory),
                  {[this](reply_handle handle, const http_request& request) { HandleAddressRequest(handle, request); },
                   [](reply_handle) {}}) {}

  http_server_options OptionsFor(const settings& settings, const std::string& address) const {
    http_server_options options;
    options.limits = limits;
    options.address = address;
    options.threads = kServerThreads;
    options.max_pending = settings.max_pending_requests;
    options.opaque = true;
    return options;
  }

  void HandleRequest(reply_handle handle, http_request&& received) {
    // The time that a request waits at the socket counts against the deadline of its caller.
    const core::base::time_point arrived = CoreNow() - received.read_delay;
    auto charged = std::make_shared<charged_request>();
    charged->charge = std::move(received.charge);
    core::base::result<core::forwarding::request> decoded = adapter.decode_request(std::move(received));
    if (!decoded.has_value()) {
      core::forwarding::answer refusal;
      refusal.executed = executed_state::kNo;
      refusal.status = core::base::DescribeError(decoded.error().kind).http_status;
      refusal.failure = std::move(decoded.error());
      entry.Answer(handle, adapter.encode_answer(nullptr, std::move(refusal)));
      return;
    }
    decoded->received = arrived;
    charged->request = std::move(*decoded);
    // The pointer refers to the request and owns its charge as well.
    post(core::io::request_received{handle,
                                    std::shared_ptr<const core::forwarding::request>(charged, &charged->request)});
  }

  void HandleReadinessProbe(reply_handle handle, const http_request& request) {
    int status = kNotFound;
    if (adapter.is_readiness_probe(request)) status = ready ? kOk : kUnavailable;
    readiness.Answer(handle, {status, WriteJson({{"ready", status == kOk}}), true});
  }

  void HandleAddressRequest(reply_handle handle, const http_request& request) {
    std::optional<core::base::data_centre_id> caller_data_centre = adapter.decode_address_request(request);
    if (caller_data_centre.has_value()) {
      {
        const std::lock_guard lock(mutex);
        address_charges.emplace(handle, request.charge);
      }
      return post(core::io::entry_addresses_requested{handle, std::move(*caller_data_centre)});
    }
    directory.Answer(
        handle, {kNotFound,
                 EncodeError({error_kind::kInvalidRequest, "unknown path: this address serves address requests only"},
                             executed_state::kNo),
                 true});
  }

  void CompleteCall(const core::io::start_call& command, transfer_result&& result) {
    {
      const std::lock_guard lock(mutex);
      transfers.erase(command.call);
    }
    const std::chrono::microseconds elapsed = result.elapsed;
    const double load = result.pool_load;
    core::forwarding::call_result call_result = adapter.decode_result(*command.request, std::move(result));
    call_result.elapsed = elapsed;
    call_result.call_thread_load = load;
    request_metrics.CallEnded(call_result);
    post(core::io::server_call_ended{command.call, std::move(call_result)});
  }
};

forwarding_gateway::forwarding_gateway(const settings& settings, const adapter_factory& make_adapter,
                                       std::function<void(core::io::event)> post, metrics& metrics,
                                       std::shared_ptr<connection_limits> limits)
    : impl_(std::make_unique<impl>(settings, make_adapter, std::move(post), metrics, std::move(limits))) {}

forwarding_gateway::~forwarding_gateway() { Stop(); }

core::base::result<void> forwarding_gateway::Start() {
  for (http_server* const server : {&impl_->entry, &impl_->readiness, &impl_->directory}) {
    core::base::result<void> bound = server->Start();
    if (!bound.has_value()) return bound;
  }
  return {};
}

void forwarding_gateway::Run(core::io::start_call&& command) {
  impl& g = *impl_;
  transfer_request transfer = g.adapter.encode_call(command);
  transfer.id = g.pool.NewId();
  transfer.deadline = ToSteady(command.deadline);
  transfer.max_answer_bytes = kMaxCallAnswerBytes;
  transfer.connect_timeout = kCallConnectTimeout;
  transfer.write_once = true;
  transfer.own_connection = command.new_connection;
  transfer.max_idle = std::chrono::duration_cast<std::chrono::seconds>(command.max_idle);
  if (transfer.max_idle.count() == 0 || transfer.max_idle > kMaxIdle) transfer.max_idle = kMaxIdle;
  {
    const std::lock_guard lock(g.mutex);
    g.transfers.emplace(command.call, transfer.id);
  }
  transfer.done = [&g, command = std::move(command)](transfer_result&& result) {
    g.CompleteCall(command, std::move(result));
  };
  g.pool.Start(std::move(transfer));
}

void forwarding_gateway::Run(const core::io::cancel_call& command) {
  transfer_id id = 0;
  {
    const std::lock_guard lock(impl_->mutex);
    const auto found = impl_->transfers.find(command.call);
    if (found == impl_->transfers.end()) return;
    id = found->second;
  }
  impl_->pool.Cancel(id);
}

void forwarding_gateway::Run(const core::io::probe_server& command) {
  impl& g = *impl_;
  transfer_request probe;
  probe.id = g.pool.NewId();
  probe.url = "http://" + command.address;
  probe.connect_only = true;
  probe.connect_timeout = kCallConnectTimeout;
  probe.deadline = std::chrono::steady_clock::now() + kProbeTimeout;
  probe.done = [&g, id = command.probe](const transfer_result& result) {
    if (result.outcome == transfer_outcome::kCancelled) return;
    g.post(core::io::server_probe_ended{id, result.outcome == transfer_outcome::kAnswered});
  };
  g.pool.Start(std::move(probe));
}

void forwarding_gateway::Run(core::io::reply_forwarded&& command) {
  impl_->request_metrics.RequestEnded(command.answer, CoreNow() - command.request->received);
  impl_->entry.Answer(command.handle, impl_->adapter.encode_answer(command.request.get(), std::move(command.answer)));
}

void forwarding_gateway::Run(const core::io::reply_entry_addresses& command) {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->address_charges.erase(command.handle);
  }
  impl_->directory.Answer(command.handle, impl_->adapter.encode_addresses(command));
}

void forwarding_gateway::Run(const core::io::list_published& command) { impl_->adapter.list(command); }

void forwarding_gateway::Run(const core::io::watch_published& command) { impl_->adapter.watch(command); }

void forwarding_gateway::Run(const core::io::apply_caller_limits& command) {
  impl_->entry.SetLimits({command.limits.max_header_bytes, command.limits.max_body_bytes});
}

void forwarding_gateway::Run(const core::io::report_readiness& command) { impl_->ready = command.ready; }

void forwarding_gateway::BeginShutdown() {
  impl_->ready = false;
  impl_->entry.CloseConnections();
}

void forwarding_gateway::RefuseRequests() {
  core::forwarding::answer refusal;
  refusal.executed = executed_state::kNo;
  refusal.status = core::base::DescribeError(error_kind::kInstanceLeaving).http_status;
  refusal.failure = {error_kind::kInstanceLeaving, "the instance has shut down; use another address"};
  refusal.retry_after = core::base::duration{0};
  impl_->entry.RefuseWith(impl_->adapter.encode_answer(nullptr, std::move(refusal)));
}

std::size_t forwarding_gateway::PendingAnswers() const { return impl_->entry.PendingAnswers(); }

void forwarding_gateway::Stop() {
  impl_->entry.Stop();
  impl_->readiness.Stop();
  impl_->directory.Stop();
  impl_->pool.Stop();
}

}  // namespace limpetrouter::shell
