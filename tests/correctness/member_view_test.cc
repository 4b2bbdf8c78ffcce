// Tests the member view in virtual time: which members receive heartbeats,
// which members count as down, and which process counts as the current one of a
// VM.

#include "sequoiapath/coordination/member_view.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>

namespace sequoiapath {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTick = milliseconds(50);
const TimePoint kStart = TimePoint(hours(1));

MemberIdentity Identity(const std::string& data_centre, int index,
                        Incarnation incarnation) {
  return {data_centre,
          data_centre + "-" + std::to_string(index),
          {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)},
          incarnation};
}

MemberView ViewOf(const std::vector<Endpoint>& seeds = {}) {
  return MakeMemberView(Identity("home", 0, 1), seeds);
}

// Calls PlanHeartbeats every kTick for `length`. A member for which `answers`
// returns true replies to each heartbeat immediately. Returns the number of
// heartbeats sent to each VM.
std::map<std::string, int> RunPlans(
    MemberView* view, TimePoint begin, Duration length,
    const std::function<bool(const MemberIdentity&)>& answers) {
  std::map<std::string, int> sent;
  for (TimePoint now = begin; now < begin + length; now += kTick) {
    for (const HeartbeatTarget& target : PlanHeartbeats(view, now).heartbeats) {
      ++sent[target.member.vm];
      if (!answers(target.member)) continue;
      ObserveReply(view, target.member, false, now, now);
      RecordSuccessionReceipt(view, target.member, target.records_up_to);
    }
  }
  return sent;
}

bool Always(const MemberIdentity& /*member*/) { return true; }
bool Never(const MemberIdentity& /*member*/) { return false; }

MemberState StateOf(const MemberView& view, const MemberIdentity& identity) {
  return view.members.at(identity.vm).state;
}

// Guards against missing or additional heartbeats within a data centre and to
// other data centres.
TEST(MemberViewTest, SendsToTheWholeMeshAndToTwoContactsElsewhere) {
  MemberView view = ViewOf();
  for (int i = 1; i <= 4; ++i) {
    ObserveRequest(&view, Identity("home", i, 10 + i), false, kStart);
    ObserveRequest(&view, Identity("away", i, 20 + i), false, kStart);
  }
  const auto sent = RunPlans(&view, kStart, seconds(10), Always);
  EXPECT_EQ(sent.size(), 6u);
  for (const auto& [vm, count] : sent) {
    EXPECT_EQ(count, vm.starts_with("home") ? 20 : 5) << vm;
  }
}

// Guards against control traffic above its limit in a data centre with more
// peers than `mesh_size`.
TEST(MemberViewTest, HeartbeatRateIsBounded) {
  MemberView view = ViewOf();
  for (int i = 1; i <= 64; ++i) {
    ObserveRequest(&view, Identity("home", i, 10 + i), false, kStart);
  }
  EXPECT_EQ(MeshInterval(view), seconds(4));
  int total = 0;
  for (const auto& [vm, count] : RunPlans(&view, kStart, seconds(10), Always)) {
    total += count;
  }
  EXPECT_LE(total, 8 * 2 * 10 + 64);
}

// Guards against control traffic above its limit: with 16 data centres,
// heartbeats to the contacts at the shortest interval would exceed it.
TEST(MemberViewTest, ContactRateIsBounded) {
  MemberView view = ViewOf();
  for (int i = 1; i <= 60; ++i) {
    ObserveRequest(&view, Identity("away-" + std::to_string(i / 4), i, 10 + i),
                   false, kStart);
  }
  int total = 0;
  for (const auto& [vm, count] : RunPlans(&view, kStart, seconds(30), Always)) {
    total += count;
  }
  EXPECT_LE(total, 8 * 30 / 2 + 32);
}

// Guards against a peer that becomes suspect or down earlier or later than the
// heartbeat interval plus `suspect_margin` or `down_margin`.
TEST(MemberViewTest, SilentPeerBecomesSuspectThenDownThenLiveAgain) {
  MemberView view = ViewOf();
  const MemberIdentity peer = Identity("home", 1, 11);
  ObserveRequest(&view, peer, false, kStart);
  RunPlans(&view, kStart, milliseconds(950), Never);
  EXPECT_EQ(StateOf(view, peer), MemberState::kLive);
  RunPlans(&view, kStart + milliseconds(950), milliseconds(150), Never);
  EXPECT_EQ(StateOf(view, peer), MemberState::kSuspect);
  RunPlans(&view, kStart + milliseconds(1100), seconds(2), Never);
  EXPECT_EQ(StateOf(view, peer), MemberState::kDown);
  ObserveRequest(&view, peer, false, kStart + seconds(4));
  PlanHeartbeats(&view, kStart + seconds(4));
  EXPECT_EQ(StateOf(view, peer), MemberState::kLive);
}

