// Defines VirtualTime, the event queue and the random numbers of a simulation.

#ifndef SEQUOIAPATH_TESTS_FUZZ_VIRTUAL_TIME_H_
#define SEQUOIAPATH_TESTS_FUZZ_VIRTUAL_TIME_H_

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

constexpr TimePoint kSimulationStart{std::chrono::hours(1)};

// Runs events in the order of their times; those of one time in the order in
// which they were added. The same seed gives the same draws. Not thread-safe.
class VirtualTime {
 public:
  explicit VirtualTime(unsigned seed) : random(seed) {}

  // Draws from [0, 1).
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  // Draws one of the numbers below `count`.
  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(this->random);
  }

  // Draws a time in milliseconds. Both bounds are included.
  std::chrono::milliseconds Between(int low, int high) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(low, high)(this->random));
  }

  void At(TimePoint at, std::function<void()> run) {
    this->events.push({at, this->next_sequence++, std::move(run)});
  }

  void After(Duration delay, std::function<void()> run) {
    this->At(this->now + delay, std::move(run));
  }

  // Runs all events that are due at or before `end`.
  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().at <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
  }

  TimePoint Now() const { return this->now; }

  // Returns the time since the start of the simulation.
  std::int64_t Milliseconds() const {
    return (this->now - kSimulationStart) / std::chrono::milliseconds(1);
  }

 protected:
  std::mt19937 random;
  TimePoint now = kSimulationStart;

 private:
  struct Event {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  std::priority_queue<Event> events;
  std::uint64_t next_sequence = 0;
};

// Returns how many seeds of a random test to run. The environment variable
// SEQUOIAPATH_FUZZ_SEEDS raises it for a run by hand.
inline unsigned FuzzSeedCount(unsigned default_count) {
  const char* seeds = std::getenv("SEQUOIAPATH_FUZZ_SEEDS");
  return seeds == nullptr ? default_count
                          : static_cast<unsigned>(std::atoi(seeds));
}

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TESTS_FUZZ_VIRTUAL_TIME_H_
