// Defines JobGateway, which accepts step jobs from callers, submits them to the
// scheduler and returns its answers.

#ifndef SEQUOIAPATH_STATE_JOB_GATEWAY_H_
#define SEQUOIAPATH_STATE_JOB_GATEWAY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sequoiapath/protocol/caller_codec.h"
#include "sequoiapath/protocol/route_table.h"
#include "sequoiapath/protocol/step_job.h"
#include "sequoiapath/state/scheduler_service.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_client.h"
#include "sequoiapath/transport/http_message.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {

namespace internal {
struct JobGatewayState;
}  // namespace internal

// The result of a submission to the scheduler.
struct SubmissionResult {
  bool has_answer = false;  // Whether the scheduler returned `answer`.
  StepJobAnswer answer;
  // False only if it is certain that the scheduler did not receive the job.
  bool may_have_been_sent = true;
};

using SubmissionCallback = std::function<void(const SubmissionResult& result)>;

// A cancel of the submissions of a job that this daemon has made.
struct SubmissionCancel {
  std::string job;
  std::uint64_t submission = 0;  // Number of the latest one that it covers.
  // The caller's deadline has passed, at which the scheduler ends the job by
  // itself. A lost cancel has no effect then.
  bool expired = false;
};

// Called once with whether the cancel of a caller may be acknowledged.
using CancelCallback = std::function<void(bool durable)>;
// Limits of what this daemon may submit to its scheduler.
struct SubmissionLimits {
  bool link_scarce = false;  // Resubmissions draw on a budget.
  // The share of new jobs, in thousandths, that the scheduler admits.
  std::uint32_t admission_share = 1000;
};

// Functions through which the gateway reaches the scheduler.
struct SchedulerAccess {
  // Returns the VM of this daemon's current scheduler; empty if none is known.
  std::function<std::string()> leader;
  // Returns the highest known fencing token of any scheduler.
  std::function<FencingToken()> fence;
  // Returns when the latest heartbeat that this daemon has of `leader` was
  // sent, on the clock of `leader`; zero if it is not known. A submission is
  // based on that heartbeat.
  std::function<DaemonTime(const std::string& leader)> heartbeat;
  // Submits a job to `leader`. `callback` is called once, possibly before the
  // function returns.
  std::function<void(const std::string& leader, StepJob job,
                     SubmissionCallback callback)>
      submit;
  // Cancels this daemon's submissions of a job at `leader`. Has no effect on a
  // later submission, or on a job that another daemon has submitted there
  // since.
  std::function<void(const std::string& leader, const SubmissionCancel& cancel)>
      cancel;
  // Cancels a job for its caller at all daemons, including those that are out
  // of reach now, whichever daemon submitted it. `callback` is called when the
  // cancel stays in effect whatever happens to the daemons, or after `wait`;
  // possibly before the function returns.
  std::function<void(const std::string& job, Duration wait,
                     CancelCallback callback)>
      cancel_everywhere;
  // Returns the time since a caller cancelled the job; nothing if none did.
  std::function<std::optional<Duration>(const std::string& job)> cancel_age;
  // Returns the current limits. By default nothing is limited.
  std::function<SubmissionLimits()> limits = [] { return SubmissionLimits{}; };
};

// Totals since the gateway was created.
struct GatewayCounts {
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t refused = 0;
  std::uint64_t expired = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t malformed = 0;
  std::uint64_t unknown_route = 0;
  std::uint64_t resubmitted = 0;
  std::uint64_t refused_by_share = 0;  // Also counted as refused.
  // Upper bounds, in milliseconds, of the response time histogram. A response
  // time is measured from a job's arrival to its answer.
  static constexpr std::array<int, 10> kBoundsMs{25,  50,   100,  200,  400,
                                                 800, 1200, 1600, 2400, 4800};
  std::array<std::uint64_t, kBoundsMs.size() + 1> response_time_counts{};
  double response_seconds = 0;  // Sum of all response times.
};

// Thread safety: loop thread only.
class JobGateway {
 public:
  ~JobGateway();
  JobGateway(const JobGateway&) = delete;
  JobGateway& operator=(const JobGateway&) = delete;

  // Handles a caller's request.
  void Handle(const HttpRequest& request, const HttpResponder& responder);

  // Applies a configuration and routes the requests that have waited for it.
  // Precondition: its version is greater than the current one.
  void SetRoutes(RouteTable routes);

  // Sets the ids of all workers in the catalog. Must be called after the
  // catalog has changed.
  void SetWorkers(const std::vector<std::string>& ids);

  // Returns the current configuration's version; zero before the first one.
  std::uint64_t RoutesVersion() const;

  // Must be called after the scheduler has changed. Submits the jobs that wait
  // for a scheduler and resubmits those that were submitted to the former one.
  void LeaderChanged();

  // Cancels a job whose caller has sent the cancel to another daemon. Returns
  // false if this daemon does not have the job.
  bool CancelForCaller(const std::string& job);

  // Submits all pending jobs again. Must be called after a connection to the
  // scheduler stopped responding, because replies on it are lost. The scheduler
  // continues a job that it already has.
  void ResubmitAll();

  // Returns whether the job has no answer yet and its latest submission went to
  // `scheduler`.
  bool IsSubmittedTo(const std::string& job,
                     const std::string& scheduler) const;

  // From now on refuses new jobs that may still run when the process ends,
  // which is at `stop`.
  void BeginStop(TimePoint stop);

  // Answers all pending jobs and requests before the process ends. A job that
  // was submitted is cancelled at its scheduler and answered as expired; a job
  // that was never submitted, and a request that waits for the first
  // configuration, are refused.
  void AnswerRemainingJobs();

  // Returns the number of accepted jobs that have no answer yet.
  std::size_t PendingJobCount() const;

  const GatewayCounts& Counts() const;

 private:
  friend class JobGatewayBuilder;
  explicit JobGateway(std::unique_ptr<internal::JobGatewayState> state);

  std::unique_ptr<internal::JobGatewayState> state;
};

// Builds a JobGateway.
class JobGatewayBuilder {
 public:
  // Preconditions: `loop` outlives the gateway; codec and access are complete.
  JobGatewayBuilder(EventLoop* loop, CallerCodec codec, SchedulerAccess access);

  // Sets the condition under which a request may have been delivered so late
  // that its caller has gone and has sent the job to another daemon. Such a job
  // is submitted 50 ms later, if the caller's connection has not ended by then.
  // By default no request is held.
  JobGatewayBuilder& HoldLateRequests(
      std::function<bool(const HttpResponder& responder)> condition);

  std::unique_ptr<JobGateway> Build();

 private:
  EventLoop* loop;
  CallerCodec codec;
  SchedulerAccess access;
  std::function<bool(const HttpResponder& responder)> may_be_late;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_JOB_GATEWAY_H_
