// Defines LoadGenerator, which sends the jobs of a plan at their planned times
// and validates the answers.

#ifndef SEQUOIAPATH_CLI_LOAD_GENERATOR_H_
#define SEQUOIAPATH_CLI_LOAD_GENERATOR_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "load_plan.h"
#include "load_report.h"
#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath {

// Generates an open-loop load: a slow answer does not delay later jobs, and
// each response time is measured from the planned send time. Not thread-safe.
class LoadGenerator {
 public:
  // Preconditions: `loop` outlives the generator; `endpoints` is not empty.
  LoadGenerator(EventLoop* loop, LoadPlan plan,
                const std::vector<Endpoint>& endpoints);

  // Opens the sessions. Returns an error for each endpoint at which no session
  // was opened; the jobs that are planned for that endpoint count as not sent.
  std::vector<std::string> OpenSessions();

  // Sends all jobs and waits until each has an answer or an error.
  const LoadReport& Run();

  LoadReport* report() { return &this->measured; }

 private:
  struct LoadSession {
    std::string id;
    std::uint64_t next_sequence = 1;
  };
  struct DaemonConnection {
    std::unique_ptr<HttpClient> client;
    std::vector<LoadSession> sessions;
    std::size_t next_session = 0;
    std::string error;
  };

  void OpenSession(DaemonConnection* daemon);
  void SendDueJobs();
  void SendJob(PlannedJob job);
  void OnAnswer(const PlannedJob& job, const HttpResult& result);
  void CountResponse(const PlannedJob& job, const HttpResponse& response,
                     double response_ms);
  double SincePlannedMs(const PlannedJob& job) const;

  EventLoop* loop;
  LoadSchedule schedule;
  std::vector<DaemonConnection> daemons;
  LoadReport measured;
  TimePoint begin;
  std::optional<PlannedJob> next;
  std::size_t in_flight = 0;
  std::size_t pending_sessions = 0;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_LOAD_GENERATOR_H_
