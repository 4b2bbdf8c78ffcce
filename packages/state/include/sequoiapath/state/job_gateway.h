// Defines JobGateway, which keeps callers' step jobs until they are answered
// and submits them to the daemon that schedules.

#ifndef SEQUOIAPATH_STATE_JOB_GATEWAY_H_
#define SEQUOIAPATH_STATE_JOB_GATEWAY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
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

// What became of a submission to the scheduling daemon.
struct SubmissionResult {
  bool has_answer = false;  // `answer` is set.
  StepJobAnswer answer;
  // False only if the scheduling daemon surely did not get the job.
  bool may_have_been_sent = true;
};

using SubmissionCallback = std::function<void(const SubmissionResult& result)>;

// How the gateway reaches the daemon that schedules.
struct SchedulerAccess {
  // Returns the VM that schedules for this daemon now; empty if none is known.
  std::function<std::string()> leader;
  // Returns the highest fencing token that any scheduler is known to use.
  std::function<FencingToken()> fence;
  // Returns the ids of the workers that are known now.
  std::function<std::shared_ptr<const std::vector<std::string>>()> workers;
  // Submits to the leader; calls back once, possibly at once.
  std::function<void(const std::string& leader, StepJob job,
                     SubmissionCallback callback)>
      submit;
  std::function<void(const std::string& leader, const std::string& job)> cancel;
};

struct GatewayCounts {
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t refused = 0;
  std::uint64_t expired = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t malformed = 0;
  std::uint64_t unknown_route = 0;
  std::uint64_t resubmitted = 0;
  // Time from a job's arrival to its answer, by upper bound in milliseconds.
  static constexpr std::array<int, 10> kBoundsMs{25,  50,   100,  200,  400,
                                                 800, 1200, 1600, 2400, 4800};
  std::array<std::uint64_t, kBoundsMs.size() + 1> response_time_counts{};
  double response_seconds = 0;
};

// Thread safety: loop thread only.
class JobGateway {
 public:
  ~JobGateway();
  JobGateway(const JobGateway&) = delete;
  JobGateway& operator=(const JobGateway&) = delete;

  // Handles a caller's request.
  void Handle(const HttpRequest& request, const HttpResponder& responder);

  // Puts a configuration in force. Precondition: its version is greater than
  // that of the one in force.
  void SetRoutes(RouteTable routes);

  // Returns the version in force; zero before the first configuration.
  std::uint64_t RoutesVersion() const;

  // Submits jobs again that wait for a scheduler, or whose scheduler changed.
  void LeaderChanged();

  // Submits all jobs again whose answer is outstanding: replies over a silent
  // connection are lost. The scheduler joins jobs that it knows.
  void ResubmitAll();

  // Refuses new jobs from now on that may not end before `stop`.
  void BeginStop(TimePoint stop);

  // Answers all jobs that are left, because the process ends.
  void AnswerRemainingJobs();

  // Returns the number of jobs without an answer.
  std::size_t PendingJobs() const;

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

  std::unique_ptr<JobGateway> Build();

 private:
  EventLoop* loop;
  CallerCodec codec;
  SchedulerAccess access;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_JOB_GATEWAY_H_
