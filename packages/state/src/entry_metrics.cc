#include "entry_metrics.h"

#include <fmt/format.h>

#include <chrono>
#include <string_view>

namespace sequoiapath::internal {
namespace {

constexpr double kThousandthsPerUnit = 1000;

void AddCounter(std::string* text, std::string_view name, std::uint64_t value) {
  *text += fmt::format("# TYPE sequoiapath_{0} counter\nsequoiapath_{0} {1}\n",
                       name, value);
}

void AddGauge(std::string* text, std::string_view name, double value) {
  *text += fmt::format("# TYPE sequoiapath_{0} gauge\nsequoiapath_{0} {1}\n",
                       name, value);
}

void AddOutcome(std::string* text, std::string_view outcome,
                std::uint64_t value) {
  *text += fmt::format("sequoiapath_step_jobs_total{{outcome=\"{}\"}} {}\n",
                       outcome, value);
}

void AddGateway(std::string* text, const GatewayCounts& counts) {
  *text += "# TYPE sequoiapath_step_jobs_total counter\n";
  AddOutcome(text, "completed", counts.completed);
  AddOutcome(text, "failed", counts.failed);
  AddOutcome(text, "refused", counts.refused);
  AddOutcome(text, "expired", counts.expired);
  AddOutcome(text, "cancelled", counts.cancelled);
  AddOutcome(text, "malformed", counts.malformed);
  AddOutcome(text, "unknown_route", counts.unknown_route);
  AddCounter(text, "step_jobs_resubmitted_total", counts.resubmitted);
  *text += "# TYPE sequoiapath_step_job_seconds histogram\n";
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < GatewayCounts::kBoundsMs.size(); ++i) {
    sum += counts.response_time_counts[i];
    *text +=
        fmt::format("sequoiapath_step_job_seconds_bucket{{le=\"{}\"}} {}\n",
                    GatewayCounts::kBoundsMs[i] / 1000.0, sum);
  }
  sum += counts.response_time_counts.back();
  *text += fmt::format(
      "sequoiapath_step_job_seconds_bucket{{le=\"+Inf\"}} {0}\n"
      "sequoiapath_step_job_seconds_sum {1}\n"
      "sequoiapath_step_job_seconds_count {0}\n",
      sum, counts.response_seconds);
}

void AddScheduler(std::string* text, const TaskScheduler& scheduler) {
  const SchedulerCounts& counts = scheduler.counts;
  AddCounter(text, "task_starts_total", counts.starts);
  AddCounter(text, "task_starts_rejected_total", counts.starts_rejected);
  AddCounter(text, "task_starts_unanswered_total", counts.starts_unanswered);
  AddCounter(text, "worker_holds_total", counts.renewals);
  AddCounter(text, "worker_holds_unanswered_total", counts.renewals_unanswered);
  AddCounter(text, "task_stops_total", counts.stops);
  AddCounter(text, "task_runs_adopted_total", counts.adopted);
  AddCounter(text, "task_orphans_stopped_total", counts.orphans_stopped);
  AddCounter(text, "task_runs_failed_total", counts.runs_failed);
  AddCounter(text, "task_runs_lost_total", counts.runs_lost);
  AddCounter(text, "task_second_runs_total", counts.second_runs);
  AddCounter(text, "scheduled_jobs_total", counts.jobs);
  AddCounter(text, "scheduled_jobs_delayed_total", counts.delayed_jobs);
  AddCounter(text, "scheduled_jobs_refused_hopeless_total",
             counts.hopeless_jobs);
  AddCounter(text, "task_starts_withheld_total", counts.starts_withheld);
  AddGauge(text, "evacuated_data_centres",
           static_cast<double>(scheduler.evacuations.data_centres.size()));
  Resources used;
  Resources capacity;
  std::size_t claimed = 0;
  std::size_t awaiting_record = 0;
  for (const auto& [id, worker] : scheduler.workers) {
    if (worker.awaits_record) ++awaiting_record;
    if (worker.claim != ClaimState::kClaimed) continue;
    ++claimed;
    used += worker.used;
    capacity += worker.description.capacity;
  }
  AddGauge(text, "workers", static_cast<double>(scheduler.workers.size()));
  AddGauge(text, "workers_claimed", static_cast<double>(claimed));
  AddGauge(text, "workers_awaiting_record",
           static_cast<double>(awaiting_record));
  AddGauge(text, "worker_milli_cores_used",
           static_cast<double>(used.milli_cores));
  AddGauge(text, "worker_milli_cores",
           static_cast<double>(capacity.milli_cores));
  AddGauge(text, "scheduler_jobs", static_cast<double>(scheduler.jobs.size()));
  AddGauge(text, "scheduler_waiting_jobs",
           static_cast<double>(scheduler.queue.size()));
}

void AddCancels(std::string* text, const EntryCancels& cancels) {
  const KeyValueCounts& store = cancels.store->Counts();
  AddCounter(text, "cancel_store_reads_total", store.ranges);
  AddCounter(text, "cancel_store_writes_total", store.writes);
  AddCounter(text, "cancel_store_failures_total", store.failures);
  AddCounter(text, "cancels_read_total", cancels.records_read);
  AddCounter(text, "cancels_acknowledged_by_store_total",
             cancels.counts.acknowledged_by_store);
  AddCounter(text, "cancels_acknowledged_by_daemons_total",
             cancels.counts.acknowledged_by_daemons);
  AddCounter(text, "cancels_not_acknowledged_total",
             cancels.counts.unacknowledged);
  AddGauge(text, "cancels_pending",
           static_cast<double>(cancels.durability.pending.size()));
}

void AddRequests(std::string* text, const RequestBudget& budget) {
  *text += "# TYPE sequoiapath_requests_refused_total counter\n";
  for (std::size_t i = 0; i < kCloseReasonCount; ++i) {
    *text +=
        fmt::format("sequoiapath_requests_refused_total{{reason=\"{}\"}} {}\n",
                    ToString(static_cast<CloseReason>(i)), budget.closed[i]);
  }
  AddGauge(text, "connections", static_cast<double>(OpenConnections(budget)));
  AddGauge(text, "request_bytes_in_flight",
           static_cast<double>(BytesInFlight(budget)));
  AddGauge(text, "request_budget_bytes",
           static_cast<double>(budget.limit_bytes));
}

}  // namespace

