#include "cli/http_client.h"

#include <curl/curl.h>

#include <memory>

#include <fmt/format.h>

namespace limpetrouter::cli {
namespace {

/// Largest accepted answer. A full answer of max_rows rows stays far below.
constexpr std::size_t kMaxAnswerBytes = 64 * 1024 * 1024;

using curl_ptr = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using header_ptr = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t AppendBody(const char* data, std::size_t size, std::size_t count, void* target) {
  auto& body = *static_cast<std::string*>(target);
  if (body.size() + size * count > kMaxAnswerBytes) return 0;
  body.append(data, size * count);
  return size * count;
}

http_result Perform(const std::string& address, const std::string& path, const std::string* body,
                    std::int64_t timeout_ms) {
  const curl_ptr handle(curl_easy_init(), &curl_easy_cleanup);
  if (handle == nullptr) return tl::make_unexpected(http_failure{"libcurl cannot be initialised", true});
  const std::string url = "http://" + address + path;
  http_answer answer;
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_ms));
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  // Instances are named by IP number and are never behind a proxy.
  curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &answer.body);
  const header_ptr headers(curl_slist_append(nullptr, "Content-Type: application/json"), &curl_slist_free_all);
  if (body != nullptr) {
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body->size()));
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body->c_str());
  }
  const CURLcode code = curl_easy_perform(handle.get());
  if (code != CURLE_OK) {
    return tl::make_unexpected(
        http_failure{fmt::format("{}: {}", address, curl_easy_strerror(code)), code == CURLE_COULDNT_CONNECT});
  }
  long status = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  answer.status = static_cast<int>(status);
  return answer;
}

}  // namespace

http_result Get(const std::string& address, const std::string& path, std::int64_t timeout_ms) {
  return Perform(address, path, nullptr, timeout_ms);
}

http_result Post(const std::string& address, const std::string& path, const std::string& body,
                 std::int64_t timeout_ms) {
  return Perform(address, path, &body, timeout_ms);
}

std::string EncodePercent(const std::string& text) {
  char* const escaped = curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  std::string encoded = escaped == nullptr ? "" : escaped;
  curl_free(escaped);
  return encoded;
}

}  // namespace limpetrouter::cli
