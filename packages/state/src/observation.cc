#include "sequoiapath/state/observation.h"

#include <fmt/format.h>

#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

std::chrono::milliseconds Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace
}  // namespace internal

std::string DescribeAnswer(const JobAnswer& answer) {
  const auto* failure = std::get_if<Failure>(&answer.outcome);
  if (failure == nullptr) return "200 complete";
  std::string text = fmt::format(
      "{} {}, {}, retry {}", HttpStatus(*failure), ToString(failure->verdict),
      ToString(failure->reason), ToString(failure->retry));
  if (failure->retry_after) {
    text += fmt::format(" after {} ms", failure->retry_after->count());
  }
  return text;
}

void ObserveAnswer(Observer* observer, const AnsweredJob& job,
                   const JobAnswer& answer, TimePoint now,
                   std::chrono::system_clock::time_point wall_time) {
  const auto* failure = std::get_if<Failure>(&answer.outcome);
  const bool late = IsLate(observer->policy, job.response_time,
                           job.observed.ideal, job.deadline);
  CountJob(&observer->metrics,
           {job.service, job.team, job.response_time, job.observed.ideal,
            job.tasks, job.observed.messages, late, failure},
           now);
  if (failure == nullptr && !late) return;
  LateEntry entry{answer.request_id,
                  job.team,
                  job.service,
                  wall_time,
                  internal::Milliseconds(job.deadline),
                  internal::Milliseconds(job.response_time),
                  internal::Milliseconds(job.observed.ideal),
                  std::nullopt,
                  std::nullopt,
                  DescribeAnswer(answer),
                  job.callers_told,
                  job.callers_gone};
  if (failure != nullptr) {
    entry.verdict = failure->verdict;
    entry.reason = failure->reason;
  }
  AddLateEntry(&observer->late_log, std::move(entry));
}

}  // namespace sequoiapath
