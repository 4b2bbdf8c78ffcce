#include "sequoiapath/protocol/step_job.h"

namespace sequoiapath {

const char* ToString(StepJobOutcome outcome) {
  switch (outcome) {
    case StepJobOutcome::kCompleted:
      return "completed";
    case StepJobOutcome::kFailed:
      return "failed";
    case StepJobOutcome::kRefused:
      return "refused";
    case StepJobOutcome::kMoved:
      return "moved";
    case StepJobOutcome::kExpired:
      return "expired";
    case StepJobOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace sequoiapath
