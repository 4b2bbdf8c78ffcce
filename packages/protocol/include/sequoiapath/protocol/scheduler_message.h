// Defines the messages that daemons exchange to elect a scheduler for step jobs
// and to share the catalog.

#ifndef SEQUOIAPATH_PROTOCOL_SCHEDULER_MESSAGE_H_
#define SEQUOIAPATH_PROTOCOL_SCHEDULER_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sequoiapath/protocol/step_job.h"
#include "sequoiapath/protocol/worker_order.h"
#include "sequoiapath/transport/endpoint.h"

namespace sequoiapath {

// State that a daemon reports in its heartbeats.
struct DaemonReport {
  std::string vm;
  std::string data_centre;
  Endpoint endpoint;
  std::uint64_t incarnation = 0;
  // Processor share of the daemon in thousandths of a core. The election
  // prefers daemons with a larger share.
  std::uint32_t weight = 0;
  bool eligible = false;  // Has run long enough to become the scheduler.
  // Fencing token of the daemon's term as scheduler; zero: not a scheduler.
  FencingToken claim = 0;
  bool partial = false;  // Uses only the workers of its side of a partition.
  bool stopping = false;
  FencingToken highest_fence = 0;  // Highest fencing token the daemon knows.
  std::uint64_t config_version = 0;
  std::uint64_t store_revision = 0;  // Store revision of its list of workers.
  // VM of the scheduler that the daemon follows. Empty: none is known, or the
  // report comes from a version without this field.
  std::string scheduler;
  // When the report was sent, on the sender's clock. Zero: the report comes
  // from a version without this field.
  DaemonTime sent_at;
  // Incarnation and `sent_at` of the latest report that the sender has from the
  // daemon to which it sends this one; zero if there is none.
  std::uint64_t heard_incarnation = 0;
  DaemonTime heard_sent_at;
  // VMs of the daemons that stand by to replace the sender, which schedules.
  // Empty if it does not, or if it is of a version without this field.
  std::vector<std::string> standbys;
  // Store revision of its set of evacuated data centres. Zero: it has none, or
  // is of a version without this field.
  std::uint64_t evacuation_revision = 0;
  // The sender executes orders for a scheduler (see OrderBatch). False if it is
  // of a version without this field.
  bool relays_orders = false;
  // The sender schedules and sends its orders through relays, so submissions to
  // it omit the job's text.
  bool omits_specs = false;
  // The share of new jobs, in thousandths, that the sender admits as the
  // scheduler. A version without this field admits all.
  std::uint32_t admission_share = 1000;
  // The sender's link is congested, so that its heartbeats may be late.
  bool link_congested = false;
};

// A worker's record as the store holds it.
struct WorkerEntry {
  std::string id;
  std::string value;
};

// The data centres whose evacuation is requested.
struct EvacuationSet {
  std::uint64_t revision = 0;  // Store revision at which the set was read.
  std::vector<std::string> data_centres;  // Sorted.

  friend bool operator==(const EvacuationSet&, const EvacuationSet&) = default;
};

// A daemon's copy of the store: the configuration and the workers' records,
// both as the store holds them.
struct CatalogSnapshot {
  std::uint64_t revision = 0;
  std::uint64_t config_version = 0;
  std::string config;
  std::vector<WorkerEntry> workers;
  // Not set: none is known, or the sender is of a version without this field.
  std::optional<EvacuationSet> evacuations;
};

// Requests a daemon's catalog.
struct CatalogRequest {
  std::string vm;  // VM of the sender.
  // Requests the evacuations only; the rest of the reply is empty. A daemon of
  // a version without this field replies with its whole catalog.
  bool evacuations_only = false;
};

// Cancels a job, or one daemon's submission of it if a header names the daemon.
struct CancelStepJob {
  std::string job;
  // The process that sent the message. Empty: the message comes from a version
  // without this field.
  std::string sender;
  // The highest submission of the daemon that the cancel covers. Zero: all, or
  // the message comes from a version without this field.
  std::uint64_t submission = 0;
};

// A caller's cancel of a job.
struct JobCancel {
  std::string job;
  // Time since a daemon received the caller's request.
  std::chrono::milliseconds age{0};
};

// Cancels of callers that the receiver merges into its history.
struct JobCancels {
  std::string origin;  // Names the sender's process.
  std::vector<JobCancel> cancels;
};

// The crash of a worker's process under one of the tasks that ran on it.
struct TaskCrash {
  TaskName task;
  std::string worker;
  std::int64_t started_at_ms = 0;  // Unix time of the crashed process's start.
  // Time since a scheduler noticed the crash.
  std::chrono::milliseconds age{0};
  bool alone = false;  // No other task ran on the worker.
  // The worker acknowledged the start or reported the run. Otherwise the task
  // may not have started there.
  bool confirmed = true;
};

// Crashes that the receiver merges into its history.
struct TaskCrashes {
  std::string origin;  // Names the sender's process.
  std::vector<TaskCrash> crashes;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_SCHEDULER_MESSAGE_H_
