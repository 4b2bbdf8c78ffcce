// Defines the messages between the daemons that schedule step jobs.

#ifndef SEQUOIAPATH_PROTOCOL_SCHEDULER_MESSAGE_H_
#define SEQUOIAPATH_PROTOCOL_SCHEDULER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sequoiapath/protocol/step_job.h"
#include "sequoiapath/protocol/worker_order.h"
#include "sequoiapath/transport/endpoint.h"

namespace sequoiapath {

// What a daemon says of itself in heartbeats.
struct DaemonReport {
  std::string vm;
  std::string data_centre;
  Endpoint endpoint;
  std::uint64_t incarnation = 0;
  // Share of a core in thousandths; daemons with more are preferred.
  std::uint32_t weight = 0;
  bool eligible = false;   // Has run long enough to claim.
  FencingToken claim = 0;  // Zero: does not schedule.
  bool partial = false;    // Schedules on its group's home workers only.
  bool stopping = false;
  FencingToken highest_fence = 0;  // That it knows of.
  std::uint64_t config_version = 0;
  std::uint64_t store_revision = 0;  // Of its list of workers.
};

// A worker's record in the store's own form.
struct WorkerEntry {
  std::string id;
  std::string value;
};

// What a daemon read from the store: the configuration, in the store's own
// form, and the workers.
struct CatalogSnapshot {
  std::uint64_t revision = 0;
  std::uint64_t config_version = 0;
  std::string config;
  std::vector<WorkerEntry> workers;
};

// Asks for a daemon's catalog.
struct CatalogRequest {
  std::string vm;  // Of the sender.
};

// Ends a job whose caller has left.
struct CancelStepJob {
  std::string job;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_SCHEDULER_MESSAGE_H_
