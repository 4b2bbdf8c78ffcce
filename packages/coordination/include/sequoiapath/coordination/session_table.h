// Defines SessionTable, which decides for each submission whether to start a
// job, join a running job, return a stored answer or refuse the submission.
// Each sequence number of a session starts at most one job.

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

// Greater sequence numbers are refused, because JSON clients that store numbers
// as doubles cannot represent all greater integers.
constexpr SequenceNumber kMaxSequenceNumber = (SequenceNumber{1} << 53) - 1;

// Identifies a session by the process that opened it and a counter that is
// unique within that process.
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
  // A sequence number is refused if it is lower than the greatest one of the
  // session by at least this value, unless its job is still running.
  std::uint64_t window = 1024;
  Duration idle_expiry = std::chrono::minutes(15);
  std::size_t max_sessions = 100'000;
  std::size_t max_sessions_per_team = 25'000;
  // Maximum number of running submissions per session. Further ones are refused
  // with verdict not_run.
  std::size_t max_running_per_session = 256;
  std::size_t max_stored_answer_bytes = 32 << 20;
  std::size_t max_stored_answer_bytes_per_team = 16 << 20;
  // Maximum number of finished sequence numbers that are kept; each takes about
  // 250 bytes. Beyond the limit, the watermark of the session that holds the
  // oldest one is raised to that number.
  std::size_t max_finished_numbers = 100'000;
  std::size_t max_finished_numbers_per_team = 50'000;
};

// Position of a submission in the order of completion; the lowest value
// finished first.
using FinishOrder = std::uint64_t;

// State of a sequence number for which a job was started.
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
  SequenceNumber greatest = 0;  // Greatest sequence number that was started.
  // Sequence numbers up to and including this one are never started. The value
  // never decreases.
  SequenceNumber watermark = 0;
  std::map<SequenceNumber, SubmissionRecord> records;
  std::size_t running = 0;  // Number of running submissions.
};

// Resources of the table that one team uses.
struct TeamUsage {
  std::size_t sessions = 0;
  std::size_t answer_bytes = 0;
  std::set<FinishOrder> answers;   // Finished submissions with stored answers.
  std::set<FinishOrder> finished;  // All finished submissions.
};

struct SessionTable {
  SessionLimits limits;
  // Identifies this process in the keys of the sessions that it opens.
  Incarnation incarnation = 0;
  std::map<SessionKey, Session> sessions;
  std::set<std::pair<TimePoint, SessionKey>> by_last_use;
  std::unordered_map<std::string, TeamUsage> teams;
  // Finished submissions, oldest first; `answers` contains those whose answer
  // is stored.
  std::map<FinishOrder, std::pair<SessionKey, SequenceNumber>> finished;
  std::set<FinishOrder> answers;
  // Incarnations of the processes whose sessions were imported.
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

// One used sequence number of an exported session.
struct ExportedSubmission {
  SequenceNumber sequence = 0;
  Verdict verdict = Verdict::kMayHaveRun;
  std::optional<StoredAnswer> answer;  // Absent if no answer is stored.
};

// The state of a session that a stopping process transfers to its successor.
struct ExportedSession {
  SessionKey key;
  std::string team;
  std::chrono::milliseconds idle{0};  // Time since the last use.
  SequenceNumber greatest = 0;
  SequenceNumber watermark = 0;
  std::vector<ExportedSubmission> submissions;
};

// Opens a session after removing expired ones. Fails with verdict not_run if
// the table or the team has reached its maximum number of sessions. Thread
// safety of all functions here: one thread at a time.
Result<SessionKey> OpenSession(SessionTable* table, std::string team,
                               TimePoint now);

// Decides how to handle a submission. If it returns StartJob, the sequence
// number is recorded as running and FinishSubmission must be called exactly
// once.
SubmissionDecision AdmitSubmission(SessionTable* table, const SessionKey& key,
                                   SequenceNumber sequence, TimePoint now);

// Returns whether AdmitSubmission would return StartJob.
bool WouldStart(const SessionTable& table, const SessionKey& key,
                SequenceNumber sequence, TimePoint now);

// Stores the answer of a running submission. Beyond the limits, drops the
// oldest answers and then the oldest finished sequence numbers.
// Precondition: AdmitSubmission returned StartJob for the submission.
void FinishSubmission(SessionTable* table, const SessionKey& key,
                      SequenceNumber sequence, const JobAnswer& answer,
                      const std::string& body, TimePoint now);

// Removes sessions that have no running job and were unused for at least
// `limits.idle_expiry`.
void ExpireSessions(SessionTable* table, TimePoint now);

// Returns all sessions that have not expired. A running submission is exported
// with verdict may_have_run and no answer. Precondition: this table starts no
// job afterwards.
std::vector<ExportedSession> ExportSessions(const SessionTable& table,
                                            TimePoint now);

// Adds sessions of another process and returns the number of sessions added.
// Importing is idempotent: a session that is already present stays unchanged. A
// session beyond the limits is skipped; later submissions under it are refused
// with reason session_unknown.
std::size_t ImportSessions(SessionTable* table,
                           std::vector<ExportedSession> sessions,
                           TimePoint now);

// Returns whether this table decides about the sessions that the process
// `incarnation` opened: its own sessions and those of imported processes.
bool ServesIncarnation(const SessionTable& table, Incarnation incarnation);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_SESSION_TABLE_H_
