#include "sequoiapath/coordination/member_view.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

// Succession records that this daemon learned at least this long ago are not
// sent to a new member in heartbeats. The member is assumed to have received
// them in the reply to its join request.
constexpr auto kJoinCoverage = std::chrono::minutes(1);

// A list of members from another daemon may be out of date by this much.
constexpr auto kListLag = std::chrono::minutes(1);

bool IsLocal(const MemberView& view, const Member& member) {
  return member.identity.data_centre == view.self.data_centre;
}

// Returns the rendezvous hash of this daemon and a member of another data
// centre. Members with the greatest values are chosen as contacts, so that the
// daemons of this data centre spread over different contacts.
std::uint64_t ContactWeight(const MemberView& view, const Member& member) {
  const std::string text = view.self.vm + '/' + member.identity.vm;
  return XXH3_64bits(text.data(), text.size());
}

// Returns the number of the last succession record that a new member is assumed
// to have received; zero if there is none.
std::uint64_t RecordsCoveredByJoin(const MemberView& view, TimePoint now) {
  std::uint64_t covered = 0;
  for (const auto& [ended, known] : view.succession) {
    if (known.learned_at + kJoinCoverage <= now) {
      covered = std::max(covered, known.number);
    }
  }
  return covered;
}

// Adds the process as a member. It replaces an earlier incarnation of the VM.
Member* AddMember(MemberView* view, const MemberIdentity& identity,
                  TimePoint now) {
  Member& member = view->members[identity.vm];
  if (member.identity.incarnation != 0) {
    view->replaced[member.identity.incarnation] = {identity.vm, now};
  }
  view->replaced.erase(identity.incarnation);
  member = Member{};
  member.identity = identity;
  member.heard_at = now;
  member.next_heartbeat = now;
  member.acknowledged_records = RecordsCoveredByJoin(*view, now);
  return &member;
}

Member* FindIncarnation(MemberView* view, const MemberIdentity& identity) {
  const auto it = view->members.find(identity.vm);
  if (it == view->members.end() ||
      it->second.identity.incarnation != identity.incarnation) {
    return nullptr;
  }
  return &it->second;
}

// Returns whether this daemon keeps the incarnation that it knows of a VM when
// another daemon's list contains a different one.
bool KeepsIncarnation(const MemberView& view, const MemberIdentity& listed,
                      TimePoint now) {
  const auto it = view.members.find(listed.vm);
  if (it == view.members.end() || !it->second.has_sent_message) return false;
  return it->second.monitored || now - it->second.heard_at < kListLag;
}

ObservationResult Observe(MemberView* view, const MemberIdentity& sender,
                          bool leaving, TimePoint now) {
  Member* member = FindIncarnation(view, sender);
  const bool known = member != nullptr;
  if (!known) member = AddMember(view, sender, now);
  member->has_sent_message = true;
  member->heard_at = std::max(member->heard_at, now);
  member->leaving = leaving;
  return known ? ObservationResult::kAccepted : ObservationResult::kNew;
}

bool IsContactCandidate(const MemberView& view, const Member& member,
                        TimePoint now) {
  return !member.leaving &&
         (member.state != MemberState::kDown ||
          now - member.down_since >= view.policy.contact_retry_delay);
}

// Marks the members that receive heartbeats: all members of this data centre,
// and in each other data centre `contacts_per_data_centre` members as contacts.
// Contact candidates are chosen first, each by ContactWeight. If too few
// members are candidates, because the others are leaving or down, some of those
// others become contacts too. Heartbeats to them show when a data centre whose
// members were all down is reachable again.
void ChooseMonitored(MemberView* view, TimePoint now) {
  std::map<std::string, std::vector<Member*>> remote;
  for (auto& [vm, member] : view->members) {
    if (!IsLocal(*view, member)) {
      remote[member.identity.data_centre].push_back(&member);
    } else if (!member.monitored) {
      member.monitored = true;
      member.silence_from = now;
    }
  }
  for (auto& [data_centre, members] : remote) {
    std::sort(members.begin(), members.end(),
              [view, now](const Member* a, const Member* b) {
                const bool a_usable = IsContactCandidate(*view, *a, now);
                const bool b_usable = IsContactCandidate(*view, *b, now);
                if (a_usable != b_usable) return a_usable;
                return ContactWeight(*view, *a) > ContactWeight(*view, *b);
              });
    for (std::size_t i = 0; i < members.size(); ++i) {
      const bool chosen = i < view->policy.contacts_per_data_centre;
      if (chosen && !members[i]->monitored) {
        // Time before the first heartbeat does not count as silence, because
        // the member had no message to reply to.
        members[i]->silence_from = now;
        members[i]->next_heartbeat = now;
      }
      members[i]->monitored = chosen;
    }
  }
}

