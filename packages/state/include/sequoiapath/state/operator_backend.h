// Defines OperatorBackend, the functions through which the operator interface
// reads the daemon's state and changes the configuration.

#ifndef SEQUOIAPATH_STATE_OPERATOR_BACKEND_H_
#define SEQUOIAPATH_STATE_OPERATOR_BACKEND_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/coordination/config_change.h"
#include "sequoiapath/protocol/document.h"
#include "sequoiapath/protocol/session_id.h"
#include "sequoiapath/protocol/verdict.h"
#include "sequoiapath/state/late_log.h"

namespace sequoiapath {

struct DaemonStatus {
  std::string vm;
  std::string data_centre;
  Incarnation incarnation = 0;
  std::uint64_t generation = 0;  // Zero before the first configuration.
  std::string digest;
  std::size_t running_jobs = 0;
  std::size_t waiting_tasks = 0;
  bool stopping = false;
};

// The last known state of another daemon.
struct MemberStatus {
  std::string vm;
  std::string data_centre;
  std::uint64_t generation = 0;
  std::string state;  // Such as "live", "suspect" or "down".
  // Time since the last heartbeat of the daemon was received.
  std::chrono::milliseconds heartbeat_age{0};
};

// A requested change of the configuration: the differences between `base` and
// `proposed`. The configuration in force may be newer than `base`.
struct ConfigProposal {
  std::string change_id;  // Random; a change is applied at most once per id.
  std::uint64_t base_generation = 0;
  Document base;
  Document proposed;
  std::string author;
  std::string remote_address;
};

using Difference = FieldChanges;

// The possible outcomes of a submitted change.
struct ChangeApplied {
  std::uint64_t generation = 0;
};
struct ChangeConflict {
  std::uint64_t generation = 0;  // The generation in force.
  FieldConflicts fields;
};
struct ChangeNotApplied {
  std::string detail;  // For example "the store is unavailable".
};
struct ChangeUnknown {
  std::string detail;  // The change may have been applied.
};
using SubmitResult = std::variant<ChangeApplied, ChangeConflict, DocumentErrors,
                                  ChangeNotApplied, ChangeUnknown>;

// One record of the audit trail.
struct HistoryEntry {
  std::chrono::system_clock::time_point when;
  std::string author;
  std::string remote_address;
  std::string change_id;
  std::uint64_t generation = 0;  // Zero if the change was rejected.
  std::string outcome;
  std::string summary;
};

// The records, newest first, or the failure to read them.
using HistoryResult = Result<std::vector<HistoryEntry>>;

// The functions must not throw and must be called on the loop thread only.
// Each callback is called exactly once, before or after the function returns.
// `status` and `late_log` are required; the other functions are optional. The
// console reports a resource that needs an unset function as not available, and
// shows no other daemons if `members` is unset.
struct OperatorBackend {
  std::function<DaemonStatus()> status;
  std::function<const LateLog*()> late_log;
  // Returns the metrics in the Prometheus text format.
  std::function<std::string()> metrics;
  std::function<std::vector<MemberStatus>()> members;
  // Returns the configuration in force; null before the first one.
  std::function<std::shared_ptr<const Catalog>()> current_catalog;
  // Validates a change and returns the fields that it would change, without
  // applying it.
  std::function<std::variant<Difference, DocumentErrors>(const ConfigProposal&)>
      preview;
  std::function<void(const ConfigProposal&, std::function<void(SubmitResult)>)>
      submit;
  std::function<void(std::function<void(HistoryResult)>)> history;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_OPERATOR_BACKEND_H_
