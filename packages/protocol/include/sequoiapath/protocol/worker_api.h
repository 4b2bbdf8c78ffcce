// Defines the requests to a worker's HTTP interface and the interpretation of
// its replies.

#ifndef SEQUOIAPATH_PROTOCOL_WORKER_API_H_
#define SEQUOIAPATH_PROTOCOL_WORKER_API_H_

#include <chrono>
#include <string>

#include "sequoiapath/transport/http_client.h"
#include "sequoiapath/transport/http_message.h"

namespace sequoiapath {

struct TaskStart {
  std::string task_id;
  std::string service;
  // The worker stops the task when this time has passed.
  std::chrono::milliseconds lease{0};
  std::string payload;  // JSON text.
};

// Outcome of a request that starts a task on a worker.
struct TaskOutcome {
  enum class Kind {
    kDone,        // The task succeeded; `result` holds its JSON result.
    kFailed,      // The task ran and failed.
    kNotStarted,  // The task did not run and may be sent to another worker.
    kUnknown,     // The task may have run.
  };
  Kind kind = Kind::kUnknown;
  std::string result;
  std::string detail;
  // True if the worker reported that it is leaving and accepts no more tasks.
  bool worker_leaving = false;
  // True if the connection timed out or failed after the request was sent, or
  // returned the reply to another request.
  bool connection_suspect = false;
  // True if the cause of the failure is on the sender's side, so that the
  // failure must not count against the worker's health.
  bool local_reason = false;
};

// Returns the request that starts a task. Thread-safe.
HttpRequest EncodeTaskStart(const TaskStart& start);

// Returns the request that stops a task. Thread-safe.
HttpRequest EncodeTaskStop(const std::string& task_id);

// Returns the request for a worker's running tasks. It is free of side effects
// and therefore also used to test a connection. Thread-safe.
HttpRequest EncodeUsageQuery();

// Returns the outcome that `reply` to EncodeTaskStart(start) states.
// Thread-safe.
TaskOutcome InterpretTaskReply(const TaskStart& start, const HttpResult& reply);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_WORKER_API_H_