// Returns the heartbeat interval for `count` receivers. It grows in proportion
// to `count` above `base_count`, so that the heartbeats per second stay
// constant.
Duration ScaleInterval(Duration interval, std::size_t count,
                       std::size_t base_count) {
  if (count <= base_count) return interval;
  return interval * static_cast<Duration::rep>(count) /
         static_cast<Duration::rep>(base_count);
}

Duration IntervalOf(const MemberView& view, const Member& member) {
  const Duration interval =
      IsLocal(view, member) ? MeshInterval(view) : ContactInterval(view);
  return member.state == MemberState::kDown
             ? std::max(interval, view.policy.retry_interval)
             : interval;
}

// Returns the state that follows from the time since the member's last message.
MemberState ComputeState(const MemberView& view, const Member& member,
                         TimePoint now) {
  const Duration interval =
      IsLocal(view, member) ? MeshInterval(view) : ContactInterval(view);
  const Duration silence = now - std::max(member.heard_at, member.silence_from);
  if (member.monitored && silence >= interval + view.policy.down_margin) {
    return MemberState::kDown;
  }
  // A member that is down stays so until a message from it arrives.
  if (member.state == MemberState::kDown &&
      member.heard_at <= member.down_since) {
    return MemberState::kDown;
  }
  if (member.leaving) return MemberState::kLeaving;
  if (!member.has_sent_message ||
      (member.monitored && silence >= interval + view.policy.suspect_margin)) {
    return MemberState::kSuspect;
  }
  return MemberState::kLive;
}

void UpdateStates(MemberView* view, TimePoint now,
                  std::vector<MemberStateChange>* changes) {
  for (auto& [vm, member] : view->members) {
    const MemberState after = ComputeState(*view, member, now);
    if (after == member.state) continue;
    if (after == MemberState::kDown) member.down_since = now;
    changes->push_back({member.identity, member.state, after});
    member.state = after;
  }
}

// Excludes a pause of this process from the time since the members' last
// messages. After a pause, messages that arrived meanwhile may still be unread
// in the sockets, so the pause shows nothing about the members.
void ExcludePause(MemberView* view, TimePoint now) {
  const auto last = std::exchange(view->last_planned_at, now);
  if (!last.has_value()) return;
  const Duration gap = now - *last;
  if (gap < view->policy.pause_threshold) return;
  for (auto& [vm, member] : view->members) {
    // A member that is down stays so until a message from it arrives.
    if (member.state == MemberState::kDown) continue;
    // Limits the counted time to `suspect_margin`, so that a member that was
    // nearly down has time to answer.
    const TimePoint earliest = now - view->policy.suspect_margin;
    member.heard_at = std::clamp(member.heard_at + gap, earliest, now);
    member.next_heartbeat = now;
  }
}

void RemoveExpired(MemberView* view, TimePoint now) {
  std::erase_if(view->members, [view, now](const auto& entry) {
    const Member& member = entry.second;
    if (member.state == MemberState::kDown) {
      return now - member.down_since >= view->policy.down_retention;
    }
    return !member.monitored &&
           now - std::max(member.heard_at, member.listed_at) >=
               view->policy.unlisted_retention;
  });
  std::erase_if(view->replaced, [view, now](const auto& entry) {
    return now - entry.second.replaced_at >= view->policy.succession_retention;
  });
  std::erase_if(view->succession, [view, now](const auto& entry) {
    return now - entry.second.handed_over_at >=
           view->policy.succession_retention;
  });
}

SuccessionRecord ToRecord(Incarnation ended, const KnownSuccession& known,
                          TimePoint now) {
  return {ended, known.successor,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              now - known.handed_over_at)};
}

