// Subcommand "load": submits jobs at a planned rate and prints statistics of
// the answers.

#include <fmt/format.h>

#include <cmath>
#include <cstdio>
#include <string>

#include "command.h"
#include "endpoint_list.h"
#include "load_generator.h"
#include "options.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr const char* kLoadName = "sequoiapath load";
constexpr int kMaxTasksPerJob = 100'000;

// The option values in the types that popt stores.
struct RawLoadOptions {
  double rate = 10;
  int tasks = 40;
  int run_ms = -1;
  int sessions = 8;
  int duration = 10;
  int seed = 1;
  double skew = 0;
  int deadline_ms = 0;
  int max_in_flight = 4000;
};

// Returns an error message for the first invalid value.
std::optional<std::string> CheckOptions(const RawLoadOptions& raw) {
  if (!(raw.rate > 0) || raw.rate > 1e6) {
    return fmt::format(
        "--rate: expected a number above 0 and up to 1e6, found {}", raw.rate);
  }
  if (raw.tasks < 1 || raw.tasks > kMaxTasksPerJob) {
    return fmt::format("--tasks: expected 1 to 100000, found {}", raw.tasks);
  }
  if (raw.run_ms < -1) {
    return fmt::format("--run-ms: expected 0 or more, found {}", raw.run_ms);
  }
  if (raw.sessions < 1) {
    return fmt::format("--sessions: expected 1 or more, found {}",
                       raw.sessions);
  }
  if (raw.duration < 1) {
    return fmt::format("--duration: expected 1 or more seconds, found {}",
                       raw.duration);
  }
  if (raw.seed < 0) {
    return fmt::format("--seed: expected 0 or more, found {}", raw.seed);
  }
  if (!std::isfinite(raw.skew) || raw.skew < 0) {
    return fmt::format(
        "--skew: expected a finite number of 0 or more, found {}", raw.skew);
  }
  if (raw.deadline_ms < 0) {
    return fmt::format("--deadline-ms: expected 1 or more, found {}",
                       raw.deadline_ms);
  }
  if (raw.max_in_flight < 1) {
    return fmt::format("--max-in-flight: expected 1 or more, found {}",
                       raw.max_in_flight);
  }
  return std::nullopt;
}

LoadPlan MakePlan(const RawLoadOptions& raw, const StringOption& service,
                  const StringOption& team) {
  LoadPlan plan;
  plan.service = service.value();
  plan.team = team.value();
  plan.jobs_per_second = raw.rate;
  plan.tasks_per_job = raw.tasks;
  if (raw.run_ms >= 0) {
    plan.fixed_run_time = std::chrono::milliseconds(raw.run_ms);
  }
  plan.sessions = raw.sessions;
  plan.duration = std::chrono::seconds(raw.duration);
  plan.seed = static_cast<std::uint64_t>(raw.seed);
  plan.skew = raw.skew;
  if (raw.deadline_ms > 0) {
    plan.deadline = std::chrono::milliseconds(raw.deadline_ms);
  }
  plan.max_in_flight = static_cast<std::size_t>(raw.max_in_flight);
  return plan;
}

// Runs the load and prints the report. Returns kExitNoReply if no session was
// opened at any endpoint, kExitFailed if an answer had wrong results or none
// was complete, and kExitOk otherwise.
int RunGenerator(const LoadPlan& plan, const std::vector<Endpoint>& endpoints,
                 bool json) {
  EventLoop loop;
  LoadGenerator generator(&loop, plan, endpoints);
  const auto errors = generator.OpenSessions();
  for (const std::string& error : errors) {
    fmt::print(stderr, "{}: cannot open a session: {}\n", kLoadName, error);
  }
  if (errors.size() == endpoints.size()) return kExitNoReply;
  generator.Run();
  LoadReport* report = generator.report();
  PrintReport(plan, report, json);
  return report->wrong == 0 && report->complete > 0 ? kExitOk : kExitFailed;
}

}  // namespace
}  // namespace internal

int RunLoad(int argc, const char** argv) {
  EndpointListOption endpoints_option;
  StringOption service;
  StringOption team;
  StringOption priority;
  internal::RawLoadOptions raw;
  int json = 0;
  const poptOption options[] = {
      {"endpoint", 'e', POPT_ARG_ARGV, endpoints_option.popt_arg(), 0,
       "a daemon's caller address; may be repeated", "ADDRESS:PORT"},
      {"service", 's', POPT_ARG_STRING, service.popt_arg(), 0, "service to use",
       "NAME"},
      {"team", 't', POPT_ARG_STRING, team.popt_arg(), 0, "team that submits",
       "NAME"},
      {"rate", 'r', POPT_ARG_DOUBLE, &raw.rate, 0, "jobs per second", "N"},
      {"tasks", 'n', POPT_ARG_INT, &raw.tasks, 0, "tasks per job", "N"},
      {"run-ms", 0, POPT_ARG_INT, &raw.run_ms, 0,
       "run time of each task (default: 50 ms to 1 s, and 5 s for 2% of them)",
       "MS"},
      {"sessions", 0, POPT_ARG_INT, &raw.sessions, 0,
       "number of sessions; at least one is opened for each endpoint", "N"},
      {"duration", 'd', POPT_ARG_INT, &raw.duration, 0,
       "duration for which jobs are sent", "SECONDS"},
      {"seed", 0, POPT_ARG_INT, &raw.seed, 0, "seed of the plan", "N"},
      {"skew", 0, POPT_ARG_DOUBLE, &raw.skew, 0,
       "the i-th endpoint gets a share proportional to 1/i^SKEW", "SKEW"},
      {"deadline-ms", 0, POPT_ARG_INT, &raw.deadline_ms, 0,
       "deadline of the jobs (default: that of the service)", "MS"},
      {"priority", 0, POPT_ARG_STRING, priority.popt_arg(), 0,
       "urgent, normal or bulk (default: that of the service)", "NAME"},
      {"max-in-flight", 0, POPT_ARG_INT, &raw.max_in_flight, 0,
       "maximum number of unanswered jobs; jobs beyond it are not sent", "N"},
      {"json", 0, POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const auto rest = ParseArguments(internal::kLoadName, argc, argv, options);
  if (!rest) return kExitUsage;
  std::optional<std::string> error = internal::CheckOptions(raw);
  if (!rest->empty() || !service.given() || !team.given()) {
    error =
        "--service and --team are required; other arguments than options are "
        "not allowed";
  }
  LoadPlan plan = internal::MakePlan(raw, service, team);
  if (priority.given()) {
    plan.priority = ParsePriority(priority.value());
    if (!plan.priority) {
      error = fmt::format(
          "--priority: expected urgent, normal or bulk, found \"{}\"",
          priority.value());
    }
  }
  if (error) {
    fmt::print(stderr, "{}: {}\n", internal::kLoadName, *error);
    return kExitUsage;
  }
  const auto endpoints = endpoints_option.Read(internal::kLoadName, "endpoint");
  if (!endpoints) return kExitUsage;
  return internal::RunGenerator(plan, *endpoints, json != 0);
}

}  // namespace sequoiapath