// Guards against marking peers down after this process was paused, because it
// read none of their messages during the pause.
TEST(MemberViewTest, PauseOfThisProcessMarksNoMemberDown) {
  MemberView view = ViewOf();
  const MemberIdentity peer = Identity("home", 1, 11);
  const MemberIdentity dead = Identity("home", 2, 12);
  ObserveRequest(&view, peer, false, kStart);
  ObserveRequest(&view, dead, false, kStart);
  RunPlans(&view, kStart, seconds(1), Always);
  const TimePoint resumed = kStart + seconds(60);
  const MemberActions actions = PlanHeartbeats(&view, resumed);
  EXPECT_TRUE(actions.changes.empty());
  EXPECT_EQ(actions.heartbeats.size(), 2u);
  RunPlans(&view, resumed + kTick, seconds(4),
           [&](const MemberIdentity& member) { return member == peer; });
  EXPECT_EQ(StateOf(view, peer), MemberState::kLive);
  EXPECT_EQ(StateOf(view, dead), MemberState::kDown);
}

// Guards against restoring an ended process of a VM because of a late message
// or an outdated list of members.
TEST(MemberViewTest, NewIncarnationReplacesTheOldOne) {
  MemberView view = ViewOf();
  const MemberIdentity old_process = Identity("home", 1, 11);
  const MemberIdentity new_process = Identity("home", 1, 12);
  EXPECT_EQ(ObserveRequest(&view, old_process, false, kStart),
            ObservationResult::kNew);
  EXPECT_EQ(ObserveRequest(&view, new_process, false, kStart),
            ObservationResult::kNew);
  EXPECT_EQ(ObserveRequest(&view, old_process, false, kStart + seconds(1)),
            ObservationResult::kIgnored);
  EXPECT_EQ(view.members.at(new_process.vm).identity, new_process);
  LearnMembers(&view, Identity("home", 2, 13), {{old_process, false}},
               kStart + seconds(2));
  EXPECT_EQ(view.members.at(new_process.vm).identity, new_process);
}

// Guards against keeping an ended process as the current one of a VM.
// Incarnations have no order, so a delayed message of an ended process that was
// not known before looks new. The next reply of the running process must
// correct this.
TEST(MemberViewTest, ReplyCorrectsADelayedMessage) {
  MemberView view = ViewOf();
  const MemberIdentity ended = Identity("home", 1, 11);
  const MemberIdentity running = Identity("home", 1, 12);
  ObserveRequest(&view, running, false, kStart);
  ObserveRequest(&view, ended, false, kStart + seconds(1));
  EXPECT_EQ(ObserveReply(&view, running, false, kStart, kStart + seconds(2)),
            ObservationResult::kIgnored);
  EXPECT_EQ(ObserveReply(&view, running, false, kStart + seconds(2),
                         kStart + seconds(2)),
            ObservationResult::kNew);
  EXPECT_EQ(ObserveRequest(&view, ended, false, kStart + seconds(3)),
            ObservationResult::kIgnored);
}

// Guards against giving up on a seed that does not answer, and against join
// requests to seeds that are known or are this process itself.
TEST(MemberViewTest, SeedsAreAskedUntilTheirProcessIsKnown) {
  const MemberIdentity seed = Identity("home", 1, 11);
  MemberView view =
      ViewOf({seed.peer_endpoint, Identity("home", 0, 1).peer_endpoint});
  EXPECT_EQ(PlanHeartbeats(&view, kStart).joins,
            std::vector<Endpoint>{seed.peer_endpoint});
  EXPECT_TRUE(PlanHeartbeats(&view, kStart + kTick).joins.empty());
  EXPECT_EQ(PlanHeartbeats(&view, kStart + seconds(2)).joins.size(), 1u);
  ObserveReply(&view, seed, false, kStart, kStart + seconds(2));
  EXPECT_TRUE(PlanHeartbeats(&view, kStart + seconds(9)).joins.empty());
}

