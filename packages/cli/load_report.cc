#include "load_report.h"

#include <fmt/format.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

constexpr std::array<std::pair<const char*, double>, 5> kPercentiles{
    {{"p50", 50}, {"p90", 90}, {"p99", 99}, {"p99.9", 99.9}, {"max", 100}}};

nlohmann::json ToJson(SampleSet* set) {
  nlohmann::json json{
      {"count", set->count},
      {"mean",
       set->count == 0 ? 0 : set->sum / static_cast<double>(set->count)}};
  for (const auto& [name, percent] : kPercentiles) {
    json[name] = percent == 100 ? set->greatest : Percentile(set, percent);
  }
  return json;
}

void PrintSamples(const char* name, SampleSet* set) {
  if (set->count == 0) return;
  fmt::print("{:<22}", name);
  for (const auto& [label, percent] : kPercentiles) {
    fmt::print(" {} {:.2f}", label,
               percent == 100 ? set->greatest : Percentile(set, percent));
  }
  fmt::print("\n");
}

double PerSecond(std::uint64_t count, std::chrono::duration<double> elapsed) {
  return elapsed.count() > 0 ? static_cast<double>(count) / elapsed.count() : 0;
}

void PrintJsonReport(const LoadPlan& plan, LoadReport* report) {
  const nlohmann::json json{
      {"jobs_per_second", plan.jobs_per_second},
      {"tasks_per_job", plan.tasks_per_job},
      {"seed", plan.seed},
      {"planned", report->planned},
      {"complete", report->complete},
      {"failed", report->failed},
      {"no_reply", report->no_reply},
      {"not_sent", report->not_sent},
      {"wrong", report->wrong},
      {"reasons", report->reasons},
      {"elapsed_s", report->elapsed.count()},
      {"complete_jobs_per_second",
       PerSecond(report->complete, report->elapsed)},
      {"done_tasks_per_second", PerSecond(report->tasks_done, report->elapsed)},
      {"response_ms", ToJson(&report->response_ms)},
      {"response_over_ideal", ToJson(&report->over_ideal)},
      {"failed_response_ms", ToJson(&report->failed_response_ms)},
      {"send_delay_ms", ToJson(&report->send_delay_ms)}};
  fmt::print("{}\n", json.dump(2));
}

}  // namespace
}  // namespace internal

void PrintReport(const LoadPlan& plan, LoadReport* report, bool json) {
  if (json) return internal::PrintJsonReport(plan, report);
  fmt::print(
      "planned {} complete {} failed {} no_reply {} not_sent {} wrong {}\n",
      report->planned, report->complete, report->failed, report->no_reply,
      report->not_sent, report->wrong);
  for (const auto& [reason, count] : report->reasons) {
    fmt::print("  {:<40} {}\n", reason, count);
  }
  fmt::print("elapsed {:.1f} s, {:.1f} complete jobs/s, {:.1f} tasks/s\n",
             report->elapsed.count(),
             internal::PerSecond(report->complete, report->elapsed),
             internal::PerSecond(report->tasks_done, report->elapsed));
  internal::PrintSamples("response ms", &report->response_ms);
  internal::PrintSamples("response over ideal", &report->over_ideal);
  internal::PrintSamples("failed response ms", &report->failed_response_ms);
  internal::PrintSamples("send delay ms", &report->send_delay_ms);
}

}  // namespace sequoiapath
