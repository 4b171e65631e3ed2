#pragma once

#include <chrono>

#include <curl/curl.h>

#include "shell/transfer_pool.h"

namespace limpetrouter::shell {

/// One running transfer. libcurl keeps a pointer to it.
struct transfer {
  transfer_request request;
  transfer_result result;
  CURL* handle = nullptr;
  curl_slist* header_list = nullptr;
  /// Points to the line of `time_left_field` within `header_list`; null if the request has none.
  char* time_left_line = nullptr;
  std::chrono::steady_clock::time_point started;
  /// Counts how often libcurl was about to write the request.
  int write_attempts = 0;
  bool answer_too_large = false;
  bool deadline_passed = false;
};

/// Sets the libcurl options of the transfer on its handle. `time_left` is the time until the deadline of the transfer,
/// and `post_headers` are the header fields of a JSON request.
void SetOptions(transfer& t, std::chrono::milliseconds time_left, const curl_slist* post_headers);

/// Returns the outcome of an ended transfer for libcurl's result code.
transfer_outcome OutcomeOf(const transfer& t, CURLcode code);

}  // namespace limpetrouter::shell
