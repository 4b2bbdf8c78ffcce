// Defines WorkerPool, which holds this daemon's connections to workers and
// sends tasks over them.

#ifndef SEQUOIAPATH_STATE_WORKER_POOL_H_
#define SEQUOIAPATH_STATE_WORKER_POOL_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/coordination/connection_health.h"
#include "sequoiapath/protocol/worker_api.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath {

// Starts and stops tasks on workers. Thread safety: loop thread only.
class WorkerPool {
 public:
  // `on_recovered` is called when a worker whose connections were suspect has
  // answered a probe. Precondition: `loop` outlives the pool and does not run
  // after the pool is destroyed.
  WorkerPool(EventLoop* loop, std::function<void()> on_recovered);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Applies new addresses and limits. A client whose worker was removed or has
  // a new address finishes its requests; a later call destroys it.
  void SetCatalog(std::shared_ptr<const Catalog> catalog);

  // Divides each worker's connection limit among `daemons` daemons. Each daemon
  // may open at least as many connections as the worker has slots.
  // Precondition: `daemons` is at least 1.
  void ShareConnections(std::size_t daemons);

  // Sends a task and calls `callback` exactly once, only after StartTask has
  // returned. The outcome is unknown if no answer arrives within `timeout`.
  void StartTask(const std::string& worker, TaskStart start, Duration timeout,
                 std::function<void(TaskOutcome)> callback);

  // Returns whether a task may be sent to `worker`. A task that is not
  // idempotent may not be sent while the worker's connections are suspect.
  bool AllowsTask(const std::string& worker, bool idempotent) const;

  // Asks a worker to stop a task; the reply is ignored.
  void StopTask(const std::string& worker, const std::string& task_id);

 private:
  std::size_t ConnectionLimit(const WorkerSpec& worker) const;
  // Returns the client of `worker`, created on first use; null if the worker is
  // not in the catalog.
  HttpClient* GetOrCreateClient(const std::string& worker);
  void DropRetiredClients();
  void RecordReply(const std::string& worker, HttpClient* client,
                   const TaskOutcome& outcome, TimePoint sent);
  // Sends a usage query over a new connection to workers whose connections are
  // suspect and whose probe is due.
  void ProbeSuspects();
  void SendProbe(const std::string& worker);
  void ScheduleProbes();

  EventLoop* loop;
  std::shared_ptr<const Catalog> catalog;
  std::size_t sharing_daemons = 1;
  std::unordered_map<std::string, std::unique_ptr<HttpClient>> clients;
  std::vector<std::unique_ptr<HttpClient>> retired;
  std::function<void()> on_recovered;
  ConnectionHealth connections;
  TimerId probe_timer = 0;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_WORKER_POOL_H_
