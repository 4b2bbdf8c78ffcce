#include "load_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

constexpr double kLongTaskShare = 0.02;
constexpr std::chrono::milliseconds kLongRunTime(5000);
constexpr int kShortestRunMs = 50;
constexpr int kLongestCommonRunMs = 1000;

std::vector<double> EndpointWeights(std::size_t endpoints, double skew) {
  std::vector<double> weights;
  for (std::size_t i = 1; i <= endpoints; ++i) {
    weights.push_back(1 / std::pow(static_cast<double>(i), skew));
  }
  return weights;
}

std::chrono::milliseconds SampleRunTime(LoadSchedule* schedule) {
  if (schedule->plan.fixed_run_time) return *schedule->plan.fixed_run_time;
  if (std::bernoulli_distribution(kLongTaskShare)(schedule->random)) {
    return kLongRunTime;
  }
  return std::chrono::milliseconds(std::uniform_int_distribution<int>(
      kShortestRunMs, kLongestCommonRunMs)(schedule->random));
}

// Returns a value that is unique among all tasks of a run and of runs with
// different seeds.
std::string TaskValue(const LoadPlan& plan, const PlannedJob& job,
                      std::size_t task) {
  return fmt::format("{:x}-{}-{}", plan.seed, job.number, task);
}

nlohmann::json Payload(const LoadPlan& plan, const PlannedJob& job,
                       std::size_t task) {
  return {{"run_ms", job.run_times[task].count()},
          {"value", TaskValue(plan, job, task)}};
}

}  // namespace
}  // namespace internal

LoadSchedule::LoadSchedule(LoadPlan plan, std::size_t endpoints)
    : plan(std::move(plan)), random(this->plan.seed) {
  const auto weights = internal::EndpointWeights(endpoints, this->plan.skew);
  this->endpoint_choice = {weights.begin(), weights.end()};
}

std::optional<PlannedJob> NextJob(LoadSchedule* schedule) {
  const std::chrono::duration<double> gap(std::exponential_distribution<double>(
      schedule->plan.jobs_per_second)(schedule->random));
  schedule->next_start +=
      std::chrono::duration_cast<std::chrono::nanoseconds>(gap);
  if (schedule->next_start > schedule->plan.duration) return std::nullopt;
  PlannedJob job;
  job.number = schedule->next_number++;
  job.start = schedule->next_start;
  job.endpoint = schedule->endpoint_choice(schedule->random);
  for (int i = 0; i < schedule->plan.tasks_per_job; ++i) {
    job.run_times.push_back(internal::SampleRunTime(schedule));
  }
  return job;
}

std::string EncodePlannedJob(const LoadPlan& plan, const PlannedJob& job) {
  nlohmann::json json{{"service", plan.service}};
  json["tasks"] = nlohmann::json::array();
  for (std::size_t i = 0; i < job.run_times.size(); ++i) {
    json["tasks"].push_back(internal::Payload(plan, job, i));
  }
  if (plan.deadline) json["deadline_ms"] = plan.deadline->count();
  if (plan.priority) json["priority"] = ToString(*plan.priority);
  return json.dump();
}

std::chrono::milliseconds IdealTime(const PlannedJob& job) {
  return job.run_times.empty()
             ? std::chrono::milliseconds(0)
             : *std::max_element(job.run_times.begin(), job.run_times.end());
}

bool HasExpectedResults(const LoadPlan& plan, const PlannedJob& job,
                        const std::vector<std::string>& results) {
  if (results.size() != job.run_times.size()) return false;
  for (std::size_t i = 0; i < results.size(); ++i) {
    const auto result = nlohmann::json::parse(results[i], nullptr, false);
    if (result != internal::Payload(plan, job, i)) return false;
  }
  return true;
}

}  // namespace sequoiapath
