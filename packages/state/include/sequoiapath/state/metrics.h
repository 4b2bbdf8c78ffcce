// Defines Metrics, the daemon's counters, gauges and quantiles, and their
// rendering in the Prometheus text format.

#ifndef SEQUOIAPATH_STATE_METRICS_H_
#define SEQUOIAPATH_STATE_METRICS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "sequoiapath/protocol/verdict.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

constexpr std::array<double, 4> kQuantiles{0.5, 0.9, 0.99, 0.999};
constexpr std::size_t kVerdictCount = 3;
constexpr std::size_t kReasonCount =
    static_cast<std::size_t>(Reason::kWorkerSilent) + 1;

// Quantiles of at most this number of values are computed exactly. The markers
// of the P-square algorithm start at equal ranks, so its estimates are
// inaccurate for few values.
constexpr std::size_t kMaxExactValues = 100;

using PSquareEstimator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::extended_p_square>>;

// Estimates the quantiles of the values of one window.
struct QuantileEstimator {
  QuantileEstimator();

  PSquareEstimator p_square;
  std::array<double, kMaxExactValues> first_values{};
};

// A Prometheus summary: count and sum since the start of the process, and
// quantiles of the last one to two windows. Each value is added to both
// estimators. Quantiles are read from `older`; at the end of a window `newer`
// replaces it and an empty estimator replaces `newer`.
struct Summary {
  std::uint64_t count = 0;
  double sum = 0;
  TimePoint window_end;
  QuantileEstimator older;
  QuantileEstimator newer;
};

// Adds a value. Takes constant time and allocates no memory, except when an
// estimator is replaced at the end of a window.
void Observe(Summary* summary, double value, TimePoint now);

// Returns the estimate of kQuantiles[index], or NaN if the windows are empty.
// Precondition: `index` is below kQuantiles.size().
double EstimateQuantile(const Summary& summary, std::size_t index);

struct LabelLimits {
  // Labels beyond this number are counted under the label "other".
  std::size_t max_labels = 256;
  std::size_t max_label_bytes = 64;
};

// The number of answered jobs that have one label.
struct JobCounts {
  std::uint64_t complete = 0;
  std::uint64_t failed = 0;
  std::uint64_t late = 0;
};

// Values at one point in time, sampled when the metrics are rendered.
struct Gauges {
  std::size_t running_jobs = 0;
  std::size_t waiting_tasks = 0;
  std::uint64_t generation = 0;
  std::uint64_t late_log_entries = 0;
  std::uint64_t config_alarms = 0;
};

// All metrics of a process. Label limits bound its size.
// Thread safety: one thread at a time.
struct Metrics {
  LabelLimits limits;
  Summary response_seconds;
  Summary response_over_ideal;
  Summary wait_seconds;
  Summary run_seconds;
  Summary messages_per_task;
  std::map<std::string, JobCounts, std::less<>> by_service;
  std::map<std::string, JobCounts, std::less<>> by_team;
  std::array<std::array<std::uint64_t, kReasonCount>, kVerdictCount>
      failures_by_reason{};
  std::uint64_t tasks_ended = 0;
  std::uint64_t worker_messages = 0;
  std::uint64_t peer_messages = 0;
  std::uint64_t control_bytes_sent = 0;
  std::uint64_t control_bytes_received = 0;
};

// The measured values of one answered job.
struct JobSample {
  std::string_view service;
  std::string_view team;
  Duration response_time{};
  // The longest run time of the job's tasks; zero if no task has ended.
  Duration ideal{};
  std::uint64_t tasks = 0;
  // The number of requests to workers and peers for the job, including retries.
  std::uint64_t messages = 0;
  bool late = false;
  const Failure* failure = nullptr;  // Null if the answer was complete.
};

// Adds an answered job to the metrics.
void CountJob(Metrics* metrics, const JobSample& job, TimePoint now);

// Adds an ended task to the metrics: its queueing time and its time at the
// worker.
void CountTask(Metrics* metrics, Duration wait, Duration run_time,
               TimePoint now);

// Returns the metrics in the Prometheus text format, version 0.0.4.
std::string RenderMetrics(const Metrics& metrics, const Gauges& gauges);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_METRICS_H_
