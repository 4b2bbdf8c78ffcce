// Defines LeaseWorker, a model of a platform worker that runs tasks under a
// lease.
//
// It follows the platform's published worker protocol and enforces no capacity
// limit. It takes the time as a parameter and does no I/O, so that tests can
// use it in virtual time and the fake platform in real time.

#ifndef SEQUOIAPATH_FAKES_LEASE_WORKER_H_
#define SEQUOIAPATH_FAKES_LEASE_WORKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sequoiapath/protocol/worker_order.h"

namespace sequoiapath::fakes {

struct LeaseWorkerRun {
  std::uint32_t run = 0;
  WorkerTime completes_at{0};
  bool fails = false;
  bool never_completes = false;  // Runs until a stop or the end of its lease.
  std::string spec;
  // Set once a stop order was accepted. The run ends then, as stopped.
  std::optional<WorkerTime> stops_at;
};

// State of a fake worker. Not thread-safe, like all functions below.
struct LeaseWorker {
  WorkerTime longest_lease{1000};
  // Time that a stop takes. The run continues to be listed as running.
  WorkerTime stop_time{0};
  // The capacity that the reports contain, if any. It may change at any time.
  std::optional<Resources> capacity;
  std::int64_t started_at_ms = 1;
  WorkerTime now{0};
  WorkerTime lease_end{0};
  FencingToken fence = 0;
  std::map<TaskName, LeaseWorkerRun> running;
  // Highest run number of each task that ended or was stopped.
  std::map<TaskName, std::uint32_t> highest_run;
  std::vector<EndedTask> ended;  // Ends that no renewal has acknowledged yet.
  std::uint64_t last_end_number = 0;
};

// Advances the worker's clock to `now`: completes due tasks, ends due stops,
// and ends all running tasks if the lease has expired. Returns the number of
// runs that ended. Precondition: `now` does not decrease between calls.
std::size_t Advance(LeaseWorker* worker, WorkerTime now);

// Start, Stop and Renew apply an order at the worker's current time. `run`
// describes the behaviour of the task if the order starts it.
OrderReply Start(LeaseWorker* worker, const StartOrder& order,
                 LeaseWorkerRun run);
OrderReply Stop(LeaseWorker* worker, const StopOrder& order);
RenewReply Renew(LeaseWorker* worker, const RenewOrder& order);

// Restarts the worker: discards all tasks and fencing state, and resets its
// clock to zero. The capacity stays.
void Restart(LeaseWorker* worker);

}  // namespace sequoiapath::fakes

#endif  // SEQUOIAPATH_FAKES_LEASE_WORKER_H_
