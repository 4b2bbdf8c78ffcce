// Defines CallerApi, the HTTP interface for callers: sessions, submissions and
// cancellations.

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

// Receives an HTTP status and a body in JSON; calls after the first have no
// effect.
using AnswerCallback = std::function<void(int status, std::string body)>;

// Forwards a request to the process that owns the session, and calls the
// callback exactly once, never before it returns.
using ForwardFunction =
    std::function<void(const SessionId& session, const Forward& request,
                       std::function<void(Result<ForwardReply>)> callback)>;

// Answers callers' requests. Thread safety: loop thread only.
class CallerApi {
 public:
  // Precondition: the arguments outlive the object.
  CallerApi(EventLoop* loop, const Settings* settings, Incarnation incarnation,
            JobRunner* runner);

  // Takes over a new configuration for later submissions.
  void SetCatalog(std::shared_ptr<const Catalog> catalog);

  // Sets where answered jobs are recorded; null: nowhere. Precondition:
  // `observer` outlives the object.
  void SetObserver(Observer* observer) { this->observer = observer; }

  // Refuses new jobs from now on; running ones are answered.
  void BeginStop() { this->stopping = true; }

  // Sets the function that forwards requests for sessions of other processes.
  // Without it they are refused as owner_lost.
  void SetForwarder(ForwardFunction forward) {
    this->forward = std::move(forward);
  }

  // Answers a request that another daemon forwarded. Returns false without an
  // answer if this process does not answer for the session. The job's deadline
  // is at most `request.remaining` from now.
  bool AnswerForwarded(const Forward& request, const AnswerCallback& answer);

  // Refuses submissions that would start as kMayHaveRun from now on, because
  // the successor may start them. Precondition: BeginStop was called.
  void BeginHandover() { this->handing_over = true; }

  bool IsStopping() const { return this->stopping; }

  // Answers one request. Every answer is JSON with a `request_id`.
  void Handle(const HttpRequest& request, const HttpResponder& responder);

  // Returns all sessions for a successor. Precondition: BeginStop was called.
  std::vector<ExportedSession> ExportSessions() const;

  // Takes over sessions of a stopping process; returns how many were added.
  std::size_t ImportSessions(std::vector<ExportedSession> sessions);

  // Says whether this process answers for sessions of `incarnation`.
  bool AnswersFor(Incarnation incarnation) const;

 private:
  using SubmissionKey = std::pair<SessionKey, SequenceNumber>;

  struct Submission {
    const std::string& body;
    // Bounds the deadline of a forwarded submission.
    std::optional<Duration> remaining;
  };

  void OpenSession(const HttpRequest& request, const HttpResponder& responder);
  void Submit(const SubmissionKey& key, const Submission& submission,
              const AnswerCallback& answer);
  // Returns why no new job is taken now, if so.
  std::optional<Failure> CheckReadiness() const;
  // Returns why a submission that would start is refused now, if so.
  std::optional<Failure> CheckStart() const;
  // Checks a submission and fills in `spec`; returns why it is refused, if so.
  std::optional<Failure> PrepareJob(const std::string& team,
                                    const Submission& submission,
                                    JobSpec* spec);
  void JoinJob(const SubmissionKey& key, const AnswerCallback& answer);
  void StartNewJob(const SubmissionKey& key, const std::string& team,
                   const Submission& submission, const AnswerCallback& answer);
  void Observe(const SubmissionKey& key, AnsweredJob job, TimePoint submitted,
               const JobAnswer& answer);
  void Cancel(const SubmissionKey& key, const AnswerCallback& answer);
  void ForwardRequest(const SessionId& session, Forward request,
                      const AnswerCallback& answer);
  // Returns the time that a submission's deadline leaves, as far as known here.
  Duration RemainingTime(const std::string& body) const;
  void Finish(const SubmissionKey& key, const JobAnswer& answer);
  void HandleJobPath(std::string_view path, const HttpRequest& request,
                     const HttpResponder& responder);
  void AnswerReadiness(const HttpResponder& responder);
  void RequireSession(const HttpResponder& responder);
  void Refuse(const HttpResponder& responder, Failure failure);
  void Refuse(const AnswerCallback& answer, Failure failure);
  // Refuses a request with a status that its reason does not imply.
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
  // Requests that wait for the answer of a running submission.
  std::map<SubmissionKey, std::vector<AnswerCallback>> waiters;
  std::map<SubmissionKey, JobId> running;
  std::uint64_t next_request = 1;
  ForwardFunction forward;
  bool stopping = false;
  bool handing_over = false;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_CALLER_API_H_
