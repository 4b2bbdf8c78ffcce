// Defines LinkBudget, a token bucket that paces the work on a network link of a
// known rate, so that work waits in the process instead of in a socket.
//
// A socket delivers in order, so a heartbeat or a renewal that is written
// behind queued work is as late as that work. Control messages are therefore
// never delayed here: they are charged to the budget, and work gets what is
// left.

#ifndef SEQUOIAPATH_COORDINATION_LINK_BUDGET_H_
#define SEQUOIAPATH_COORDINATION_LINK_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

struct LinkBudgetLimits {
  // Bytes per second in one direction; zero: not known, nothing is limited.
  double rate = 0;
  // The share of the rate that the budget uses. The rest is for what is not
  // charged: connection set-up, acknowledgements, and the store's answers.
  double used_share = 0.95;
  // Unused budget that is kept, and so the longest queue of work in sockets.
  Duration burst = std::chrono::milliseconds(50);
  // The averages below follow a change of the traffic within this time.
  Duration averaging_time = std::chrono::seconds(1);
};

// Bytes of a scheduler's messages on its link, with the headers of HTTP, TCP
// and IP and the acknowledgement of the reply. Relayed orders may be smaller.
struct LinkMessageSizes {
  std::size_t start_without_spec = 500;
  std::size_t renewal = 350;
  std::size_t stop = 350;
  std::size_t answer = 200;  // Of a job, to its daemon.
  std::size_t heartbeat = 500;
};

struct LinkBudget {
  LinkBudgetLimits limits;
  LinkMessageSizes sizes;
  double credit = 0;        // Bytes; negative while control messages use more.
  double control_rate = 0;  // Moving average, in bytes per second.
  double waiting = 0;       // Bytes of work that wait for the budget.
  TimePoint refilled;
  std::uint64_t delayed = 0;  // Passes that ended because of the budget.
};

// None of the functions below is thread-safe: calls must not overlap.

// Returns whether a link is so small for the work that orders must be paced:
// its rate is known and offers less than 10 KB/s for each worker.
bool IsScarceLink(std::uint64_t bytes_per_second, std::size_t workers);

// Sets the rate in bytes per second; zero ends the limitation.
void SetLinkRate(LinkBudget* budget, double rate, TimePoint now);

// Charges a message that is sent at once, such as a heartbeat, a renewal, a
// stop or an answer.
void ChargeControl(LinkBudget* budget, std::size_t bytes, TimePoint now);

// Charges work of `bytes` and returns true if the budget permits it now.
// Otherwise the work has to wait.
bool TakeWork(LinkBudget* budget, std::size_t bytes, TimePoint now);

// Records how many bytes of work wait for the budget after a pass.
void SetWaitingWork(LinkBudget* budget, std::size_t bytes);

// Returns the estimated time until work that arrives now can be sent.
Duration WorkDelay(const LinkBudget& budget);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_LINK_BUDGET_H_
