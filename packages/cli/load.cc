// Subcommand "load": sends callers' jobs at a planned rate and prints how they
// were answered.

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

// The values as popt stores them.
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

// Returns an error text for the first value that is not allowed.
std::optional<std::string> CheckOptions(const RawLoadOptions& raw) {
  if (!(raw.rate > 0) || raw.rate > 1e6) return "--rate: above 0, up to 1e6";
  if (raw.tasks < 1 || raw.tasks > kMaxTasksPerJob) {
    return "--tasks: 1 to 100000";
  }
  if (raw.run_ms < -1) return "--run-ms: 0 or more";
  if (raw.sessions < 1) return "--sessions: 1 or more";
  if (raw.duration < 1) return "--duration: 1 or more seconds";
  if (raw.seed < 0) return "--seed: 0 or more";
  if (!std::isfinite(raw.skew) || raw.skew < 0) return "--skew: 0 or more";
  if (raw.deadline_ms < 0) return "--deadline-ms: 1 or more";
  if (raw.max_in_flight < 1) return "--max-in-flight: 1 or more";
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

// Exits with kExitNoReply if no endpoint gave a session, and with kExitFailed
// if an answer was wrong or none was complete.
int RunGenerator(const LoadPlan& plan, const std::vector<Endpoint>& endpoints,
                 bool json) {
  EventLoop loop;
  LoadGenerator generator(&loop, plan, endpoints);
  const auto errors = generator.OpenSessions();
  for (const std::string& error : errors) {
    fmt::print(stderr, "{}: no session: {}\n", kLoadName, error);
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
       "fixed run time of tasks; without it 50 ms to 1 s, and 2% take 5 s",
       "MS"},
      {"sessions", 0, POPT_ARG_INT, &raw.sessions, 0,
       "number of sessions, at least one for each endpoint", "N"},
      {"duration", 'd', POPT_ARG_INT, &raw.duration, 0,
       "how long jobs are sent", "SECONDS"},
      {"seed", 0, POPT_ARG_INT, &raw.seed, 0, "seed of the plan", "N"},
      {"skew", 0, POPT_ARG_DOUBLE, &raw.skew, 0,
       "the i-th endpoint gets a share proportional to 1/i^SKEW", "SKEW"},
      {"deadline-ms", 0, POPT_ARG_INT, &raw.deadline_ms, 0,
       "deadline of the jobs; without it the service's", "MS"},
      {"priority", 0, POPT_ARG_STRING, priority.popt_arg(), 0,
       "urgent, normal or bulk; without it the service's", "NAME"},
      {"max-in-flight", 0, POPT_ARG_INT, &raw.max_in_flight, 0,
       "jobs beyond this number without an answer are not sent", "N"},
      {"json", 0, POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const auto rest = ParseArguments(internal::kLoadName, argc, argv, options);
  if (!rest) return kExitUsage;
  std::optional<std::string> error = internal::CheckOptions(raw);
  if (!rest->empty() || !service.given() || !team.given()) {
    error = "--service and --team are required, and nothing but options";
  }
  LoadPlan plan = internal::MakePlan(raw, service, team);
  if (priority.given()) {
    plan.priority = ParsePriority(priority.value());
    if (!plan.priority) error = "--priority: urgent, normal or bulk";
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
