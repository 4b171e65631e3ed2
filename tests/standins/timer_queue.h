#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace limpetrouter::tests::standins {

using steady_time = std::chrono::steady_clock::time_point;

/// Runs functions at given times on its own thread. Functions that have not run by the time of destruction are dropped.
class timer_queue {
 public:
  timer_queue();
  ~timer_queue();
  timer_queue(const timer_queue&) = delete;
  timer_queue& operator=(const timer_queue&) = delete;

  void RunAt(steady_time when, std::function<void()> action);

 private:
  void RunLoop();

  std::mutex mutex_;
  std::condition_variable actions_changed_;
  std::multimap<steady_time, std::function<void()>> actions_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace limpetrouter::tests::standins
