#include "sequoiapath/coordination/session_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "sequoiapath/protocol/assert.h"

namespace sequoiapath {
namespace internal {
namespace {

using SessionIterator = std::map<SessionKey, Session>::iterator;

Failure Refuse(Verdict verdict, Reason reason, RetryAdvice retry,
               std::string detail) {
  return {verdict, reason, retry, std::nullopt, std::move(detail)};
}

Failure SessionUnknown() {
  return Refuse(Verdict::kMayHaveRun, Reason::kSessionUnknown,
                RetryAdvice::kNewSession,
                "the session is unknown or has expired; a submission under it "
                "may have run");
}

Failure TooManySessions(std::string detail) {
  return Refuse(Verdict::kNotRun, Reason::kOverloaded, RetryAdvice::kNewSession,
                std::move(detail));
}

bool HasExpired(const SessionTable& table, const Session& session,
                TimePoint now) {
  return session.running == 0 &&
         now - session.last_used >= table.limits.idle_expiry;
}

void Touch(SessionTable* table, const SessionKey& key, Session* session,
           TimePoint now) {
  table->by_last_use.erase({session->last_used, key});
  session->last_used = std::max(session->last_used, now);
  table->by_last_use.emplace(session->last_used, key);
}

TeamUsage& UsageOf(SessionTable* table, const Session& session) {
  const auto it = table->teams.find(session.team);
  SEQUOIAPATH_ASSERT(it != table->teams.end(),
                     "team {} has a session but no usage record", session.team);
  return it->second;
}

void DropAnswer(SessionTable* table, const Session& session,
                SubmissionRecord* record) {
  if (record->state != SubmissionRecord::State::kFinished) return;
  TeamUsage& usage = UsageOf(table, session);
  table->stored_answer_bytes -= record->answer_body.size();
  usage.answer_bytes -= record->answer_body.size();
  table->answers.erase(record->order);
  usage.answers.erase(record->order);
  record->answer_body.clear();
  record->answer_body.shrink_to_fit();
  record->state = SubmissionRecord::State::kAnswerDropped;
}

// Removes finished sequence numbers up to the watermark. Running ones stay, so
// that a resubmission joins the running job.
void TrimWindow(SessionTable* table, Session* session) {
  auto it = session->records.begin();
  while (it != session->records.end() && it->first <= session->watermark) {
    if (it->second.state == SubmissionRecord::State::kRunning) {
      ++it;
      continue;
    }
    DropAnswer(table, *session, &it->second);
    table->finished.erase(it->second.order);
    UsageOf(table, *session).finished.erase(it->second.order);
    it = session->records.erase(it);
  }
}

void RaiseWatermark(SessionTable* table, Session* session,
                    SequenceNumber watermark) {
  session->watermark = std::max(session->watermark, watermark);
  TrimWindow(table, session);
}

// Returns the session and sequence number of the submission that finished at
// position `order`.
std::pair<Session*, SequenceNumber> FindFinished(SessionTable* table,
                                                 FinishOrder order) {
  const auto it = table->finished.find(order);
  SEQUOIAPATH_ASSERT(it != table->finished.end(),
                     "completion order {} is not in the index of finished "
                     "submissions",
                     order);
  const auto session = table->sessions.find(it->second.first);
  SEQUOIAPATH_ASSERT(session != table->sessions.end(),
                     "the session of finished sequence number {} is not in the "
                     "table",
                     it->second.second);
  return {&session->second, it->second.second};
}

void DropAnswerByOrder(SessionTable* table, FinishOrder order) {
  const auto [session, sequence] = FindFinished(table, order);
  DropAnswer(table, *session, &session->records.at(sequence));
}

// Removes the finished sequence number at position `order` by raising the
// watermark of its session. Lower finished numbers of the session are removed
// too, because the watermark is the only remaining record that they were used.
void EvictFinishedNumber(SessionTable* table, FinishOrder order) {
  const auto [session, sequence] = FindFinished(table, order);
  RaiseWatermark(table, session, sequence);
}

void EnforceLimits(SessionTable* table, TeamUsage* usage) {
  const SessionLimits& limits = table->limits;
  while (usage->answer_bytes > limits.max_stored_answer_bytes_per_team) {
    DropAnswerByOrder(table, *usage->answers.begin());
  }
  while (table->stored_answer_bytes > limits.max_stored_answer_bytes) {
    DropAnswerByOrder(table, *table->answers.begin());
  }
  while (usage->finished.size() > limits.max_finished_numbers_per_team) {
    EvictFinishedNumber(table, *usage->finished.begin());
  }
  while (table->finished.size() > limits.max_finished_numbers) {
    EvictFinishedNumber(table, table->finished.begin()->first);
  }
}

// Records that a submission has finished. Without `answer`, its state becomes
// kAnswerDropped.
void RecordCompletion(SessionTable* table, const SessionKey& key,
                      Session* session, SequenceNumber sequence,
                      Verdict verdict, std::optional<StoredAnswer> answer) {
  SubmissionRecord& record = session->records[sequence];
  TeamUsage& usage = UsageOf(table, *session);
  record.verdict = verdict;
  record.order = table->next_order++;
  record.state = SubmissionRecord::State::kAnswerDropped;
  table->finished.emplace(record.order, std::pair{key, sequence});
  usage.finished.insert(record.order);
  if (!answer) return;
  record.state = SubmissionRecord::State::kFinished;
  record.answer_status = answer->status;
  record.answer_body = std::move(answer->body);
  table->stored_answer_bytes += record.answer_body.size();
  usage.answer_bytes += record.answer_body.size();
  table->answers.insert(record.order);
  usage.answers.insert(record.order);
}

void RemoveSession(SessionTable* table, SessionIterator it) {
  Session& session = it->second;
  RaiseWatermark(table, &session, session.greatest);
  SEQUOIAPATH_ASSERT(session.records.empty(),
                     "session {} is being removed, but {} of its sequence "
                     "numbers are running",
                     it->first.counter, session.records.size());
  const auto usage = table->teams.find(session.team);
  if (--usage->second.sessions == 0) table->teams.erase(usage);
  table->by_last_use.erase({session.last_used, it->first});
  table->sessions.erase(it);
}

// Returns a failure if another session of `team` would exceed a limit.
std::optional<Failure> CheckCapacity(const SessionTable& table,
                                     const std::string& team) {
  const auto usage = table.teams.find(team);
  if (usage != table.teams.end() &&
      usage->second.sessions >= table.limits.max_sessions_per_team) {
    return TooManySessions(fmt::format(
        "team {} has {} open sessions; the maximum is {}", team,
        usage->second.sessions, table.limits.max_sessions_per_team));
  }
  if (table.sessions.size() >= table.limits.max_sessions) {
    return TooManySessions(
        fmt::format("{} sessions are open; the maximum is {}",
                    table.sessions.size(), table.limits.max_sessions));
  }
  return std::nullopt;
}

Session& AddSession(SessionTable* table, const SessionKey& key,
                    std::string team, TimePoint last_used) {
  ++table->teams[team].sessions;
  Session& session = table->sessions[key];
  session.team = std::move(team);
  session.last_used = last_used;
  table->by_last_use.emplace(last_used, key);
  return session;
}

SubmissionDecision DecideForRecord(const SubmissionRecord& record) {
  switch (record.state) {
    case SubmissionRecord::State::kRunning:
      return JoinRunningJob{};
    case SubmissionRecord::State::kFinished:
      return StoredAnswer{record.answer_status, record.answer_body};
    case SubmissionRecord::State::kAnswerDropped:
      break;
  }
  return Refuse(record.verdict, Reason::kAnswerDropped,
                RetryAdvice::kNewSequence,
                "the submission has finished, but its answer is no longer "
                "stored");
}

// Decides about a submission without changing the table. Returns StartJob only
// for a sequence number that was not used before.
SubmissionDecision Decide(const SessionTable& table, const SessionKey& key,
                          SequenceNumber sequence, TimePoint now) {
  const auto it = table.sessions.find(key);
  if (it == table.sessions.end() || HasExpired(table, it->second, now)) {
    return SessionUnknown();
  }
  const Session& session = it->second;
  const auto record = session.records.find(sequence);
  if (record != session.records.end()) return DecideForRecord(record->second);
  if (sequence == 0 || sequence > kMaxSequenceNumber) {
    return Refuse(Verdict::kNotRun, Reason::kInvalidRequest,
                  RetryAdvice::kNewSequence,
                  fmt::format("sequence number {} is not within 1..{}",
                              sequence, kMaxSequenceNumber));
  }
  if (sequence <= session.watermark) {
    return Refuse(
        Verdict::kMayHaveRun, Reason::kSequenceTooOld,
        RetryAdvice::kNewSequence,
        fmt::format("sequence number {} is below the window of this session",
                    sequence));
  }
  if (session.running >= table.limits.max_running_per_session) {
    return Refuse(
        Verdict::kNotRun, Reason::kOverloaded, RetryAdvice::kSameSequence,
        fmt::format("{} submissions of this session are running; the "
                    "maximum is {}",
                    session.running, table.limits.max_running_per_session));
  }
  return StartJob{session.team};
}

Verdict FinalVerdict(const JobAnswer& answer) {
  const auto* failure = std::get_if<Failure>(&answer.outcome);
  return failure == nullptr ? Verdict::kRan : failure->verdict;
}

ExportedSession Export(const SessionKey& key, const Session& session,
                       TimePoint now) {
  // A session with a running job is in use, so its idle time is exported as
  // zero instead of the time since the last submission.
  const Duration idle =
      session.running > 0 ? Duration::zero() : now - session.last_used;
  ExportedSession exported{
      key,
      session.team,
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::max(idle, Duration::zero())),
      session.greatest,
      session.watermark,
      {}};
  for (const auto& [sequence, record] : session.records) {
    ExportedSubmission submission{sequence, record.verdict, std::nullopt};
    if (record.state == SubmissionRecord::State::kRunning) {
      submission.verdict = Verdict::kMayHaveRun;
    } else if (record.state == SubmissionRecord::State::kFinished) {
      submission.answer =
          StoredAnswer{record.answer_status, record.answer_body};
    }
    exported.submissions.push_back(std::move(submission));
  }
  return exported;
}

void Import(SessionTable* table, ExportedSession exported, TimePoint now) {
  const SessionKey key = exported.key;
  Session& session = AddSession(table, key, exported.team, now - exported.idle);
  session.greatest = exported.greatest;
  session.watermark = exported.watermark;
  for (ExportedSubmission& submission : exported.submissions) {
    session.greatest = std::max(session.greatest, submission.sequence);
    RecordCompletion(table, key, &session, submission.sequence,
                     submission.verdict, std::move(submission.answer));
  }
  EnforceLimits(table, &UsageOf(table, session));
}

}  // namespace
}  // namespace internal

