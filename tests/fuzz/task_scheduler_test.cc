// Simulates schedulers and workers with random faults: lost orders and replies,
// orders that arrive seconds late, restarted workers, and schedulers that are
// replaced by a planned change, a kill or a partition. Checks that no worker's
// capacity is ever exceeded, that no task has two runs at a time, and that
// every job is answered.

#include "sequoiapath/coordination/task_scheduler.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "sequoiapath/coordination/scheduler_election.h"
#include "sequoiapath/fakes/lease_worker.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

constexpr int kWorkers = 6;
constexpr int kSchedulers = 3;
constexpr milliseconds kJobInterval{100};
constexpr milliseconds kLoadTime{20'000};
constexpr milliseconds kSimulationTime{40'000};
// A scheduler detects within this time that it can no longer reach a daemon.
constexpr milliseconds kLossDetectionTime{600};
constexpr TimePoint kStart{std::chrono::hours(1)};
const Resources kCapacity{16'000, 32'768, 0};

struct Event {
  TimePoint at;
  std::uint64_t sequence;
  std::function<void()> run;
  bool operator<(const Event& other) const {
    return std::tie(at, sequence) > std::tie(other.at, other.sequence);
  }
};

// Probabilities of the faults of one order.
struct Faults {
  double order_lost = 0.01;
  double reply_lost = 0.02;
  double late = 0.01;
};

struct SimulatedJob {
  StepJob job;
  int scheduler = 0;
  std::uint64_t submission = 0;
  bool answered = false;
  StepJobOutcome outcome = StepJobOutcome::kMoved;
};

// Simulates schedulers, workers and jobs in virtual time, with faults drawn
// from the seed.
class Simulation {
 public:
  explicit Simulation(unsigned seed) : random(seed) {
    for (int w = 0; w < kWorkers; ++w) {
      this->workers.emplace_back();
      // A worker's clock may be up to 2% slow.
      this->clock_rates.push_back(1.0 - 0.02 * this->Uniform());
      this->clock_starts.push_back(kStart);
    }
    for (int s = 0; s < kSchedulers; ++s) {
      this->alive.push_back(true);
      this->schedulers.push_back(this->NewScheduler());
    }
  }

  void Run() {
    this->TakeOver(0);
    for (TimePoint at = kStart + milliseconds(200); at < kStart + kLoadTime;
         at += kJobInterval) {
      this->At(at, [this] { this->SubmitNew(); });
    }
    this->At(kStart, [this] { this->Tick(); });
    this->PlanFaults();
    while (!this->events.empty() &&
           this->events.top().at <= kStart + kSimulationTime) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
  }

  const std::map<std::string, SimulatedJob>& Jobs() const { return this->jobs; }

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(this->random);
  }
  milliseconds Between(int low, int high) {
    return milliseconds(
        std::uniform_int_distribution<int>(low, high)(this->random));
  }

  void At(TimePoint at, std::function<void()> run) {
    this->events.push({at, this->next_sequence++, std::move(run)});
  }
  void After(milliseconds delay, std::function<void()> run) {
    this->At(this->now + delay, std::move(run));
  }

  WorkerDescription Describe(int w) {
    WorkerDescription worker;
    worker.id = fmt::format("w{}", w);
    worker.service = "desk";
    worker.address = fmt::format("127.0.0.1:{}", 1000 + w);
    worker.data_centre = "heredia";
    worker.capacity = kCapacity;
    worker.started_at_ms = this->workers[w].started_at_ms;
    return worker;
  }

  WorkerTime ClockOf(int w) {
    const std::chrono::duration<double, std::milli> elapsed =
        this->now - this->clock_starts[w];
    return WorkerTime(
        static_cast<std::int64_t>(elapsed.count() * this->clock_rates[w]));
  }

  void AdvanceWorker(int w) {
    fakes::Advance(&this->workers[w], this->ClockOf(w));
  }

  // Records an event of a job or a worker for the messages of failed checks.
  void Trace(const std::string& subject, std::string event) {
    this->traces[subject] +=
        fmt::format("  {} ms: {}\n", (this->now - kStart) / milliseconds(1),
                    std::move(event));
  }

  void CheckWorkers() {
    std::set<TaskName> running;
    for (int w = 0; w < kWorkers; ++w) {
      Resources used;
      for (const auto& [task, run] : this->workers[w].running) {
        EXPECT_TRUE(running.insert(task).second)
            << "two runs of " << task.job << "." << task.index << " at "
            << (this->now - kStart) / milliseconds(1) << " ms\n"
            << this->traces[task.job];
        used += this->jobs.at(task.job).job.steps[task.step].demand;
      }
      EXPECT_TRUE(Fits(used, kCapacity))
          << "worker " << w << " at " << (this->now - kStart) / milliseconds(1)
          << " ms\n"
          << this->traces[fmt::format("w{}", w)];
    }
  }

  bool IsPartitioned(int scheduler, int worker) {
    const auto found = this->partitioned_until.find({scheduler, worker});
    return found != this->partitioned_until.end() && this->now < found->second;
  }

  // Sends an order of scheduler `s` to worker `w` with random delays and
  // faults. `process_order` applies the order to the worker and returns the
  // reply. `receive` gets the reply, or OrderUnanswered after `timeout`.
  template <typename Reply>
  void Exchange(int s, int w, milliseconds timeout,
                std::function<Reply()> process_order,
                std::function<void(const Reply&)> receive) {
    auto answered = std::make_shared<bool>(false);
    const auto answer = [this, s, answered, receive](const Reply& reply) {
      if (std::exchange(*answered, true)) return;
      if (!this->alive[s]) return;
      receive(reply);
      this->RunPass(s);
    };
    this->After(timeout, [answer] { answer(OrderUnanswered{true}); });
    const bool partitioned = this->IsPartitioned(s, w);
    if (partitioned || this->Uniform() < this->faults.order_lost) return;
    const bool late = this->Uniform() < this->faults.late;
    const milliseconds delay =
        late ? this->Between(2000, 12'000) : this->Between(1, 4);
    const bool lost = late || this->Uniform() < this->faults.reply_lost;
    this->After(delay, [this, w, lost, process_order, answer] {
      this->AdvanceWorker(w);
      const Reply reply = process_order();
      this->CheckWorkers();
      if (lost) return;
      this->After(this->Between(1, 4), [answer, reply] { answer(reply); });
    });
  }

  template <typename Reply>
  const char* Outcome(const Reply& reply) {
    return std::holds_alternative<OrderRejection>(reply) ? "rejected"
                                                         : "accepted";
  }

  int WorkerIndex(const std::string& id) { return std::stoi(id.substr(1)); }

  void Perform(int s, const SendStart& action) {
    const int w = this->WorkerIndex(action.worker);
    const StartOrder order = action.order;
    const milliseconds run_time = this->Between(20, 400);
    const bool fails = this->Uniform() < 0.02;
    const bool hangs = this->Uniform() < 0.01;
    this->Trace(
        action.worker,
        fmt::format("s{} sends {}.{} run {} lease end {}", s, order.task.job,
                    order.task.index, order.run, order.lease_end.count()));
    this->Exchange<OrderReply>(
        s, w, milliseconds(400),
        [this, s, w, order, run_time, fails, hangs] {
          fakes::LeaseWorkerRun run;
          run.completes_at = this->workers[w].now + run_time;
          run.fails = fails;
          run.never_completes = hangs;
          const OrderReply reply = fakes::Start(&this->workers[w], order, run);
          const std::string event =
              fmt::format("s{} starts {}.{} run {} on w{} fence {}: {}", s,
                          order.task.job, order.task.index, order.run, w,
                          order.fence, this->Outcome(reply));
          this->Trace(order.task.job, event);
          this->Trace(fmt::format("w{}", w), event);
          return reply;
        },
        [this, s, action](const OrderReply& reply) {
          RecordStartReply(&this->schedulers[s], action.worker, action.order,
                           reply, this->now);
        });
  }

  void Perform(int s, const SendStop& action) {
    const int w = this->WorkerIndex(action.worker);
    const StopOrder order = action.order;
    this->Exchange<OrderReply>(
        s, w, milliseconds(400),
        [this, s, w, order] {
          const OrderReply reply = fakes::Stop(&this->workers[w], order);
          const std::string event = fmt::format(
              "s{} stops {}.{} run {} on w{}: {}", s, order.task.job,
              order.task.index, order.run, w, this->Outcome(reply));
          this->Trace(order.task.job, event);
          this->Trace(fmt::format("w{}", w), event);
          return reply;
        },
        [this, s, action](const OrderReply& reply) {
          RecordStopReply(&this->schedulers[s], action.worker, action.order,
                          reply, this->now);
        });
  }

  void Perform(int s, const SendRenewal& action) {
    const int w = this->WorkerIndex(action.worker);
    const RenewOrder order = action.order;
    this->Exchange<RenewReply>(
        s, w, action.order.wait + milliseconds(300),
        [this, s, w, order] {
          RenewReply reply = fakes::Renew(&this->workers[w], order);
          this->Trace(fmt::format("w{}", w),
                      fmt::format("s{} renews fence {} seen {}: {} running {}",
                                  s, order.fence, order.last_seen_end,
                                  this->Outcome(reply),
                                  this->workers[w].running.size()));
          return reply;
        },
        [this, s, action](const RenewReply& reply) {
          RecordRenewalReply(&this->schedulers[s], action.worker, action.order,
                             reply, this->now);
        });
  }

  void Perform(int s, const AnswerJob& action) {
    const auto found = this->jobs.find(action.job);
    if (found == this->jobs.end()) return;
    SimulatedJob& job = found->second;
    if (job.scheduler != s || job.answered) return;
    if (action.answer.outcome == StepJobOutcome::kCancelled) return;
    if (action.answer.outcome == StepJobOutcome::kMoved) {
      this->After(milliseconds(2), [this, id = action.job] {
        this->Resubmit(&this->jobs.at(id));
      });
      return;
    }
    job.answered = true;
    job.outcome = action.answer.outcome;
  }

  void Perform(int s, const SchedulerLogEntry& entry) {
    const std::string event =
        fmt::format("s{} logs {} {} {} {}", s, entry.event, entry.job,
                    entry.worker, entry.detail);
    if (!entry.job.empty()) this->Trace(entry.job, event);
    if (!entry.worker.empty()) this->Trace(entry.worker, event);
  }

  void RunPass(int s) {
    if (!this->alive[s]) return;
    SetWorkersListedAt(&this->schedulers[s], this->now);
    RunScheduler(&this->schedulers[s], this->now);
    for (const SchedulerAction& action : TakeActions(&this->schedulers[s])) {
      std::visit([this, s](const auto& a) { this->Perform(s, a); }, action);
    }
  }

  void Tick() {
    for (int w = 0; w < kWorkers; ++w) this->AdvanceWorker(w);
    for (int s = 0; s < kSchedulers; ++s) this->RunPass(s);
    this->After(milliseconds(10), [this] { this->Tick(); });
  }

  void SubmitNew() {
    SimulatedJob job;
    job.job.id = fmt::format("{:016x}", this->next_job++);
    job.job.service = "desk";
    job.job.priority = this->Pick(3);
    job.job.max_attempts = 6;
    job.job.stretch = 2;
    job.job.remaining = milliseconds(15'000);
    JobStep step;
    step.count = static_cast<std::uint32_t>(1 + this->Pick(4));
    step.demand = {4000 + this->Pick(5000), 64, 0};
    step.estimate = milliseconds(200);
    job.job.steps = {step};
    const std::string id = job.job.id;
    SimulatedJob* added = &this->jobs.emplace(id, std::move(job)).first->second;
    this->Submit(added);
  }

  void Submit(SimulatedJob* job) {
    job->scheduler = this->current;
    this->Trace(job->job.id, fmt::format("submitted to s{} generation {}",
                                         this->current, job->job.generation));
    StepJob copy = job->job;
    job->job.former_fence = this->fence;
    SubmitJob(&this->schedulers[this->current], std::move(copy), this->now);
    this->RunPass(this->current);
  }

  void Resubmit(SimulatedJob* job) {
    if (job->answered) return;
    ++job->job.generation;
    this->Submit(job);
  }

  // Returns a scheduler that knows the workers but no jobs or runs.
  TaskScheduler NewScheduler() {
    TaskScheduler scheduler;
    for (int w = 0; w < kWorkers; ++w) {
      UpdateWorker(&scheduler, this->Describe(w), this->now);
    }
    return scheduler;
  }

  // Makes `s` the current scheduler, with a higher fencing token than before.
  void TakeOver(int s) {
    this->fence = std::max(
        this->fence + 1, MakeFencingToken((this->now - kStart) /
                                              milliseconds(1) * milliseconds(1),
                                          fmt::format("s{}", s), 1));
    this->current = s;
    this->alive[s] = true;
    BeginScheduling(&this->schedulers[s], this->fence, this->now);
    this->RunPass(s);
  }

  void ResubmitAllOf(int former) {
    for (auto& [id, job] : this->jobs) {
      if (job.scheduler == former) this->Resubmit(&job);
    }
  }

  void ReplaceScheduler() {
    // The scheduler changes only after an earlier partition has healed.
    if (this->isolated_scheduler >= 0) return;
    const int former = this->current;
    const int next = (former + 1) % kSchedulers;
    switch (this->Pick(3)) {
      case 0:  // Planned: it answers its jobs with kMoved.
        this->TakeOver(next);
        EndScheduling(&this->schedulers[former]);
        this->RunPass(former);
        break;
      case 1:  // Killed.
        this->alive[former] = false;
        this->schedulers[former] = this->NewScheduler();
        this->TakeOver(next);
        this->ResubmitAllOf(former);
        break;
      default:
        this->Partition(former, next);
    }
  }

  // Partitions the network so that each scheduler reaches a part of the
  // workers. Some jobs of the former scheduler are submitted again to the next
  // one. The former scheduler stops scheduling when the partition heals.
  void Partition(int former, int next) {
    const milliseconds length = this->Between(800, 4000);
    for (int w = 0; w < kWorkers; ++w) {
      const int side = this->Pick(3);
      if (side == 0) this->partitioned_until[{former, w}] = this->now + length;
      if (side == 1) this->partitioned_until[{next, w}] = this->now + length;
    }
    this->TakeOver(next);
    this->isolated_scheduler = former;
    std::vector<std::string> moved;
    for (auto& [id, job] : this->jobs) {
      if (job.scheduler == former && !job.answered && this->Pick(2) == 0) {
        moved.push_back(id);
      }
    }
    for (const std::string& id : moved) this->Resubmit(&this->jobs.at(id));
    this->CancelWhenLossIsDetected(former, moved);
    this->After(length, [this, former] {
      if (this->isolated_scheduler != former) return;
      EndScheduling(&this->schedulers[former]);
      this->RunPass(former);
      this->isolated_scheduler = -1;
    });
  }

  // The current scheduler cancels some jobs, as it does when it cannot reach
  // their daemon. The daemon submits them to it again within 100 ms.
  void ResubmitToSameScheduler() {
    std::vector<std::string> ids;
    for (const auto& [id, job] : this->schedulers[this->current].jobs) {
      if (this->Pick(3) == 0) ids.push_back(id);
    }
    for (const std::string& id : ids) {
      SimulatedJob* job = &this->jobs.at(id);
      if (job->answered || job->scheduler != this->current) continue;
      job->scheduler = -1;
      CancelJob(&this->schedulers[this->current], id, this->now);
      this->After(this->Between(0, 100),
                  [this, id] { this->Resubmit(&this->jobs.at(id)); });
    }
    this->RunPass(this->current);
  }

  void CancelWhenLossIsDetected(int former,
                                const std::vector<std::string>& ids) {
    this->After(this->Between(0, static_cast<int>(kLossDetectionTime.count())),
                [this, former, ids] {
                  if (this->isolated_scheduler != former) return;
                  for (const std::string& id : ids) {
                    CancelJob(&this->schedulers[former], id, this->now);
                  }
                  this->RunPass(former);
                });
  }

  void RestartWorker(int w) {
    this->AdvanceWorker(w);
    fakes::Restart(&this->workers[w]);
    this->Trace(fmt::format("w{}", w), "restarts");
    this->clock_starts[w] = this->now;
  }

  void PlanFaults() {
    for (TimePoint at = kStart + milliseconds(1500); at < kStart + kLoadTime;
         at += this->Between(1200, 4000)) {
      this->At(at, [this] { this->ReplaceScheduler(); });
    }
    for (TimePoint at = kStart + milliseconds(900); at < kStart + kLoadTime;
         at += this->Between(300, 2000)) {
      this->At(at, [this] { this->ResubmitToSameScheduler(); });
    }
    for (TimePoint at = kStart + milliseconds(700); at < kStart + kLoadTime;
         at += this->Between(500, 3000)) {
      const int w = this->Pick(kWorkers);
      if (this->Pick(2) == 0) {
        this->At(at, [this, w] { this->RestartWorker(w); });
        continue;
      }
      const milliseconds length = this->Between(200, 4000);
      this->At(at, [this, w, length] {
        this->partitioned_until[{this->current, w}] = this->now + length;
      });
    }
  }

  std::mt19937 random;
  Faults faults;
  TimePoint now = kStart;
  std::priority_queue<Event> events;
  std::uint64_t next_sequence = 0;
  std::vector<TaskScheduler> schedulers;
  std::vector<bool> alive;
  std::vector<fakes::LeaseWorker> workers;
  std::vector<double> clock_rates;
  std::vector<TimePoint> clock_starts;
  std::map<std::pair<int, int>, TimePoint> partitioned_until;
  std::map<std::string, SimulatedJob> jobs;
  std::uint64_t next_job = 1;
  FencingToken fence = 0;
  int current = 0;  // The scheduler that receives the jobs.
  std::map<std::string, std::string> traces;  // By job id or worker id.
  // A former scheduler that still schedules during a partition, or -1.
  int isolated_scheduler = -1;
};

class TaskSchedulerFuzz : public testing::TestWithParam<unsigned> {};

TEST_P(TaskSchedulerFuzz, KeepsCapacityAndRunsTasksOnceAtATime) {
  Simulation simulation(GetParam());
  simulation.Run();
  std::map<std::string, std::size_t> outcomes;
  for (const auto& [id, job] : simulation.Jobs()) {
    EXPECT_TRUE(job.answered) << id;
    ++outcomes[ToString(job.outcome)];
  }
  // Some jobs expire because the scheduler changes every 1.2 to 4 s.
  EXPECT_GT(outcomes["completed"] * 10, simulation.Jobs().size() * 6)
      << "expired " << outcomes["expired"] << ", failed " << outcomes["failed"]
      << ", refused " << outcomes["refused"];
}

INSTANTIATE_TEST_SUITE_P(Seeds, TaskSchedulerFuzz, testing::Range(1U, 61U));

// Seeds that have failed. Causes: a run that a restarted worker had accepted
// was counted as lost (248, 353); an order sent before a restart arrived after
// it (95, 268).
INSTANTIATE_TEST_SUITE_P(KeptSeeds, TaskSchedulerFuzz,
                         testing::Values(95U, 248U, 268U, 353U));

}  // namespace
}  // namespace sequoiapath
