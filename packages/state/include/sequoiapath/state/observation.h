// Defines the observation of answered jobs: one call records an answer in the
// metrics and, if it was late or failed, in the late log.

#ifndef SEQUOIAPATH_STATE_OBSERVATION_H_
#define SEQUOIAPATH_STATE_OBSERVATION_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "sequoiapath/protocol/job.h"
#include "sequoiapath/state/late_log.h"
#include "sequoiapath/state/metrics.h"

namespace sequoiapath {

// Keeps the longest observed run time of a job's tasks, which is the job's
// ideal time, and counts its messages.
struct JobObservation {
  Duration ideal{};
  std::uint64_t messages = 0;
};

// Records the end of a task whose worker answered.
inline void ObserveTask(JobObservation* job, Duration run_time) {
  if (run_time > job->ideal) job->ideal = run_time;
}

// An answered job.
struct AnsweredJob {
  std::string team;
  std::string service;
  std::uint64_t tasks = 0;
  Duration response_time{};
  Duration deadline{};  // From the submission.
  JobObservation observed;
  std::uint32_t callers_told = 0;
  std::uint32_t callers_gone = 0;
};

struct Observer {
  LatePolicy policy;
  Metrics metrics;
  LateLog late_log;
};

// Records an answer. `wall_time` is the time of the answer for people. Thread
// safety: one thread at a time.
void ObserveAnswer(Observer* observer, const AnsweredJob& job,
                   const JobAnswer& answer, TimePoint now,
                   std::chrono::system_clock::time_point wall_time);

// Returns the answer's status, reason and retry advice in words. Thread-safe.
std::string DescribeAnswer(const JobAnswer& answer);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_OBSERVATION_H_