Result<SessionKey> OpenSession(SessionTable* table, std::string team,
                               TimePoint now) {
  ExpireSessions(table, now);
  if (auto failure = internal::CheckCapacity(*table, team)) return *failure;
  const SessionKey key{table->incarnation, table->next_counter++};
  internal::AddSession(table, key, std::move(team), now);
  return key;
}

bool WouldStart(const SessionTable& table, const SessionKey& key,
                SequenceNumber sequence, TimePoint now) {
  return std::holds_alternative<StartJob>(
      internal::Decide(table, key, sequence, now));
}

SubmissionDecision AdmitSubmission(SessionTable* table, const SessionKey& key,
                                   SequenceNumber sequence, TimePoint now) {
  SubmissionDecision decision = internal::Decide(*table, key, sequence, now);
  const auto it = table->sessions.find(key);
  if (it == table->sessions.end() ||
      internal::HasExpired(*table, it->second, now)) {
    return decision;
  }
  Session& session = it->second;
  internal::Touch(table, key, &session, now);
  if (!std::holds_alternative<StartJob>(decision)) return decision;
  session.records.emplace(sequence, SubmissionRecord{});
  ++session.running;
  session.greatest = std::max(session.greatest, sequence);
  if (session.greatest > table->limits.window) {
    internal::RaiseWatermark(table, &session,
                             session.greatest - table->limits.window);
  }
  return decision;
}

