// Guards the verdict of a job (guarantees G4 and G5 in docs/design.md) over
// real connections: no task is sent again once a byte of it may have been
// written, unless the worker reported that it did not start the task, and only
// a job without a started task is not_run.

#include "sequoiapath/state/job_runner.h"

#include <gtest/gtest.h>

#include <atomic>

#include "support/raw_server.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;
using test::RawServer;
using test::ReadRawRequest;
using test::RunFor;
using test::RunUntil;
using test::WriteRawResponse;

// Counts the tasks and stop requests that arrived at a test's workers.
struct Arrivals {
  std::atomic<int> tasks = 0;
  std::atomic<int> stops = 0;
};

// Serves a connection as a worker: counts tasks and stop requests, answers each
// task with `answer(fd, request)` until that returns false, and answers usage
// queries and stop requests with status 200.
RawServer::Serve Worker(Arrivals* arrivals,
                        std::function<bool(int, const std::string&)> answer) {
  return [arrivals, answer = std::move(answer)](int fd) {
    while (true) {
      const std::string request = ReadRawRequest(fd);
      if (request.empty()) return;
      if (request.starts_with("POST")) {
        ++arrivals->tasks;
        if (!answer(fd, request)) return;
        continue;
      }
      if (request.starts_with("DELETE")) ++arrivals->stops;
      WriteRawResponse(fd, 200, "{}");
    }
  };
}

bool Succeed(int fd, const std::string& request) {
  WriteRawResponse(fd, 200, request.substr(request.find("\r\n\r\n") + 4));
  return true;
}

bool RefuseTask(int fd, const std::string&) {
  WriteRawResponse(fd, 503, "{}", "x-not-started: 1\r\n");
  return true;
}

bool FailTask(int fd, const std::string&) {
  WriteRawResponse(fd, 500, "{}");
  return true;
}

struct Harness {
  EventLoop loop;
  JobRunner runner{&loop, "t"};
  std::vector<JobAnswer> answers;
  Document document;
  std::uint64_t generation = 0;
};

void AddWorker(Harness* harness, const Endpoint& address, int slots = 8) {
  WorkerSpec worker;
  worker.name = "w" + std::to_string(harness->document.workers.size());
  worker.data_centre = "heredia";
  worker.address = address;
  worker.slots = slots;
  harness->document.workers.push_back(worker);
}

void ApplyDocument(Harness* harness) {
  ConfigRecord record;
  record.generation = ++harness->generation;
  harness->runner.SetCatalog(MakeCatalog(record, harness->document));
}

JobSpec MakeSpec(Harness* harness, int tasks, milliseconds deadline,
                 bool idempotent = false) {
  JobSpec spec;
  spec.request_id = "r";
  spec.team = "clerks";
  spec.service.name = "refund";
  spec.service.idempotent = idempotent;
  for (int i = 0; i < tasks; ++i) {
    spec.request.payloads.push_back(std::to_string(i));
  }
  spec.deadline = harness->loop.Now() + deadline;
  return spec;
}

JobId StartJob(Harness* harness, int tasks, milliseconds deadline,
               bool idempotent = false) {
  return harness->runner.Start(MakeSpec(harness, tasks, deadline, idempotent),
                               [harness](JobAnswer answer) {
                                 harness->answers.push_back(std::move(answer));
                               });
}

// Starts a job and returns its answer.
JobAnswer RunJob(Harness* harness, int tasks, milliseconds deadline,
                 bool idempotent = false) {
  harness->answers.clear();
  StartJob(harness, tasks, deadline, idempotent);
  EXPECT_TRUE(
      RunUntil(&harness->loop, [&] { return !harness->answers.empty(); }));
  EXPECT_EQ(harness->runner.WaitingTaskCount(), 0U);
  return harness->answers.empty() ? JobAnswer{} : harness->answers.front();
}

const Failure* FailureOf(const JobAnswer& answer) {
  return std::get_if<Failure>(&answer.outcome);
}

void ExpectFailure(const JobAnswer& answer, Verdict verdict, Reason reason) {
  const Failure* failure = FailureOf(answer);
  ASSERT_NE(failure, nullptr);
  EXPECT_EQ(ToString(failure->verdict), ToString(verdict)) << failure->detail;
  EXPECT_EQ(ToString(failure->reason), ToString(reason)) << failure->detail;
}

