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

core::io::event ToConfigurationEvent(const std::string& url, const transfer_result& ended) {
  if (ended.outcome != transfer_outcome::kAnswered) {
    return core::io::configuration_read_failed{
        {error_kind::kPlatformUnavailable, fmt::format("{}: {}", url, ToString(ended.outcome))}};
  }
  if (ended.status == kNotModified) {
    return core::io::configuration_read_failed{{error_kind::kConfigurationStale, url + ": no newer revision"}};
  }
  if (ended.status != kOk) {
    return core::io::configuration_read_failed{
        {error_kind::kPlatformUnavailable, fmt::format("{}: HTTP status {}", url, ended.status)}};
  }
  core::base::result<core::config::configuration_source> source = DecodeConfiguration(ended.body);
  if (!source.has_value()) {
    return core::io::configuration_read_failed{{source.error().kind, url + ": " + source.error().detail}};
  }
  return core::io::configuration_read{std::move(*source)};
}

core::io::instance_list_read ToInstanceListEvent(const transfer_result& ended) {
  core::io::instance_list_read event;
  if (ended.outcome != transfer_outcome::kAnswered || ended.status != kOk) return event;
  core::base::result<std::vector<core::io::listed_instance>> instances = DecodeInstanceList(ended.body);
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

  void Get(const std::string& url, core::base::duration time, std::function<void(transfer_result&&)> done) {
    transfer_request request;
    request.id = pool.NewId();
    request.url = url;
    request.deadline = steady_clock::now() + time;
    request.max_answer_bytes = kMaxPlatformAnswerBytes;
    request.done = std::move(done);
    pool.Start(std::move(request));
  }
};

platform_client::platform_client(const settings& settings, std::function<void(core::io::event)> post,
                                 std::function<void(std::size_t)> count_bytes)
    : impl_(std::make_unique<impl>()) {
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
  impl_->Get(url, impl_->timeout + read.wait, [this, url](const transfer_result& ended) {
    impl_->count_bytes(ended.body.size());
    impl_->post(ToConfigurationEvent(url, ended));
  });
}

void platform_client::ReadInstanceList() {
  impl_->Get(impl_->instance_list_url, impl_->timeout, [this](const transfer_result& ended) {
    impl_->count_bytes(ended.body.size());
    impl_->post(ToInstanceListEvent(ended));
  });
}

void platform_client::Stop() { impl_->pool.Stop(); }

}  // namespace limpetrouter::shell
