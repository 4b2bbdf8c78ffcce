#include "sequoiapath/coordination/crash_history.h"

#include <algorithm>

#include "record_log.h"

namespace sequoiapath {
namespace internal {
namespace {

std::pair<std::string, std::int64_t> CrashedProcess(const TaskCrash& crash) {
  return {crash.worker, crash.started_at_ms};
}

// Returns whether a task with these runs on crashed processes is given up.
bool HasToBeGivenUp(
    const std::map<std::pair<std::string, std::int64_t>, CrashedRun>& runs) {
  bool alone = false;
  std::size_t confirmed = 0;
  for (const auto& [process, run] : runs) {
    if (!run.confirmed) continue;
    ++confirmed;
    alone = alone || run.alone;
  }
  return confirmed >= (alone ? kCrashesToGiveUp : kSharedCrashesToGiveUp) ||
         runs.size() >= kUnconfirmedCrashesToGiveUp;
}

void RemoveFromTask(CrashHistory* history, const TaskCrash& crash) {
  const auto found = history->by_task.find(crash.task);
  if (found == history->by_task.end()) return;
  found->second.erase(CrashedProcess(crash));
  if (found->second.empty()) history->by_task.erase(found);
}

void RemoveFirst(CrashHistory* history) {
  RemoveFromTask(history, history->records.front().crash);
  history->records.pop_front();
}

}  // namespace
}  // namespace internal

bool AddCrash(CrashHistory* history, const TaskCrash& crash,
              std::string_view learned_from, TimePoint now) {
  if (crash.age > history->max_age) return false;
  const CrashedRun run{crash.alone, crash.confirmed};
  const auto [known, added] = history->by_task[crash.task].emplace(
      internal::CrashedProcess(crash), run);
  if (!added) {
    // One scheduler may have seen the start acknowledged, and another one not.
    if (known->second.confirmed || !run.confirmed) return false;
    known->second = run;
  }
  history->records.push_back({++history->last_sequence, now - crash.age,
                              std::string(learned_from), crash});
  if (history->records.size() > history->max_records) {
    internal::RemoveFirst(history);
  }
  return true;
}

void WithdrawCrash(CrashHistory* history, const std::string& worker,
                   std::int64_t started_at_ms) {
  std::erase_if(history->records, [&](const CrashRecord& record) {
    const TaskCrash& crash = record.crash;
    if (crash.worker != worker || crash.started_at_ms != started_at_ms) {
      return false;
    }
    internal::RemoveFromTask(history, crash);
    return true;
  });
}

std::size_t CrashCount(const CrashHistory& history, const TaskName& task) {
  const auto found = history.by_task.find(task);
  return found == history.by_task.end() ? 0 : found->second.size();
}

bool HasCrashes(const CrashHistory& history, const std::string& job) {
  const auto first = history.by_task.lower_bound(TaskName{job, 0, 0});
  return first != history.by_task.end() && first->first.job == job;
}

const TaskName* FindTaskToGiveUp(const CrashHistory& history,
                                 const std::string& job) {
  for (auto it = history.by_task.lower_bound(TaskName{job, 0, 0});
       it != history.by_task.end() && it->first.job == job; ++it) {
    if (internal::HasToBeGivenUp(it->second)) return &it->first;
  }
  return nullptr;
}

std::vector<TaskCrash> CrashesAfter(const CrashHistory& history,
                                    std::uint64_t* sequence,
                                    std::string_view receiver,
                                    std::size_t max_count, TimePoint now) {
  std::vector<TaskCrash> crashes;
  internal::TakeRecordsAfter(
      history.records, max_count, sequence, [&](const CrashRecord& record) {
        if (record.learned_from == receiver) return false;
        TaskCrash crash = record.crash;
        crash.age = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - record.crashed);
        crashes.push_back(std::move(crash));
        return true;
      });
  return crashes;
}

void RemoveOldCrashes(CrashHistory* history, TimePoint now) {
  // Records that arrived late from another daemon may stand behind younger
  // ones; they are removed with these.
  while (!history->records.empty() &&
         now - history->records.front().crashed > history->max_age) {
    internal::RemoveFirst(history);
  }
}

}  // namespace sequoiapath