// Guards against losing the connection to a data centre because one of the
// contacts in it is down.
TEST(MemberViewTest, DownContactIsReplaced) {
  MemberView view = ViewOf();
  for (int i = 1; i <= 5; ++i) {
    ObserveRequest(&view, Identity("away", i, 20 + i), false, kStart);
  }
  const auto first = RunPlans(&view, kStart, seconds(2), Always);
  ASSERT_EQ(first.size(), 2u);
  const std::string lost = first.begin()->first;
  const auto alive = [&](const MemberIdentity& m) { return m.vm != lost; };
  RunPlans(&view, kStart + seconds(2), seconds(6), alive);
  const auto later = RunPlans(&view, kStart + seconds(8), seconds(4), alive);
  EXPECT_EQ(later.size(), 2u);
  EXPECT_FALSE(later.contains(lost));
}

// Guards against reporting a contact that is down as live when it is chosen
// again. It must stay down until a message from it arrives.
TEST(MemberViewTest, RetriedContactStaysDownUntilHeard) {
  MemberView view = ViewOf();
  ObserveRequest(&view, Identity("away", 1, 21), false, kStart);
  RunPlans(&view, kStart, seconds(10), Never);
  for (int second = 10; second < 180; ++second) {
    RunPlans(&view, kStart + seconds(second), seconds(1), Never);
    ASSERT_EQ(StateOf(view, Identity("away", 1, 21)), MemberState::kDown)
        << second;
  }
}

// Guards against losing a data centre for good after a partition in which all
// of its members were marked down. Its return must be detected without new
// seeds.
TEST(MemberViewTest, LostDataCentreIsFoundAgain) {
  MemberView view = ViewOf();
  for (int i = 1; i <= 3; ++i) {
    ObserveRequest(&view, Identity("away", i, 20 + i), false, kStart);
  }
  RunPlans(&view, kStart, hours(1), Never);
  for (const auto& [vm, member] : view.members) {
    EXPECT_EQ(member.state, MemberState::kDown) << vm;
  }
  EXPECT_FALSE(RunPlans(&view, kStart + hours(1), seconds(4), Always).empty());
  PlanHeartbeats(&view, kStart + hours(1) + seconds(4));
  EXPECT_TRUE(std::any_of(view.members.begin(), view.members.end(),
                          [](const auto& entry) {
                            return entry.second.state == MemberState::kLive;
                          }));
}

// Guards against succession records that form a cycle, and against records that
// are used after their retention time.
TEST(MemberViewTest, SuccessionIsFollowedAndCyclesAreRefused) {
  MemberView view = ViewOf();
  const auto record = [](Incarnation ended, Incarnation successor) {
    return SuccessionRecord{ended, Identity("home", 1, successor), {}};
  };
  EXPECT_TRUE(AddSuccession(&view, record(2, 3), kStart));
  EXPECT_TRUE(AddSuccession(&view, record(3, 4), kStart));
  EXPECT_FALSE(AddSuccession(&view, record(4, 2), kStart));
  EXPECT_FALSE(AddSuccession(&view, record(5, 5), kStart));
  EXPECT_EQ(FindSuccessor(view, 2, kStart)->incarnation, 4u);
  EXPECT_FALSE(FindSuccessor(view, 9, kStart).has_value());
  EXPECT_FALSE(FindSuccessor(view, 2, kStart + hours(24)).has_value());
  PlanHeartbeats(&view, kStart + hours(24));
  EXPECT_TRUE(view.succession.empty());
}

// Guards against succession records that are lost with a heartbeat, or that are
// sent again after the member has acknowledged them.
TEST(MemberViewTest, SuccessionIsSentUntilAcknowledged) {
  MemberView view = ViewOf();
  ObserveRequest(&view, Identity("home", 1, 11), false, kStart);
  AddSuccession(&view, {2, Identity("home", 3, 3), {}}, kStart);
  const auto lost = PlanHeartbeats(&view, kStart).heartbeats;
  const auto again =
      PlanHeartbeats(&view, kStart + milliseconds(500)).heartbeats;
  ASSERT_EQ(lost.size(), 1u);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(lost[0].succession.size(), 1u);
  EXPECT_EQ(again[0].succession.size(), 1u);
  RecordSuccessionReceipt(&view, again[0].member, again[0].records_up_to);
  const auto after = PlanHeartbeats(&view, kStart + seconds(1)).heartbeats;
  ASSERT_EQ(after.size(), 1u);
  EXPECT_TRUE(after[0].succession.empty());
}

}  // namespace
}  // namespace sequoiapath
