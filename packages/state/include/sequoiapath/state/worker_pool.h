// Defines WorkerPool, the connections to the workers that this daemon uses.

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
  // answered. Precondition: `loop` outlives the pool and does not run after the
  // pool's end.
  WorkerPool(EventLoop* loop, std::function<void()> on_recovered);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Takes over new addresses and limits; clients of workers whose address
  // changed or that were removed are dropped once their requests have ended.
  void SetCatalog(std::shared_ptr<const Catalog> catalog);

  // Divides each worker's connections among `daemons` daemons, so that the sum
  // over all of them stays within the worker's limit.
  // Precondition: `daemons` is at least 1.
  void ShareConnections(std::size_t daemons);

  // Sends a task and calls `callback` exactly once, never before StartTask
  // returns. After `timeout` the outcome is unknown.
  void StartTask(const std::string& worker, TaskStart start, Duration timeout,
                 std::function<void(TaskOutcome)> callback);

  // Says whether the state of the worker's connections allows a task.
  bool AllowsTask(const std::string& worker, bool idempotent) const;

  // Asks a worker to stop a task; the reply does not matter.
  void StopTask(const std::string& worker, const std::string& task_id);

 private:
  std::size_t ConnectionLimit(const WorkerSpec& worker) const;
  // Returns the client of `worker`, or null if the catalog lacks the worker.
  HttpClient* ClientOf(const std::string& worker);
  void DropRetiredClients();
  void RecordReply(const std::string& worker, HttpClient* client,
                   const TaskOutcome& outcome, TimePoint sent);
  // Asks workers with suspect connections for a sign of life over a fresh one.
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
