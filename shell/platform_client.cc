#include "shell/platform_client.h"

#include <string>
#include <utility>

#include <fmt/format.h>

#include "shell/platform_codec.h"
#include "shell/transfer_pool.h"

namespace limpetrouter::shell {
namespace {

using core::base::error_kind;
using std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kNotModified = 304;

core::io::event ToConfigurationEvent(const std::string& url, const transfer_result& result) {
  if (result.outcome != transfer_outcome::kAnswered) {
    return core::io::configuration_read_failed{
        {error_kind::kPlatformUnavailable, fmt::format("{}: {}", url, ToString(result.outcome))}};
  }
  if (result.status == kNotModified) {
    return core::io::configuration_read_failed{
        {error_kind::kConfigurationStale, url + ": no newer revision (HTTP status 304)"}};
  }
  if (result.status != kOk) {
    return core::io::configuration_read_failed{
        {error_kind::kPlatformUnavailable,
         fmt::format("{}: HTTP status {} instead of 200 or 304", url, result.status)}};
  }
  core::base::result<core::config::configuration_source> source = DecodeConfiguration(result.body);
  if (!source.has_value()) {
    return core::io::configuration_read_failed{{source.error().kind, url + ": " + source.error().detail}};
  }
  return core::io::configuration_read{std::move(*source)};
}

core::io::instance_list_read ToInstanceListEvent(const transfer_result& result) {
  core::io::instance_list_read event;
  if (result.outcome != transfer_outcome::kAnswered || result.status != kOk) return event;
  core::base::result<std::vector<core::io::listed_instance>> instances = DecodeInstanceList(result.body);
  if (!instances.has_value()) return event;
  event.succeeded = true;
  event.instances = std::move(*instances);
  return event;
}

}  // namespace

struct platform_client::impl {
  std::string configuration_url;
  std::string instance_list_url;
  core::base::duration timeout{};
  std::function<void(core::io::event)> post;
  std::function<void(std::size_t)> count_bytes;
  transfer_pool pool;

  explicit impl(const answer_limits& limits) : pool(limits) {}

  void Get(const std::string& url, core::base::duration read_timeout, std::function<void(transfer_result&&)> done) {
    transfer_request request;
    request.id = pool.NewId();
    request.url = url;
    request.deadline = steady_clock::now() + read_timeout;
    request.max_answer_bytes = kMaxPlatformAnswerBytes;
    request.done = std::move(done);
    pool.Start(std::move(request));
  }
};

platform_client::platform_client(const settings& settings, std::function<void(core::io::event)> post,
                                 std::function<void(std::size_t)> count_bytes)
    : impl_(std::make_unique<impl>(settings.answers)) {
  impl_->configuration_url = settings.configuration_url;
  impl_->instance_list_url = settings.instance_list_url;
  impl_->timeout = settings.platform_timeout;
  impl_->post = std::move(post);
  impl_->count_bytes = std::move(count_bytes);
}

platform_client::~platform_client() { Stop(); }

void platform_client::ReadConfiguration(const core::io::read_configuration& read) {
  std::string url = impl_->configuration_url;
  if (read.wait.count() > 0) {
    url += fmt::format("?after={}&wait_ms={}", read.after.value, core::base::ToMilliseconds(read.wait));
  }
  impl_->Get(url, impl_->timeout + read.wait, [this, url](const transfer_result& result) {
    impl_->count_bytes(result.body.size());
    impl_->post(ToConfigurationEvent(url, result));
  });
}

void platform_client::ReadInstanceList() {
  impl_->Get(impl_->instance_list_url, impl_->timeout, [this](const transfer_result& result) {
    impl_->count_bytes(result.body.size());
    impl_->post(ToInstanceListEvent(result));
  });
}

void platform_client::Stop() { impl_->pool.Stop(); }

}  // namespace limpetrouter::shell
