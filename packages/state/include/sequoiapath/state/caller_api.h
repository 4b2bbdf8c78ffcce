// Defines CallerApi, the HTTP interface for callers: sessions, submissions and
// cancellations.

#ifndef SEQUOIAPATH_STATE_CALLER_API_H_
#define SEQUOIAPATH_STATE_CALLER_API_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/coordination/session_table.h"
#include "sequoiapath/state/job_runner.h"
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

  // Refuses new jobs from now on; running ones are answered.
  void BeginStop() { this->stopping = true; }

  // Answers one request.
  void Handle(const HttpRequest& request, const HttpResponder& responder);

 private:
  using SubmissionKey = std::pair<std::uint64_t, SequenceNumber>;

  void OpenSession(const HttpRequest& request, const HttpResponder& responder);
  void Submit(const SessionId& session, SequenceNumber sequence,
              const HttpRequest& request, const HttpResponder& responder);
  void StartNewJob(const SubmissionKey& key, const std::string& team,
                   const HttpRequest& request, const HttpResponder& responder);
  void Cancel(const SessionId& session, SequenceNumber sequence,
              const HttpResponder& responder);
  void Finish(const SubmissionKey& key, const JobAnswer& answer);
  void HandleJobPath(const HttpRequest& request,
                     const HttpResponder& responder);
  std::string NewRequestId();

  EventLoop* loop;
  const Settings* settings;
  Incarnation incarnation;
  JobRunner* runner;
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
