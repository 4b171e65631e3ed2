#pragma once

#include <functional>
#include <memory>

namespace limpetrouter::shell {

/// Runs tasks in their order on one thread. Thread-safe.
class task_thread {
 public:
  task_thread();
  ~task_thread();
  task_thread(const task_thread&) = delete;
  task_thread& operator=(const task_thread&) = delete;

  void Post(std::function<void()> task);
  /// Runs the queued tasks, then ends the thread.
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace limpetrouter::shell
