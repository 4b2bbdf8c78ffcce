#include "sequoiapath/coordination/cancel_history.h"

#include "record_log.h"

namespace sequoiapath {
namespace internal {
namespace {

void RemoveFirst(CancelHistory* history) {
  history->jobs.erase(history->records.front().job);
  history->records.pop_front();
}

}  // namespace
}  // namespace internal

bool AddCancel(CancelHistory* history, const JobCancel& cancel,
               std::string_view learned_from, TimePoint now) {
  if (cancel.age > history->max_age) return false;
  const TimePoint cancelled = now - cancel.age;
  if (!history->jobs.emplace(cancel.job, cancelled).second) return false;
  history->records.push_back({++history->last_sequence, cancelled,
                              std::string(learned_from), cancel.job});
  if (history->records.size() > history->max_records) {
    internal::RemoveFirst(history);
  }
  return true;
}

const TimePoint* FindCancel(const CancelHistory& history,
                            const std::string& job) {
  const auto found = history.jobs.find(job);
  return found == history.jobs.end() ? nullptr : &found->second;
}

std::vector<JobCancel> CancelsAfter(const CancelHistory& history,
                                    std::uint64_t* sequence,
                                    std::string_view receiver, bool own_only,
                                    std::size_t max_count, TimePoint now) {
  std::vector<JobCancel> cancels;
  internal::TakeRecordsAfter(
      history.records, max_count, sequence, [&](const CancelRecord& record) {
        const bool wanted = own_only
                                ? record.learned_from.empty()
                                : record.learned_from != receiver &&
                                      record.learned_from != kReadFromStore;
        if (!wanted) return false;
        cancels.push_back(
            {record.job, std::chrono::duration_cast<std::chrono::milliseconds>(
                             now - record.cancelled)});
        return true;
      });
  return cancels;
}

void RemoveOldCancels(CancelHistory* history, TimePoint now) {
  // Records that arrived late from another daemon may stand behind younger
  // ones; they are removed with these.
  while (!history->records.empty() &&
         now - history->records.front().cancelled > history->max_age) {
    internal::RemoveFirst(history);
  }
}

}  // namespace sequoiapath
