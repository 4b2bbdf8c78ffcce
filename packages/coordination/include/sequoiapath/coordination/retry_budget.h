// Defines RetryBudget, which limits the rate of retries of tasks that certainly
// did not run, so that workers that refuse tasks cannot multiply the messages.

#ifndef SEQUOIAPATH_COORDINATION_RETRY_BUDGET_H_
#define SEQUOIAPATH_COORDINATION_RETRY_BUDGET_H_

#include <chrono>

#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

struct RetryBudgetLimits {
  double per_start = 0.1;  // Retries that each start adds to the budget.
  double per_second = 10;  // Retries per second that need no starts.
  double max_saved = 100;  // Most unused retries from starts that are kept.
};

struct RetryBudget {
  RetryBudgetLimits limits;
  // Retries that starts have added and retries that passing time has added. The
  // permitted rate is the greater of the two rates and not their sum. They are
  // therefore counted separately; a retry needs one of them and reduces both.
  double from_starts = 0;
  double from_time = 10;  // Initially the retries of one second.
  TimePoint refilled;
};

// None of the functions below is thread-safe: calls must not overlap.

// Records the first start of a task, which adds `per_start` retries.
void RecordStart(RetryBudget* budget);

// Takes one retry from the budget; returns false if the budget is exhausted.
bool TakeRetry(RetryBudget* budget, TimePoint now);

// The delays before the retries of one message.
struct RetryDelays {
  Duration first = std::chrono::milliseconds(50);
  Duration longest = std::chrono::milliseconds(800);
};

// Returns the delay before the retry with the number `retry`, from zero on. It
// doubles with each retry. `draw`, which is random in [0, 1), varies it between
// half and one and a half times of that, so that messages that failed together
// are not repeated together. Thread-safe.
Duration RetryDelay(const RetryDelays& delays, unsigned retry, double draw);

// Returns the longest time until TakeRetry succeeds; zero if it succeeds now.
// Starts that are recorded meanwhile shorten the time.
Duration TimeToNextRetry(RetryBudget* budget, TimePoint now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_RETRY_BUDGET_H_
