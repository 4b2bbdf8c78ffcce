// Tests at-most-once starts (G1) with random submissions, completions, expired
// sessions, dropped answers and transfers to a successor. Fails if a sequence
// number of a session starts twice or if a submission gets the stored answer of
// another submission.

#include "sequoiapath/coordination/session_table.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace sequoiapath {
namespace {

using Submission = std::pair<SessionKey, SequenceNumber>;

// The table under test and the decisions that it has returned.
struct Model {
  std::mt19937_64 random;
  SessionTable table;
  TimePoint now{std::chrono::hours(1)};
  std::vector<SessionKey> sessions;
  std::map<SessionKey, SequenceNumber> next;
  std::set<Submission> started;
  std::set<Submission> running;
  std::map<Submission, std::pair<std::string, Verdict>> ended;
  std::map<std::string, std::size_t> decision_counts;  // By kind of decision.
};

// Returns limits so small that each limit is reached within a few operations.
SessionLimits SmallLimits() {
  return {.window = 16,
          .idle_expiry = std::chrono::seconds(40),
          .max_sessions = 12,
          .max_sessions_per_team = 8,
          .max_running_per_session = 3,
          .max_stored_answer_bytes = 1200,
          .max_stored_answer_bytes_per_team = 800,
          .max_finished_numbers = 60,
          .max_finished_numbers_per_team = 40};
}

std::uint64_t Draw(Model* model, std::uint64_t bound) {
  return std::uniform_int_distribution<std::uint64_t>(0,
                                                      bound - 1)(model->random);
}

void Open(Model* model) {
  const auto opened = OpenSession(
      &model->table, Draw(model, 2) == 0 ? "clerks" : "drivers", model->now);
  if (const Failure* failure = GetFailure(opened)) {
    EXPECT_EQ(failure->verdict, Verdict::kNotRun);
    ++model->decision_counts["session_refused"];
    return;
  }
  model->sessions.push_back(std::get<SessionKey>(opened));
  model->next[model->sessions.back()] = 1;
}

// Returns the next sequence number in 40 % of the calls, a recent one in 58 %
// and one that skips up to 99 numbers in 2 %.
SequenceNumber DrawSequence(Model* model, const SessionKey& key) {
  SequenceNumber& next = model->next[key];
  const std::uint64_t kind = Draw(model, 100);
  if (kind < 40) return next++;
  if (kind < 98) return next - std::min(next - 1, Draw(model, 40));
  next += Draw(model, 100);
  return next++;
}

void CheckFailure(Model* model, const Submission& submission,
                  const Failure& failure) {
  ++model->decision_counts[std::string(ToString(failure.reason))];
  if (failure.verdict == Verdict::kNotRun) {
    const auto end = model->ended.find(submission);
    EXPECT_TRUE(
        !model->started.contains(submission) ||
        (end != model->ended.end() && end->second.second == Verdict::kNotRun))
        << "a started number was reported as not run";
  }
  if (failure.reason != Reason::kAnswerDropped) return;
  const auto end = model->ended.find(submission);
  EXPECT_EQ(failure.verdict, end == model->ended.end() ? Verdict::kMayHaveRun
                                                       : end->second.second);
}

void Submit(Model* model) {
  if (model->sessions.empty()) return;
  const SessionKey key = model->sessions[Draw(model, model->sessions.size())];
  const Submission submission{key, DrawSequence(model, key)};
  const auto decision =
      AdmitSubmission(&model->table, key, submission.second, model->now);
  if (std::holds_alternative<StartJob>(decision)) {
    ++model->decision_counts["start"];
    EXPECT_TRUE(model->started.insert(submission).second)
        << "number " << submission.second << " of session " << key.counter
        << " started twice";
    model->running.insert(submission);
  } else if (std::holds_alternative<JoinRunningJob>(decision)) {
    ++model->decision_counts["join"];
    EXPECT_TRUE(model->running.contains(submission));
  } else if (const auto* stored = std::get_if<StoredAnswer>(&decision)) {
    ++model->decision_counts["stored"];
    ASSERT_TRUE(model->ended.contains(submission));
    EXPECT_EQ(stored->body, model->ended[submission].first);
  } else {
    CheckFailure(model, submission, std::get<Failure>(decision));
  }
}

void FinishOne(Model* model) {
  if (model->running.empty()) return;
  auto it = model->running.begin();
  std::advance(it, Draw(model, model->running.size()));
  const Submission submission = *it;
  model->running.erase(it);
  const auto verdict = static_cast<Verdict>(Draw(model, 3));
  const JobAnswer answer{
      "r",
      Failure{verdict, Reason::kWorkerFailed, RetryAdvice::kNever, {}, ""}};
  std::string body = fmt::format("{:x}/{}/{}/", submission.first.incarnation,
                                 submission.first.counter, submission.second);
  body.resize(body.size() + Draw(model, 120), 'x');
  model->ended[submission] = {body, verdict};
  FinishSubmission(&model->table, submission.first, submission.second, answer,
                   body, model->now);
}

// Moves all sessions to the table of another process, as a graceful shutdown
// does. Imports them twice to check that a repeated import adds nothing.
void TransferSessions(Model* model) {
  SessionTable successor;
  successor.limits = SmallLimits();
  successor.incarnation = model->table.incarnation + 1;
  const auto exported = ExportSessions(model->table, model->now);
  EXPECT_EQ(ImportSessions(&successor, exported, model->now), exported.size());
  EXPECT_EQ(ImportSessions(&successor, exported, model->now), 0U);
  model->table = std::move(successor);
  model->running.clear();
  ++model->decision_counts["hand_over"];
}

void CheckBounds(const SessionTable& table) {
  ASSERT_LE(table.sessions.size(), table.limits.max_sessions);
  ASSERT_LE(table.stored_answer_bytes, table.limits.max_stored_answer_bytes);
  ASSERT_LE(table.finished.size(), table.limits.max_finished_numbers);
  ASSERT_EQ(table.by_last_use.size(), table.sessions.size());
  std::size_t bytes = 0;
  std::size_t finished = 0;
  for (const auto& [team, usage] : table.teams) {
    ASSERT_LE(usage.sessions, table.limits.max_sessions_per_team);
    bytes += usage.answer_bytes;
    finished += usage.finished.size();
  }
  ASSERT_EQ(bytes, table.stored_answer_bytes);
  ASSERT_EQ(finished, table.finished.size());
}

void Step(Model* model) {
  const std::uint64_t kind = Draw(model, 1000);
  if (kind < 30) {
    Open(model);
  } else if (kind < 680) {
    Submit(model);
  } else if (kind < 970) {
    FinishOne(model);
  } else if (kind < 990) {
    model->now += std::chrono::seconds(Draw(model, 15));
    ExpireSessions(&model->table, model->now);
  } else if (kind < 997) {
    TransferSessions(model);
  } else {
    model->now += std::chrono::seconds(Draw(model, 60));
  }
}

class SessionTableFuzz : public testing::TestWithParam<std::uint64_t> {};

TEST_P(SessionTableFuzz, NoNumberStartsTwiceAndAnswersBelongToTheirNumber) {
  constexpr int kSteps = 100'000;
  Model model;
  model.random.seed(GetParam());
  model.table.limits = SmallLimits();
  model.table.incarnation = 100;
  for (int step = 0; step < kSteps && !testing::Test::HasFailure(); ++step) {
    Step(&model);
    CheckBounds(model.table);
  }
  // Each kind of decision must occur; otherwise the run has not tested it.
  for (const char* kind :
       {"start", "join", "stored", "answer_dropped", "sequence_too_old",
        "session_unknown", "session_refused", "overloaded", "hand_over"}) {
    EXPECT_GT(model.decision_counts[kind], 0U) << kind;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, SessionTableFuzz,
                         testing::Values(1, 2, 3, 4, 5, 6, 7, 8));

}  // namespace
}  // namespace sequoiapath
