#include "sequoiapath/state/roster_keeper.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr std::string_view kRosterPrefix = "/sequoiapath/roster/";
constexpr std::string_view kVmPrefix = "/platform/vms/";
constexpr auto kTickInterval = std::chrono::milliseconds(250);
// Poll interval while there is no roster or a roster change is due. The VMs
// agree on a roster over several polls, which would take too long at the usual
// interval.
constexpr auto kUrgentInterval = std::chrono::milliseconds(500);
constexpr auto kFirstVmInterval = std::chrono::seconds(2);
constexpr auto kOtherVmInterval = std::chrono::seconds(30);

std::string VmListPrefix(const std::string& data_centre) {
  return std::string(kVmPrefix) + data_centre + "/";
}

// Returns whether the value of a VM's key marks the VM as leaving. A value that
// cannot be parsed counts as not leaving.
bool IsMarkedLeaving(const std::string& value) {
  const auto json = nlohmann::json::parse(value, nullptr, false);
  return json.is_object() && json.contains("state") &&
         json["state"] == "leaving";
}

}  // namespace
}  // namespace internal

RosterKeeper::RosterKeeper(EventLoop* loop, StoreClient* store,
                           const Membership* membership,
                           RosterKeeperCallbacks callbacks)
    : loop(loop),
      store(store),
      membership(membership),
      callbacks(std::move(callbacks)) {}

void RosterKeeper::Start() { this->Tick(); }

void RosterKeeper::BeginLeaving() {
  this->leaving = true;
  this->PollSoon();
}

void RosterKeeper::Tick() {
  const TimePoint now = this->loop->Now();
  if (!this->polling && (!this->last_poll_time ||
                         now - *this->last_poll_time >= this->PollInterval())) {
    this->last_poll_time = now;
    this->Poll();
  }
  this->loop->Schedule(internal::kTickInterval, [this] { this->Tick(); });
}

Duration RosterKeeper::PollInterval() const {
  if (this->callbacks.current().epoch == 0 || this->change_due_since ||
      this->leaving) {
    return internal::kUrgentInterval;
  }
  return this->IsFirstLiveVm() ? Duration(internal::kFirstVmInterval)
                               : Duration(internal::kOtherVmInterval);
}

bool RosterKeeper::IsFirstLiveVm() const {
  const MemberIdentity& self = this->membership->self();
  for (const auto& [vm, member] : this->membership->view().members) {
    if (member.identity.data_centre == self.data_centre && vm < self.vm &&
        member.state == MemberState::kLive) {
      return false;
    }
  }
  return true;
}

void RosterKeeper::Poll() {
  this->polling = true;
  this->store->GetKey(
      std::string(internal::kRosterPrefix) +
          this->membership->self().data_centre,
      [this](const Result<RangeReply>& result) { this->OnRoster(result); });
}

void RosterKeeper::OnRoster(const Result<RangeReply>& result) {
  const auto* reply = std::get_if<RangeReply>(&result);
  if (reply == nullptr) {
    this->callbacks.on_read(std::nullopt);
    return this->EndPoll();
  }
  Roster roster;
  this->roster_revision = 0;
  if (!reply->entries.empty()) {
    Result<Roster> decoded = DecodeRoster(reply->entries[0].value);
    if (const Failure* failure = GetFailure(decoded)) {
      Log(LogLevel::kError, "roster_invalid", {{"detail", failure->detail}});
      this->callbacks.on_read(std::nullopt);
      return this->EndPoll();
    }
    roster = std::get<Roster>(std::move(decoded));
    this->roster_revision = reply->entries[0].mod_revision;
  }
  this->stored_epoch = roster.epoch;
  this->callbacks.on_read(roster);
  this->store->GetPrefix(
      internal::VmListPrefix(this->membership->self().data_centre),
      [this](const Result<RangeReply>& list) { this->OnVmList(list); });
}

void RosterKeeper::OnVmList(const Result<RangeReply>& result) {
  this->EndPoll();
  const auto* reply = std::get_if<RangeReply>(&result);
  if (reply == nullptr) return;
  this->ObserveVms(*reply);
  this->Propose();
}

