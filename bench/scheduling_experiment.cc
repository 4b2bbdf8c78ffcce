// Measures in virtual time what callers get from TaskScheduler under load: the
// share of jobs that end within their objective, and the processor time of the
// scheduler for a job. Workers, network and callers are simulated; the
// decisions are the product's own code.

#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "sequoiapath/coordination/task_scheduler.h"

namespace sequoiapath {
namespace internal {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kTick = milliseconds(20);
constexpr milliseconds kOrderTimeout{400};
constexpr double kSpread = 0.4;
constexpr double kEstimateError = 0.4;
constexpr double kLateWorth = 0.2;
constexpr std::int64_t kTaskMemoryMb = 64;

// A kind of job, and how often it comes for each 48 workers.
struct JobKind {
  const char* name;
  double per_second;
  int width;
  double work_ms;
  int priority;
  double worth;
};

constexpr std::array<JobKind, 3> kKinds = {{
    {"short", 34.4, 8, 60, 0, 0.0291},
    {"long", 6.25, 4, 900, 2, 0.16},
    {"middle", 100, 2, 200, 1, 0.01},
}};
constexpr double kWorkersOfRates = 48;
constexpr double kStretch = 1.6;
constexpr milliseconds kSlack{60};

struct Options {
  int workers = 48;
  double load = 1;
  double burst = 1.5;
  int burst_seconds = 6;
  int seconds = 30;
  int seed = 1;
  double hanging = 0;  // Share of workers that answer nothing for 5 s.
  int core_task = 14;
  int core_worker = 32;
};

struct KindStats {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int expired = 0;
  double worth = 0;
  double owed = 0;
};

struct SimulatedRun {
  TaskName task;
  std::uint32_t run = 0;
};

struct SimulatedWorker {
  double speed = 1;
  bool hangs = false;
  std::map<TaskName, std::uint32_t> running;
  std::vector<EndedTask> ended;
  std::uint64_t last_end = 0;
  bool hold_waits = false;
  RenewOrder hold;
};

struct OpenJob {
  std::size_t kind = 0;
  TimePoint arrived;
  TimePoint objective;
  double worth = 0;
};

struct Event {
  TimePoint at;
  std::uint64_t order = 0;
  std::function<void()> run;
  bool operator>(const Event& other) const {
    return std::tie(this->at, this->order) > std::tie(other.at, other.order);
  }
};

struct Experiment {
  Options options;
  std::mt19937_64 random;   // Of what arrives, equal for all versions.
  std::mt19937_64 network;  // Of the time that messages take.
  TimePoint now = kStart;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t next_event = 0;
  std::uint64_t next_job = 0;
  TaskScheduler scheduler;
  std::map<std::string, SimulatedWorker> workers;
  std::unordered_map<std::string, OpenJob> open;
  std::array<KindStats, kKinds.size()> stats;
  std::chrono::steady_clock::duration processor{};
  std::size_t longest_queue = 0;
  bool run_planned = false;
};

void At(Experiment* experiment, TimePoint at, std::function<void()> run) {
  experiment->events.push({at, experiment->next_event++, std::move(run)});
}

Duration Hop(Experiment* experiment) {
  return std::chrono::microseconds(
      std::uniform_int_distribution<int>(400, 1600)(experiment->network));
}

WorkerTime ClockOf(const Experiment& experiment) {
  return std::chrono::duration_cast<milliseconds>(experiment.now - kStart) +
         milliseconds(1);
}

// Runs a part of the scheduler and counts its time.
template <typename Part>
void Measure(Experiment* experiment, Part part) {
  const auto begin = std::chrono::steady_clock::now();
  part();
  experiment->processor += std::chrono::steady_clock::now() - begin;
}

void RunNow(Experiment* experiment);

void PlanRun(Experiment* experiment) {
  if (std::exchange(experiment->run_planned, true)) return;
  At(experiment, experiment->now, [experiment] { RunNow(experiment); });
}

void AnswerHold(Experiment* experiment, const std::string& id) {
  SimulatedWorker& worker = experiment->workers.at(id);
  worker.hold_waits = false;
  WorkerReport report;
  report.clock = ClockOf(*experiment);
  report.started_at_ms = 1;
  for (const auto& [task, run] : worker.running) {
    report.running.push_back({task, run});
  }
  report.ended = worker.ended;
  At(experiment, experiment->now + Hop(experiment),
     [experiment, id, order = worker.hold, report] {
       Measure(experiment, [&] {
         RecordRenewalReply(&experiment->scheduler, id, order, report,
                            experiment->now);
       });
       PlanRun(experiment);
     });
}

void EndTask(Experiment* experiment, const std::string& id,
             const SimulatedRun& run, RunOutcome how) {
  SimulatedWorker& worker = experiment->workers.at(id);
  const auto found = worker.running.find(run.task);
  if (found == worker.running.end() || found->second != run.run) return;
  worker.running.erase(found);
  EndedTask row;
  row.task = run.task;
  row.run = run.run;
  row.outcome = how;
  row.number = ++worker.last_end;
  worker.ended.push_back(row);
  if (worker.hold_waits && !worker.hangs) AnswerHold(experiment, id);
}

// Reports an order that the worker leaves unanswered.
template <typename Report>
void LeaveUnanswered(Experiment* experiment, Duration timeout, Report report) {
  At(experiment, experiment->now + timeout, [experiment, report] {
    Measure(experiment, report);
    PlanRun(experiment);
  });
}

void Perform(Experiment* experiment, const SendStart& action) {
  At(experiment, experiment->now + Hop(experiment), [experiment, action] {
    SimulatedWorker& worker = experiment->workers.at(action.worker);
    if (worker.hangs) {
      LeaveUnanswered(experiment, kOrderTimeout, [experiment, action] {
        RecordStartReply(&experiment->scheduler, action.worker, action.order,
                         OrderUnanswered{true}, experiment->now);
      });
      return;
    }
    const SimulatedRun run{action.order.task, action.order.run};
    worker.running[run.task] = run.run;
    const double work = std::stod(action.order.spec) / worker.speed;
    At(experiment,
       experiment->now +
           std::chrono::microseconds(static_cast<std::int64_t>(work * 1000)),
       [experiment, id = action.worker, run] {
         EndTask(experiment, id, run, RunOutcome::kDone);
       });
    At(experiment, experiment->now + Hop(experiment), [experiment, action] {
      Measure(experiment, [&] {
        RecordStartReply(&experiment->scheduler, action.worker, action.order,
                         OrderAccepted{}, experiment->now);
      });
      PlanRun(experiment);
    });
  });
}

void Perform(Experiment* experiment, const SendStop& action) {
  At(experiment, experiment->now + Hop(experiment), [experiment, action] {
    if (experiment->workers.at(action.worker).hangs) {
      LeaveUnanswered(experiment, kOrderTimeout, [experiment, action] {
        RecordStopReply(&experiment->scheduler, action.worker, action.order,
                        OrderUnanswered{true}, experiment->now);
      });
      return;
    }
    EndTask(experiment, action.worker, {action.order.task, action.order.run},
            RunOutcome::kStopped);
    At(experiment, experiment->now + Hop(experiment), [experiment, action] {
      Measure(experiment, [&] {
        RecordStopReply(&experiment->scheduler, action.worker, action.order,
                        OrderAccepted{}, experiment->now);
      });
      PlanRun(experiment);
    });
  });
}

void Perform(Experiment* experiment, const SendRenewal& action) {
  At(experiment, experiment->now + Hop(experiment), [experiment, action] {
    SimulatedWorker& worker = experiment->workers.at(action.worker);
    if (worker.hangs) {
      LeaveUnanswered(experiment, action.order.wait + milliseconds(300),
                      [experiment, action] {
                        RecordRenewalReply(
                            &experiment->scheduler, action.worker, action.order,
                            OrderUnanswered{true}, experiment->now);
                      });
      return;
    }
    std::erase_if(worker.ended, [&](const EndedTask& row) {
      return row.number <= action.order.last_seen_end;
    });
    worker.hold = action.order;
    worker.hold_waits = true;
    if (!worker.ended.empty() || action.order.wait.count() == 0) {
      AnswerHold(experiment, action.worker);
      return;
    }
    At(experiment, experiment->now + action.order.wait,
       [experiment, id = action.worker, hold = action.order.id] {
         const SimulatedWorker& waiting = experiment->workers.at(id);
         if (waiting.hold_waits && waiting.hold.id == hold) {
           AnswerHold(experiment, id);
         }
       });
  });
}

void Perform(Experiment* experiment, const AnswerJob& action) {
  const auto node = experiment->open.extract(action.job);
  if (node.empty()) return;
  const OpenJob& job = node.mapped();
  KindStats& stats = experiment->stats[job.kind];
  switch (action.answer.outcome) {
    case StepJobOutcome::kCompleted:
      if (experiment->now <= job.objective) {
        ++stats.in_time;
        stats.worth += job.worth;
      } else {
        ++stats.late;
        stats.worth += job.worth * kLateWorth;
      }
      break;
    case StepJobOutcome::kRefused:
      ++stats.refused;
      break;
    default:
      ++stats.expired;
  }
}

void Perform(Experiment* /*experiment*/, const SchedulerLogEntry& /*note*/) {}

void RunNow(Experiment* experiment) {
  experiment->run_planned = false;
  std::vector<SchedulerAction> actions;
  Measure(experiment, [&] {
    RunScheduler(&experiment->scheduler, experiment->now);
    actions = TakeActions(&experiment->scheduler);
  });
  experiment->longest_queue =
      std::max(experiment->longest_queue, experiment->scheduler.queue.size());
  for (const SchedulerAction& action : actions) {
    std::visit([&](const auto& a) { Perform(experiment, a); }, action);
  }
}

double Spread(Experiment* experiment, double mean, double spread) {
  std::normal_distribution<double> normal(0, spread);
  return mean * std::exp(normal(experiment->random) - spread * spread / 2);
}

void Submit(Experiment* experiment, std::size_t kind_index) {
  const JobKind& kind = kKinds[kind_index];
  const double work = Spread(experiment, kind.work_ms, kSpread);
  StepJob job;
  job.id = fmt::format("j{}", experiment->next_job++);
  job.spec = fmt::format("{}", work);
  job.service = "desk";
  job.priority = kind.priority;
  job.max_attempts = 3;
  job.stretch = kStretch;
  job.slack = kSlack;
  job.remaining = milliseconds(
      std::uniform_int_distribution<int>(1860, 2900)(experiment->random));
  JobStep step;
  step.count = static_cast<std::uint32_t>(
      std::max(1.0, std::round(Spread(experiment, kind.width, kSpread))));
  step.demand = {std::int64_t{experiment->options.core_task} * 1000,
                 kTaskMemoryMb, 0};
  const double error = std::uniform_real_distribution<double>(
      1 - kEstimateError, 1 + kEstimateError)(experiment->random);
  step.estimate = milliseconds(
      std::max<std::int64_t>(1, static_cast<std::int64_t>(work * error)));
  job.steps = {step};
  const milliseconds objective(
      static_cast<std::int64_t>(work * kStretch + kSlack.count()));
  const double size = step.count * work / (kind.width * kind.work_ms);
  const double worth = kind.worth * (0.3 + 0.7 * std::min(4.0, size));
  experiment->open[job.id] = {kind_index, experiment->now,
                              experiment->now + objective, worth};
  ++experiment->stats[kind_index].asked;
  experiment->stats[kind_index].owed += worth;
  Measure(experiment, [&] {
    SubmitJob(&experiment->scheduler, std::move(job), experiment->now);
  });
  PlanRun(experiment);
}

double RateFactor(const Experiment& experiment) {
  const Duration age = experiment.now - kStart;
  const bool burst =
      age >= std::chrono::seconds(4) &&
      age < std::chrono::seconds(4 + experiment.options.burst_seconds);
  return experiment.options.load * (burst ? experiment.options.burst : 1) *
         experiment.options.workers / kWorkersOfRates;
}

void Arrive(Experiment* experiment, std::size_t kind) {
  const double rate = kKinds[kind].per_second * RateFactor(*experiment);
  const double wait =
      std::exponential_distribution<double>(rate)(experiment->random);
  At(experiment,
     experiment->now +
         std::chrono::microseconds(static_cast<std::int64_t>(wait * 1e6)),
     [experiment, kind] {
       const TimePoint end =
           kStart + std::chrono::seconds(experiment->options.seconds);
       if (experiment->now >= end) return;
       Submit(experiment, kind);
       Arrive(experiment, kind);
     });
}

void SetHanging(Experiment* experiment, bool hangs) {
  const auto count = static_cast<int>(experiment->options.hanging *
                                      experiment->options.workers);
  int left = count;
  for (auto& [id, worker] : experiment->workers) {
    if (left-- <= 0) return;
    worker.hangs = hangs;
  }
}

void Tick(Experiment* experiment) {
  RunNow(experiment);
  At(experiment, experiment->now + kTick, [experiment] { Tick(experiment); });
}

void AddWorkers(Experiment* experiment) {
  for (int i = 0; i < experiment->options.workers; ++i) {
    WorkerDescription worker;
    worker.id = fmt::format("w{:04}", i);
    worker.service = "desk";
    worker.address = fmt::format("127.0.0.1:{}", 1000 + i);
    worker.capacity = {std::int64_t{experiment->options.core_worker} * 1000,
                       65'536, 0};
    UpdateWorker(&experiment->scheduler, worker, experiment->now);
    experiment->workers[worker.id].speed =
        std::uniform_real_distribution<double>(0.8, 1.25)(experiment->random);
  }
}

void RunExperiment(Experiment* experiment) {
  experiment->random.seed(static_cast<std::uint64_t>(experiment->options.seed));
  AddWorkers(experiment);
  BeginScheduling(&experiment->scheduler, 1000, experiment->now);
  Tick(experiment);
  for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
    Arrive(experiment, kind);
  }
  At(experiment, kStart + std::chrono::seconds(5),
     [experiment] { SetHanging(experiment, true); });
  At(experiment, kStart + std::chrono::seconds(10),
     [experiment] { SetHanging(experiment, false); });
  const TimePoint end =
      kStart + std::chrono::seconds(experiment->options.seconds + 4);
  while (experiment->events.top().at < end) {
    const Event event = experiment->events.top();
    experiment->events.pop();
    experiment->now = event.at;
    event.run();
  }
}

void Print(const Experiment& experiment) {
  fmt::print("{:8} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6}\n", "kind", "asked",
             "intime", "late", "refused", "expired", "worth");
  double worth = 0;
  double owed = 0;
  int jobs = 0;
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    const KindStats& kind = experiment.stats[i];
    fmt::print("{:8} {:6} {:6} {:6} {:7} {:7} {:6.3f}\n", kKinds[i].name,
               kind.asked, kind.in_time, kind.late, kind.refused, kind.expired,
               kind.worth / kind.owed);
    worth += kind.worth;
    owed += kind.owed;
    jobs += kind.asked;
  }
  const double micros =
      std::chrono::duration<double, std::micro>(experiment.processor).count();
  fmt::print(
      "worth {:.3f}, processor {:.0f} us a job, {:.3f} cores, longest queue "
      "{}\n",
      worth / owed, micros / jobs,
      micros / 1e6 / (experiment.options.seconds + 4),
      experiment.longest_queue);
}

bool ParseOptions(int argc, const char** argv, Options* options) {
  const std::array<poptOption, 11> table = {
      {{"workers", 0, POPT_ARG_INT, &options->workers, 0, "workers", "N"},
       {"load", 0, POPT_ARG_DOUBLE, &options->load, 0,
        "arrivals over the usual rate", "X"},
       {"burst", 0, POPT_ARG_DOUBLE, &options->burst, 0,
        "arrivals over that rate from 4 s on", "X"},
       {"burst-seconds", 0, POPT_ARG_INT, &options->burst_seconds, 0,
        "length of the burst", "S"},
       {"hanging", 0, POPT_ARG_DOUBLE, &options->hanging, 0,
        "share of workers that answer nothing from 5 s to 10 s", "SHARE"},
       {"seconds", 0, POPT_ARG_INT, &options->seconds, 0,
        "virtual time of arrivals", "S"},
       {"seed", 0, POPT_ARG_INT, &options->seed, 0, "random seed", "N"},
       {"task-cores", 0, POPT_ARG_INT, &options->core_task, 0,
        "cores of a task", "N"},
       {"worker-cores", 0, POPT_ARG_INT, &options->core_worker, 0,
        "cores of a worker", "N"},
       POPT_AUTOHELP POPT_TABLEEND}};
  poptContext context =
      poptGetContext("scheduling_experiment", argc, argv, table.data(), 0);
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    fmt::print(stderr, "scheduling_experiment: {}: {}\n",
               poptBadOption(context, POPT_BADOPTION_NOALIAS),
               poptStrerror(result));
  }
  poptFreeContext(context);
  if (result == -1 && (options->workers < 1 || options->seconds < 1 ||
                       options->load <= 0 || options->burst <= 0)) {
    fmt::print(stderr,
               "scheduling_experiment: workers, seconds, load and burst must "
               "be above zero\n");
    return false;
  }
  return result == -1;
}

}  // namespace
}  // namespace internal
}  // namespace sequoiapath

int main(int argc, const char** argv) {
  sequoiapath::internal::Experiment experiment;
  if (!sequoiapath::internal::ParseOptions(argc, argv, &experiment.options)) {
    return 2;
  }
  sequoiapath::internal::RunExperiment(&experiment);
  sequoiapath::internal::Print(experiment);
  return 0;
}
