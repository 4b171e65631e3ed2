#include "core/instance/instance.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "core/entry/entry.h"
#include "core/forwarding/cold_rules.h"
#include "core/forwarding/directory.h"
#include "core/forwarding/forwarding.h"
#include "core/forwarding/publication_spread.h"
#include "core/forwarding/relay.h"
#include "core/forwarding/requests.h"
#include "core/forwarding/server_probes.h"
#include "core/gather/gather.h"
#include "core/instance/context.h"
#include "core/membership/membership.h"

namespace limpetrouter::core::instance {
namespace {

context MakeContext(instance& instance, base::time_point now, io::command_list& out) {
  return context{now,
                 instance.membership.store.in_force,
                 instance.membership.members,
                 instance.placement,
                 instance.membership.facts,
                 instance.random,
                 out,
                 instance.leaving};
}

/// Recomputes the placement if the configuration or the members have changed since it was computed.
void RefreshPlacement(instance& instance) {
  const config::configuration_ptr& config = instance.membership.store.in_force;
  if (config == nullptr) return;
  const std::uint64_t version = instance.membership.members.version;
  if (instance.placement.revision == config->revision && instance.placement.members_version == version &&
      !instance.placement.by_backend_server.empty()) {
    return;
  }
  instance.placement = membership::ComputePlacement(
      *config, membership::PlacementCandidates(instance.membership.members, instance.leaving));
  instance.placement.members_version = version;
}

void HandlePeerMessage(instance& instance, context& ctx, const peer::message& message) {
  membership::membership_tables& membership = instance.membership;
  const peer::message_header& header = message.header;
  std::visit(
      [&](const auto& body) {
        using body_type = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<body_type, peer::gather_request>) {
          gather::HandleGatherRequest(instance.gather, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::gather_cancel>) {
          gather::HandleGatherCancel(instance.gather, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::gather_answer>) {
          entry::HandleGatherAnswer(instance.entry, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::forward_request>) {
          entry::HandleForwardRequest(instance.entry, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::forward_answer>) {
          entry::HandleForwardAnswer(instance.entry, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::configuration_request>) {
          membership::HandleConfigurationRequest(membership, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::configuration_value>) {
          membership::HandleConfigurationValue(membership, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::table_exchange>) {
          membership::HandleTableExchange(membership, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::probe>) {
          membership::HandleProbe(membership, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::probe_ack>) {
          membership::HandleProbeAck(membership, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::indirect_probe>) {
          membership::HandleIndirectProbe(membership, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::publication_request>) {
          forwarding::HandlePublicationRequest(instance.forwarding, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::publication_update>) {
          forwarding::HandlePublicationUpdate(instance.forwarding, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::evacuation_request>) {
          forwarding::HandleEvacuationRequest(instance.forwarding, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::evacuation_update>) {
          forwarding::HandleEvacuationUpdate(instance.forwarding, ctx, body);
        } else if constexpr (std::is_same_v<body_type, peer::service_rules_update>) {
          forwarding::HandleServiceRules(instance.forwarding, ctx, body);
        } else if constexpr (std::is_same_v<body_type, peer::relay_request>) {
          forwarding::HandleRelayRequest(instance.forwarding, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::relay_answer>) {
          forwarding::HandleRelayAnswer(instance.forwarding, ctx, header, body);
        } else if constexpr (std::is_same_v<body_type, peer::relay_cancel>) {
          forwarding::HandleRelayCancel(instance.forwarding, ctx, header, body);
        } else {
          static_assert(std::is_same_v<body_type, peer::announce>);
          membership::HandleAnnounce(membership, ctx, header, body);
        }
      },
      message.body);
}

void Dispatch(instance& instance, context& ctx, const io::event& event) {
  std::visit(
      [&](const auto& e) {
        using event_type = std::decay_t<decltype(e)>;
        if constexpr (std::is_same_v<event_type, io::query_received>) {
          entry::HandleQuery(instance.entry, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::query_abandoned>) {
          entry::HandleAbandoned(instance.entry, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::addresses_requested>) {
          entry::HandleAddresses(instance.entry, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::peer_message_received>) {
          membership::HandleHeader(instance.membership, ctx, e.message.header);
          HandlePeerMessage(instance, ctx, e.message);
        } else if constexpr (std::is_same_v<event_type, io::peer_send_failed>) {
          entry::HandleSendFailed(instance.entry, ctx, e);
          forwarding::HandleRelaySendFailed(instance.forwarding, ctx, e);
          membership::HandleSendFailed(instance.membership, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::backend_call_ended>) {
          gather::HandleCallEnded(instance.gather, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::backend_probe_ended>) {
          gather::HandleProbeEnded(instance.gather, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::configuration_read>) {
          membership::HandleConfigurationRead(instance.membership, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::configuration_read_failed>) {
          membership::HandleConfigurationReadFailed(instance.membership, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::instance_list_read>) {
          membership::HandleInstanceList(instance.membership, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::request_received>) {
          forwarding::AcceptRequest(instance.forwarding, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::request_abandoned>) {
          forwarding::AbandonRequest(instance.forwarding, ctx, e.handle);
        } else if constexpr (std::is_same_v<event_type, io::server_call_ended>) {
          forwarding::HandleCallEnded(instance.forwarding, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::server_probe_ended>) {
          forwarding::HandleProbeEnded(instance.forwarding, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::entry_addresses_requested>) {
          forwarding::HandleEntryAddresses(instance.forwarding, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::published_read>) {
          forwarding::HandlePublished(instance.forwarding, ctx, e);
        } else if constexpr (std::is_same_v<event_type, io::published_read_failed>) {
          forwarding::HandlePublishedFailed(instance.forwarding, ctx, e);
        } else {
          static_assert(std::is_same_v<event_type, io::leave_requested>);
          membership::HandleLeave(instance.membership, ctx);
        }
      },
      event);
}

/// Removes from `out`, from position `first` on, the messages that an instance sends to itself, such as those of an
/// entry to its own gatherer, and handles them without the network. Messages to itself that this produces are handled
/// too.
void DeliverToSelf(instance& instance, base::time_point now, io::command_list& out, std::size_t first) {
  const base::instance_id& self = instance.membership.members.self.ref.id;
  for (std::size_t i = first; i < out.size(); ++i) {
    auto* const send = std::get_if<io::send_peer>(&out[i]);
    if (send == nullptr || send->target != self) continue;
    const peer::message message = std::move(send->message);
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
    --i;
    context ctx = MakeContext(instance, now, out);
    HandlePeerMessage(instance, ctx, message);
  }
}

/// Detects by a gap in the clock that the process was paused, and notifies the subsystems. It must run before any other
/// code uses `now`.
void CheckPause(instance& instance, base::time_point now, io::command_list& out) {
  const base::duration gap = now - instance.last_active_at;
  const bool first_activity = instance.last_active_at == base::time_point{};
  instance.last_active_at = now;
  if (first_activity || gap <= kPauseThreshold) return;
  context ctx = MakeContext(instance, now, out);
  LogDecision(ctx, "pause", {{"gap_ms", std::to_string(base::ToMilliseconds(gap))}});
  membership::HandlePause(instance.membership, ctx, gap);
  gather::HandlePause(instance.gather, ctx, gap);
  entry::HandlePause(instance.entry, ctx, gap);
  forwarding::HandlePause(instance.forwarding, ctx);
}

/// Returns how long a leaving instance must still accept requests: its address may have been handed out to a caller
/// just before the last peer learnt that the instance leaves.
base::duration LeaveGrace(const instance& instance) {
  // Covers the time until the last peer has learnt of the leave.
  constexpr base::duration kSpreadMargin = std::chrono::seconds(2);
  const config::configuration_ptr& config = instance.membership.store.in_force;
  const base::duration grace = config == nullptr ? base::duration{0} : config->limit.address_validity + kSpreadMargin;
  if (instance.forwarding.enabled) return std::max(grace, forwarding::MinLeaveTime(instance.forwarding));
  return std::max(grace, kSpreadMargin);
}

void CheckExit(instance& instance, base::time_point now, io::command_list& out) {
  if (!instance.leaving || instance.exited) return;
  const bool idle = now >= instance.earliest_exit_at && forwarding::IsIdle(instance.forwarding) &&
                    entry::IsIdle(instance.entry, now) && gather::IsIdle(instance.gather);
  // The platform kills a forwarding instance that exceeds its shutdown grace period, so the instance exits by itself
  // before the period ends.
  const bool overdue =
      instance.forwarding.enabled && now >= instance.leave_started_at + forwarding::MaxLeaveTime(instance.forwarding);
  if (!idle && !overdue) return;
  instance.exited = true;
  // The process ends moments later, so requests that still arrive are refused instead of being sent to servers.
  instance.forwarding.stops_at = now;
  context ctx = MakeContext(instance, now, out);
  forwarding::StopRequests(instance.forwarding, ctx);
  out.push_back(io::exit_process{});
}

}  // namespace

instance MakeInstance(const membership::identity& self, std::uint64_t seed, base::time_point now) {
  instance created;
  created.membership.members.self = self;
  created.random.state = seed;
  created.last_active_at = now;
  return created;
}

void HandleEvent(instance& instance, const io::event& event, base::time_point now, io::command_list& out) {
  const std::size_t first = out.size();
  CheckPause(instance, now, out);
  if (std::holds_alternative<io::leave_requested>(event) && !instance.leaving) {
    instance.leaving = true;
    instance.leave_started_at = now;
    instance.earliest_exit_at = now + LeaveGrace(instance);
    if (instance.forwarding.enabled) instance.forwarding.stops_at = now + forwarding::MaxLeaveTime(instance.forwarding);
    ++instance.membership.members.version;
  }
  context ctx = MakeContext(instance, now, out);
  Dispatch(instance, ctx, event);
  RefreshPlacement(instance);
  DeliverToSelf(instance, now, out, first);
}

void RunTick(instance& instance, base::time_point now, io::command_list& out) {
  const std::size_t first = out.size();
  CheckPause(instance, now, out);
  {
    context ctx = MakeContext(instance, now, out);
    membership::RunMembership(instance.membership, ctx);
  }
  RefreshPlacement(instance);
  context ctx = MakeContext(instance, now, out);
  gather::RunGather(instance.gather, ctx);
  entry::RunEntry(instance.entry, ctx);
  forwarding::RunForwarding(instance.forwarding, ctx);
  DeliverToSelf(instance, now, out, first);
  CheckExit(instance, now, out);
}

}  // namespace limpetrouter::core::instance
