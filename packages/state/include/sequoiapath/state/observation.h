// Defines ObserveAnswer, which records the answer of a job in the metrics and,
// if the job was late or failed, in the late log.

#ifndef SEQUOIAPATH_STATE_OBSERVATION_H_
#define SEQUOIAPATH_STATE_OBSERVATION_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "sequoiapath/protocol/job.h"
#include "sequoiapath/state/late_log.h"
#include "sequoiapath/state/metrics.h"

namespace sequoiapath {

// Measurements of a job while it runs. `ideal` is the ideal response time,
// which is the longest run time of the job's tasks so far. `messages` counts
// the messages that were sent for the job.
struct JobObservation {
  Duration ideal{};
  std::uint64_t messages = 0;
};

// Records the run time of a task whose worker answered. Thread safety: one
// thread at a time.
inline void ObserveTask(JobObservation* job, Duration run_time) {
  if (run_time > job->ideal) job->ideal = run_time;
}

// A job whose answer has been determined.
struct AnsweredJob {
  std::string team;
  std::string service;
  std::uint64_t tasks = 0;
  Duration response_time{};
  Duration deadline{};  // Time allowed from the submission to the answer.
  JobObservation observed;
  std::uint32_t callers_told = 0;  // Callers that were sent the answer.
  std::uint32_t callers_gone = 0;  // Callers that had disconnected.
};

// Where answers are recorded, and the policy that decides which are late.
struct Observer {
  LatePolicy policy;
  Metrics metrics;
  LateLog late_log;
};

// Records an answer. `now` is the time for the metrics, `wall_time` the time of
// day for the late log. Thread safety: one thread at a time.
void ObserveAnswer(Observer* observer, const AnsweredJob& job,
                   const JobAnswer& answer, TimePoint now,
                   std::chrono::system_clock::time_point wall_time);

// Returns the answer's HTTP status, verdict, reason and retry advice as text.
// Thread-safe.
std::string DescribeAnswer(const JobAnswer& answer);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_OBSERVATION_H_
