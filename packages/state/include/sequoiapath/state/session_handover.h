// Defines SessionHandover, which gives the sessions of a stopping daemon to a
// successor, and takes over those of another one.

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

// Limits of one Handover message; a larger session has one of its own.
struct HandoverLimits {
  std::size_t max_bytes = 8u << 20;
  std::size_t max_sessions = 10'000;
};

// Divides sessions into messages, the last of which is marked. Thread-safe.
std::vector<Handover> SplitHandover(const MemberIdentity& sender,
                                    std::vector<ExportedSession> sessions,
                                    const HandoverLimits& limits = {});

// Sessions go to one successor only: once it may have accepted a part, no other
// process is asked, because two processes that answer for a session could each
// start the same number. Thread safety: loop thread only.
class SessionHandover {
 public:
  // Registers the handler for handovers of others. Preconditions: the arguments
  // outlive the object, except that `peers` ends first.
  SessionHandover(EventLoop* loop, PeerService* peers, Membership* membership,
                  CallerApi* caller_api);
  SessionHandover(const SessionHandover&) = delete;
  SessionHandover& operator=(const SessionHandover&) = delete;

  // Starts to hand over this process's sessions; later calls have no effect.
  // Precondition: no job runs and none will be started.
  void Start();

  // Says whether there is nothing to hand over or to hand it to, or the
  // succession is known to the live members of this data centre.
  bool IsDone() const;

 private:
  Result<HandoverReply> Accept(const Handover& handover);
  void SendNext();
  void OnReply(const Result<HandoverReply>& result);
  // Returns the member that is asked next; empty if there is none.
  std::optional<MemberIdentity> ChooseSuccessor() const;

  EventLoop* loop;
  PeerService* peers;
  Membership* membership;
  CallerApi* caller_api;
  std::vector<Handover> messages;
  std::size_t next_message = 0;
  std::optional<MemberIdentity> successor;
  std::set<std::string> refused;  // VMs.
  bool may_be_accepted = false;   // A part with an unknown outcome was sent.
  bool started = false;
  bool sent = false;    // All messages were accepted.
  bool failed = false;  // There is no successor.
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SESSION_HANDOVER_H_