// Guards against results in the order of completion instead of submission, and
// against tasks that are lost or run twice.
TEST(JobRunnerTest, AnswersInTheOrderOfTheSubmission) {
  Arrivals arrivals;
  RawServer first(Worker(&arrivals, Succeed));
  RawServer second(Worker(&arrivals, Succeed));
  Harness harness;
  AddWorker(&harness, first.endpoint);
  AddWorker(&harness, second.endpoint);
  ApplyDocument(&harness);
  const JobAnswer answer = RunJob(&harness, 40, milliseconds(5000));
  ASSERT_EQ(FailureOf(answer), nullptr);
  const auto& results = std::get<JobResults>(answer.outcome).results;
  ASSERT_EQ(results.size(), 40U);
  for (std::size_t i = 0; i < results.size(); ++i) {
    EXPECT_EQ(results[i], std::to_string(i));
  }
  EXPECT_EQ(arrivals.tasks, 40);
}

// Guards against counting refused tasks as started in the verdict, and against
// tasks that are not tried again after a refusal.
TEST(JobRunnerTest, RefusedEverywhereIsNotRun) {
  Arrivals arrivals;
  RawServer worker(Worker(&arrivals, RefuseTask));
  Harness harness;
  AddWorker(&harness, worker.endpoint);
  ApplyDocument(&harness);
  ExpectFailure(RunJob(&harness, 2, milliseconds(300)), Verdict::kNotRun,
                Reason::kDeadlineExceeded);
  EXPECT_GT(arrivals.tasks, 2);
}

// Guards against a job that fails although another worker would run the tasks
// that one refused.
TEST(JobRunnerTest, RefusedTaskRunsOnAnotherWorker) {
  Arrivals refusing;
  Arrivals accepting;
  RawServer first(Worker(&refusing, RefuseTask));
  RawServer second(Worker(&accepting, Succeed));
  Harness harness;
  AddWorker(&harness, first.endpoint);
  AddWorker(&harness, second.endpoint);
  ApplyDocument(&harness);
  EXPECT_EQ(FailureOf(RunJob(&harness, 4, milliseconds(3000))), nullptr);
  EXPECT_EQ(accepting.tasks, 4);
  EXPECT_GT(refusing.tasks, 0);
}

// Guards against unlimited messages to a worker that refuses every task: tasks
// beyond the retry budget wait.
TEST(JobRunnerTest, RetryBudgetBoundsMessagesToRefusingWorkers) {
  Arrivals arrivals;
  RawServer worker(Worker(&arrivals, RefuseTask));
  Harness harness;
  AddWorker(&harness, worker.endpoint);
  ApplyDocument(&harness);
  ExpectFailure(RunJob(&harness, 8, milliseconds(2000)), Verdict::kNotRun,
                Reason::kDeadlineExceeded);
  RecordProperty("messages", arrivals.tasks);
  // 8 first attempts, 10 retries in the initial budget and 10 for each of the 2
  // seconds make 38.
  EXPECT_LE(arrivals.tasks, 40);
}

// Guards against a refused connection that counts as a start, and against jobs
// that fail while another worker is reachable.
TEST(JobRunnerTest, UnreachableWorkerIsNotRunAndAvoided) {
  Arrivals arrivals;
  Endpoint closed;
  {
    RawServer gone(Worker(&arrivals, Succeed));
    closed = gone.endpoint;
  }
  Harness harness;
  AddWorker(&harness, closed);
  ApplyDocument(&harness);
  ExpectFailure(RunJob(&harness, 1, milliseconds(200)), Verdict::kNotRun,
                Reason::kDeadlineExceeded);
  RawServer worker(Worker(&arrivals, Succeed));
  AddWorker(&harness, worker.endpoint);
  ApplyDocument(&harness);
  EXPECT_EQ(FailureOf(RunJob(&harness, 4, milliseconds(3000))), nullptr);
}

// Guards against a second run of a task that a worker reported as failed.
TEST(JobRunnerTest, FailedTaskIsRanAndNotSentAgain) {
  Arrivals arrivals;
  RawServer first(Worker(&arrivals, FailTask));
  RawServer second(Worker(&arrivals, FailTask));
  Harness harness;
  AddWorker(&harness, first.endpoint);
  AddWorker(&harness, second.endpoint);
  ApplyDocument(&harness);
  ExpectFailure(RunJob(&harness, 1, milliseconds(1000), /*idempotent=*/true),
                Verdict::kRan, Reason::kWorkerFailed);
  RunFor(&harness.loop, milliseconds(100));
  EXPECT_EQ(arrivals.tasks, 1);
}

