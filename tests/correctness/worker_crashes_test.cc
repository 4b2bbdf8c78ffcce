// Tests how the scheduler charges crashes of workers to tasks, and how it runs
// tasks that have crashes.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "sequoiapath/coordination/task_scheduler.h"
#include "sequoiapath/fakes/lease_worker.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::int64_t kMilliCores = 16'000;

StepJob Job(const std::string& id, std::uint32_t tasks) {
  StepJob job;
  job.id = id;
  job.service = "desk";
  job.max_attempts = 2;
  job.remaining = milliseconds(5000);
  JobStep step;
  step.count = tasks;
  step.demand = {4'000, 64, 0};
  step.estimate = milliseconds(200);
  job.steps = {step};
  return job;
}

// Returns a crash under the job's first task, as another daemon reports it.
TaskCrash ReportedCrash(const std::string& job, const std::string& worker,
                        bool alone = false) {
  return {.task = {job, 0, 0},
          .worker = worker,
          .started_at_ms = 1,
          .alone = alone};
}

// A scheduler in virtual time with workers that reply at once. Workers that are
// down refuse connections.
class WorkerCrashesTest : public testing::Test {
 protected:
  WorkerCrashesTest() {
    for (int w = 0; w < 4; ++w) this->Describe(w, false);
    BeginScheduling(&this->scheduler, 1000, this->now);
    this->Run(milliseconds(50));
  }

  void Describe(int w, bool draining) {
    WorkerDescription worker;
    worker.id = fmt::format("w{}", w);
    worker.service = "desk";
    worker.address = fmt::format("127.0.0.1:{}", 1000 + w);
    worker.capacity = {kMilliCores, 32'768, 0};
    worker.draining = draining;
    UpdateWorker(&this->scheduler, worker, this->now);
    this->workers[worker.id];
  }

  void Run(milliseconds length) {
    for (const TimePoint end = this->now + length; this->now < end;
         this->now += milliseconds(10)) {
      SetWorkersListedAt(&this->scheduler, this->now);
      RunScheduler(&this->scheduler, this->now);
      for (const SchedulerAction& action : TakeActions(&this->scheduler)) {
        std::visit([this](const auto& a) { this->Perform(a); }, action);
      }
    }
  }

  void Submit(const StepJob& job) {
    SubmitJob(&this->scheduler, job, this->now);
    this->Run(milliseconds(20));
  }

  // Returns the worker that runs a task of the job, or an empty string.
  std::string WorkerOf(const std::string& job, std::uint32_t index = 0) const {
    for (const auto& [id, worker] : this->workers) {
      if (worker.running.contains({job, 0, index})) return id;
    }
    return "";
  }

  void EndProcess(const std::string& worker) {
    this->down[worker] = true;
    this->workers.at(worker).running.clear();
  }
  void ComeBack(const std::string& worker) {
    this->down[worker] = false;
    fakes::Restart(&this->workers.at(worker));
    this->clock_starts[worker] = this->now;
  }

  std::size_t CrashesOf(const std::string& job) const {
    return CrashCount(this->scheduler.crashes, {job, 0, 0});
  }

  TaskScheduler scheduler;
  TimePoint now = kStart;
  std::map<std::string, fakes::LeaseWorker> workers;
  std::map<std::string, bool> down;
  bool silent = false;  // Workers that are down do not refuse connections.
  std::map<std::string, StepJobAnswer> answers;

 private:
  fakes::LeaseWorker* Find(const std::string& id) {
    const TimePoint start =
        this->clock_starts.try_emplace(id, kStart).first->second;
    fakes::LeaseWorker* worker = &this->workers[id];
    fakes::Advance(worker,
                   std::chrono::duration_cast<milliseconds>(this->now - start) +
                       milliseconds(1));
    return worker;
  }
  OrderUnanswered Unanswered() const {
    return {.may_have_been_sent = this->silent, .refused = !this->silent};
  }

  void Perform(const SendStart& action) {
    OrderReply reply = this->Unanswered();
    if (!this->down[action.worker]) {
      fakes::LeaseWorker* worker = this->Find(action.worker);
      fakes::LeaseWorkerRun run;
      run.completes_at = worker->now + milliseconds(200);
      reply = fakes::Start(worker, action.order, run);
    }
    RecordStartReply(&this->scheduler, action.worker, action.order, reply,
                     this->now);
  }
  void Perform(const SendStop& action) {
    OrderReply reply = this->Unanswered();
    if (!this->down[action.worker]) {
      reply = fakes::Stop(this->Find(action.worker), action.order);
    }
    RecordStopReply(&this->scheduler, action.worker, action.order, reply,
                    this->now);
  }
  void Perform(const SendRenewal& action) {
    RenewReply reply = this->Unanswered();
    if (!this->down[action.worker]) {
      reply = fakes::Renew(this->Find(action.worker), action.order);
    }
    RecordRenewalReply(&this->scheduler, action.worker, action.order, reply,
                       this->now);
  }
  void Perform(const AnswerJob& action) {
    this->answers[action.job] = action.answer;
  }
  void Perform(const SchedulerLogEntry& /*entry*/) {}

  std::map<std::string, TimePoint> clock_starts;
};

// Guards against callers that wait until their deadline for a job that another
// scheduler has found to crash workers, and against a count that starts again
// with the next submission.
TEST_F(WorkerCrashesTest, JobWithReportedCrashesIsAnsweredAtOnce) {
  this->Submit(Job("j", 1));
  MergeCrashes(&this->scheduler,
               {ReportedCrash("j", "x"), ReportedCrash("j", "y", true)}, "a/1",
               this->now);
  this->Run(milliseconds(20));
  ASSERT_TRUE(this->answers.contains("j"));
  EXPECT_EQ(this->answers["j"].outcome, StepJobOutcome::kFailed);
  EXPECT_EQ(this->WorkerOf("j"), "");
  this->answers.clear();
  EndScheduling(&this->scheduler);
  BeginScheduling(&this->scheduler, 2000, this->now);
  this->Submit(Job("j", 1));
  ASSERT_TRUE(this->answers.contains("j"));
  EXPECT_EQ(this->answers["j"].outcome, StepJobOutcome::kFailed);
}

// Guards against healthy tasks that are lost with the worker of a suspect.
TEST_F(WorkerCrashesTest, SuspectRunsAloneAndBeforeTheRestOfItsJob) {
  MergeCrashes(&this->scheduler, {ReportedCrash("j", "x")}, "a/1", this->now);
  this->Submit(Job("j", 2));
  const std::string alone = this->WorkerOf("j", 0);
  ASSERT_NE(alone, "");
  EXPECT_EQ(this->WorkerOf("j", 1), "");
  this->Submit(Job("k", 16));
  EXPECT_EQ(this->workers.at(alone).running.size(), 1u);
  this->Run(milliseconds(1000));
  EXPECT_EQ(this->answers["j"].outcome, StepJobOutcome::kCompleted);
  EXPECT_EQ(this->answers["k"].outcome, StepJobOutcome::kCompleted);
}

// Guards against a suspect that never starts because other tasks fill every
// worker.
TEST_F(WorkerCrashesTest, WorkerIsFreedForASuspect) {
  this->Submit(Job("k", 80));
  MergeCrashes(&this->scheduler, {ReportedCrash("j", "x")}, "a/1", this->now);
  this->Submit(Job("j", 1));
  this->Run(milliseconds(600));
  EXPECT_TRUE(this->answers.contains("j"));
}

// Guards against a suspect that waits for a worker that has become too small
// for it, while other tasks fill the rest.
TEST_F(WorkerCrashesTest, WorkerThatHasShrunkIsNotReservedForASuspect) {
  this->workers.at("w0").capacity = Resources{3'500, 32'768, 0};
  this->Run(milliseconds(100));
  // Each worker runs one of these and always has room for another one.
  StepJob single = Job("s", 100);
  single.steps[0].demand.milli_cores = 500;
  single.steps[0].max_per_worker = 1;
  this->Submit(single);
  // The others end one after another, so that no worker is ever empty.
  for (int k = 0; k < 10; ++k) {
    StepJob other = Job(fmt::format("k{}", k), k < 9 ? 2 : 200);
    other.steps[0].demand.milli_cores = 2'500;
    this->Submit(other);
  }
  MergeCrashes(&this->scheduler, {ReportedCrash("j", "x")}, "a/1", this->now);
  this->Submit(Job("j", 1));
  this->Run(milliseconds(700));
  EXPECT_TRUE(this->answers.contains("j"));
  EXPECT_FALSE(this->answers.contains("k9"));
}

// Guards against crashes that are not charged, or are charged to one task only.
TEST_F(WorkerCrashesTest, CrashIsChargedToEveryTaskOfTheWorkerOnce) {
  this->Submit(Job("j", 1));
  this->Submit(Job("k", 1));
  const std::string worker = this->WorkerOf("j");
  ASSERT_EQ(this->WorkerOf("k"), worker);
  this->EndProcess(worker);
  this->Run(milliseconds(500));
  EXPECT_EQ(this->CrashesOf("j"), 1u);
  EXPECT_EQ(this->CrashesOf("k"), 1u);
  EXPECT_EQ(this->WorkerOf("j"), "") << "its lease has not ended";
  this->ComeBack(worker);
  this->Run(milliseconds(500));
  EXPECT_EQ(this->CrashesOf("j"), 1u);
}

// Guards against a job that is answered as failed although only one worker has
// crashed under its task: the other one ended before the task's start arrived.
TEST_F(WorkerCrashesTest, UnansweredStartIsNoEvidenceOfACrash) {
  this->silent = true;
  for (const auto& [id, worker] : this->workers) this->down[id] = true;
  SubmitJob(&this->scheduler, Job("j", 1), this->now);
  this->Run(milliseconds(300));
  for (const auto& [id, worker] : this->workers) this->ComeBack(id);
  for (int i = 0; i < 200 && this->WorkerOf("j").empty(); ++i) {
    this->Run(milliseconds(10));
  }
  const std::string worker = this->WorkerOf("j");
  ASSERT_NE(worker, "");
  ASSERT_EQ(this->CrashesOf("j"), 1u);
  this->silent = false;
  this->EndProcess(worker);
  this->Run(milliseconds(500));
  EXPECT_EQ(this->CrashesOf("j"), 2u);
  EXPECT_FALSE(this->answers.contains("j"));
}

// Guards against a crash that is not charged because the lease of the run had
// ended before the worker was back.
TEST_F(WorkerCrashesTest, RunWhoseLeaseEndedIsChargedWhenTheWorkerIsBack) {
  this->Submit(Job("j", 1));
  const std::string worker = this->WorkerOf("j");
  this->silent = true;
  this->EndProcess(worker);
  this->Run(milliseconds(3000));
  EXPECT_EQ(this->CrashesOf("j"), 0u);
  this->ComeBack(worker);
  this->Run(milliseconds(1000));
  EXPECT_EQ(this->CrashesOf("j"), 1u);
}

// Guards against a crash that is charged because the network refused
// connections for a while.
TEST_F(WorkerCrashesTest, WorkerThatAnswersAgainHasNotCrashed) {
  this->Submit(Job("j", 1));
  const std::string worker = this->WorkerOf("j");
  this->down[worker] = true;
  this->Run(milliseconds(500));
  EXPECT_EQ(this->CrashesOf("j"), 1u);
  this->down[worker] = false;
  this->Run(milliseconds(1000));
  EXPECT_EQ(this->CrashesOf("j"), 0u);
}

// Guards against a planned end that counts as a crash.
TEST_F(WorkerCrashesTest, EndOfADrainingWorkerIsNoCrash) {
  this->Submit(Job("j", 1));
  const std::string worker = this->WorkerOf("j");
  this->Describe(std::stoi(worker.substr(1)), /*draining=*/true);
  this->EndProcess(worker);
  this->Run(milliseconds(500));
  this->ComeBack(worker);
  this->Run(milliseconds(1000));
  EXPECT_EQ(this->CrashesOf("j"), 0u);
}

}  // namespace
}  // namespace sequoiapath
