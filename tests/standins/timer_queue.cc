#include "tests/standins/timer_queue.h"

#include <utility>

namespace limpetrouter::tests::standins {

timer_queue::timer_queue() : thread_([this] { RunLoop(); }) {}

timer_queue::~timer_queue() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  actions_changed_.notify_one();
  thread_.join();
}

void timer_queue::RunAt(steady_time when, std::function<void()> action) {
  bool earliest = false;
  {
    const std::lock_guard lock(mutex_);
    const auto added = actions_.emplace(when, std::move(action));
    earliest = added == actions_.begin();
  }
  if (earliest) actions_changed_.notify_one();
}

void timer_queue::RunLoop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (actions_.empty()) {
      actions_changed_.wait(lock);
      continue;
    }
    const auto earliest = actions_.begin();
    if (earliest->first > std::chrono::steady_clock::now()) {
      actions_changed_.wait_until(lock, earliest->first);
      continue;
    }
    const std::function<void()> action = std::move(earliest->second);
    actions_.erase(earliest);
    lock.unlock();
    action();
    lock.lock();
  }
}

}  // namespace limpetrouter::tests::standins