// Runs one idempotent task with two workers that serve connections with
// `serve`, and expects the verdict kMayHaveRun.
void ExpectMayHaveRunOnce(const RawServer::Serve& serve, Reason reason) {
  RawServer first(serve);
  RawServer second(serve);
  Harness harness;
  AddWorker(&harness, first.endpoint);
  AddWorker(&harness, second.endpoint);
  ApplyDocument(&harness);
  ExpectFailure(RunJob(&harness, 1, milliseconds(400), /*idempotent=*/true),
                Verdict::kMayHaveRun, reason);
}

// Guards against the verdict kNotRun or a second attempt when the worker closes
// the connection after it has read the request.
TEST(JobRunnerTest, ConnectionClosedAfterTheRequestMayHaveRun) {
  Arrivals arrivals;
  ExpectMayHaveRunOnce(
      Worker(&arrivals, [](int, const std::string&) { return false; }),
      Reason::kWorkerSilent);
  EXPECT_EQ(arrivals.tasks, 1);
}

// Guards against a truncated answer that counts as complete, and against a
// second attempt after it.
TEST(JobRunnerTest, ConnectionClosedInTheMiddleOfTheAnswerMayHaveRun) {
  Arrivals arrivals;
  ExpectMayHaveRunOnce(
      Worker(&arrivals,
             [](int fd, const std::string&) {
               test::WriteRaw(fd,
                              "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{");
               return false;
             }),
      Reason::kWorkerSilent);
  EXPECT_EQ(arrivals.tasks, 1);
}

// Guards against the verdict kNotRun when the worker closes a connection whose
// socket buffer may hold the request's bytes.
TEST(JobRunnerTest, ConnectionClosedWithoutReadingMayHaveRun) {
  std::atomic<int> connections = 0;
  ExpectMayHaveRunOnce([&connections](int) { ++connections; },
                       Reason::kWorkerSilent);
  // Further connections are probes of the suspect worker.
  EXPECT_GE(connections, 1);
}

// Guards against a job that is not answered by its deadline because a task has
// no answer.
TEST(JobRunnerTest, MissingAnswerMayHaveRunAtTheDeadline) {
  Arrivals arrivals;
  RawServer worker(Worker(&arrivals, [](int fd, const std::string&) {
    return !ReadRawRequest(fd).empty();  // Waits for the end.
  }));
  Harness harness;
  AddWorker(&harness, worker.endpoint);
  ApplyDocument(&harness);
  const TimePoint begin = harness.loop.Now();
  const JobAnswer answer = RunJob(&harness, 1, milliseconds(300));
  ASSERT_NE(FailureOf(answer), nullptr);
  EXPECT_EQ(FailureOf(answer)->verdict, Verdict::kMayHaveRun);
  // The reason worker_silent would report a fault of the worker for a task that
  // is only slow.
  EXPECT_EQ(FailureOf(answer)->reason, Reason::kDeadlineExceeded);
  EXPECT_LT(harness.loop.Now() - begin, milliseconds(500));
  EXPECT_EQ(arrivals.tasks, 1);
}

// Guards against a late answer that is delivered to its own job a second time
// or to another job.
TEST(JobRunnerTest, LateAnswerReachesNobody) {
  Arrivals arrivals;
  RawServer worker(Worker(&arrivals, [&](int fd, const std::string& request) {
    if (arrivals.tasks == 1) {
      std::this_thread::sleep_for(milliseconds(400));
      WriteRawResponse(fd, 200, "\"late\"");
      return true;
    }
    return Succeed(fd, request);
  }));
  Harness harness;
  AddWorker(&harness, worker.endpoint);
  ApplyDocument(&harness);
  StartJob(&harness, 1, milliseconds(150));
  ASSERT_TRUE(
      RunUntil(&harness.loop, [&] { return !harness.answers.empty(); }));
  EXPECT_NE(FailureOf(harness.answers[0]), nullptr);
  StartJob(&harness, 1, milliseconds(3000), /*idempotent=*/true);
  RunFor(&harness.loop, milliseconds(600));
  ASSERT_EQ(harness.answers.size(), 2U);
  ASSERT_EQ(FailureOf(harness.answers[1]), nullptr);
  EXPECT_EQ(std::get<JobResults>(harness.answers[1].outcome).results[0], "0");
}

