#include "sequoiapath/coordination/session_table.h"

#include <fmt/format.h>

#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

Failure Refuse(Verdict verdict, Reason reason, RetryAdvice retry,
               std::string detail) {
  return {verdict, reason, retry, std::nullopt, std::move(detail)};
}

Failure SessionUnknown() {
  return Refuse(Verdict::kMayHaveRun, Reason::kSessionUnknown,
                RetryAdvice::kNewSession,
                "the session has expired; a submission under it may have run");
}

SequenceNumber Watermark(const SessionTable& table, const Session& session) {
  return session.greatest > table.limits.window
             ? session.greatest - table.limits.window
             : 0;
}

void DropAnswer(SessionTable* table, SubmissionRecord* record) {
  if (record->state != SubmissionRecord::State::kFinished) return;
  table->stored_answer_bytes -= record->answer_body.size();
  record->answer_body.clear();
  record->answer_body.shrink_to_fit();
  record->state = SubmissionRecord::State::kAnswerDropped;
}

// Forgets finished numbers at or below the watermark.
void TrimWindow(SessionTable* table, Session* session) {
  const SequenceNumber watermark = Watermark(*table, *session);
  auto it = session->records.begin();
  while (it != session->records.end() && it->first <= watermark) {
    if (it->second.state == SubmissionRecord::State::kRunning) {
      ++it;
      continue;
    }
    DropAnswer(table, &it->second);
    it = session->records.erase(it);
  }
}

SubmissionDecision DecideKnown(const SubmissionRecord& record) {
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
                "the submission ended, but its answer is no longer kept");
}

Verdict FinalVerdict(const JobAnswer& answer) {
  const auto* failure = std::get_if<Failure>(&answer.outcome);
  return failure == nullptr ? Verdict::kRan : failure->verdict;
}

}  // namespace
}  // namespace internal

Result<std::uint64_t> OpenSession(SessionTable* table, std::string team,
                                  TimePoint now) {
  if (table->sessions.size() >= table->limits.max_sessions) {
    ExpireSessions(table, now);
  }
  if (table->sessions.size() >= table->limits.max_sessions) {
    return internal::Refuse(Verdict::kNotRun, Reason::kOverloaded,
                            RetryAdvice::kNewSession,
                            "too many sessions are open");
  }
  const std::uint64_t counter = table->next_counter++;
  Session& session = table->sessions[counter];
  session.team = std::move(team);
  session.last_used = now;
  return counter;
}

SubmissionDecision AdmitSubmission(SessionTable* table, std::uint64_t counter,
                                   SequenceNumber sequence, TimePoint now) {
  const auto it = table->sessions.find(counter);
  if (it == table->sessions.end()) return internal::SessionUnknown();
  Session& session = it->second;
  if (session.running == 0 &&
      now - session.last_used >= table->limits.idle_expiry) {
    return internal::SessionUnknown();
  }
  session.last_used = now;
  const auto record = session.records.find(sequence);
  if (record != session.records.end()) {
    return internal::DecideKnown(record->second);
  }
  if (sequence <= internal::Watermark(*table, session)) {
    return internal::Refuse(
        Verdict::kMayHaveRun, Reason::kSequenceTooOld,
        RetryAdvice::kNewSequence,
        fmt::format("sequence number {} is below the window of this session",
                    sequence));
  }
  session.records.emplace(sequence, SubmissionRecord{});
  ++session.running;
  session.greatest = std::max(session.greatest, sequence);
  internal::TrimWindow(table, &session);
  return StartJob{session.team};
}

void FinishSubmission(SessionTable* table, std::uint64_t counter,
                      SequenceNumber sequence, const JobAnswer& answer,
                      const std::string& body, TimePoint now) {
  Session& session = table->sessions.at(counter);
  SubmissionRecord& record = session.records.at(sequence);
  record.verdict = internal::FinalVerdict(answer);
  record.answer_status = HttpStatus(answer);
  record.state = SubmissionRecord::State::kFinished;
  record.answer_body = body;
  table->stored_answer_bytes += body.size();
  if (table->stored_answer_bytes > table->limits.max_stored_answer_bytes) {
    internal::DropAnswer(table, &record);
  }
  session.last_used = now;
  --session.running;
  internal::TrimWindow(table, &session);
}

void ExpireSessions(SessionTable* table, TimePoint now) {
  for (auto it = table->sessions.begin(); it != table->sessions.end();) {
    Session& session = it->second;
    const bool expired = session.running == 0 &&
                         now - session.last_used >= table->limits.idle_expiry;
    if (!expired) {
      ++it;
      continue;
    }
    for (auto& [sequence, record] : session.records) {
      internal::DropAnswer(table, &record);
    }
    it = table->sessions.erase(it);
  }
}

}  // namespace sequoiapath
