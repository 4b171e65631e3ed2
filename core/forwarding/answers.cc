#include "core/forwarding/answers.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace limpetrouter::core::forwarding {
namespace {

using base::error_kind;
using base::executed_state;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

bool IsClientError(error_kind kind) {
  return kind == error_kind::kInvalidRequest || kind == error_kind::kRequestTooLarge ||
         kind == error_kind::kUnknownRoute;
}

std::string AgeInMs(base::time_point since, base::time_point now) {
  return std::to_string(base::ToMilliseconds(now - since));
}

/// Answers the caller, or the instance that passed the request on. `attempts` is the number of servers of a service
/// that the request may have reached.
void Reply(instance::context& ctx, const request_source& source, const request_ptr& content, std::uint32_t attempts,
           answer&& reply) {
  if (!source.origin.has_value()) {
    ctx.out.emplace_back(io::reply_forwarded{source.handle, content, std::move(reply)});
    return;
  }
  const base::instance_ref& instance = source.origin->instance;
  instance::SendToPeer(ctx, instance.id,
                       peer::relay_answer{instance, source.origin->token, attempts, std::move(reply)});
}

}  // namespace

int StatusOfFailure(error_kind kind, executed_state executed) {
  if (executed != executed_state::kNo) return kind == error_kind::kDeadlineExceeded ? kGatewayTimeout : kBadGateway;
  return IsClientError(kind) ? base::DescribeError(kind).http_status : kUnavailable;
}

bool IsFinalStatus(int status) {
  constexpr int kFirstFinal = 200;
  constexpr int kLast = 599;
  return status >= kFirstFinal && status <= kLast;
}

bool IsForwardableStatus(int status) { return IsFinalStatus(status) && !base::PromisesNotExecuted(status); }

std::string MergeRecords(const std::vector<std::string_view>& parts, std::size_t count, std::size_t record_bytes) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (std::size_t at = 0; at + record_bytes <= part.size(); at += record_bytes)
      records.push_back(part.substr(at, record_bytes));
  }
  const std::size_t kept = std::min(count, records.size());
  // string_view compares bytes as unsigned.
  std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(),
                    std::greater<>());
  std::string merged;
  merged.reserve(kept * record_bytes);
  for (std::size_t i = 0; i < kept; ++i)
    merged += records[i];
  return merged;
}

answer MergeAnswer(const active_request& request) {
  answer merged;
  merged.merged = true;
  merged.executed = executed_state::kYes;
  std::vector<std::string_view> bodies;
  for (const request_part& part : request.parts) {
    if (!part.result.has_value()) continue;
    merged.signatures.push_back(part.result->signature);
    bodies.emplace_back(part.result->body);
  }
  merged.missing_parts = request.parts.size() - merged.signatures.size();
  merged.body = MergeRecords(bodies, request.route->merged_records, request.route->record_bytes);
  return merged;
}

answer MakeFailure(base::error failure, executed_state executed, std::optional<base::duration> retry_after) {
  answer reply;
  reply.status = StatusOfFailure(failure.kind, executed);
  reply.executed = executed;
  reply.failure = std::move(failure);
  if (executed == executed_state::kNo) reply.retry_after = retry_after;
  return reply;
}

void SendAnswer(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle,
                const active_request& request, answer reply) {
  decision_fields fields = {{"route", request.route->name},
                            {"version", std::to_string(request.table->version)},
                            {"version_age_ms", AgeInMs(tables.routing_since, ctx.now)},
                            {"status", std::to_string(reply.status)},
                            {"executed", std::string(ToString(reply.executed))},
                            {"elapsed_ms", AgeInMs(request.content->received, ctx.now)},
                            {"calls", std::to_string(request.calls)},
                            {"hedges", std::to_string(request.hedges)},
                            {"retries", std::to_string(request.retries)}};
  if (reply.merged) {
    fields.emplace_back("parts", std::to_string(reply.signatures.size()));
    fields.emplace_back("missing", std::to_string(reply.missing_parts));
  } else if (!request.parts.empty() && !request.parts.front().tried.empty()) {
    fields.emplace_back("backend_server", request.parts.front().tried.back().value);
  }
  if (reply.failure.has_value()) {
    fields.emplace_back("error", std::string(ToString(reply.failure->kind)));
    fields.emplace_back("detail", reply.failure->detail);
    if (reply.retry_after.has_value()) {
      fields.emplace_back("retry_after_ms", std::to_string(base::ToMilliseconds(*reply.retry_after)));
    }
  }
  LogRequest(tables.history, ctx, request.content->attempt, "answer", std::move(fields));
  std::uint32_t attempts = 0;
  for (const request_part& part : request.parts)
    attempts = std::max(attempts, part.attempts);
  Reply(ctx, {handle, request.origin}, request.content, attempts, std::move(reply));
}

void Refuse(forwarding_tables& tables, instance::context& ctx, const request_source& source, const request_ptr& content,
            base::error failure, std::optional<base::duration> retry_after) {
  answer reply = MakeFailure(std::move(failure), executed_state::kNo, retry_after);
  LogRequest(tables.history, ctx, content->attempt, "refuse",
             {{"host", content->host},
              {"path", content->path},
              {"status", std::to_string(reply.status)},
              {"error", std::string(ToString(reply.failure->kind))},
              {"detail", reply.failure->detail}});
  Reply(ctx, source, content, 0, std::move(reply));
}

}  // namespace limpetrouter::core::forwarding