// Returns a heartbeat to the member. It carries the oldest succession records
// that the member has not acknowledged.
HeartbeatTarget MakeTarget(const MemberView& view, const Member& member,
                           TimePoint now) {
  HeartbeatTarget target{member.identity, {}, member.acknowledged_records};
  if (member.acknowledged_records == view.last_record_number) return target;
  std::map<std::uint64_t, SuccessionRecord> pending;
  for (const auto& [ended, known] : view.succession) {
    if (known.number > member.acknowledged_records) {
      pending.emplace(known.number, ToRecord(ended, known, now));
    }
  }
  for (auto& [number, record] : pending) {
    if (target.succession.size() == view.policy.max_records_per_heartbeat) {
      return target;
    }
    target.succession.push_back(std::move(record));
    target.records_up_to = number;
  }
  target.records_up_to = view.last_record_number;
  return target;
}

void PlanTargets(MemberView* view, TimePoint now, MemberActions* actions) {
  for (auto& [vm, member] : view->members) {
    if (!member.monitored || now < member.next_heartbeat) continue;
    actions->heartbeats.push_back(MakeTarget(*view, member, now));
    // The next due time is counted from the previous due time, so that the rate
    // does not depend on how often PlanHeartbeats is called. A heartbeat that
    // is late by more than half an interval is followed by the next one after
    // half an interval.
    const Duration interval = IntervalOf(*view, member);
    member.next_heartbeat =
        std::max(member.next_heartbeat + interval, now + interval / 2);
  }
}

bool IsKnownEndpoint(const MemberView& view, const Endpoint& endpoint) {
  return endpoint == view.self.peer_endpoint ||
         std::any_of(view.members.begin(), view.members.end(),
                     [&endpoint](const auto& entry) {
                       return entry.second.identity.peer_endpoint == endpoint;
                     });
}

void PlanJoins(MemberView* view, TimePoint now, MemberActions* actions) {
  for (JoinSeed& seed : view->seeds) {
    if (now < seed.next_join || IsKnownEndpoint(*view, seed.endpoint)) continue;
    actions->joins.push_back(seed.endpoint);
    seed.next_join = now + view->policy.retry_interval;
  }
}

// Adds join requests that ask one contact of each other data centre for its
// list of members.
void PlanRefresh(MemberView* view, TimePoint now, MemberActions* actions) {
  for (const auto& [vm, member] : view->members) {
    if (IsLocal(*view, member) || !member.monitored ||
        member.state != MemberState::kLive) {
      continue;
    }
    TimePoint& next = view->next_refresh[member.identity.data_centre];
    if (now < next) continue;
    next = now + view->policy.refresh_interval;
    actions->joins.push_back(member.identity.peer_endpoint);
  }
}

}  // namespace
}  // namespace internal