std::string RenderEntryMetrics(const EntryMetricsSource& source) {
  std::string text;
  AddGateway(&text, source.gateway);
  AddScheduler(&text, source.scheduler);
  AddRequests(&text, source.requests);
  AddCounter(&text, "scheduled_jobs_refused_overloaded_total",
             source.overload_refusals);
  AddCounter(&text, "scheduled_jobs_refused_link_total",
             source.link.refused_jobs);
  AddCounter(&text, "step_jobs_refused_by_share_total",
             source.gateway.refused_by_share);
  AddCounter(&text, "link_delayed_passes_total", source.link.delayed_passes);
  AddCounter(&text, "admission_share_decreases_total",
             source.link.share_decreases);
  AddGauge(&text, "admission_share",
           source.link.admission_share / kThousandthsPerUnit);
  AddGauge(&text, "link_work_delay_seconds",
           std::chrono::duration<double>(source.link.work_delay).count());
  AddCounter(&text, "store_ranges_total", source.store.ranges);
  AddCounter(&text, "store_watches_total", source.store.watches);
  AddCounter(&text, "store_writes_total", source.store.writes);
  AddCounter(&text, "store_renewals_total", source.store.renewals);
  AddCounter(&text, "store_failures_total", source.store.failures);
  AddCancels(&text, source.cancels);
  AddCounter(&text, "elections_won_total", source.daemon.elections_won);
  AddCounter(&text, "leader_changes_total", source.daemon.leader_changes);
  AddCounter(&text, "heartbeats_total", source.daemon.heartbeats);
  AddCounter(&text, "heartbeats_failed_total", source.daemon.heartbeats_failed);
  AddCounter(&text, "catalog_pulls_total", source.daemon.catalog_pulls);
  AddGauge(&text, "scheduler_role",
           static_cast<double>(static_cast<int>(source.election.role)));
  AddGauge(&text, "known_daemons",
           static_cast<double>(source.election.peers.size() + 1));
  AddCounter(&text, "orders_relayed_total", source.relay.orders);
  AddCounter(&text, "orders_relayed_unanswered_total", source.relay.unanswered);
  AddCounter(&text, "order_batches_total", source.relay.batches);
  AddCounter(&text, "relay_orders_executed_total", source.orders_executed);
  AddCounter(&text, "relay_orders_dropped_total", source.orders_dropped);
  AddGauge(&text, "pending_jobs", static_cast<double>(source.pending_jobs));
  AddGauge(&text, "config_version", static_cast<double>(source.config_version));
  AddGauge(&text, "store_answer_age_seconds", source.store_answer_age_seconds);
  return text;
}

}  // namespace sequoiapath::internal