// Guards against tasks that are sent after their job was cancelled.
TEST(JobRunnerTest, CancelBeforeAnyStartIsNotRun) {
  Arrivals arrivals;
  RawServer worker(Worker(&arrivals, Succeed));
  Harness harness;
  AddWorker(&harness, worker.endpoint);
  ApplyDocument(&harness);
  const JobId id = StartJob(&harness, 3, milliseconds(1000));
  harness.runner.Cancel(id);
  RunFor(&harness.loop, milliseconds(100));
  ASSERT_EQ(harness.answers.size(), 1U);
  ExpectFailure(harness.answers[0], Verdict::kNotRun, Reason::kCancelled);
  EXPECT_EQ(arrivals.tasks, 0);
}

// Guards against a cancelled job whose running tasks go on or whose waiting
// tasks start, and against an ejected worker because of stopped tasks.
TEST(JobRunnerTest, CancelStopsRunningTasksAndDropsWaitingOnes) {
  Arrivals arrivals;
  RawServer worker(Worker(&arrivals, [&](int fd, const std::string& request) {
    while (arrivals.stops == 0) std::this_thread::sleep_for(milliseconds(1));
    return FailTask(fd, request);
  }));
  Harness harness;
  AddWorker(&harness, worker.endpoint, /*slots=*/2);
  ApplyDocument(&harness);
  const JobId id = StartJob(&harness, 5, milliseconds(3000));
  ASSERT_TRUE(RunUntil(&harness.loop, [&] { return arrivals.tasks == 2; }));
  harness.runner.Cancel(id);
  ASSERT_TRUE(
      RunUntil(&harness.loop, [&] { return !harness.answers.empty(); }));
  ExpectFailure(harness.answers[0], Verdict::kRan, Reason::kCancelled);
  EXPECT_EQ(arrivals.tasks, 2);
  EXPECT_EQ(EjectedWorkers(harness.runner.Health()), 0U);
}

// Guards against new tasks for a worker that reported that it is leaving or is
// configured as leaving.
TEST(JobRunnerTest, LeavingWorkerGetsNoNewTask) {
  Arrivals leaving;
  Arrivals staying;
  RawServer first(Worker(&leaving, [](int fd, const std::string&) {
    WriteRawResponse(fd, 200, "1", "x-leaving: 1\r\n");
    return true;
  }));
  RawServer second(Worker(&staying, Succeed));
  Harness harness;
  AddWorker(&harness, first.endpoint);
  AddWorker(&harness, second.endpoint);
  ApplyDocument(&harness);
  EXPECT_EQ(FailureOf(RunJob(&harness, 1, milliseconds(1000))), nullptr);
  EXPECT_EQ(leaving.tasks, 1);
  EXPECT_EQ(FailureOf(RunJob(&harness, 20, milliseconds(1000))), nullptr);
  EXPECT_EQ(leaving.tasks, 1);
  EXPECT_EQ(staying.tasks, 20);
  harness.document.workers[1].leaving = true;
  ApplyDocument(&harness);
  ExpectFailure(RunJob(&harness, 1, milliseconds(200)), Verdict::kNotRun,
                Reason::kDeadlineExceeded);
  EXPECT_EQ(staying.tasks, 20);
}

// Guards against a worker that fails every task immediately and so, with its
// slots always free, receives most tasks.
TEST(JobRunnerTest, QuicklyFailingWorkerDoesNotAttractWork) {
  Arrivals bad;
  Arrivals good;
  RawServer failing(Worker(&bad, FailTask));
  const auto slow = [](int fd, const std::string& request) {
    std::this_thread::sleep_for(milliseconds(50));
    return Succeed(fd, request);
  };
  std::vector<std::unique_ptr<RawServer>> others;
  Harness harness;
  AddWorker(&harness, failing.endpoint, 4);
  for (int i = 0; i < 5; ++i) {
    others.push_back(std::make_unique<RawServer>(Worker(&good, slow)));
    AddWorker(&harness, others.back()->endpoint, 4);
  }
  ApplyDocument(&harness);
  for (int i = 0; i < 400; ++i) {
    StartJob(&harness, 1, milliseconds(8000), /*idempotent=*/true);
  }
  ASSERT_TRUE(
      RunUntil(&harness.loop, [&] { return harness.answers.size() == 400; }));
  RecordProperty("failed_tasks", bad.tasks);
  EXPECT_LE(bad.tasks, 30);
  EXPECT_EQ(good.tasks + bad.tasks, 400);
}