std::set<std::string> RosterKeeper::KnownVms() const {
  const MemberIdentity& self = this->membership->self();
  std::set<std::string> known = {self.vm};
  for (const auto& [vm, member] : this->membership->view().members) {
    if (member.identity.data_centre == self.data_centre) known.insert(vm);
  }
  const Roster& roster = this->callbacks.current();
  known.insert(roster.members.begin(), roster.members.end());
  known.insert(roster.former.begin(), roster.former.end());
  for (const auto& [vm, state] : this->vms) known.insert(vm);
  return known;
}

bool RosterKeeper::IsLive(const std::string& vm) const {
  if (vm == this->membership->self().vm) return true;
  const Member* member = this->membership->FindMember(vm);
  return member != nullptr && (member->state == MemberState::kLive ||
                               member->state == MemberState::kLeaving);
}

bool RosterKeeper::AnnouncedLeaving(const std::string& vm) const {
  if (vm == this->membership->self().vm) return this->leaving;
  const Member* member = this->membership->FindMember(vm);
  return member != nullptr && member->leaving;
}

// Returns whether a VM is treated as listed while the platform's list is empty.
// A VM that does not answer may still be running, so it is treated as unlisted
// only if it also announced that it is leaving.
bool RosterKeeper::CountsAsListed(const std::string& vm) const {
  return this->IsLive(vm) || !this->AnnouncedLeaving(vm);
}

void RosterKeeper::ObserveVm(const std::string& vm, bool listed, bool leaving) {
  const TimePoint now = this->loop->Now();
  const auto [it, added] = this->vms.try_emplace(vm);
  VmState& state = it->second;
  if (listed && !state.listed) state.listed_since = now;
  if (!listed && (state.listed || added)) state.unlisted_since = now;
  state.listed = listed;
  state.leaving = leaving;
  state.live = this->IsLive(vm);
}

void RosterKeeper::ObserveVms(const RangeReply& list) {
  const TimePoint now = this->loop->Now();
  std::map<std::string, bool> leaving_by_vm;
  const std::size_t prefix =
      internal::VmListPrefix(this->membership->self().data_centre).size();
  for (const StoreEntry& entry : list.entries) {
    leaving_by_vm[entry.key.substr(prefix)] =
        internal::IsMarkedLeaving(entry.value);
  }
  std::set<std::string> known = this->KnownVms();
  for (const auto& [vm, is_leaving] : leaving_by_vm) known.insert(vm);
  // If the previous read was longer ago than the hold-down time, a VM may have
  // been listed and removed again in between. So the absence of every VM is
  // counted from this read.
  if (this->last_list_time &&
      now - *this->last_list_time > this->callbacks.hold_down()) {
    this->callbacks.on_listed(known);
    for (auto& [vm, state] : this->vms) state.unlisted_since = now;
  }
  this->last_list_time = now;
  std::set<std::string> listed;
  for (const std::string& vm : known) {
    const auto it = leaving_by_vm.find(vm);
    const bool is_listed = leaving_by_vm.empty() ? this->CountsAsListed(vm)
                                                 : it != leaving_by_vm.end();
    const bool is_leaving = it != leaving_by_vm.end() && it->second;
    this->ObserveVm(vm, is_listed, is_leaving || this->AnnouncedLeaving(vm));
    if (is_listed) listed.insert(vm);
  }
  this->callbacks.on_listed(listed);
}

void RosterKeeper::Propose() {
  if (!this->callbacks.may_propose()) return;
  const Roster& current = this->callbacks.current();
  // A stored roster that is older than the current one shows that the store was
  // restored from an old backup. Writing the current roster back prevents a VM
  // that reads the old roster from proposing a second roster with an epoch that
  // was already in force.
  if (this->stored_epoch < current.epoch) return this->Write(current);
  const RosterTimes times{.hold_down = this->callbacks.hold_down()};
  const auto next =
      ProposeRoster(this->membership->self().vm, current, this->vms, times,
                    &this->change_due_since, this->loop->Now());
  if (next) this->Write(*next);
}

void RosterKeeper::Write(const Roster& roster) {
  const std::string key = std::string(internal::kRosterPrefix) +
                          this->membership->self().data_centre;
  this->polling = true;
  this->store->Commit(
      {{{key, this->roster_revision}}, {{key, EncodeRoster(roster)}}},
      [this, roster](const Result<TxnReply>& result) {
        this->EndPoll();
        const auto* reply = std::get_if<TxnReply>(&result);
        if (reply == nullptr || !reply->succeeded) return this->PollSoon();
        this->callbacks.on_written(roster);
      });
}

}  // namespace sequoiapath
