#include "shell/backend_client.h"

#include <algorithm>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "shell/backend_codec.h"
#include "shell/transfer_pool.h"

namespace limpetrouter::shell {
namespace {

using core::base::error_kind;
using core::base::executed_state;
using core::peer::attempt_result;
using std::chrono::steady_clock;

/// Load reports are small; a backend server that takes longer is no candidate for the next call either.
constexpr std::chrono::milliseconds kProbeTimeout{1'000};
constexpr std::chrono::milliseconds kCancelTimeout{500};
constexpr std::size_t kMaxControlAnswerBytes = 64 * 1024;

struct call_key {
  core::base::instance_ref entry;
  core::base::attempt_sequence attempt;

  friend bool operator==(const call_key&, const call_key&) = default;
};

struct call_key_hash {
  std::size_t operator()(const call_key& key) const noexcept {
    return std::hash<core::base::instance_ref>{}(key.entry) ^ (key.attempt.value * 0x9E3779B97F4A7C15ULL);
  }
};

attempt_result ToAttemptResult(const core::io::call_backend& call, const transfer_result& result) {
  const executed_state state = result.bytes_sent ? executed_state::kUnknown : executed_state::kNo;
  switch (result.outcome) {
    case transfer_outcome::kAnswered:
      return DecodeRunAnswer(call, result.status, result.body);
    case transfer_outcome::kConnectFailed:
      return MakeFailure(call, error_kind::kConnectFailed, state);
    case transfer_outcome::kConnectionLost:
      // A connection that was lost before the request was written counts as one that was never established.
      return MakeFailure(call, result.bytes_sent ? error_kind::kConnectionLost : error_kind::kConnectFailed, state);
    case transfer_outcome::kTruncated:
      return MakeFailure(call, error_kind::kAnswerTruncated, state);
    case transfer_outcome::kMalformed:
      return MakeFailure(call, error_kind::kAnswerMalformed, state);
    case transfer_outcome::kMismatched:
      return MakeFailure(call, error_kind::kAnswerMismatched, state);
    case transfer_outcome::kDeadlineExceeded:
      return MakeFailure(call, error_kind::kDeadlineExceeded, state);
    case transfer_outcome::kCancelled:
      break;
  }
  return MakeFailure(call, error_kind::kCancelled, state);
}

/// State of a probe that opens several connections. Its event carries the first report.
struct running_probe {
  std::mutex mutex;
  core::base::backend_server_id backend_server;
  std::uint32_t pending = 0;
  bool reported = false;
};

}  // namespace

struct backend_client::impl {
  std::function<void(core::io::event)> post;
  std::mutex mutex;
  std::unordered_map<call_key, transfer_id, call_key_hash> calls;
  std::vector<std::unique_ptr<transfer_pool>> pools;

  /// Returns the pool of an address. It is always the same, so that all calls to a backend server share its open
  /// connections.
  transfer_pool& PoolOf(const std::string& address) const {
    return *pools[std::hash<std::string>{}(address) % pools.size()];
  }

  void EndCall(const core::io::call_backend& call, const transfer_result& result) {
    {
      const std::lock_guard lock(mutex);
      calls.erase({call.entry, call.attempt});
    }
    attempt_result attempt = ToAttemptResult(call, result);
    attempt.called_us = result.elapsed.count();
    post(core::io::backend_call_ended{call.entry, std::move(attempt)});
  }

  void EndProbe(running_probe& probe, const transfer_result& result) {
    core::io::backend_probe_ended event{probe.backend_server, false, {}};
    if (result.outcome == transfer_outcome::kAnswered && result.status == 200) {
      const auto report = DecodeLoad(result.body);
      event.succeeded = report.has_value();
      if (report.has_value()) event.report = *report;
    }
    {
      const std::lock_guard lock(probe.mutex);
      --probe.pending;
      if (probe.reported || (!event.succeeded && probe.pending > 0)) return;
      probe.reported = true;
    }
    post(std::move(event));
  }
};

backend_client::backend_client(std::function<void(core::io::event)> post, std::uint32_t threads,
                               const answer_limits& limits)
    : impl_(std::make_unique<impl>()) {
  impl_->post = std::move(post);
  for (std::uint32_t i = 0; i < std::max<std::uint32_t>(1, threads); ++i)
    impl_->pools.push_back(std::make_unique<transfer_pool>(limits));
}

backend_client::~backend_client() { Stop(); }

void backend_client::Call(const core::io::call_backend& call) {
  transfer_pool& pool = impl_->PoolOf(call.address);
  transfer_request request;
  request.url = "http://" + call.address + "/v1/run";
  request.post = true;
  request.body = EncodeRun(call);
  request.deadline = steady_clock::now() + call.remaining;
  request.max_answer_bytes = kMaxBackendAnswerBytes;
  request.write_once = true;
  request.own_connection = !call.repeatable;
  request.done = [this, call](const transfer_result& result) { impl_->EndCall(call, result); };
  request.id = pool.NewId();
  {
    // The call is inserted before its transfer starts, so that one which ends at once leaves no entry behind.
    const std::lock_guard lock(impl_->mutex);
    impl_->calls[{call.entry, call.attempt}] = request.id;
  }
  pool.Start(std::move(request));
}

void backend_client::Cancel(const core::io::cancel_backend_call& cancel) {
  transfer_pool& pool = impl_->PoolOf(cancel.address);
  {
    const std::lock_guard lock(impl_->mutex);
    const auto found = impl_->calls.find({cancel.entry, cancel.attempt});
    if (found == impl_->calls.end()) return;
    pool.Cancel(found->second);
  }
  transfer_request request;
  request.id = pool.NewId();
  request.url = "http://" + cancel.address + "/v1/cancel";
  request.post = true;
  request.body = EncodeCancel(cancel);
  request.deadline = steady_clock::now() + kCancelTimeout;
  request.max_answer_bytes = kMaxControlAnswerBytes;
  request.done = [](const transfer_result&) {};
  pool.Start(std::move(request));
}

void backend_client::Probe(const core::io::probe_backend& probe) {
  transfer_pool& pool = impl_->PoolOf(probe.address);
  auto state = std::make_shared<running_probe>();
  state->backend_server = probe.backend_server;
  state->pending = std::max<std::uint32_t>(1, probe.connections);
  for (std::uint32_t remaining = state->pending; remaining > 0; --remaining) {
    transfer_request request;
    request.id = pool.NewId();
    request.url = "http://" + probe.address + "/v1/load";
    request.deadline = steady_clock::now() + kProbeTimeout;
    request.max_answer_bytes = kMaxControlAnswerBytes;
    request.done = [this, state](const transfer_result& result) { impl_->EndProbe(*state, result); };
    pool.Start(std::move(request));
  }
}

void backend_client::Stop() {
  for (const std::unique_ptr<transfer_pool>& pool : impl_->pools)
    pool->Stop();
}

}  // namespace limpetrouter::shell
