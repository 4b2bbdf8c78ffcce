// Defines EventLoop, the single-threaded loop that drives all I/O and timers.

#ifndef SEQUOIAPATH_TRANSPORT_EVENT_LOOP_H_
#define SEQUOIAPATH_TRANSPORT_EVENT_LOOP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

struct st_h2o_evloop_t;

namespace sequoiapath {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

// Identifies a scheduled timer; zero means no timer.
using TimerId = std::uint64_t;

// Wraps h2o's event loop and adds timers with arbitrary delays.
// Thread safety: every method must be called on the thread that runs the loop,
// except RequestStop, which is async-signal-safe.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Returns the current time, which includes the time for which the machine was
  // suspended. Reads the clock on every call instead of caching it per
  // iteration, so that a process that was suspended uses the actual time.
  TimePoint Now() const;

  // Returns how long the earliest timer has been due; zero if none is. It is
  // the time that the loop has spent on other callbacks since then.
  Duration Lag() const;

  // Returns for how long the machine has been suspended since its start. The
  // kernel's TCP timers do not count this time.
  static Duration SuspendedTime();

  // Runs `callback` once, no earlier than `delay` from now.
  // Precondition: `callback` is callable. Timers have millisecond resolution.
  TimerId Schedule(Duration delay, std::function<void()> callback);

  // Cancels a timer. Has no effect if the timer has already run or `id` is
  // zero.
  void Cancel(TimerId id);

  // Calls `callback` after each iteration's events, before its timers.
  // Precondition: it is callable as long as the loop runs.
  void AfterEvents(std::function<void()> callback);

  // Runs until RequestStop is called.
  void Run();

  // Runs one iteration, which waits at most `max_wait` for events.
  void RunOnce(Duration max_wait);

  // Makes Run return after the current iteration. Async-signal-safe.
  void RequestStop();

  // Returns the h2o loop, for use by other transport modules.
  st_h2o_evloop_t* native() const { return this->loop; }

 private:
  void RunDueTimers();

  st_h2o_evloop_t* loop;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> timers;
  std::unordered_map<TimerId, TimePoint> timer_due;
  std::vector<std::function<void()>> event_hooks;
  TimerId next_timer = 1;
  bool timers_ran = false;  // Whether the previous iteration ran a timer.
  volatile bool stop_requested = false;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TRANSPORT_EVENT_LOOP_H_
