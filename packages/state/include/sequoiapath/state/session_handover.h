// Defines SessionHandover, which transfers the sessions of a stopping daemon to
// a successor and imports the sessions of other stopping daemons.

#ifndef SEQUOIAPATH_STATE_SESSION_HANDOVER_H_
#define SEQUOIAPATH_STATE_SESSION_HANDOVER_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sequoiapath/coordination/session_table.h"
#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/state/caller_api.h"
#include "sequoiapath/state/membership.h"
#include "sequoiapath/state/peer_service.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// Limits of one Handover message. A session above max_bytes is sent in a
// message of its own.
struct HandoverLimits {
  std::size_t max_bytes = 8u << 20;
  std::size_t max_sessions = 10'000;
};

// Divides sessions into messages and sets `last` on the last one. Thread-safe.
std::vector<Handover> SplitHandover(const MemberIdentity& sender,
                                    std::vector<ExportedSession> sessions,
                                    const HandoverLimits& limits = {});

// Transfers all sessions to one successor. Once a process may have accepted a
// message, no other one is tried, because two processes that serve a session
// could each start a job for the same sequence number. Thread safety: loop
// thread only.
class SessionHandover {
 public:
  // Registers the handler for handovers from other daemons. Preconditions: the
  // arguments outlive the object, except `peers`, which is destroyed first.
  SessionHandover(EventLoop* loop, PeerService* peers, Membership* membership,
                  CallerApi* caller_api);
  SessionHandover(const SessionHandover&) = delete;
  SessionHandover& operator=(const SessionHandover&) = delete;

  // Starts to transfer this process's sessions; later calls have no effect.
  // Precondition: no job is running and none will be started.
  void Start();

  // Returns whether the handover has ended: there was no session or no
  // successor, or all live members of this data centre know the succession.
  bool IsDone() const;

 private:
  Result<HandoverReply> Accept(const Handover& handover);
  void SendNextMessage();
  void OnReply(const Result<HandoverReply>& result);
  // Returns a live member that has not refused, preferably in this data centre;
  // empty if there is none.
  std::optional<MemberIdentity> ChooseSuccessor() const;

  EventLoop* loop;
  PeerService* peers;
  Membership* membership;
  CallerApi* caller_api;
  std::vector<Handover> messages;
  std::size_t next_message = 0;
  std::optional<MemberIdentity> successor;
  std::set<std::string> refused;  // VMs that refused the first message.
  // Whether the successor may have accepted a message, because the outcome of
  // sending it is unknown.
  bool may_have_been_accepted = false;
  bool started = false;
  bool all_accepted = false;  // The successor accepted all messages.
  bool failed = false;        // No live member was left as a successor.
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SESSION_HANDOVER_H_
