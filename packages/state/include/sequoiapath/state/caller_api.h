// Defines CallerApi, which serves the HTTP API for callers: sessions,
// submissions and cancellations.

#ifndef SEQUOIAPATH_STATE_CALLER_API_H_
#define SEQUOIAPATH_STATE_CALLER_API_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/coordination/session_table.h"
#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/state/job_runner.h"
#include "sequoiapath/state/observation.h"
#include "sequoiapath/state/settings.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {

// Sends an HTTP status and a JSON body to the caller; calls after the first
// have no effect.
using AnswerCallback = std::function<void(int status, std::string body)>;

// Forwards a request to the process that serves the session. Calls the callback
// exactly once, only after the function has returned.
using ForwardFunction =
    std::function<void(const SessionId& session, const Forward& request,
                       std::function<void(Result<ForwardReply>)> callback)>;

// Answers callers' requests. Thread safety: loop thread only.
class CallerApi {
 public:
  // Precondition: the arguments outlive the object.
  CallerApi(EventLoop* loop, const Settings* settings, Incarnation incarnation,
            JobRunner* runner);

  // Applies a new configuration to later requests.
  void SetCatalog(std::shared_ptr<const Catalog> catalog);

  // Sets the observer that records answered jobs; may be null. Precondition:
  // `observer` outlives the object.
  void SetObserver(Observer* observer) { this->observer = observer; }

  // Refuses new sessions and jobs after this call; running jobs are answered.
  void BeginStop() { this->stopping = true; }

  // Sets the function that forwards requests for sessions of other processes.
  // While it is not set, such requests are refused as owner_lost.
  void SetForwarder(ForwardFunction forward) {
    this->forward = std::move(forward);
  }

  // Answers a request that another daemon forwarded. Returns false without an
  // answer if this process does not serve the session. The job's deadline is at
  // most `request.remaining` from now.
  bool AnswerForwardedRequest(const Forward& request,
                              const AnswerCallback& answer);

  // After this call, submissions that would start a job are refused with the
  // verdict kMayHaveRun, because the successor may start them. Precondition:
  // BeginStop was called.
  void BeginHandover() { this->handing_over = true; }

  bool IsStopping() const { return this->stopping; }

  // Answers one request with JSON that has a `request_id`.
  void Handle(const HttpRequest& request, const HttpResponder& responder);

  // Returns all sessions, for the successor. Precondition: BeginStop was
  // called.
  std::vector<ExportedSession> ExportSessions() const;

  // Adds sessions of a stopping process; returns how many were added.
  std::size_t ImportSessions(std::vector<ExportedSession> sessions);

  // Returns whether this process serves sessions of `incarnation`.
  bool ServesIncarnation(Incarnation incarnation) const;

 private:
  using SubmissionKey = std::pair<SessionKey, SequenceNumber>;

  struct Submission {
    const std::string& body;
    // Time until the deadline that the forwarding daemon computed; limits the
    // deadline of the job. Empty for a submission that was not forwarded.
    std::optional<Duration> remaining;
  };

  void OpenSession(const HttpRequest& request, const HttpResponder& responder);
  void Submit(const SubmissionKey& key, const Submission& submission,
              const AnswerCallback& answer);
  // Returns a failure if sessions and jobs are not accepted now.
  std::optional<Failure> CheckReadiness() const;
  // Returns a failure if a submission that would start a job is refused now.
  std::optional<Failure> CheckStart() const;
  // Checks a submission and sets `spec`; returns a failure if it is refused.
  std::optional<Failure> PrepareJob(const std::string& team,
                                    const Submission& submission,
                                    JobSpec* spec);
  // Answers a request when the job of its submission ends. Refuses it if too
  // many requests wait for that job.
  void JoinJob(const SubmissionKey& key, const AnswerCallback& answer);
  void StartNewJob(const SubmissionKey& key, const std::string& team,
                   const Submission& submission, const AnswerCallback& answer);
  void Observe(const SubmissionKey& key, AnsweredJob job, TimePoint submitted,
               const JobAnswer& answer);
  void Cancel(const SubmissionKey& key, const AnswerCallback& answer);
  void ForwardRequest(const SessionId& session, Forward request,
                      const AnswerCallback& answer);
  // Returns the time until a submission's deadline, computed from its body and
  // this process's configuration.
  Duration RemainingTime(const std::string& body) const;
  // Records a job's answer in its session and sends it to all waiting requests.
  void Finish(const SubmissionKey& key, const JobAnswer& answer);
  void HandleJobPath(std::string_view path, const HttpRequest& request,
                     const HttpResponder& responder);
  void AnswerReadiness(const HttpResponder& responder);
  void RequireSession(const HttpResponder& responder);
  void Refuse(const HttpResponder& responder, Failure failure);
  void Refuse(const AnswerCallback& answer, Failure failure);
  // Refuses a request as kInvalidRequest with `status` in place of the reason's
  // usual status.
  void RefuseWithStatus(const HttpResponder& responder, int status,
                        std::string detail, HttpHeaders headers = {});
  void RefuseMethod(const HttpResponder& responder, const std::string& allowed);
  std::string NewRequestId();

  EventLoop* loop;
  const Settings* settings;
  Incarnation incarnation;
  JobRunner* runner;
  Observer* observer = nullptr;
  std::shared_ptr<const Catalog> catalog;
  SessionTable sessions;
  // Requests that wait for the answer to a submission.
  std::map<SubmissionKey, std::vector<AnswerCallback>> waiters;
  std::map<SubmissionKey, JobId> running;
  std::uint64_t next_request = 1;
  ForwardFunction forward;
  bool stopping = false;
  bool handing_over = false;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_CALLER_API_H_
