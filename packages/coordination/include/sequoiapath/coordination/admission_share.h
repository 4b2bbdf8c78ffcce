// Defines AdmissionShare, which decides what share of the new jobs the daemons
// may submit to a scheduler whose link is congested.
//
// A job that the scheduler itself refuses has already used its link. So the
// scheduler names a share in its heartbeats, and the daemons refuse the rest.
// The share falls by a factor while orders wait for the link or heartbeats come
// back late, and rises by steps otherwise, as TCP adapts its rate.

#ifndef SEQUOIAPATH_COORDINATION_ADMISSION_SHARE_H_
#define SEQUOIAPATH_COORDINATION_ADMISSION_SHARE_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// The share of a scheduler that admits all jobs, in thousandths.
constexpr std::uint32_t kFullAdmissionShare = 1000;

struct AdmissionShareLimits {
  // The link is congested while start orders wait longer for it. With 100 ms
  // the link was idle between bursts of admitted jobs.
  Duration max_work_delay = std::chrono::milliseconds(200);
  // The link is congested while most heartbeats need longer for a round trip.
  // On an idle link they need less than 10 ms. A few late ones are the matter
  // of the daemons that reply.
  Duration max_round_trip = std::chrono::milliseconds(200);
  // A new job is refused by the scheduler itself if its orders would wait
  // longer. The shortest deadlines are some 1.5 s.
  Duration max_queue_delay = std::chrono::milliseconds(500);
  // The effect of a decrease is visible after this time: the daemons get a
  // heartbeat every 200 ms.
  Duration decrease_interval = std::chrono::milliseconds(200);
  Duration increase_interval = std::chrono::milliseconds(100);
  double increase = 0.005;
  // Replaces `increase` when the link has not been congested for `calm_time`,
  // so that the full share returns within 5 s after an overload.
  double calm_increase = 0.05;
  Duration calm_time = std::chrono::seconds(2);
  // Bounds of the factor by which the share falls.
  double least_factor = 0.7;
  double greatest_factor = 0.95;
  // Some jobs are admitted always, because they show when the overload ends.
  double least_share = 0.01;
};

struct AdmissionShare {
  AdmissionShareLimits limits;
  double share = 1;
  // Heartbeats since the latest decision: all and late ones.
  std::uint32_t heartbeats = 0;
  std::uint32_t late_heartbeats = 0;
  TimePoint changed;       // Of the latest increase or decrease.
  TimePoint congested_at;  // When the link was last seen congested.
  bool congested = false;  // The share is below one.
  std::uint64_t decreases = 0;
};

// None of the functions below is thread-safe: calls must not overlap.

// Records the round trip of a heartbeat that this scheduler sent to a daemon
// that is reachable. A heartbeat without a reply counts with its timeout.
void RecordRoundTrip(AdmissionShare* share, Duration round_trip);

// Adapts the share. `work_delay` is that of the link budget. Call it at least
// every 50 ms while this daemon schedules. Returns whether `congested` changed.
bool UpdateAdmissionShare(AdmissionShare* share, Duration work_delay,
                          TimePoint now);

// Admits all jobs again, when this daemon begins to schedule or its link is no
// longer scarce.
void ResetAdmissionShare(AdmissionShare* share, TimePoint now);

// Returns the share in thousandths, as heartbeats name it.
std::uint32_t ShareInThousandths(const AdmissionShare& share);

// Returns whether the scheduler itself refuses a new job.
bool RefusesNewJob(const AdmissionShare& share, Duration work_delay);

// Returns whether a daemon admits the job under the scheduler's share. Depends
// on the id only, so that a request that is repeated at another daemon gets the
// same decision and no job that was started is refused as not run while the
// share does not fall. Thread-safe.
bool IsAdmitted(std::string_view job, std::uint32_t thousandths);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_ADMISSION_SHARE_H_
