#include "shell/core_loop.h"

#include <time.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace limpetrouter::shell {
using core::base::duration;
using core::base::time_point;

time_point CoreNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::duration_cast<duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

std::chrono::steady_clock::time_point ToSteady(time_point at) {
  return std::chrono::steady_clock::now() + (at - CoreNow());
}

struct core_loop::impl {
  using queue_item = std::variant<core::io::event, task>;

  core::instance::instance instance;
  core_ports ports;
  core::io::command_list commands;
  time_point next_tick;

  std::mutex mutex;
  std::condition_variable ready;
  std::vector<queue_item> queued;
  bool stopping = false;
  std::thread thread;

  void Enqueue(queue_item item) {
    const std::lock_guard lock(mutex);
    if (queued.empty()) ready.notify_one();
    queued.push_back(std::move(item));
  }

  /// Waits until there are queued items or a tick is due, and takes the items. Returns false if the loop must stop.
  bool WaitForWork(std::vector<queue_item>& taken) {
    std::unique_lock lock(mutex);
    ready.wait_until(lock, ToSteady(next_tick), [this] { return stopping || !queued.empty(); });
    taken.swap(queued);
    return !stopping;
  }

  void Run() {
    std::vector<queue_item> taken;
    while (WaitForWork(taken)) {
      RunTickIfDue();
      for (queue_item& item : taken) {
        RunTickIfDue();
        Handle(item);
      }
      taken.clear();
    }
  }

  void RunTickIfDue() {
    const time_point now = CoreNow();
    if (now < next_tick) return;
    ports.observe_lag(now - next_tick);
    next_tick = now + core::instance::kTickInterval;
    core::instance::RunTick(instance, now, commands);
    ExecuteCommands();
  }

  void Handle(queue_item& item) {
    if (const auto* const work = std::get_if<task>(&item); work != nullptr) return (*work)(instance, CoreNow());
    core::instance::HandleEvent(instance, std::get<core::io::event>(item), CoreNow(), commands);
    ExecuteCommands();
  }

  void ExecuteCommands() {
    for (core::io::command& command : commands)
      ports.execute(std::move(command));
    commands.clear();
  }
};

core_loop::core_loop(const core::membership::identity& self, std::uint64_t seed, core_ports ports,
                     const std::function<void(core::instance::instance&)>& prepare)
    : impl_(std::make_unique<impl>()) {
  const time_point now = CoreNow();
  impl_->instance = core::instance::MakeInstance(self, seed, now);
  if (prepare) prepare(impl_->instance);
  impl_->ports = std::move(ports);
  impl_->next_tick = now;
}

core_loop::~core_loop() { Stop(); }

void core_loop::Start() {
  impl_->thread = std::thread([this] { impl_->Run(); });
}

void core_loop::Post(core::io::event event) { impl_->Enqueue(std::move(event)); }

void core_loop::PostTask(task work) { impl_->Enqueue(std::move(work)); }

void core_loop::Stop() {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
  }
  impl_->ready.notify_one();
  if (impl_->thread.joinable()) impl_->thread.join();
}

}  // namespace limpetrouter::shell
