#include "sequoiapath/protocol/worker_order.h"

namespace sequoiapath {

const char* ToString(OrderRejection rejection) {
  switch (rejection) {
    case OrderRejection::kFence:
      return "fence";
    case OrderRejection::kOldRun:
      return "old_run";
    case OrderRejection::kLate:
      return "late";
    case OrderRejection::kNoRoom:
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

const char* ToString(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLapsed:
      return "lapsed";
    case RunEnd::kOther:
      return "other";
  }
  return "unknown";
}

}  // namespace sequoiapath
