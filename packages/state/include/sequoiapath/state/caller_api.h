// Defines CallerApi, the HTTP interface for callers: sessions, submissions and
// cancellations.

#ifndef SEQUOIAPATH_STATE_CALLER_API_H_
#define SEQUOIAPATH_STATE_CALLER_API_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/coordination/session_table.h"
#include "sequoiapath/state/job_runner.h"
#include "sequoiapath/state/observation.h"
#include "sequoiapath/state/settings.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {

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

  void OpenSession(const HttpRequest& request, const HttpResponder& responder);
  void Submit(const SubmissionKey& key, const HttpRequest& request,
              const HttpResponder& responder);
  // Returns why no new job is taken now, if so.
  std::optional<Failure> CheckReadiness() const;
  // Checks a submission and fills in `spec`; returns why it is refused, if so.
  std::optional<Failure> PrepareJob(const std::string& team,
                                    const std::string& body, JobSpec* spec);
  void JoinJob(const SubmissionKey& key, const HttpResponder& responder);
  void StartNewJob(const SubmissionKey& key, const std::string& team,
                   const HttpRequest& request, const HttpResponder& responder);
  void Observe(const SubmissionKey& key, AnsweredJob job, TimePoint submitted,
               const JobAnswer& answer);
  void Cancel(const SubmissionKey& key, const HttpResponder& responder);
  void Finish(const SubmissionKey& key, const JobAnswer& answer);
  void HandleJobPath(std::string_view path, const HttpRequest& request,
                     const HttpResponder& responder);
  void AnswerReadiness(const HttpResponder& responder);
  void RequireSession(const HttpResponder& responder);
  void Refuse(const HttpResponder& responder, Failure failure);
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
  std::map<SubmissionKey, std::vector<HttpResponder>> waiters;
  std::map<SubmissionKey, JobId> running;
  std::uint64_t next_request = 1;
  bool stopping = false;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_CALLER_API_H_
