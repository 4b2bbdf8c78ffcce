#include "sequoiapath/state/share_exchange.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "sequoiapath/state/log.h"
#include "share_messages.h"

namespace sequoiapath {
namespace internal {
namespace {

// Limits the size of heartbeats. Heartbeats that each contained the counts of
// all 170 teams took 97 KB/s more than heartbeats with the count of one team.
constexpr std::size_t kQuotaCountsPerHeartbeat = 8;
constexpr auto kTickInterval = std::chrono::milliseconds(250);
constexpr auto kBorrowTimeout = std::chrono::seconds(1);
constexpr auto kReturnTimeout = std::chrono::seconds(1);
// How long a request for which no unit is free waits at the lender. The
// borrower sends no other request to this lender during that time; see
// docs/placement.md.
constexpr auto kBorrowWait = std::chrono::milliseconds(250);
// Minimum time between two requests to a lender that has free units.
constexpr auto kBorrowInterval = std::chrono::milliseconds(2);
// A VM without contact with the store and all peers for this time starts no
// tasks, because its workers may be assigned to other VMs.
constexpr auto kIsolationLimit = std::chrono::seconds(5);
// Time for two heartbeats, which report to the peers that this VM owns no
// resources. A stopping daemon waits for this time before it exits.
constexpr auto kReleaseNotice = std::chrono::seconds(1);
// Limits how long a planned stop waits for a new roster, for example while the
// store is down. After a stop without one, the other VMs acquire the units
// after the hold-down time.
constexpr auto kReleaseTimeout = std::chrono::seconds(3);

// Returns the number of VMs that may have connections to the workers.
std::size_t CountConnectedVms(const Roster& roster, const std::string& self) {
  const bool listed = std::find(roster.members.begin(), roster.members.end(),
                                self) != roster.members.end();
  return roster.members.size() + roster.former.size() + (listed ? 0 : 1);
}

}  // namespace
}  // namespace internal

ShareExchange::ShareExchange(const ShareExchangeDependencies& dependencies)
    : loop(dependencies.loop),
      peers(dependencies.peers),
      membership(dependencies.membership),
      runner(dependencies.runner),
      ledger(dependencies.runner->Ledger()),
      keeper(dependencies.loop, dependencies.store, dependencies.membership,
             this->MakeKeeperCallbacks()),
      last_contact(dependencies.loop->Now()) {
  this->runner->SetShareHooks({this->membership->self().data_centre,
                               [this] { return this->MayStart(); },
                               [this] { this->BeforeDispatch(); },
                               [this] { this->AfterDispatch(); }});
  this->peers->Handle<Borrow>(
      [this](const Borrow& borrow, const PeerReplier<BorrowReply>& replier) {
        this->AnswerBorrow(borrow, replier);
      });
  this->peers->Handle<Return>(
      [this](const Return& message, const PeerReplier<ReturnReply>& replier) {
        this->AnswerReturn(message);
        replier(ReturnReply{});
      });
  this->AddHeartbeatListener();
}

void ShareExchange::AddHeartbeatListener() {
  MembershipListener listener;
  listener.fill_heartbeat = [this](const MemberIdentity& to,
                                   Heartbeat* heartbeat) {
    this->FillHeartbeat(to, heartbeat);
  };
  listener.receive_heartbeat = [this](const Heartbeat& heartbeat,
                                      HeartbeatReply* reply) {
    this->ReceiveHeartbeat(heartbeat, reply);
  };
  listener.receive_heartbeat_reply = [this](const HeartbeatReply& reply) {
    this->ReceiveHeartbeatReply(reply);
  };
  this->membership->AddListener(std::move(listener));
}

RosterKeeperCallbacks ShareExchange::MakeKeeperCallbacks() {
  RosterKeeperCallbacks callbacks;
  callbacks.current = [this]() -> const Roster& {
    return this->initialized ? this->ledger->roster : this->initial_roster;
  };
  callbacks.may_propose = [this] { return this->initialized; };
  callbacks.hold_down = [this] { return HoldDown(this->ledger->times); };
  callbacks.on_read = [this](const std::optional<Roster>& roster) {
    this->OnRosterRead(roster);
  };
  callbacks.on_written = [this](const Roster& roster) {
    this->UpdateLastContact();
    this->AdoptRoster(roster);
  };
  callbacks.on_listed = [this](const std::set<std::string>& listed) {
    this->UpdateLastContact();
    SetListedVms(this->ledger, listed, this->loop->Now());
  };
  return callbacks;
}

void ShareExchange::Start() {
  this->keeper.Start();
  this->Tick();
}

// --- Ownership ---

void ShareExchange::SetCatalog(const Catalog& catalog) {
  const Duration longest = catalog.longest_task_lease + kTaskLeaseMargin;
  // Tasks that were started under an earlier configuration may still run, so
  // the longest lease never decreases within a process.
  const Duration before = this->longest_task_lease.value_or(Duration::zero());
  if (longest <= before) return;
  this->longest_task_lease = longest;
  if (this->initialized) {
    ExtendLongestTaskLease(this->ledger, longest);
  } else if (this->restarted) {
    this->InitializeShares(*this->restarted);
  }
}

void ShareExchange::InitializeShares(bool restarted) {
  this->initialized = true;
  ShareTimes times;
  times.longest_task_lease = *this->longest_task_lease;
  InitializeLedger(this->ledger, this->membership->self().vm, times,
                   this->membership->self().incarnation, restarted,
                   this->loop->Now());
  Log(LogLevel::kInfo, "shares_begin", {{"restarted", restarted}});
  this->AdoptRoster(this->initial_roster);
  this->keeper.PollSoon();
}

void ShareExchange::OnRosterRead(const std::optional<Roster>& roster) {
  const std::string& self = this->membership->self().vm;
  const auto contains = [&self](const std::vector<std::string>& names) {
    return std::find(names.begin(), names.end(), self) != names.end();
  };
  if (roster) this->UpdateLastContact();
  if (!this->restarted) {
    this->restarted =
        !roster || contains(roster->members) || contains(roster->former);
  }
  if (roster) this->AdoptRoster(*roster);
  if (!this->initialized && this->longest_task_lease) {
    this->InitializeShares(*this->restarted);
  }
}

void ShareExchange::AdoptRoster(const Roster& roster) {
  if (!this->initialized) {
    if (roster.epoch > this->initial_roster.epoch) {
      this->initial_roster = roster;
    }
    return;
  }
  if (roster.epoch <= this->ledger->roster.epoch) return;
  SetRoster(this->ledger, roster, this->loop->Now());
  this->runner->ShareConnections(
      internal::CountConnectedVms(roster, this->membership->self().vm));
  Log(LogLevel::kInfo, "roster",
      {{"epoch", roster.epoch}, {"members", roster.members.size()}});
  this->runner->RequestDispatch();
}

bool ShareExchange::MayStart() const {
  const Roster& roster = this->ledger->roster;
  const bool alone = roster.members.empty() ||
                     (roster.members.size() == 1 &&
                      roster.members[0] == this->membership->self().vm);
  return alone ||
         this->loop->Now() - this->last_contact <= internal::kIsolationLimit;
}

// --- Heartbeats ---

bool ShareExchange::IsInSameDataCentre(const MemberIdentity& member) const {
  return member.data_centre == this->membership->self().data_centre;
}

std::uint64_t ShareExchange::NextSequence() {
  const auto wall = std::chrono::duration_cast<std::chrono::microseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  this->last_sequence =
      std::max(static_cast<std::uint64_t>(wall), this->last_sequence + 1);
  return this->last_sequence;
}

void ShareExchange::FillHeartbeat(const MemberIdentity& to,
                                  Heartbeat* heartbeat) {
  if (!this->initialized || !this->IsInSameDataCentre(to)) return;
  const std::size_t backlog = this->runner->WaitingTaskCount();
  ShareReport report =
      MakeReport(this->ledger, this->NextSequence(),
                 static_cast<std::uint32_t>(backlog), this->loop->Now());
  if (backlog > 0) report.free = {};
  heartbeat->shares = ToMessage(report);
  Peer* peer = &this->peer_states[to.vm];
  if (peer->reported_incarnation != to.incarnation) {
    peer->reported_incarnation = to.incarnation;
    peer->reported_quota.clear();
  }
  heartbeat->shares.free_quota = this->NextQuotaCounts(report.free_quota, peer);
  const VmLoad own = this->OwnLoad();
  auto recalls =
      RecallLoans(this->ledger, [this, &own](const std::string& borrower) {
        const auto it = this->peer_states.find(borrower);
        return this->stopping ||
               (own.backlog > 0 && it != this->peer_states.end() &&
                ShouldRecall(own, it->second.load));
      });
  heartbeat->recalls = std::move(recalls[to.vm]);
}

std::vector<QuotaCount> ShareExchange::NextQuotaCounts(
    const std::map<std::string, int>& free_quota, Peer* peer) const {
  std::vector<QuotaCount> counts;
  const auto& teams = this->ledger->quota_class_by_team;
  auto it = teams.upper_bound(peer->last_reported_team);
  bool repeated = false;
  for (std::size_t visited = 0; visited < teams.size(); ++visited, ++it) {
    if (counts.size() >= internal::kQuotaCountsPerHeartbeat) break;
    if (it == teams.end()) it = teams.begin();
    const std::string& team = it->first;
    const auto free = free_quota.find(team);
    const int units = free == free_quota.end() ? 0 : free->second;
    const auto reported = peer->reported_quota.find(team);
    const bool changed =
        reported == peer->reported_quota.end() || reported->second != units;
    if (!changed && repeated) continue;
    repeated = repeated || !changed;
    peer->reported_quota[team] = units;
    peer->last_reported_team = team;
    counts.push_back({team, units});
  }
  return counts;
}

void ShareExchange::ReceiveHeartbeat(const Heartbeat& heartbeat,
                                     HeartbeatReply* reply) {
  if (!this->IsInSameDataCentre(heartbeat.sender)) return;
  this->UpdateLastContact();
  const std::string& vm = heartbeat.sender.vm;
  const ShareStatus& shares = heartbeat.shares;
  if (shares.roster_epoch < this->ledger->roster.epoch) {
    reply->roster = EncodeRoster(this->ledger->roster);
  }
  // The sequence is zero until the sender has initialized its ledger.
  if (shares.sequence == 0) return;
  const ShareReport report = FromMessage(vm, shares);
  ReceiveReport(this->ledger, report, this->loop->Now());
  Peer& peer = this->peer_states[vm];
  peer.load = LoadFromMessage(shares.free, shares.backlog, shares.units);
  for (const auto& [team, units] : report.free_quota) {
    peer.free_quota[team] = units;
  }
  for (const std::uint64_t loan : heartbeat.recalls) {
    ReceiveRecall(this->ledger, vm, loan);
  }
  this->SendReturns();
  if (heartbeat.leaving && this->ledger->roster.epoch > 0) {
    const auto& members = this->ledger->roster.members;
    if (std::find(members.begin(), members.end(), vm) != members.end()) {
      this->keeper.PollSoon();
    }
  }
  if (this->runner->WaitingTaskCount() > 0) this->runner->RequestDispatch();
}

void ShareExchange::ReceiveHeartbeatReply(const HeartbeatReply& reply) {
  if (!this->IsInSameDataCentre(reply.sender)) return;
  this->UpdateLastContact();
  if (reply.roster.empty()) return;
  const Result<Roster> roster = DecodeRoster(reply.roster);
  if (const auto* decoded = std::get_if<Roster>(&roster)) {
    this->AdoptRoster(*decoded);
  }
}

void ShareExchange::Tick() {
  UpdateOwnershipAndLoans(this->ledger, this->loop->Now());
  this->RenewUsedLoans();
  // A dispatch expires waiting requests and starts tasks on units that have
  // become usable since the last tick.
  this->runner->RequestDispatch();
  this->loop->Schedule(internal::kTickInterval, [this] { this->Tick(); });
}

void ShareExchange::BeforeDispatch() { this->ServeWaitingBorrows(); }

void ShareExchange::AfterDispatch() {
  if (this->runner->WaitingTaskCount() == 0) ReturnIdleUnits(this->ledger);
  this->SendReturns();
  this->BorrowIfNeeded();
}

// --- Borrower ---

VmLoad ShareExchange::OwnLoad() {
  const int backlog = static_cast<int>(this->runner->WaitingTaskCount());
  int free = 0;
  if (backlog == 0) {
    free = MakeReport(this->ledger, 0, 0, this->loop->Now()).free.slots;
  }
  return {free, backlog, UsableUnits(*this->ledger).slots, true};
}

bool ShareExchange::PeersHaveQuota(const std::string& team) const {
  return std::any_of(this->peer_states.begin(), this->peer_states.end(),
                     [&team](const auto& entry) {
                       const auto it = entry.second.free_quota.find(team);
                       return it != entry.second.free_quota.end() &&
                              it->second > 0;
                     });
}

// Returns the units that the waiting tasks lack. Omits teams whose quota is
// used up on all VMs, because workers borrowed for them would stay idle.
std::vector<LoanDemand> ShareExchange::MissingUnits() {
  std::vector<LoanDemand> missing;
  for (const WaitingDemand& waiting : this->runner->WaitingDemands()) {
    const auto tasks = static_cast<std::int64_t>(waiting.tasks);
    const bool has_quota =
        HasQuota(this->ledger, waiting.team, this->loop->Now());
    if (!has_quota && !this->PeersHaveQuota(waiting.team)) continue;
    const bool has_worker = this->runner->HasFreeWorker(waiting.placement);
    LoanDemand demand{waiting.placement.demand, waiting.placement.places,
                      has_worker ? 0 : tasks, waiting.team,
                      has_quota ? 0 : tasks};
    if (demand.worker_tasks + demand.quota_units > 0) {
      missing.push_back(std::move(demand));
    }
  }
  return missing;
}

std::vector<std::string> ShareExchange::AvailableLenders() const {
  const TimePoint now = this->loop->Now();
  std::vector<std::string> names;
  for (const auto& [vm, peer] : this->peer_states) {
    const Member* member = this->membership->FindMember(vm);
    const Duration interval = peer.load.free > 0
                                  ? Duration(internal::kBorrowInterval)
                                  : Duration(internal::kBorrowWait);
    if (member == nullptr || member->state != MemberState::kLive ||
        peer.borrow_pending ||
        (peer.last_borrow && now - *peer.last_borrow < interval)) {
      continue;
    }
    names.push_back(vm);
  }
  return names;
}

std::optional<std::string> ShareExchange::ChoosePeer(
    const std::vector<std::string>& names, const LoanDemand& demand) {
  if (demand.worker_tasks > 0) {
    std::vector<VmLoad> loads;
    std::vector<std::string> lenders;
    for (const std::string& name : names) {
      const VmLoad& load = this->peer_states.at(name).load;
      if (load.units == 0) continue;
      loads.push_back(load);
      lenders.push_back(name);
    }
    const auto chosen = ChooseLender(this->OwnLoad(), loads);
    return chosen ? std::optional(lenders[*chosen]) : std::nullopt;
  }
  std::optional<std::string> best;
  int most = 0;
  for (const std::string& name : names) {
    const auto& quota = this->peer_states.at(name).free_quota;
    const auto it = quota.find(demand.team);
    if (it != quota.end() && it->second > most) {
      most = it->second;
      best = name;
    }
  }
  return best;
}

void ShareExchange::BorrowIfNeeded() {
  if (!this->initialized || this->runner->WaitingTaskCount() == 0 ||
      !this->MayStart()) {
    return;
  }
  std::vector<std::string> names = this->AvailableLenders();
  if (names.empty()) return;
  std::vector<LoanDemand> missing = this->MissingUnits();
  while (!missing.empty()) {
    const auto lender = this->ChoosePeer(names, missing.front());
    if (!lender) return;
    std::erase(names, *lender);
    const int free = this->peer_states.at(*lender).load.free;
    this->SendBorrow(*lender, missing, {});
    // If this lender has no free units, the request waits there. For worker
    // units no other VM has any either, because lenders with free units are
    // chosen first.
    if (free <= 0) return;
    std::int64_t covered = free;
    std::erase_if(missing, [&covered](LoanDemand& demand) {
      const std::int64_t part = std::min(demand.worker_tasks, covered);
      covered -= part;
      demand.worker_tasks -= part;
      return demand.worker_tasks == 0;
    });
  }
}

void ShareExchange::SendBorrow(const std::string& lender,
                               std::vector<LoanDemand> demands,
                               std::vector<std::uint64_t> renewals) {
  const Member* member = this->membership->FindMember(lender);
  if (member == nullptr) return;
  const MemberIdentity identity = member->identity;
  const TimePoint sent = this->loop->Now();
  Peer& peer = this->peer_states[lender];
  if (!demands.empty()) peer.last_borrow = sent;
  peer.borrow_pending = true;
  const VmLoad own = this->OwnLoad();
  Borrow borrow{this->membership->self(),
                identity.incarnation,
                std::move(demands),
                renewals,
                static_cast<std::uint64_t>(own.backlog),
                ToMessage(Units{own.units, 0})};
  this->peers->Send<Borrow>(
      identity.peer_endpoint, borrow, internal::kBorrowTimeout,
      [this, identity, renewals = std::move(renewals),
       sent](const Result<BorrowReply>& result) {
        this->peer_states[identity.vm].borrow_pending = false;
        if (const auto* reply = std::get_if<BorrowReply>(&result)) {
          this->ReceiveBorrowReply(identity, renewals, *reply, sent);
        }
      });
}

void ShareExchange::ReceiveBorrowReply(
    const MemberIdentity& lender, const std::vector<std::uint64_t>& renewals,
    const BorrowReply& reply, TimePoint sent) {
  Peer& peer = this->peer_states[lender.vm];
  peer.load = LoadFromMessage(reply.free, reply.backlog, reply.units);
  if (!reply.grants.empty()) peer.last_borrow.reset();
  for (const LoanGrant& grant : reply.grants) {
    ReceiveGrant(this->ledger, lender.vm, FromMessage(grant), sent,
                 this->loop->Now());
  }
  for (const std::uint64_t loan : reply.renewed) {
    // Ignores loans whose renewal this request did not contain: their new end
    // is counted from the time at which the request was sent.
    if (std::find(renewals.begin(), renewals.end(), loan) == renewals.end()) {
      continue;
    }
    ReceiveRenewal(this->ledger, lender.vm, loan, reply.renewal_duration, sent);
  }
  this->SendReturns();
  if (this->runner->WaitingTaskCount() > 0) this->runner->RequestDispatch();
}

void ShareExchange::RenewUsedLoans() {
  const bool backlog = this->runner->WaitingTaskCount() > 0;
  for (auto& [lender, loans] :
       LoansToRenew(*this->ledger, backlog, this->loop->Now())) {
    if (!this->peer_states[lender].borrow_pending) {
      this->SendBorrow(lender, {}, std::move(loans));
    }
  }
}

void ShareExchange::SendReturns() {
  std::map<std::string, std::vector<ReturnedLoan>> batches;
  for (const LoanReturn& loan_return : DrainReturns(this->ledger)) {
    batches[loan_return.lender].push_back(
        {loan_return.loan, ToMessage(loan_return.kept)});
  }
  for (auto& [lender, returns] : batches) {
    const Member* member = this->membership->FindMember(lender);
    if (member == nullptr) continue;
    this->peers->Send<Return>(
        member->identity.peer_endpoint,
        {this->membership->self(), member->identity.incarnation,
         std::move(returns)},
        internal::kReturnTimeout, [](const Result<ReturnReply>& /*result*/) {});
  }
}

// --- Lender ---

void ShareExchange::AnswerBorrow(const Borrow& borrow,
                                 const PeerReplier<BorrowReply>& replier) {
  const std::string& vm = borrow.borrower.vm;
  BorrowReply reply;
  if (!this->initialized || this->stopping ||
      !this->IsInSameDataCentre(borrow.borrower) ||
      borrow.lender != this->membership->self().incarnation) {
    return this->FinishBorrow(std::move(reply), replier);
  }
  VmLoad& load = this->peer_states[vm].load;
  load.backlog = LoadFromMessage({}, borrow.backlog, borrow.units).backlog;
  load.units = static_cast<int>(borrow.units.slots);
  reply.renewed =
      RenewLoans(this->ledger, vm, borrow.renewals, this->loop->Now());
  reply.renewal_duration = std::chrono::floor<std::chrono::milliseconds>(
      this->ledger->times.loan_duration);
  std::vector<BorrowDemand> demands;
  bool lacks_workers = false;
  for (const LoanDemand& demand : borrow.demands) {
    demands.push_back(FromMessage(demand));
    lacks_workers = lacks_workers || demand.worker_tasks > 0;
  }
  this->Lend(vm, &demands, &reply);
  if (!lacks_workers || !reply.grants.empty()) {
    return this->FinishBorrow(std::move(reply), replier);
  }
  const auto earlier = this->waiting_borrows.find(vm);
  if (earlier != this->waiting_borrows.end()) {
    this->FinishBorrow(std::move(earlier->second.reply),
                       earlier->second.replier);
  }
  this->waiting_borrows.insert_or_assign(
      vm, WaitingBorrow{std::move(demands), std::move(reply), replier,
                        this->loop->Now() + internal::kBorrowWait});
}

// Grants free units to the borrower. With a backlog of its own, this VM lends
// no workers and at most half of a team's free quota units.
void ShareExchange::Lend(const std::string& borrower,
                         std::vector<BorrowDemand>* demands,
                         BorrowReply* reply) {
  const bool backlog = this->runner->WaitingTaskCount() > 0;
  const TimePoint now = this->loop->Now();
  std::map<std::string, int> quota;
  const bool wants_quota =
      std::any_of(demands->begin(), demands->end(),
                  [](const auto& demand) { return demand.quota_units > 0; });
  if (wants_quota) quota = MakeReport(this->ledger, 0, 0, now).free_quota;
  for (const BorrowDemand& demand : *demands) {
    BorrowDemand allowed = demand;
    if (backlog) allowed.worker_tasks = 0;
    const int free = quota[demand.team];
    allowed.quota_units =
        std::min(allowed.quota_units, backlog ? (free + 1) / 2 : free);
    for (const Grant& grant :
         LendUnits(this->ledger, {borrower, {allowed}}, now)) {
      reply->grants.push_back(ToMessage(grant));
    }
  }
}

// Lends one unit at a time while ShouldLend holds for the loads of this VM and
// the borrower.
void ShareExchange::LendByLoad(const std::string& borrower,
                               WaitingBorrow* waiting) {
  VmLoad own = this->OwnLoad();
  VmLoad& load = this->peer_states[borrower].load;
  const TimePoint now = this->loop->Now();
  for (BorrowDemand& demand : waiting->demands) {
    while (demand.worker_tasks > 0 && ShouldLend(own, load)) {
      const BorrowDemand one{demand.placement, 1, demand.team, 0};
      const auto grants = LendUnits(this->ledger, {borrower, {one}}, now);
      if (grants.empty()) break;
      for (const Grant& grant : grants) {
        waiting->reply.grants.push_back(ToMessage(grant));
      }
      --demand.worker_tasks;
      --own.units;
      ++load.units;
    }
  }
}

void ShareExchange::ServeWaitingBorrows() {
  const TimePoint now = this->loop->Now();
  for (auto it = this->waiting_borrows.begin();
       it != this->waiting_borrows.end();) {
    WaitingBorrow& waiting = it->second;
    const bool expired = now >= waiting.expires;
    if (!expired && !this->stopping) this->LendByLoad(it->first, &waiting);
    if (!expired && waiting.reply.grants.empty()) {
      ++it;
      continue;
    }
    this->FinishBorrow(std::move(waiting.reply), waiting.replier);
    it = this->waiting_borrows.erase(it);
  }
}

void ShareExchange::FinishBorrow(BorrowReply reply,
                                 const PeerReplier<BorrowReply>& replier) {
  const VmLoad own = this->OwnLoad();
  reply.free = ToMessage(Units{own.free, 0});
  reply.backlog = static_cast<std::uint64_t>(own.backlog);
  reply.units = ToMessage(Units{own.units, 0});
  replier(reply);
}

void ShareExchange::AnswerReturn(const Return& message) {
  if (message.lender != this->membership->self().incarnation) return;
  for (const ReturnedLoan& loan : message.returns) {
    ReceiveReturn(
        this->ledger, message.borrower.vm,
        {this->membership->self().vm, loan.loan_id, FromMessage(loan.kept)});
  }
  this->runner->RequestDispatch();
}

// --- Stop ---

void ShareExchange::BeginStop() {
  if (this->stopping) return;
  this->stopping = true;
  this->stop_began = this->loop->Now();
  this->membership->BeginLeaving();
  this->keeper.BeginLeaving();
  ReturnIdleUnits(this->ledger);
  this->SendReturns();
}

bool ShareExchange::IsReleased() {
  const TimePoint now = this->loop->Now();
  const bool has_peers = std::any_of(
      this->peer_states.begin(), this->peer_states.end(),
      [this](const auto& p) {
        const Member* member = this->membership->FindMember(p.first);
        return member != nullptr && member->state == MemberState::kLive;
      });
  if (!has_peers || now - this->stop_began >= internal::kReleaseTimeout) {
    return true;
  }
  if (!this->ledger->owned.empty()) {
    this->released_at.reset();
    return false;
  }
  if (!this->released_at) this->released_at = now;
  return now - *this->released_at >= internal::kReleaseNotice;
}

}  // namespace sequoiapath
