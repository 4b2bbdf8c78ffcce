#include "sequoiapath/state/session_handover.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr auto kMessageTimeout = std::chrono::seconds(2);
constexpr auto kRetryInterval = std::chrono::milliseconds(100);
// Upper bound of a record's encoded size without its answer.
constexpr std::size_t kRecordBytes = 64;

HandedOverRecord ToRecord(ExportedSubmission submission) {
  HandedOverRecord record;
  record.sequence = submission.sequence;
  record.verdict = submission.verdict;
  record.state = HandedOverState::kAnswerDropped;
  if (submission.answer) {
    record.state = HandedOverState::kFinished;
    record.answer_status = submission.answer->status;
    record.answer_body = std::move(submission.answer->body);
  }
  return record;
}

HandedOverSession ToMessage(ExportedSession session) {
  HandedOverSession message;
  message.incarnation = session.key.incarnation;
  message.counter = session.key.counter;
  message.team = std::move(session.team);
  message.idle = session.idle;
  message.greatest_sequence = session.greatest;
  message.watermark = session.watermark;
  for (ExportedSubmission& submission : session.submissions) {
    message.records.push_back(ToRecord(std::move(submission)));
  }
  return message;
}

ExportedSession FromMessage(const HandedOverSession& message) {
  ExportedSession session;
  session.key = {message.incarnation, message.counter};
  session.team = message.team;
  session.idle = message.idle;
  session.greatest = message.greatest_sequence;
  session.watermark = message.watermark;
  for (const HandedOverRecord& record : message.records) {
    ExportedSubmission& submission = session.submissions.emplace_back();
    submission.sequence = record.sequence;
    submission.verdict = record.verdict;
    if (record.state == HandedOverState::kFinished) {
      submission.answer =
          StoredAnswer{record.answer_status, record.answer_body};
    }
  }
  return session;
}

std::size_t EstimateEncodedSize(const HandedOverSession& session) {
  std::size_t size = kRecordBytes + session.team.size();
  for (const HandedOverRecord& record : session.records) {
    size += kRecordBytes + record.answer_body.size();
  }
  return size;
}

}  // namespace
}  // namespace internal

std::vector<Handover> SplitHandover(const MemberIdentity& sender,
                                    std::vector<ExportedSession> sessions,
                                    const HandoverLimits& limits) {
  std::vector<Handover> messages;
  std::size_t bytes = 0;
  for (ExportedSession& session : sessions) {
    HandedOverSession next = internal::ToMessage(std::move(session));
    const std::size_t size = internal::EstimateEncodedSize(next);
    if (messages.empty() || bytes + size > limits.max_bytes ||
        messages.back().sessions.size() >= limits.max_sessions) {
      messages.push_back({sender, {}, /*last=*/false});
      bytes = 0;
    }
    bytes += size;
    messages.back().sessions.push_back(std::move(next));
  }
  if (!messages.empty()) messages.back().last = true;
  return messages;
}

SessionHandover::SessionHandover(EventLoop* loop, PeerService* peers,
                                 Membership* membership, CallerApi* caller_api)
    : loop(loop), peers(peers), membership(membership), caller_api(caller_api) {
  peers->Handle<Handover>([this](const Handover& handover,
                                 const PeerReplier<HandoverReply>& reply) {
    reply(this->Accept(handover));
  });
}

Result<HandoverReply> SessionHandover::Accept(const Handover& handover) {
  if (this->caller_api->IsStopping()) {
    return Failure{Verdict::kNotRun, Reason::kStopping, RetryAdvice::kNever,
                   std::nullopt, "this daemon is stopping"};
  }
  std::vector<ExportedSession> sessions;
  sessions.reserve(handover.sessions.size());
  for (const HandedOverSession& session : handover.sessions) {
    sessions.push_back(internal::FromMessage(session));
  }
  const std::size_t added =
      this->caller_api->ImportSessions(std::move(sessions));
  if (handover.last) {
    this->membership->RecordSuccession(handover.sender.incarnation,
                                       this->membership->self());
  }
  Log(LogLevel::kInfo, "sessions_taken_over",
      {{"from", handover.sender.vm}, {"sessions", added}});
  return HandoverReply{this->membership->self(), added};
}

void SessionHandover::Start() {
  if (this->started) return;
  this->started = true;
  this->caller_api->BeginHandover();
  this->messages = SplitHandover(this->membership->self(),
                                 this->caller_api->ExportSessions());
  this->all_accepted = this->messages.empty();
  if (!this->all_accepted) this->SendNextMessage();
}

std::optional<MemberIdentity> SessionHandover::ChooseSuccessor() const {
  std::optional<MemberIdentity> other;
  for (const auto& [vm, member] : this->membership->view().members) {
    if (member.state != MemberState::kLive || this->refused.contains(vm)) {
      continue;
    }
    if (member.identity.data_centre == this->membership->self().data_centre) {
      return member.identity;
    }
    if (!other) other = member.identity;
  }
  return other;
}

void SessionHandover::SendNextMessage() {
  if (!this->successor) this->successor = this->ChooseSuccessor();
  if (!this->successor) {
    Log(LogLevel::kWarning, "no_successor",
        {{"messages", this->messages.size()}});
    this->failed = true;
    return;
  }
  this->peers->Send<Handover>(
      this->successor->peer_endpoint, this->messages[this->next_message],
      internal::kMessageTimeout,
      [this](const Result<HandoverReply>& result) { this->OnReply(result); });
}

void SessionHandover::OnReply(const Result<HandoverReply>& result) {
  const auto* reply = std::get_if<HandoverReply>(&result);
  if (reply != nullptr && reply->successor == *this->successor) {
    if (++this->next_message < this->messages.size()) {
      return this->SendNextMessage();
    }
    this->membership->RecordSuccession(this->membership->self().incarnation,
                                       *this->successor);
    this->all_accepted = true;
    return;
  }
  if (reply != nullptr) {
    // A new process of the VM answered. The sessions that its predecessor
    // imported are lost, so the handover starts again.
    this->successor = reply->successor;
    this->next_message = 0;
  } else if (GetFailure(result)->verdict != Verdict::kNotRun) {
    this->may_have_been_accepted = true;
  } else if (this->next_message == 0 && !this->may_have_been_accepted) {
    this->refused.insert(this->successor->vm);
    this->successor.reset();
  }
  // Sending a message again is safe, because the successor keeps sessions that
  // it already has unchanged.
  this->loop->Schedule(internal::kRetryInterval,
                       [this] { this->SendNextMessage(); });
}

bool SessionHandover::IsDone() const {
  if (!this->started) return false;
  if (this->failed || this->messages.empty()) return true;
  if (!this->all_accepted) return false;
  const MemberView& view = this->membership->view();
  const auto record = view.succession.find(view.self.incarnation);
  if (record == view.succession.end()) return true;
  return std::all_of(
      view.members.begin(), view.members.end(), [&](const auto& entry) {
        const Member& member = entry.second;
        return member.state != MemberState::kLive ||
               member.identity.data_centre != view.self.data_centre ||
               member.acknowledged_records >= record->second.number;
      });
}

}  // namespace sequoiapath
