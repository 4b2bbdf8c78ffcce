// Defines RetryBudget, which bounds how often tasks that surely did not run are
// sent again, so that refusing workers cannot multiply the messages.

#ifndef SEQUOIAPATH_COORDINATION_RETRY_BUDGET_H_
#define SEQUOIAPATH_COORDINATION_RETRY_BUDGET_H_

#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

struct RetryBudgetLimits {
  double per_start = 0.1;  // Retries that each start pays for.
  double per_second = 10;  // Retries that are allowed without any start.
  double max_saved = 100;  // Unused retries that are kept.
};

struct RetryBudget {
  RetryBudgetLimits limits;
  // Allowed by starts. The rate without starts is the greater of the two, so
  // both are kept apart and a retry draws on either.
  double from_starts = 0;
  double from_time = 10;  // A second's worth is there at the beginning.
  TimePoint refilled;
};

// Records the first start of a task. Thread safety of all functions here: one
// thread at a time.
void RecordStart(RetryBudget* budget);

// Takes one retry; false if the budget is used up.
bool TakeRetry(RetryBudget* budget, TimePoint now);

// Returns how long it takes at most until TakeRetry succeeds; zero if it would
// now.
Duration TimeToNextRetry(RetryBudget* budget, TimePoint now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_RETRY_BUDGET_H_
