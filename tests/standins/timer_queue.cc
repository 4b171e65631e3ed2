#include "tests/standins/timer_queue.h"

#include <utility>

namespace limpetrouter::tests::standins {

timer_queue::timer_queue() : thread_([this] { Loop(); }) {}

timer_queue::~timer_queue() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void timer_queue::RunAt(steady_time when, std::function<void()> action) {
  bool first = false;
  {
    const std::lock_guard lock(mutex_);
    const auto added = actions_.emplace(when, std::move(action));
    first = added == actions_.begin();
  }
  if (first) changed_.notify_one();
}

void timer_queue::Loop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (actions_.empty()) {
      changed_.wait(lock);
      continue;
    }
    const auto first = actions_.begin();
    if (first->first > std::chrono::steady_clock::now()) {
      changed_.wait_until(lock, first->first);
      continue;
    }
    const std::function<void()> action = std::move(first->second);
    actions_.erase(first);
    lock.unlock();
    action();
    lock.lock();
  }
}

}  // namespace limpetrouter::tests::standins
