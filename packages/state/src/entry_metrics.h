// Defines RenderEntryMetrics, which renders the metrics of an entry daemon.

#ifndef SEQUOIAPATH_STATE_ENTRY_METRICS_H_
#define SEQUOIAPATH_STATE_ENTRY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "entry_cancels.h"
#include "sequoiapath/coordination/scheduler_election.h"
#include "sequoiapath/coordination/task_scheduler.h"
#include "sequoiapath/state/job_gateway.h"
#include "sequoiapath/state/key_value_client.h"
#include "sequoiapath/state/relay_access.h"
#include "sequoiapath/state/scheduler_service.h"
#include "sequoiapath/transport/connection_limits.h"

namespace sequoiapath::internal {

// Totals that EntryDaemon counts, since the daemon's start.
struct EntryCounts {
  std::uint64_t elections_won = 0;
  std::uint64_t leader_changes = 0;
  std::uint64_t heartbeats = 0;
  std::uint64_t heartbeats_failed = 0;
  std::uint64_t catalog_pulls = 0;
};

// The sources of the rendered values.
struct EntryMetricsSource {
  const EntryCounts& daemon;
  const GatewayCounts& gateway;
  const KeyValueCounts& store;
  const EntryCancels& cancels;
  const TaskScheduler& scheduler;
  const SchedulerElection& election;
  const RequestBudget& requests;
  std::uint64_t overload_refusals = 0;  // By the scheduler's load shedder.
  const RelayCounts& relay;             // As a scheduler.
  std::uint64_t orders_executed = 0;    // As a relay.
  std::uint64_t orders_dropped = 0;     // Of these, not sent to the worker.
  LinkStatus link;
  std::size_t pending_jobs = 0;
  std::uint64_t config_version = 0;
  double store_answer_age_seconds = 0;
};

// Returns the metrics in the Prometheus text format, version 0.0.4.
// Thread-safe.
std::string RenderEntryMetrics(const EntryMetricsSource& source);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ENTRY_METRICS_H_
