// Defines LeaseWorker, a stand-in for a worker that runs tasks under leases.
//
// It follows the platform's published rules and enforces no capacity. It reads
// no clock and does no I/O, so that tests drive it in virtual time and the
// stand-in of the platform drives it in real time.

#ifndef SEQUOIAPATH_FAKES_LEASE_WORKER_H_
#define SEQUOIAPATH_FAKES_LEASE_WORKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sequoiapath/protocol/worker_order.h"

namespace sequoiapath::fakes {

struct LeaseWorkerRun {
  std::uint32_t run = 0;
  WorkerTime completes_at{0};  // When the task's work is done.
  bool fails = false;
  bool never_completes = false;
  std::string spec;
};

// Thread safety of all functions here: one thread at a time.
struct LeaseWorker {
  WorkerTime longest_lease{1000};
  std::int64_t started_at_ms = 1;
  WorkerTime now{0};
  WorkerTime lease_end{0};
  FencingToken fence = 0;
  std::map<TaskName, LeaseWorkerRun> running;
  std::map<TaskName, std::uint32_t> highest_run;  // That ended or was stopped.
  std::vector<EndedTask> ended;                   // Not yet forgotten.
  std::uint64_t last_end_number = 0;
};

// Lets the worker's clock pass: tasks end, and leases lapse. Returns the number
// of ends. Precondition: `now` does not go back.
std::size_t Advance(LeaseWorker* worker, WorkerTime now);

// Carries out an order. `run` says how the task behaves if it starts.
OrderReply Start(LeaseWorker* worker, const StartOrder& order,
                 LeaseWorkerRun run);
OrderReply Stop(LeaseWorker* worker, const StopOrder& order);
HoldReply Renew(LeaseWorker* worker, const HoldOrder& order);

// Restarts the worker: it knows nothing of before, and its clock starts anew.
void Restart(LeaseWorker* worker);

}  // namespace sequoiapath::fakes

#endif  // SEQUOIAPATH_FAKES_LEASE_WORKER_H_
