#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/base/digest.h"
#include "core/entry/entry.h"

namespace limpetrouter::core::entry {
namespace {

constexpr std::size_t kMaxAddresses = 5;
constexpr std::uint32_t kMaxPermitsPerAnswer = 100;

/// An instance address with its rendezvous hash for one caller.
struct ranked_address {
  std::uint64_t rank = 0;
  io::caller_address address;
};

bool MayServe(const membership::member& member) {
  const peer::member_state state = member.info.state;
  return state == peer::member_state::kAlive || state == peer::member_state::kSuspect;
}

/// Returns the addresses of the instances that may serve, by descending rendezvous hash of the caller and the instance.
std::vector<io::caller_address> AddressesFor(const instance::context& ctx, const std::string& caller) {
  const std::uint64_t seed = base::HashBytes(caller);
  std::vector<ranked_address> ranked;
  ranked.reserve(ctx.members.members.size() + 1);
  const auto add = [&](const base::instance_id& id, const std::string& address) {
    if (!address.empty()) ranked.push_back({base::HashBytes(id.value, seed), {id, address}});
  };
  if (!ctx.leaving) add(ctx.members.self.ref.id, ctx.members.self.http_address);
  for (const auto& [id, member] : ctx.members.members) {
    if (MayServe(member) && id != ctx.members.self.ref.id) add(id, member.info.http_address);
  }
  std::sort(ranked.begin(), ranked.end(), [](const ranked_address& a, const ranked_address& b) {
    return std::pair(b.rank, a.address.instance) < std::pair(a.rank, b.address.instance);
  });
  if (ranked.size() > kMaxAddresses) ranked.resize(kMaxAddresses);
  std::vector<io::caller_address> addresses;
  addresses.reserve(ranked.size());
  for (ranked_address& entry : ranked)
    addresses.push_back(std::move(entry.address));
  return addresses;
}

}  // namespace

void HandleAddresses(entry_tables& tables, instance::context& ctx, const io::addresses_requested& event) {
  const config::limits limit = ctx.config != nullptr ? ctx.config->limit : config::limits{};
  io::reply_addresses reply;
  reply.handle = event.handle;
  reply.answer.addresses = AddressesFor(ctx, event.caller);
  reply.answer.validity = limit.address_validity;
  reply.answer.permit_validity = limit.permit_validity;
  // A leaving instance issues no permits, because its permits become invalid when it exits.
  if (event.permits > 0 && !ctx.leaving) {
    reply.answer.permits = IssuePermits(tables.permits, ctx.members.self.ref,
                                        std::min(event.permits, kMaxPermitsPerAnswer), limit, ctx.random, ctx.now);
  }
  ctx.out.push_back(std::move(reply));
}

}  // namespace limpetrouter::core::entry
