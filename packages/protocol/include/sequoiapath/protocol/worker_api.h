// Defines the calls of a worker's HTTP interface and the meaning of its
// replies.

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
  // The worker ends the task after this time.
  std::chrono::milliseconds lease{0};
  std::string payload;  // JSON text.
};

// What became of a task that was sent to a worker.
struct TaskOutcome {
  enum class Kind {
    kDone,        // Ran; `result` holds its JSON result.
    kFailed,      // Ran and failed.
    kNotStarted,  // Surely did not run; it may be sent to another worker.
    kUnknown,     // May have run.
  };
  Kind kind = Kind::kUnknown;
  std::string result;
  std::string detail;
  // The worker says that it is leaving and takes no more tasks.
  bool worker_leaving = false;
  // The connection fell silent or broke after the request was sent.
  bool connection_suspect = false;
  // Not started for a reason that says nothing about the worker.
  bool local_reason = false;
};

// Returns the request that starts a task. Thread-safe.
HttpRequest EncodeTaskStart(const TaskStart& start);

// Returns the request that stops a task. Thread-safe.
HttpRequest EncodeTaskStop(const std::string& task_id);

// Returns the request that asks for a worker's running tasks. It has no effect,
// so it serves to test a connection. Thread-safe.
HttpRequest EncodeUsageQuery();

// Interprets the reply to EncodeTaskStart(start). Thread-safe.
TaskOutcome InterpretTaskReply(const TaskStart& start, const HttpResult& reply);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_WORKER_API_H_
