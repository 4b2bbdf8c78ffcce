// Defines ShareExchange, which divides the worker slots and team quotas of a
// data centre among its daemons: it connects the job runner's ledger with the
// roster, the heartbeats and the loans between daemons.

#ifndef SEQUOIAPATH_STATE_SHARE_EXCHANGE_H_
#define SEQUOIAPATH_STATE_SHARE_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/coordination/loan_policy.h"
#include "sequoiapath/coordination/share_ledger.h"
#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/state/job_runner.h"
#include "sequoiapath/state/membership.h"
#include "sequoiapath/state/peer_service.h"
#include "sequoiapath/state/roster_keeper.h"
#include "sequoiapath/state/store_client.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// What the exchange needs; all pointers must outlive it.
struct ShareExchangeParts {
  EventLoop* loop = nullptr;
  PeerService* peers = nullptr;
  Membership* membership = nullptr;
  JobRunner* runner = nullptr;
  StoreClient* store = nullptr;
};

// Thread safety: loop thread only.
class ShareExchange {
 public:
  // Registers the handlers of loans, the listener of heartbeats and the hooks
  // of the runner. Preconditions: the membership was not started and the runner
  // got no catalog yet; the loop does not run after the exchange's end.
  explicit ShareExchange(const ShareExchangeParts& parts);
  ShareExchange(const ShareExchange&) = delete;
  ShareExchange& operator=(const ShareExchange&) = delete;

  // Takes over the longest task lease. To be called before the runner's
  // SetCatalog.
  void SetCatalog(const Catalog& catalog);

  // Starts to read the roster and to advance the shares.
  void Start();

  // Gives up ownership and returns loans; also announces that this daemon is
  // leaving. To be called when no job is left. Has no effect when repeated.
  void BeginStop();

  // Says whether the others know that nothing is owned any more, or that
  // waiting for it is of no use. Precondition: BeginStop was called.
  bool IsReleased();

 private:
  // What is known of another daemon of the data centre.
  struct Peer {
    VmLoad load;
    std::map<std::string, int> free_quota;
    // What the peer was told of this VM's free quota, and where to go on.
    Incarnation told_incarnation = 0;
    std::map<std::string, int> told_quota;
    std::string last_told_team;
    std::optional<TimePoint> asked;
    bool pending = false;  // A Borrow was sent and not answered.
  };
  // A request that found no free unit.
  struct WaitingBorrow {
    std::vector<BorrowDemand> demands;
    BorrowReply reply;
    PeerReplier<BorrowReply> replier;
    TimePoint expires;
  };

  void AddHeartbeatListener();
  // Returns the free quota of the teams to tell `peer` now: changed ones in
  // turn, and one other, so that what a lost heartbeat told is repeated.
  std::vector<QuotaCount> NextQuotaCounts(
      const std::map<std::string, int>& free_quota, Peer* peer) const;
  RosterKeeperLinks KeeperLinks();
  void Begin(bool restarted);
  void OnRosterRead(const std::optional<Roster>& roster);
  void AdoptRoster(const Roster& roster);
  bool MayStart() const;
  void NoteContact() { this->last_contact = this->loop->Now(); }

  void FillHeartbeat(const MemberIdentity& to, Heartbeat* heartbeat);
  void ReceiveHeartbeat(const Heartbeat& heartbeat, HeartbeatReply* reply);
  void ReceiveHeartbeatReply(const HeartbeatReply& reply);
  bool IsNear(const MemberIdentity& member) const;
  std::uint64_t NextSequence();

  void Tick();
  void BeforeDispatch();
  void AfterDispatch();

  VmLoad OwnLoad();
  std::vector<LoanDemand> MissingUnits();
  bool PeersHaveQuota(const std::string& team) const;
  std::vector<std::string> AskablePeers() const;
  void BorrowIfNeeded();
  std::optional<std::string> ChoosePeer(const std::vector<std::string>& names,
                                        const LoanDemand& demand);
  void SendBorrow(const std::string& lender, std::vector<LoanDemand> demands,
                  std::vector<std::uint64_t> renewals);
  void ReceiveBorrowReply(const MemberIdentity& lender,
                          const std::vector<std::uint64_t>& renewals,
                          const BorrowReply& reply, TimePoint sent);
  void RenewUsedLoans();
  void SendReturns();

  void AnswerBorrow(const Borrow& borrow,
                    const PeerReplier<BorrowReply>& replier);
  void Lend(const std::string& borrower, std::vector<BorrowDemand>* demands,
            BorrowReply* reply);
  void LendByWait(const std::string& borrower, WaitingBorrow* waiting);
  void ServeWaitingBorrows();
  void FinishBorrow(BorrowReply reply, const PeerReplier<BorrowReply>& replier);
  void AnswerReturn(const Return& message);

  EventLoop* loop;
  PeerService* peers;
  Membership* membership;
  JobRunner* runner;
  ShareLedger* ledger;
  RosterKeeper keeper;
  // Known before the ledger's account begins.
  Roster early_roster;
  std::optional<bool> restarted;
  std::optional<Duration> longest_task_lease;
  bool begun = false;
  std::map<std::string, Peer> peer_states;               // By VM.
  std::map<std::string, WaitingBorrow> waiting_borrows;  // By borrower.
  TimePoint last_contact;
  std::uint64_t last_sequence = 0;
  bool stopping = false;
  TimePoint stop_began;
  std::optional<TimePoint> released_at;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SHARE_EXCHANGE_H_
