// Defines LoadPlan, the parameters of the generated load, and the deterministic
// schedule of jobs that follows from them and a seed.

#ifndef SEQUOIAPATH_CLI_LOAD_PLAN_H_
#define SEQUOIAPATH_CLI_LOAD_PLAN_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiapath/protocol/job.h"

namespace sequoiapath {

struct LoadPlan {
  std::string service;
  std::string team;
  double jobs_per_second = 10;
  int tasks_per_job = 40;
  // If empty, 2% of the tasks run for 5 s and the run times of the others are
  // uniformly distributed from 50 ms to 1 s.
  std::optional<std::chrono::milliseconds> fixed_run_time;
  int sessions = 8;
  std::chrono::seconds duration{10};
  std::uint64_t seed = 1;
  // The probability of the i-th endpoint is proportional to 1 / i^skew.
  double skew = 0;
  std::optional<std::chrono::milliseconds> deadline;
  std::optional<Priority> priority;
  std::size_t max_in_flight = 4000;
};

// One job to send.
struct PlannedJob {
  std::uint64_t number = 0;
  std::chrono::nanoseconds start{0};  // Since the start of the load run.
  std::size_t endpoint = 0;
  std::vector<std::chrono::milliseconds> run_times;
};

// The state of the generator of planned jobs. Equal plans produce equal jobs.
struct LoadSchedule {
  // Precondition: `endpoints` is positive.
  LoadSchedule(LoadPlan plan, std::size_t endpoints);

  LoadPlan plan;
  std::mt19937_64 random;
  std::discrete_distribution<std::size_t> endpoint_choice;
  std::chrono::nanoseconds next_start{0};
  std::uint64_t next_number = 1;
};

// Returns the next job, or nothing after the planned duration. The times
// between jobs are exponentially distributed.
std::optional<PlannedJob> NextJob(LoadSchedule* schedule);

// Returns the request body of the job. Each task has a payload with a unique
// value.
std::string EncodePlannedJob(const LoadPlan& plan, const PlannedJob& job);

// Returns the longest run time of the job's tasks.
std::chrono::milliseconds IdealTime(const PlannedJob& job);

// Returns whether the results are the payloads of the job's tasks in order, as
// returned by workers that echo the payload.
bool HasExpectedResults(const LoadPlan& plan, const PlannedJob& job,
                        const std::vector<std::string>& results);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_LOAD_PLAN_H_
