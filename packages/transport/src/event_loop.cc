#include "sequoiapath/transport/event_loop.h"

#include <h2o.h>
#include <time.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

// Limits each wait, so that Run notices a stop request from a signal handler
// within this time.
constexpr auto kMaxWait = std::chrono::milliseconds(100);

Duration ReadClock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace
}  // namespace internal

EventLoop::EventLoop() : loop(h2o_evloop_create()) {}

EventLoop::~EventLoop() {
  // The h2o loop is leaked, because h2o 2.2 cannot completely destroy an epoll
  // loop that still has sockets. The process exits soon after its loop ends.
}

TimePoint EventLoop::Now() const {
  return TimePoint(internal::ReadClock(CLOCK_BOOTTIME));
}

Duration EventLoop::Lag() const {
  if (this->timers.empty()) return Duration::zero();
  return std::max(Duration::zero(),
                  this->Now() - this->timers.begin()->first.first);
}

Duration EventLoop::SuspendedTime() {
  // The clocks differ by the time of suspensions only, and by the nanoseconds
  // between the two readings.
  const Duration running = internal::ReadClock(CLOCK_MONOTONIC);
  return internal::ReadClock(CLOCK_BOOTTIME) - running;
}

TimerId EventLoop::Schedule(Duration delay, std::function<void()> callback) {
  const TimerId id = this->next_timer++;
  const TimePoint due = this->Now() + std::max(delay, Duration::zero());
  this->timers.emplace(std::make_pair(due, id), std::move(callback));
  this->timer_due.emplace(id, due);
  return id;
}

void EventLoop::Cancel(TimerId id) {
  auto it = this->timer_due.find(id);
  if (it == this->timer_due.end()) return;
  this->timers.erase({it->second, id});
  this->timer_due.erase(it);
}

void EventLoop::AfterEvents(std::function<void()> callback) {
  this->event_hooks.push_back(std::move(callback));
}

void EventLoop::Run() {
  while (!this->stop_requested) this->RunOnce(internal::kMaxWait);
}

void EventLoop::RunOnce(Duration max_wait) {
  Duration wait = max_wait;
  if (!this->timers.empty()) {
    const Duration until_due = this->timers.begin()->first.first - this->Now();
    wait = std::clamp(until_due, Duration::zero(), max_wait);
  }
  // A callback of a completed write may have started another write, whose
  // completion h2o reports only after it has waited for events. After timers,
  // the wait is therefore zero.
  if (std::exchange(this->timers_ran, false)) wait = Duration::zero();
  // Rounds up, because rounding down would busy-wait during the last
  // millisecond before the timer is due.
  const auto wait_ms = std::chrono::ceil<std::chrono::milliseconds>(wait);
  h2o_evloop_run(this->loop, static_cast<std::int32_t>(wait_ms.count()));
  for (const auto& hook : this->event_hooks) hook();
  this->RunDueTimers();
}

void EventLoop::RunDueTimers() {
  const TimePoint now = this->Now();
  while (!this->timers.empty() && this->timers.begin()->first.first <= now) {
    auto node = this->timers.extract(this->timers.begin());
    this->timer_due.erase(node.key().second);
    this->timers_ran = true;
    node.mapped()();
  }
  // Reports the writes that the callbacks have completed, as h2o 2.2 does after
  // its own timers. Its next iteration would free the sockets that were closed
  // since, and then report completed writes, also those of freed sockets.
  if (this->timers_ran) h2o_timeout__do_post_callback(this->loop);
}

void EventLoop::RequestStop() { this->stop_requested = true; }

}  // namespace sequoiapath
