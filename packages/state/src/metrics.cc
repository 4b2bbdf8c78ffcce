#include "sequoiapath/state/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <limits>

namespace sequoiapath {
namespace internal {
namespace {

namespace acc = boost::accumulators;

// Quantiles cover one to two windows. Five to ten minutes are long enough to
// estimate the 99.9th percentile of a service with few jobs and short enough to
// show changes of the load.
constexpr auto kQuantileWindow = std::chrono::minutes(5);
constexpr std::string_view kOtherLabel = "other";

using LabelledCounts = std::map<std::string, JobCounts, std::less<>>;

void Add(QuantileEstimator* estimator, double value) {
  const std::size_t count = acc::count(estimator->p_square);
  if (count < kMaxExactValues) estimator->first_values[count] = value;
  estimator->p_square(value);
}

// Returns the nearest-rank quantile of the first `count` values.
double ExactQuantile(std::array<double, kMaxExactValues> values,
                     std::size_t count, double probability) {
  const auto rank = static_cast<std::size_t>(
      std::ceil(probability * static_cast<double>(count)));
  const auto end = values.begin() + static_cast<std::ptrdiff_t>(count);
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(rank - 1);
  std::nth_element(values.begin(), nth, end);
  return *nth;
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

JobCounts* FindOrAddCounts(LabelledCounts* counts, std::string_view label,
                           const LabelLimits& limits) {
  label = label.substr(0, limits.max_label_bytes);
  const auto it = counts->find(label);
  if (it != counts->end()) return &it->second;
  if (counts->size() < limits.max_labels) {
    return &(*counts)[std::string(label)];
  }
  return &(*counts)[std::string(kOtherLabel)];
}

void CountOutcome(JobCounts* counts, const JobSample& job) {
  ++(job.failure == nullptr ? counts->complete : counts->failed);
  if (job.late) ++counts->late;
}

std::string EscapeLabel(std::string_view label) {
  std::string escaped;
  for (const char c : label) {
    if (c == '\\' || c == '"') escaped += '\\';
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

void AddHeader(std::string* text, std::string_view name, std::string_view type,
               std::string_view help) {
  fmt::format_to(std::back_inserter(*text), "# HELP {0} {2}\n# TYPE {0} {1}\n",
                 name, type, help);
}

void AddValue(std::string* text, std::string_view name, std::string_view type,
              std::string_view help, std::uint64_t value) {
  AddHeader(text, name, type, help);
  fmt::format_to(std::back_inserter(*text), "{} {}\n", name, value);
}

void AddSummary(std::string* text, std::string_view name, std::string_view help,
                const Summary& summary) {
  AddHeader(text, name, "summary", help);
  auto out = std::back_inserter(*text);
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    const double value = EstimateQuantile(summary, i);
    fmt::format_to(out, "{}{{quantile=\"{}\"}} {}\n", name, kQuantiles[i],
                   std::isnan(value) ? "NaN" : fmt::format("{}", value));
  }
  fmt::format_to(out, "{0}_sum {1}\n{0}_count {2}\n", name, summary.sum,
                 summary.count);
}

void AddJobCounts(std::string* text, std::string_view label_name,
                  const LabelledCounts& labelled) {
  const std::string name = fmt::format("sequoiapath_{}_jobs_total", label_name);
  AddHeader(text, name, "counter", "Answered jobs by outcome.");
  auto out = std::back_inserter(*text);
  for (const auto& [label, counts] : labelled) {
    fmt::format_to(out,
                   "{0}{{{1}=\"{2}\",outcome=\"complete\"}} {3}\n"
                   "{0}{{{1}=\"{2}\",outcome=\"failed\"}} {4}\n",
                   name, label_name, EscapeLabel(label), counts.complete,
                   counts.failed);
  }
  const std::string late = fmt::format("sequoiapath_{}_late_total", label_name);
  AddHeader(text, late, "counter", "Jobs answered later than their limit.");
  for (const auto& [label, counts] : labelled) {
    fmt::format_to(out, "{}{{{}=\"{}\"}} {}\n", late, label_name,
                   EscapeLabel(label), counts.late);
  }
}

void AddFailures(std::string* text, const Metrics& metrics) {
  constexpr std::string_view kName = "sequoiapath_failed_jobs_total";
  AddHeader(text, kName, "counter", "Failed answers by verdict and reason.");
  for (std::size_t verdict = 0; verdict < kVerdictCount; ++verdict) {
    for (std::size_t reason = 0; reason < kReasonCount; ++reason) {
      const std::uint64_t count = metrics.failures_by_reason[verdict][reason];
      if (count == 0) continue;
      fmt::format_to(std::back_inserter(*text),
                     "{}{{verdict=\"{}\",reason=\"{}\"}} {}\n", kName,
                     ToString(static_cast<Verdict>(verdict)),
                     ToString(static_cast<Reason>(reason)), count);
    }
  }
}

void AddCounters(std::string* text, const Metrics& metrics) {
  AddValue(text, "sequoiapath_tasks_total", "counter", "Tasks that ended.",
           metrics.tasks_ended);
  AddValue(text, "sequoiapath_worker_messages_total", "counter",
           "Requests sent to workers.", metrics.worker_messages);
  AddValue(text, "sequoiapath_peer_messages_total", "counter",
           "Requests sent to other daemons.", metrics.peer_messages);
  AddValue(text, "sequoiapath_control_sent_bytes_total", "counter",
           "Bytes of control messages sent.", metrics.control_bytes_sent);
  AddValue(text, "sequoiapath_control_received_bytes_total", "counter",
           "Bytes of control messages received.",
           metrics.control_bytes_received);
}

void AddGauges(std::string* text, const Gauges& gauges) {
  AddValue(text, "sequoiapath_running_jobs", "gauge", "Jobs without an answer.",
           gauges.running_jobs);
  AddValue(text, "sequoiapath_waiting_tasks", "gauge",
           "Tasks that wait for a worker.", gauges.waiting_tasks);
  AddValue(text, "sequoiapath_config_generation", "gauge",
           "Generation of the configuration in force.", gauges.generation);
  AddValue(text, "sequoiapath_config_alarms_total", "counter",
           "Records that contradicted the configuration in force.",
           gauges.config_alarms);
  AddValue(text, "sequoiapath_late_log_entries", "gauge",
           "Entries in the log of late and failed requests.",
           gauges.late_log_entries);
}

}  // namespace
}  // namespace internal

QuantileEstimator::QuantileEstimator()
    : p_square(boost::accumulators::extended_p_square_probabilities =
                   kQuantiles) {}

void Observe(Summary* summary, double value, TimePoint now) {
  if (now >= summary->window_end) {
    // If no value was added for more than a window, both estimators contain
    // expired values only.
    const bool both_old =
        now >= summary->window_end + internal::kQuantileWindow;
    summary->older = both_old ? QuantileEstimator() : summary->newer;
    summary->newer = QuantileEstimator();
    summary->window_end = now + internal::kQuantileWindow;
  }
  ++summary->count;
  summary->sum += value;
  internal::Add(&summary->older, value);
  internal::Add(&summary->newer, value);
}

double EstimateQuantile(const Summary& summary, std::size_t index) {
  namespace acc = boost::accumulators;
  const QuantileEstimator& estimator = summary.older;
  const std::size_t count = acc::count(estimator.p_square);
  if (count == 0) return std::numeric_limits<double>::quiet_NaN();
  if (count <= kMaxExactValues) {
    return internal::ExactQuantile(estimator.first_values, count,
                                   kQuantiles[index]);
  }
  return acc::extended_p_square(
      estimator.p_square)[static_cast<std::ptrdiff_t>(index)];
}

void CountJob(Metrics* metrics, const JobSample& job, TimePoint now) {
  Observe(&metrics->response_seconds, internal::Seconds(job.response_time),
          now);
  if (job.failure == nullptr && job.ideal > Duration::zero()) {
    Observe(&metrics->response_over_ideal,
            internal::Seconds(job.response_time) / internal::Seconds(job.ideal),
            now);
  }
  if (job.tasks > 0) {
    Observe(&metrics->messages_per_task,
            static_cast<double>(job.messages) / static_cast<double>(job.tasks),
            now);
  }
  internal::CountOutcome(
      internal::FindOrAddCounts(&metrics->by_service, job.service,
                                metrics->limits),
      job);
  internal::CountOutcome(
      internal::FindOrAddCounts(&metrics->by_team, job.team, metrics->limits),
      job);
  if (job.failure != nullptr) {
    ++metrics->failures_by_reason[static_cast<std::size_t>(
        job.failure->verdict)][static_cast<std::size_t>(job.failure->reason)];
  }
}

void CountTask(Metrics* metrics, Duration wait, Duration run_time,
               TimePoint now) {
  ++metrics->tasks_ended;
  Observe(&metrics->wait_seconds, internal::Seconds(wait), now);
  Observe(&metrics->run_seconds, internal::Seconds(run_time), now);
}

std::string RenderMetrics(const Metrics& metrics, const Gauges& gauges) {
  std::string text;
  internal::AddGauges(&text, gauges);
  internal::AddCounters(&text, metrics);
  internal::AddSummary(&text, "sequoiapath_response_seconds",
                       "Time from submission to answer.",
                       metrics.response_seconds);
  internal::AddSummary(&text, "sequoiapath_response_over_ideal",
                       "Response time over the longest task run time.",
                       metrics.response_over_ideal);
  internal::AddSummary(&text, "sequoiapath_wait_seconds",
                       "Time of a task in the queue.", metrics.wait_seconds);
  internal::AddSummary(&text, "sequoiapath_run_seconds",
                       "Time of a task at its worker.", metrics.run_seconds);
  internal::AddSummary(&text, "sequoiapath_messages_per_task",
                       "Requests sent for a job over its tasks.",
                       metrics.messages_per_task);
  internal::AddFailures(&text, metrics);
  internal::AddJobCounts(&text, "service", metrics.by_service);
  internal::AddJobCounts(&text, "team", metrics.by_team);
  return text;
}

}  // namespace sequoiapath
