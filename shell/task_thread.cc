#include "shell/task_thread.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace limpetrouter::shell {

struct task_thread::impl {
  std::mutex mutex;
  std::condition_variable ready;
  std::vector<std::function<void()>> queued;
  bool stopping = false;
  std::thread thread;

  void Run() {
    std::unique_lock lock(mutex);
    while (true) {
      ready.wait(lock, [this] { return stopping || !queued.empty(); });
      if (queued.empty()) return;
      std::vector<std::function<void()>> taken;
      taken.swap(queued);
      lock.unlock();
      for (const std::function<void()>& task : taken)
        task();
      lock.lock();
    }
  }
};

task_thread::task_thread() : impl_(std::make_unique<impl>()) {
  impl_->thread = std::thread([this] { impl_->Run(); });
}

task_thread::~task_thread() { Stop(); }

void task_thread::Post(std::function<void()> task) {
  const std::lock_guard lock(impl_->mutex);
  if (impl_->queued.empty()) impl_->ready.notify_one();
  impl_->queued.push_back(std::move(task));
}

void task_thread::Stop() {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
  }
  impl_->ready.notify_one();
  if (impl_->thread.joinable()) impl_->thread.join();
}

}  // namespace limpetrouter::shell
