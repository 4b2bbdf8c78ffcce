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

// What is known of another daemon.
struct MemberStatus {
  std::string vm;
  std::string data_centre;
  std::uint64_t generation = 0;
  std::string state;  // Such as "live", "suspect" or "down".
  std::chrono::milliseconds heartbeat_age{0};  // Age of the last heartbeat.
};

// A change as an edit of `base`. The configuration may have moved on since: the
// edit is what differs between `base` and `proposed`.
struct ConfigProposal {
  std::string change_id;  // Random; a change id is applied at most once.
  std::uint64_t base_generation = 0;
  Document base;
  Document proposed;
  std::string author;
  std::string remote_address;
};

using Difference = FieldChanges;

// Outcomes of a submitted change.
struct ChangeApplied {
  std::uint64_t generation = 0;
};
struct ChangeConflict {
  std::uint64_t generation = 0;  // In force now.
  FieldConflicts fields;
};
struct ChangeNotApplied {
  std::string detail;  // Such as "the store is unavailable".
};
struct ChangeUnknown {
  std::string detail;  // The change may have been applied.
};
using SubmitResult = std::variant<ChangeApplied, ChangeConflict, DocumentErrors,
                                  ChangeNotApplied, ChangeUnknown>;

// One audit record.
struct HistoryEntry {
  std::chrono::system_clock::time_point when;
  std::string author;
  std::string remote_address;
  std::string change_id;
  std::uint64_t generation = 0;  // Zero if the change was refused.
  std::string outcome;
  std::string summary;
};

// Newest first, or why the records cannot be read.
using HistoryResult = Result<std::vector<HistoryEntry>>;

// The functions must not throw and must be called on the loop thread only.
// Callbacks may be called before or after the function returns, exactly once.
// `status` and `late` are required; without one of the others the console says
// that the function is not available.
struct OperatorBackend {
  std::function<DaemonStatus()> status;
  std::function<const LateLog*()> late_log;
  std::function<std::string()> metrics;  // Prometheus text.
  std::function<std::vector<MemberStatus>()> members;
  // The configuration in force; null before the first one.
  std::function<std::shared_ptr<const Catalog>()> current_catalog;
  // Validates a change and returns what it would do; changes nothing.
  std::function<std::variant<Difference, DocumentErrors>(const ConfigProposal&)>
      preview;
  std::function<void(const ConfigProposal&, std::function<void(SubmitResult)>)>
      submit;
  std::function<void(std::function<void(HistoryResult)>)> history;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_OPERATOR_BACKEND_H_
