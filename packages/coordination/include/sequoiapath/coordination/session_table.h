// Defines SessionTable, which decides for each submission whether it starts,
// joins a running job, gets a stored answer or is refused. It makes a sequence
// number start at most one job.

#ifndef SEQUOIAPATH_COORDINATION_SESSION_TABLE_H_
#define SEQUOIAPATH_COORDINATION_SESSION_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "sequoiapath/protocol/job.h"
#include "sequoiapath/protocol/session_id.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

using SequenceNumber = std::uint64_t;

// Greater numbers are refused: JSON clients cannot represent all of them.
constexpr SequenceNumber kMaxSequenceNumber = (SequenceNumber{1} << 53) - 1;

// Names a session: the process that opened it and its number there.
struct SessionKey {
  Incarnation incarnation = 0;
  std::uint64_t counter = 0;

  friend bool operator==(const SessionKey&, const SessionKey&) = default;
  friend bool operator<(const SessionKey& a, const SessionKey& b) {
    return std::tie(a.incarnation, a.counter) <
           std::tie(b.incarnation, b.counter);
  }
};

struct SessionLimits {
  // Numbers this far below the greatest one are refused.
  std::uint64_t window = 1024;
  Duration idle_expiry = std::chrono::minutes(15);
  std::size_t max_sessions = 100'000;
  std::size_t max_sessions_per_team = 25'000;
  // Running submissions of one session; more are refused as not run.
  std::size_t max_running_per_session = 256;
  std::size_t max_stored_answer_bytes = 32 << 20;
  std::size_t max_stored_answer_bytes_per_team = 16 << 20;
  // Remembered finished numbers; one takes about 250 bytes. Beyond the limit
  // the watermark of the session with the oldest one is raised.
  std::size_t max_finished_numbers = 100'000;
  std::size_t max_finished_numbers_per_team = 50'000;
};

// Orders finished submissions by age: the lowest finished first.
using FinishOrder = std::uint64_t;

// What is known of one sequence number that was used.
struct SubmissionRecord {
  enum class State { kRunning, kFinished, kAnswerDropped };
  State state = State::kRunning;
  // Set in state kFinished.
  std::string answer_body;
  int answer_status = 0;
  // Set in states kFinished and kAnswerDropped.
  Verdict verdict = Verdict::kMayHaveRun;
  FinishOrder order = 0;
};

struct Session {
  std::string team;
  TimePoint last_used;
  SequenceNumber greatest = 0;
  // Numbers up to this one are never started. It only grows.
  SequenceNumber watermark = 0;
  std::map<SequenceNumber, SubmissionRecord> records;
  std::size_t running = 0;
};

// What one team occupies of the table.
struct TeamUsage {
  std::size_t sessions = 0;
  std::size_t answer_bytes = 0;
  std::set<FinishOrder> answers;   // Finished numbers with a stored answer.
  std::set<FinishOrder> finished;  // All finished numbers.
};

struct SessionTable {
  SessionLimits limits;
  Incarnation incarnation = 0;  // Of sessions that this table opens.
  std::map<SessionKey, Session> sessions;
  std::set<std::pair<TimePoint, SessionKey>> by_last_use;
  std::unordered_map<std::string, TeamUsage> teams;
  // Finished numbers, oldest first; `answers` holds those with an answer.
  std::map<FinishOrder, std::pair<SessionKey, SequenceNumber>> finished;
  std::set<FinishOrder> answers;
  // Processes whose sessions were imported.
  std::set<Incarnation> imported_incarnations;
  std::uint64_t next_counter = 1;
  FinishOrder next_order = 1;
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

// One finished number of an exported session.
struct ExportedSubmission {
  SequenceNumber sequence = 0;
  Verdict verdict = Verdict::kMayHaveRun;
  std::optional<StoredAnswer> answer;  // Absent if it was dropped.
};

// A session as a stopping process hands it to its successor.
struct ExportedSession {
  SessionKey key;
  std::string team;
  std::chrono::milliseconds idle{0};  // Time since the last use.
  SequenceNumber greatest = 0;
  SequenceNumber watermark = 0;
  std::vector<ExportedSubmission> submissions;
};

// Opens a session; fails as not run when the table or the team's part of it is
// full of sessions in use. Thread safety of all functions here: one thread at a
// time.
Result<SessionKey> OpenSession(SessionTable* table, std::string team,
                               TimePoint now);

// Decides about a submission. After StartJob the number is recorded as running
// and the caller must call FinishSubmission exactly once.
SubmissionDecision AdmitSubmission(SessionTable* table, const SessionKey& key,
                                   SequenceNumber sequence, TimePoint now);

// Says whether AdmitSubmission would return StartJob. Changes nothing.
bool WouldStart(const SessionTable& table, const SessionKey& key,
                SequenceNumber sequence, TimePoint now);

// Stores the answer of a running submission; drops the oldest answers, and then
// the oldest finished numbers, beyond the limits.
// Precondition: AdmitSubmission returned StartJob for it.
void FinishSubmission(SessionTable* table, const SessionKey& key,
                      SequenceNumber sequence, const JobAnswer& answer,
                      const std::string& body, TimePoint now);

// Forgets sessions that were idle for too long and have no running job.
void ExpireSessions(SessionTable* table, TimePoint now);

// Returns all sessions. A number that is still running is exported as
// may_have_run without an answer. Precondition: this table starts no job
// afterwards.
std::vector<ExportedSession> ExportSessions(const SessionTable& table,
                                            TimePoint now);

// Adds sessions of another process and returns how many were added. A session
// that is already present is left as it is, so a repeated import is harmless;
// one beyond the limits is left out and will be answered as session_unknown.
std::size_t ImportSessions(SessionTable* table,
                           std::vector<ExportedSession> sessions,
                           TimePoint now);

// Says whether this table answers for sessions of `incarnation`.
bool ServesIncarnation(const SessionTable& table, Incarnation incarnation);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_SESSION_TABLE_H_
