#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>

#include <curl/curl.h>

#include "shell/chunk_decoder.h"
#include "shell/message_framing.h"
#include "shell/transfer_pool.h"

namespace limpetrouter::shell {

/// Received bytes of the unfinished transfers of a pool. Changed by the pool's thread only.
struct answer_buffers {
  answer_limits limits;
  std::size_t transfers = 0;
  std::size_t bytes = 0;
  std::atomic<std::size_t> max_bytes{0};
};

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
  answer_buffers* buffers = nullptr;
  /// Bytes of the header so far, including interim answers and trailers.
  std::size_t header_bytes = 0;
  /// Status line of the header that arrived last.
  answer_start start;
  /// Framing of the final answer.
  message_framing framing;
  chunk_decoder chunks;
  /// True once the empty line after the final answer's header has arrived.
  bool header_complete = false;
  /// The header that arrived last belongs to an interim answer.
  bool header_interim = false;
  /// The answer is not HTTP or exceeds a limit. `result.detail` says why.
  bool answer_malformed = false;
  bool answer_mismatched = false;
  bool deadline_passed = false;
};

/// Returns the number of bytes that the unfinished answer occupies.
std::size_t BufferedBytes(const transfer& t);

/// Sets the libcurl options of the transfer on its handle. `time_left` is the time until the deadline of the transfer,
/// and `post_headers` are the header fields of a JSON request.
void SetOptions(transfer& t, std::chrono::milliseconds time_left, const curl_slist* post_headers);

/// Compares the whole answer with its framing. What libcurl reads otherwise is malformed.
void CheckWholeBody(transfer& t);

/// Returns the outcome of an ended transfer for libcurl's result code.
transfer_outcome OutcomeOf(const transfer& t, CURLcode code);

}  // namespace limpetrouter::shell
