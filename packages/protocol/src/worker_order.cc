#include "sequoiapath/protocol/worker_order.h"

namespace sequoiapath {

const char* ToString(OrderRejection rejection) {
  switch (rejection) {
    case OrderRejection::kStaleFence:
      return "fence";
    case OrderRejection::kOldRun:
      return "old_run";
    case OrderRejection::kLeaseExpired:
      return "late";
    case OrderRejection::kNoCapacity:
      return "no_room";
    case OrderRejection::kUnhealthy:
      return "unhealthy";
    case OrderRejection::kOtherWorker:
      return "other_worker";
    case OrderRejection::kInvalid:
      return "invalid";
  }
  return "unknown";
}

const char* ToString(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kStopped:
      return "stopped";
    case RunOutcome::kLeaseExpired:
      return "lapsed";
    case RunOutcome::kOther:
      return "other";
  }
  return "unknown";
}

}  // namespace sequoiapath
