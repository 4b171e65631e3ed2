#include "tests/scenario/measure.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace limpetrouter::tests::scenario {
namespace {

double Quantile(std::vector<double>& values, double q) {
  if (values.empty()) return 0;
  const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(values.size())));
  const std::size_t index = rank == 0 ? 0 : rank - 1;
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
  return values[index];
}

double Milliseconds(base::duration span) { return static_cast<double>(span.count()) / 1000.0; }

bool IsSelected(const caller_request& request, const selection& selection) {
  if (request.sent < selection.from || request.sent >= selection.to) return false;
  if (selection.urgent_only && !request.urgent) return false;
  const std::string name = request.request.collection.value + "/" + request.request.operation.value;
  return selection.target.empty() || selection.target == name;
}

}  // namespace

double measures::ExtraLoad() const {
  return needed_calls == 0 ? 0 : static_cast<double>(calls) / static_cast<double>(needed_calls) - 1;
}

measures Measure(const world& world, const selection& selection) {
  measures found;
  std::vector<double> latencies;
  double coverage_sum = 0;
  found.min_coverage = 1;
  for (const caller_request& request : world.record().requests) {
    if (!IsSelected(request, selection) || request.sent_to.empty()) continue;
    ++found.requests;
    if (request.answers.empty()) {
      ++found.unanswered;
      continue;
    }
    for (const received_answer& received : request.answers) {
      const auto calls = world.record().calls_by_query.find(received.answer.query_id);
      if (calls != world.record().calls_by_query.end()) found.calls += calls->second;
    }
    const auto success = std::find_if(request.answers.begin(), request.answers.end(),
                                      [](const received_answer& a) { return a.answer.succeeded; });
    if (success == request.answers.end()) {
      const received_answer& refusal = request.answers.back();
      ++found.refused;
      ++found.refusals[std::string(base::ToString(refusal.answer.failure))];
      const double share = Milliseconds(refusal.at - request.sent) / Milliseconds(request.deadline);
      found.worst_refusal_share = std::max(found.worst_refusal_share, share);
      continue;
    }
    ++found.succeeded;
    latencies.push_back(Milliseconds(success->at - request.sent));
    const peer::coverage& coverage = success->answer.coverage;
    const double share = coverage.documents_total == 0 ? 0
                                                       : static_cast<double>(coverage.documents_answered) /
                                                             static_cast<double>(coverage.documents_total);
    coverage_sum += share;
    found.min_coverage = std::min(found.min_coverage, share);
    found.needed_calls += coverage.shards_answered;
  }
  if (found.succeeded > 0) found.mean_coverage = coverage_sum / static_cast<double>(found.succeeded);
  if (found.succeeded == 0) found.min_coverage = 0;
  found.p50_ms = Quantile(latencies, 0.5);
  found.p99_ms = Quantile(latencies, 0.99);
  found.p999_ms = Quantile(latencies, 0.999);
  return found;
}

}  // namespace limpetrouter::tests::scenario