// A period in which a worker answers on no connection, including new ones.
struct UnresponsivePhase {
  std::atomic<bool> active = false;
  std::atomic<int> unanswered_tasks = 0;
};

RawServer::Serve WorkerWith(UnresponsivePhase* phase) {
  return [phase](int fd) {
    // A connection that was used in the phase stays unresponsive after it.
    bool unresponsive = false;
    while (true) {
      const std::string request = ReadRawRequest(fd);
      if (request.empty()) return;
      unresponsive = unresponsive || phase->active;
      if (unresponsive) {
        if (request.starts_with("POST")) ++phase->unanswered_tasks;
        continue;
      }
      WriteRawResponse(fd, 200, "1");
    }
  };
}

// Guards against non-idempotent tasks that are sent to a worker while its
// connections are suspect. Open connections stop answering permanently and new
// ones for a while. Only the task sent at the start of the phase may be lost;
// the others are sent after a new connection has answered.
TEST(JobRunnerTest, NonIdempotentTaskWaitsForAFreshConnectionAfterSilence) {
  UnresponsivePhase phase;
  RawServer worker(WorkerWith(&phase));
  Harness harness;
  AddWorker(&harness, worker.endpoint, 4);
  ApplyDocument(&harness);
  ASSERT_EQ(FailureOf(RunJob(&harness, 4, milliseconds(2000))), nullptr);
  phase.active = true;
  const JobAnswer lost = RunJob(&harness, 1, milliseconds(200));
  ASSERT_NE(FailureOf(lost), nullptr);
  EXPECT_EQ(FailureOf(lost)->verdict, Verdict::kMayHaveRun);
  harness.answers.clear();
  for (int i = 0; i < 3; ++i) StartJob(&harness, 1, milliseconds(8000));
  RunFor(&harness.loop, milliseconds(500));
  EXPECT_TRUE(harness.answers.empty());
  phase.active = false;
  ASSERT_TRUE(
      RunUntil(&harness.loop, [&] { return harness.answers.size() == 3; }));
  for (const JobAnswer& answer : harness.answers) {
    EXPECT_EQ(FailureOf(answer), nullptr);
  }
  EXPECT_EQ(phase.unanswered_tasks, 1);
}

// Guards against the admission of a job that would wait beyond its deadline
// (G4), and against a refusal before any run time has been observed.
TEST(JobRunnerTest, OverloadIsRefusedOnceRunTimesAreKnown) {
  Arrivals arrivals;
  RawServer worker(Worker(&arrivals, [](int fd, const std::string& request) {
    std::this_thread::sleep_for(milliseconds(20));
    return Succeed(fd, request);
  }));
  Harness harness;
  AddWorker(&harness, worker.endpoint, /*slots=*/2);
  ApplyDocument(&harness);
  StartJob(&harness, 400, milliseconds(20'000));
  RunFor(&harness.loop, milliseconds(5));
  EXPECT_FALSE(
      harness.runner.CheckAdmission(MakeSpec(&harness, 1, milliseconds(500)))
          .has_value())
      << "refused without an observed run time";
  ASSERT_TRUE(RunUntil(&harness.loop, [&] { return arrivals.tasks > 40; }));
  const auto refused =
      harness.runner.CheckAdmission(MakeSpec(&harness, 1, milliseconds(500)));
  ASSERT_TRUE(refused.has_value());
  EXPECT_EQ(refused->reason, Reason::kOverloaded);
  EXPECT_EQ(refused->verdict, Verdict::kNotRun);
  // About 360 tasks of 20 ms wait for 2 slots: 3.6 s.
  EXPECT_GT(refused->retry_after, milliseconds(2000));
  EXPECT_FALSE(
      harness.runner.CheckAdmission(MakeSpec(&harness, 1, milliseconds(15'000)))
          .has_value());
  JobSpec urgent = MakeSpec(&harness, 1, milliseconds(500));
  urgent.request.priority = Priority::kUrgent;
  EXPECT_FALSE(harness.runner.CheckAdmission(urgent).has_value());
}

}  // namespace
}  // namespace sequoiapath
