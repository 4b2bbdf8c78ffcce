#include "scheduler_congestion.h"

#include <chrono>

#include "sequoiapath/state/log.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

// Bytes of relayed orders, with their part of the headers of a batch and of the
// acknowledgement of their replies.
constexpr LinkMessageSizes kRelayedSizes{
    .start_without_spec = 90, .renewal = 80, .stop = 80};

}  // namespace

void ObserveLink(SchedulerCongestion* congestion, TaskScheduler* scheduler,
                 TimePoint now) {
  const bool scarce = IsScarceLink(congestion->link_bytes_per_second,
                                   scheduler->workers.size());
  SetLinkRate(
      &scheduler->link,
      scarce ? static_cast<double>(congestion->link_bytes_per_second) : 0, now);
  // Orders are relayed exactly where the link is scarce.
  scheduler->link.sizes = scarce ? kRelayedSizes : LinkMessageSizes{};
  AdmissionShare& admission = congestion->admission;
  if (!scarce || scheduler->fence == 0) {
    ResetAdmissionShare(&admission, now);
    return;
  }
  const Duration work_delay = WorkDelay(scheduler->link);
  const std::uint32_t late_heartbeats = admission.late_heartbeats;
  if (!UpdateAdmissionShare(&admission, work_delay, now)) return;
  Log(LogLevel::kWarning,
      admission.congested ? "congestion_began" : "congestion_ended",
      {{"share", ShareInThousandths(admission)},
       {"work_delay_ms", work_delay / milliseconds(1)},
       {"late_heartbeats", late_heartbeats},
       {"waiting_bytes", scheduler->link.waiting},
       {"jobs", scheduler->jobs.size()},
       {"refused_jobs", congestion->refused_jobs}});
}

void RecordHeartbeat(SchedulerCongestion* congestion, TaskScheduler* scheduler,
                     Duration round_trip, TimePoint now) {
  ChargeControl(&scheduler->link, scheduler->link.sizes.heartbeat, now);
  RecordRoundTrip(&congestion->admission, round_trip);
}

bool ShedsForLink(SchedulerCongestion* congestion,
                  const TaskScheduler& scheduler, const StepJob& job) {
  if (!RefusesNewJob(congestion->admission, WorkDelay(scheduler.link))) {
    return false;
  }
  if (!IsUnknownJob(scheduler, job)) return false;
  ++congestion->refused_jobs;
  return true;
}

}  // namespace sequoiapath::internal
