// Defines ShareExchange, which divides the worker slots and team quotas of a
// data centre among its daemons: it updates the job runner's ledger from the
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

// Dependencies of the exchange. All must be set, and the objects must outlive
// the exchange.
struct ShareExchangeDependencies {
  EventLoop* loop = nullptr;
  PeerService* peers = nullptr;
  Membership* membership = nullptr;
  JobRunner* runner = nullptr;
  StoreClient* store = nullptr;
};

// Thread safety: loop thread only.
class ShareExchange {
 public:
  // Registers the handlers of loan messages, the heartbeat listener and the
  // hooks of the runner. Preconditions: the membership is not started and the
  // runner has no catalog yet; the loop does not run after the exchange is
  // destroyed.
  explicit ShareExchange(const ShareExchangeDependencies& dependencies);
  ShareExchange(const ShareExchange&) = delete;
  ShareExchange& operator=(const ShareExchange&) = delete;

  // Updates the longest task lease from the catalog. Must be called before the
  // runner's SetCatalog.
  void SetCatalog(const Catalog& catalog);

  // Starts to poll the roster and to update ownership and loans periodically.
  void Start();

  // Releases ownership, returns loans and announces that this daemon is
  // leaving. Must be called after the last job has ended. Later calls have no
  // effect.
  void BeginStop();

  // Returns whether the daemon may exit: the peers have been informed that it
  // owns no resources, there are no live peers, or kReleaseTimeout has passed.
  // Precondition: BeginStop was called.
  bool IsReleased();

 private:
  // State of another daemon of the data centre.
  struct Peer {
    VmLoad load;
    std::map<std::string, int> free_quota;
    // The free quota of this VM that was last sent to the incarnation of the
    // peer, by team, and the team that was sent last.
    Incarnation reported_incarnation = 0;
    std::map<std::string, int> reported_quota;
    std::string last_reported_team;
    // When units were last requested; absent if the peer granted units since.
    std::optional<TimePoint> last_borrow;
    bool borrow_pending = false;  // A Borrow was sent and is not answered yet.
  };
  // A received request that could not be granted immediately.
  struct WaitingBorrow {
    std::vector<BorrowDemand> demands;
    BorrowReply reply;
    PeerReplier<BorrowReply> replier;
    TimePoint expires;
  };

  void AddHeartbeatListener();
  // Returns the free quota of the teams to include in the next heartbeat to
  // `peer`: changed values in round-robin order, and one unchanged value, so
  // that values of a lost heartbeat are repeated.
  std::vector<QuotaCount> NextQuotaCounts(
      const std::map<std::string, int>& free_quota, Peer* peer) const;
  RosterKeeperCallbacks MakeKeeperCallbacks();
  void InitializeShares(bool restarted);
  void OnRosterRead(const std::optional<Roster>& roster);
  void AdoptRoster(const Roster& roster);
  bool MayStart() const;
  void UpdateLastContact() { this->last_contact = this->loop->Now(); }

  void FillHeartbeat(const MemberIdentity& to, Heartbeat* heartbeat);
  void ReceiveHeartbeat(const Heartbeat& heartbeat, HeartbeatReply* reply);
  void ReceiveHeartbeatReply(const HeartbeatReply& reply);
  bool IsInSameDataCentre(const MemberIdentity& member) const;
  std::uint64_t NextSequence();

  void Tick();
  void BeforeDispatch();
  void AfterDispatch();

  VmLoad OwnLoad();
  std::vector<LoanDemand> MissingUnits();
  bool PeersHaveQuota(const std::string& team) const;
  std::vector<std::string> AvailableLenders() const;
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
  void LendByLoad(const std::string& borrower, WaitingBorrow* waiting);
  void ServeWaitingBorrows();
  void FinishBorrow(BorrowReply reply, const PeerReplier<BorrowReply>& replier);
  void AnswerReturn(const Return& message);

  EventLoop* loop;
  PeerService* peers;
  Membership* membership;
  JobRunner* runner;
  ShareLedger* ledger;
  RosterKeeper keeper;
  // The newest roster that was received before the ledger was initialized.
  Roster initial_roster;
  // Whether the first read of the roster listed this VM or failed, in which
  // case an earlier process of this VM may have owned units. Empty before that
  // read.
  std::optional<bool> restarted;
  std::optional<Duration> longest_task_lease;
  bool initialized = false;
  std::map<std::string, Peer> peer_states;               // By VM.
  std::map<std::string, WaitingBorrow> waiting_borrows;  // By borrower.
  // The last time at which the store or a peer was in contact with this daemon.
  TimePoint last_contact;
  std::uint64_t last_sequence = 0;
  bool stopping = false;
  TimePoint stop_began;
  std::optional<TimePoint> released_at;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SHARE_EXCHANGE_H_
