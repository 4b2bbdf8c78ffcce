#include "sequoiapath/protocol/verdict.h"

#include <array>
#include <cstddef>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

template <typename Enum, std::size_t size>
using NameTable = std::array<std::pair<Enum, std::string_view>, size>;

constexpr NameTable<Verdict, 3> kVerdictNames{{
    {Verdict::kNotRun, "not_run"},
    {Verdict::kMayHaveRun, "may_have_run"},
    {Verdict::kRan, "ran"},
}};

constexpr NameTable<Reason, 23> kReasonNames{{
    {Reason::kAnswerDropped, "answer_dropped"},
    {Reason::kCancelled, "cancelled"},
    {Reason::kConflict, "conflict"},
    {Reason::kDeadlineExceeded, "deadline_exceeded"},
    {Reason::kInternal, "internal"},
    {Reason::kInvalidRequest, "invalid_request"},
    {Reason::kNeverFits, "never_fits"},
    {Reason::kNoConfiguration, "no_configuration"},
    {Reason::kNoWorker, "no_worker"},
    {Reason::kOverloaded, "overloaded"},
    {Reason::kOwnerLost, "owner_lost"},
    {Reason::kOwnerUnreachable, "owner_unreachable"},
    {Reason::kQuotaExceeded, "quota_exceeded"},
    {Reason::kSequenceTooOld, "sequence_too_old"},
    {Reason::kSessionRequired, "session_required"},
    {Reason::kSessionUnknown, "session_unknown"},
    {Reason::kStopping, "stopping"},
    {Reason::kStoreUnavailable, "store_unavailable"},
    {Reason::kUnauthorized, "unauthorized"},
    {Reason::kUnknownService, "unknown_service"},
    {Reason::kUnknownTeam, "unknown_team"},
    {Reason::kWorkerFailed, "worker_failed"},
    {Reason::kWorkerSilent, "worker_silent"},
}};

constexpr NameTable<RetryAdvice, 4> kRetryAdviceNames{{
    {RetryAdvice::kSameSequence, "same_sequence"},
    {RetryAdvice::kNewSequence, "new_sequence"},
    {RetryAdvice::kNewSession, "new_session"},
    {RetryAdvice::kNever, "never"},
}};

template <typename Table, typename Enum>
std::string_view NameOf(const Table& table, Enum value) {
  for (const auto& [candidate, name] : table) {
    if (candidate == value) return name;
  }
  return "unknown";
}

template <typename Enum, std::size_t size>
std::optional<Enum> ValueOf(const NameTable<Enum, size>& table,
                            std::string_view text) {
  for (const auto& [value, name] : table) {
    if (name == text) return value;
  }
  return std::nullopt;
}

}  // namespace
}  // namespace internal

std::string_view ToString(Verdict verdict) {
  return internal::NameOf(internal::kVerdictNames, verdict);
}

std::string_view ToString(Reason reason) {
  return internal::NameOf(internal::kReasonNames, reason);
}

std::string_view ToString(RetryAdvice advice) {
  return internal::NameOf(internal::kRetryAdviceNames, advice);
}

std::optional<Verdict> ParseVerdict(std::string_view text) {
  return internal::ValueOf(internal::kVerdictNames, text);
}

std::optional<Reason> ParseReason(std::string_view text) {
  return internal::ValueOf(internal::kReasonNames, text);
}

std::optional<RetryAdvice> ParseRetryAdvice(std::string_view text) {
  return internal::ValueOf(internal::kRetryAdviceNames, text);
}

int HttpStatus(const Failure& failure) {
  switch (failure.reason) {
    case Reason::kUnauthorized:
      return 401;
    case Reason::kAnswerDropped:
    case Reason::kCancelled:
    case Reason::kConflict:
    case Reason::kSequenceTooOld:
    case Reason::kSessionRequired:
    case Reason::kSessionUnknown:
      return 409;
    case Reason::kInvalidRequest:
      return 400;
    case Reason::kNeverFits:
    case Reason::kUnknownService:
    case Reason::kUnknownTeam:
      return 422;
    case Reason::kOverloaded:
    case Reason::kQuotaExceeded:
      return 429;
    case Reason::kInternal:
      return 500;
    case Reason::kOwnerLost:
    case Reason::kOwnerUnreachable:
    case Reason::kWorkerFailed:
    case Reason::kWorkerSilent:
      return 502;
    case Reason::kNoConfiguration:
    case Reason::kNoWorker:
    case Reason::kStopping:
    case Reason::kStoreUnavailable:
      return 503;
    case Reason::kDeadlineExceeded:
      return 504;
  }
  return 500;
}

}  // namespace sequoiapath
