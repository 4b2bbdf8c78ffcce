// Defines CrashHistory, which records the workers that crashed while they ran a
// task.
//
// A task may crash each worker that starts it. A crash is charged to every task
// that ran on the worker, although only one of them is the cause. A task with a
// crash is therefore a suspect, which has to run alone. It is given up after
// two crashes if it ran alone during one of them, else after three: two crashes
// may be those of other tasks, if the first was noticed only after the second
// start. A crash before the worker has acknowledged the task's start makes the
// task a suspect too, but is no evidence that it ran there: such crashes count
// only towards a higher limit.
//
// A crash is identified by the worker and the start time of the crashed
// process. Records of several daemons can therefore be merged in any order and
// any number of times.

#ifndef SEQUOIAPATH_COORDINATION_CRASH_HISTORY_H_
#define SEQUOIAPATH_COORDINATION_CRASH_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sequoiapath/protocol/scheduler_message.h"
#include "sequoiapath/protocol/worker_order.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// Numbers of crashes after which a task is given up: if it ran alone on the
// worker during one of them, and otherwise.
constexpr std::size_t kCrashesToGiveUp = 2;
constexpr std::size_t kSharedCrashesToGiveUp = 3;
// Number of crashes after which a task is given up even if none of its starts
// was acknowledged.
constexpr std::size_t kUnconfirmedCrashesToGiveUp = 4;

// How a task ran on a worker that crashed.
struct CrashedRun {
  bool alone = false;
  bool confirmed = false;  // The worker had acknowledged the start.
};

struct CrashRecord {
  std::uint64_t sequence = 0;  // Increases with each record of this process.
  TimePoint crashed;           // When a scheduler noticed the crash.
  // The daemon process that sent the record; empty if this one noticed it.
  std::string learned_from;
  TaskCrash crash;
};

// Thread safety of all functions below: one thread at a time.
struct CrashHistory {
  // Callers give up a job within seconds, so older records are not needed.
  Duration max_age = std::chrono::seconds(120);
  // Further records replace the oldest ones.
  std::size_t max_records = 20'000;
  std::deque<CrashRecord> records;  // By `sequence`.
  // By task and crashed process, which is a worker's id and its start time.
  std::map<TaskName, std::map<std::pair<std::string, std::int64_t>, CrashedRun>>
      by_task;
  std::uint64_t last_sequence = 0;
};

// Adds a crash. `learned_from` names the daemon process that sent it. Returns
// false if the crash is already known or older than `max_age`. A record whose
// start was acknowledged replaces one whose start was not.
bool AddCrash(CrashHistory* history, const TaskCrash& crash,
              std::string_view learned_from, TimePoint now);

// Removes the records of a crash that has turned out not to have happened.
void WithdrawCrash(CrashHistory* history, const std::string& worker,
                   std::int64_t started_at_ms);

// Returns the number of workers that crashed under the task.
std::size_t CrashCount(const CrashHistory& history, const TaskName& task);

// Returns whether the history has a record of any task of the job.
bool HasCrashes(const CrashHistory& history, const std::string& job);

// Returns the task of the job that has to be given up, or null.
const TaskName* FindTaskToGiveUp(const CrashHistory& history,
                                 const std::string& job);

// Returns up to `max_count` crashes with a sequence number above `sequence`
// that were not learned from `receiver`, with their ages at `now`. Sets
// `sequence` to the number of the last record that was examined.
std::vector<TaskCrash> CrashesAfter(const CrashHistory& history,
                                    std::uint64_t* sequence,
                                    std::string_view receiver,
                                    std::size_t max_count, TimePoint now);

// Removes the records that are older than `max_age`.
void RemoveOldCrashes(CrashHistory* history, TimePoint now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_CRASH_HISTORY_H_