const char* ToString(MemberState state) {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDown:
      return "down";
    case MemberState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

MemberView MakeMemberView(MemberIdentity self,
                          const std::vector<Endpoint>& seeds,
                          HeartbeatPolicy policy) {
  MemberView view;
  view.policy = policy;
  view.self = std::move(self);
  for (const Endpoint& endpoint : seeds) view.seeds.push_back({endpoint, {}});
  return view;
}

ObservationResult ObserveRequest(MemberView* view, const MemberIdentity& sender,
                                 bool leaving, TimePoint now) {
  // This also ignores requests of earlier incarnations of this daemon's own VM.
  if (sender.vm == view->self.vm ||
      view->replaced.contains(sender.incarnation)) {
    return ObservationResult::kIgnored;
  }
  return internal::Observe(view, sender, leaving, now);
}

ObservationResult ObserveReply(MemberView* view, const MemberIdentity& sender,
                               bool leaving, TimePoint sent_at, TimePoint now) {
  if (sender.vm == view->self.vm) return ObservationResult::kIgnored;
  const auto replaced = view->replaced.find(sender.incarnation);
  if (replaced != view->replaced.end() &&
      sent_at < replaced->second.replaced_at) {
    return ObservationResult::kIgnored;
  }
  return internal::Observe(view, sender, leaving, now);
}

void LearnMembers(MemberView* view, const MemberIdentity& sender,
                  const std::vector<MemberRecord>& records, TimePoint now) {
  for (const MemberRecord& record : records) {
    const MemberIdentity& identity = record.identity;
    if (identity.vm == view->self.vm ||
        view->replaced.contains(identity.incarnation)) {
      continue;
    }
    Member* member = internal::FindIncarnation(view, identity);
    if (member == nullptr && internal::KeepsIncarnation(*view, identity, now)) {
      continue;
    }
    if (member == nullptr) {
      member = internal::AddMember(view, identity, now);
      member->leaving = record.leaving;
    }
    // Only a list from the member's own data centre updates `listed_at`.
    // Daemons of other data centres may repeat each other's lists and thereby
    // keep listing a VM that has ended.
    if (identity.data_centre == sender.data_centre) member->listed_at = now;
  }
}

void ForgetMember(MemberView* view, const std::string& vm) {
  view->members.erase(vm);
}

Duration MeshInterval(const MemberView& view) {
  const auto peers = std::count_if(
      view.members.begin(), view.members.end(), [&view](const auto& entry) {
        return internal::IsLocal(view, entry.second);
      });
  return internal::ScaleInterval(view.policy.mesh_interval,
                                 static_cast<std::size_t>(peers),
                                 view.policy.mesh_size);
}

Duration ContactInterval(const MemberView& view) {
  const auto contacts = std::count_if(
      view.members.begin(), view.members.end(), [&view](const auto& entry) {
        return entry.second.monitored && !internal::IsLocal(view, entry.second);
      });
  return internal::ScaleInterval(view.policy.contact_interval,
                                 static_cast<std::size_t>(contacts),
                                 view.policy.contact_count);
}

MemberActions PlanHeartbeats(MemberView* view, TimePoint now) {
  MemberActions actions;
  internal::ExcludePause(view, now);
  internal::UpdateStates(view, now, &actions.changes);
  internal::RemoveExpired(view, now);
  internal::ChooseMonitored(view, now);
  internal::PlanTargets(view, now, &actions);
  internal::PlanJoins(view, now, &actions);
  internal::PlanRefresh(view, now, &actions);
  return actions;
}

void RecordSuccessionReceipt(MemberView* view, const MemberIdentity& member,
                             std::uint64_t records_up_to) {
  Member* known = internal::FindIncarnation(view, member);
  if (known == nullptr) return;
  known->acknowledged_records =
      std::max(known->acknowledged_records, records_up_to);
}

std::vector<MemberRecord> ListMembers(const MemberView& view, bool leaving) {
  std::vector<MemberRecord> records = {{view.self, leaving}};
  for (const auto& [vm, member] : view.members) {
    if (member.state == MemberState::kDown) continue;
    records.push_back({member.identity, member.leaving});
  }
  return records;
}

bool AddSuccession(MemberView* view, const SuccessionRecord& record,
                   TimePoint now) {
  if (record.ended == record.successor.incarnation ||
      record.age >= view->policy.succession_retention ||
      view->succession.contains(record.ended)) {
    return false;
  }
  const auto last = FindSuccessor(*view, record.successor.incarnation, now);
  if (last.has_value() && last->incarnation == record.ended) return false;
  view->succession[record.ended] = {record.successor, now - record.age, now,
                                    ++view->last_record_number};
  return true;
}

std::vector<SuccessionRecord> ListSuccession(const MemberView& view,
                                             TimePoint now) {
  std::vector<SuccessionRecord> records;
  for (const auto& [ended, known] : view.succession) {
    records.push_back(internal::ToRecord(ended, known, now));
  }
  return records;
}

std::optional<MemberIdentity> FindSuccessor(const MemberView& view,
                                            Incarnation ended, TimePoint now) {
  std::optional<MemberIdentity> found;
  std::set<Incarnation> visited;
  while (visited.insert(ended).second) {
    const auto it = view.succession.find(ended);
    if (it == view.succession.end() ||
        now - it->second.handed_over_at >= view.policy.succession_retention) {
      return found;
    }
    found = it->second.successor;
    ended = found->incarnation;
  }
  return std::nullopt;  // A cycle, which AddSuccession should have rejected.
}

}  // namespace sequoiapath
