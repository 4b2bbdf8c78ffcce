// Defines SessionTable, which decides for each submission whether it starts,
// joins a running job, gets a stored answer or is refused. It makes a sequence
// number start at most one job.

#ifndef SEQUOIAPATH_COORDINATION_SESSION_TABLE_H_
#define SEQUOIAPATH_COORDINATION_SESSION_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>

#include "sequoiapath/protocol/job.h"
#include "sequoiapath/protocol/session_id.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

using SequenceNumber = std::uint64_t;

struct SessionLimits {
  // Numbers this far below the greatest one are refused.
  std::uint64_t window = 1024;
  Duration idle_expiry = std::chrono::minutes(15);
  std::size_t max_sessions = 100'000;
  std::size_t max_stored_answer_bytes = 32 << 20;
};

// What is known of one sequence number that was used.
struct SubmissionRecord {
  enum class State { kRunning, kFinished, kAnswerDropped };
  State state = State::kRunning;
  // Set in state kFinished.
  std::string answer_body;
  int answer_status = 0;
  // Set in states kFinished and kAnswerDropped.
  Verdict verdict = Verdict::kMayHaveRun;
};

struct Session {
  std::string team;
  TimePoint last_used;
  SequenceNumber greatest = 0;
  std::map<SequenceNumber, SubmissionRecord> records;
  std::size_t running = 0;
};

struct SessionTable {
  SessionLimits limits;
  std::unordered_map<std::uint64_t, Session> sessions;  // By counter.
  std::uint64_t next_counter = 1;
  std::size_t stored_answer_bytes = 0;
};

// Outcomes of AdmitSubmission.
struct StartJob {
  std::string team;
};
struct JoinRunningJob {};
struct StoredAnswer {
  int status = 0;
  std::string body;
};
using SubmissionDecision =
    std::variant<StartJob, JoinRunningJob, StoredAnswer, Failure>;

// Opens a session and returns its counter; fails when the table is full of
// sessions in use. Thread safety of all functions here: one thread at a time.
Result<std::uint64_t> OpenSession(SessionTable* table, std::string team,
                                  TimePoint now);

// Decides about a submission. After StartJob the number is recorded as running
// and the caller must call FinishSubmission exactly once.
SubmissionDecision AdmitSubmission(SessionTable* table, std::uint64_t counter,
                                   SequenceNumber sequence, TimePoint now);

// Stores the answer of a running submission.
// Precondition: AdmitSubmission returned StartJob for it.
void FinishSubmission(SessionTable* table, std::uint64_t counter,
                      SequenceNumber sequence, const JobAnswer& answer,
                      const std::string& body, TimePoint now);

// Forgets sessions that were idle for too long and have no running job.
void ExpireSessions(SessionTable* table, TimePoint now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_SESSION_TABLE_H_
