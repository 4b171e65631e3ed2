#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "tests/scenario/world.h"

namespace limpetrouter::tests::scenario {

namespace io = core::io;

namespace {

/// Callers wait a little longer than their deadline before they give up on a connection.
constexpr base::duration kCallerSlack = std::chrono::milliseconds(500);
constexpr std::uint64_t kCallers = 40;

}  // namespace

void world::AddLoad(const load_spec& load) {
  loads_.push_back(load);
  const std::size_t index = loads_.size() - 1;
  Schedule(load.from - now_, [this, index] { NextArrival(index); });
}

void world::NextArrival(std::size_t load_index) {
  const load_spec load = loads_[load_index];
  if (now_ >= load.to) return;
  const double gap = -std::log(std::max(base::NextUnit(random_), 1e-12)) / load.rate;
  Schedule(base::duration(static_cast<std::int64_t>(gap * 1e6)), [this, load_index] { NextArrival(load_index); });

  const std::uint64_t number = next_request_++;
  const std::string caller = fmt::format("caller-{}", base::NextBelow(random_, kCallers));
  caller_request request;
  request.request_id = fmt::format("r{}", number);
  request.sent = now_;
  request.deadline = load.deadline;
  request.urgent = load.urgent;
  request.repeatable = load.repeatable;
  request.request.request_id = request.request_id;
  request.request.collection.value = load.collection;
  request.request.operation.value = load.operation;
  request.request.deadline_ms = base::ToMilliseconds(load.deadline);
  const std::uint64_t body = load.distinct_bodies == 0 ? number : base::NextBelow(random_, load.distinct_bodies);
  request.request.body = load.crashes ? std::string(R"({"q":"crash-marker"})") : fmt::format(R"({{"q":{}}})", body);
  request.request.key = load.unique_key ? fmt::format("key-{}", number) : fmt::format("key-{}", body);
  const std::size_t index = trace_.requests.size();
  trace_.requests.push_back(request);

  AskAddresses(caller, load.repeatable ? 0 : 1, [this, index, load](const io::addresses_answer& answer) {
    if (answer.addresses.empty()) return;
    if (!load.repeatable) {
      if (answer.permits.empty()) return;
      trace_.requests[index].request.permit = answer.permits.front();
    }
    trace_.requests[index].sent = now_;
    for (std::uint32_t copy = 0; copy < load.copies; ++copy) {
      SendRequest(index, answer.addresses[copy % answer.addresses.size()].instance.value, load.resends, copy > 0);
    }
  });
}

std::string world::PickInstance(const std::string& caller) {
  address_cache& cache = address_caches_[caller];
  if (now_ < cache.expires && !cache.instances.empty()) return cache.instances.front();
  // A caller without a valid answer asks any instance that it has heard of.
  std::vector<std::string> running;
  for (const auto& [id, p] : processes_) {
    if (p.running && !p.frozen && !p.core->leaving) running.push_back(id);
  }
  return running.empty() ? std::string() : running[base::NextBelow(random_, running.size())];
}

void world::AskAddresses(const std::string& caller, std::uint32_t permits,
                         std::function<void(const io::addresses_answer&)> then) {
  const address_cache& cache = address_caches_[caller];
  if (permits == 0 && now_ < cache.expires && !cache.instances.empty()) {
    io::addresses_answer cached;
    for (const std::string& id : cache.instances)
      cached.addresses.push_back({base::instance_id(id), "http:" + id});
    then(cached);
    return;
  }
  const std::string instance = PickInstance(caller);
  if (instance.empty()) return;
  const base::reply_handle handle(next_handle_++);
  address_waiters_[handle.value] = [this, caller, then = std::move(then)](const io::addresses_answer& answer) {
    address_cache& updated = address_caches_[caller];
    updated.instances.clear();
    for (const io::caller_address& address : answer.addresses)
      updated.instances.push_back(address.instance.value);
    updated.expires = now_ + answer.validity;
    then(answer);
  };
  const std::uint64_t life = ProcessOf(instance).life;
  Schedule(network_.from_callers, [this, instance, life, handle, caller, permits] {
    Deliver(instance, life, io::addresses_requested{handle, caller, permits});
  });
}

void world::SendRequest(std::size_t index, const std::string& instance, std::uint32_t resends_left, bool copy) {
  caller_request& request = trace_.requests[index];
  request.sent_to.emplace_back(instance);
  Schedule(network_.from_callers, [this, index, instance, resends_left] {
    process& p = ProcessOf(instance);
    if (!p.running) {
      ++trace_.requests[index].connect_failures;
      trace_.requests[index].losses.push_back({now_, base::instance_id(instance), false});
      Schedule(network_.from_callers,
               [this, index, resends_left, instance] { Resend(index, std::max(resends_left, 1U), instance); });
      return;
    }
    const base::reply_handle handle(next_handle_++);
    p.requests_by_handle[handle.value] = index;
    Deliver(instance, p.life, io::query_received{handle, trace_.requests[index].request});
  });
  if (copy || resends_left == 0) return;
  Schedule(request.deadline + kCallerSlack, [this, index, resends_left, instance] {
    const caller_request& waiting = trace_.requests[index];
    const bool unclear =
        waiting.answers.empty() || waiting.answers.back().answer.executed == base::executed_state::kUnknown;
    if (unclear) Resend(index, resends_left, instance);
  });
}

void world::Resend(std::size_t index, std::uint32_t resends_left, const std::string& failed) {
  constexpr std::size_t kMaxSends = 8;
  const caller_request& request = trace_.requests[index];
  if (resends_left == 0 || request.sent_to.size() >= kMaxSends) return;
  std::vector<std::string> others;
  for (const auto& [id, p] : processes_) {
    if (id != failed && p.running && !p.frozen) others.push_back(id);
  }
  if (others.empty()) return;
  SendRequest(index, others[base::NextBelow(random_, others.size())], resends_left - 1, false);
}

void world::ReceiveAnswer(std::size_t index, const std::string& instance, const peer::query_answer& answer) {
  trace_.requests[index].answers.push_back({now_, base::instance_id(instance), answer});
  // docs/protocol.md: these refusals concern the instance, not the request, so a caller moves on to the next address.
  using base::error_kind;
  const error_kind kind = answer.failure;
  const bool other_may_serve = kind == error_kind::kInstanceLeaving || kind == error_kind::kWarmingUp ||
                               kind == error_kind::kProcessPaused || kind == error_kind::kNoConfiguration;
  if (!answer.succeeded && answer.executed == base::executed_state::kNo && other_may_serve) {
    Resend(index, 1, instance);
  }
}

}  // namespace limpetrouter::tests::scenario