void FinishSubmission(SessionTable* table, const SessionKey& key,
                      SequenceNumber sequence, const JobAnswer& answer,
                      const std::string& body, TimePoint now) {
  const auto it = table->sessions.find(key);
  SEQUOIAPATH_ASSERT(it != table->sessions.end(),
                     "sequence number {} of session {} finished, but the "
                     "session is not in the table",
                     sequence, key.counter);
  Session& session = it->second;
  const auto record = session.records.find(sequence);
  SEQUOIAPATH_ASSERT(
      record != session.records.end() &&
          record->second.state == SubmissionRecord::State::kRunning,
      "sequence number {} of session {} finished, but is not running", sequence,
      key.counter);
  internal::RecordCompletion(table, key, &session, sequence,
                             internal::FinalVerdict(answer),
                             StoredAnswer{HttpStatus(answer), body});
  --session.running;
  internal::Touch(table, key, &session, now);
  internal::TrimWindow(table, &session);
  internal::EnforceLimits(table, &internal::UsageOf(table, session));
}

void ExpireSessions(SessionTable* table, TimePoint now) {
  while (!table->by_last_use.empty()) {
    const auto [last_used, key] = *table->by_last_use.begin();
    if (now - last_used < table->limits.idle_expiry) return;
    const auto it = table->sessions.find(key);
    if (it->second.running > 0) {
      internal::Touch(table, key, &it->second, now);
    } else {
      internal::RemoveSession(table, it);
    }
  }
}

std::vector<ExportedSession> ExportSessions(const SessionTable& table,
                                            TimePoint now) {
  std::vector<ExportedSession> exported;
  for (const auto& [key, session] : table.sessions) {
    if (internal::HasExpired(table, session, now)) continue;
    exported.push_back(internal::Export(key, session, now));
  }
  return exported;
}

std::size_t ImportSessions(SessionTable* table,
                           std::vector<ExportedSession> sessions,
                           TimePoint now) {
  ExpireSessions(table, now);
  std::size_t added = 0;
  for (ExportedSession& session : sessions) {
    table->imported_incarnations.insert(session.key.incarnation);
    if (table->sessions.contains(session.key) ||
        internal::CheckCapacity(*table, session.team)) {
      continue;
    }
    internal::Import(table, std::move(session), now);
    ++added;
  }
  return added;
}

bool ServesIncarnation(const SessionTable& table, Incarnation incarnation) {
  return incarnation == table.incarnation ||
         table.imported_incarnations.contains(incarnation);
}

}  // namespace sequoiapath
