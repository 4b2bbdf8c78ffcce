// Tests the choice of owners by a roster and the rules for proposing a new one.

#include "sequoiapath/coordination/roster.h"

#include <gtest/gtest.h>

#include <string>

namespace sequoiapath {
namespace {

const TimePoint kStart{std::chrono::hours(1)};
const RosterTimes kTimes;

VmState Live() { return {true, false, true, kStart, {}}; }

// Guards against an encoding that loses members, and against an invalid roster
// being accepted.
TEST(RosterTest, DecodeRestoresEncodedRoster) {
  const Roster roster{7, {"vm-a", "vm-b"}, {"vm-c"}};
  const auto decoded = DecodeRoster(EncodeRoster(roster));
  ASSERT_EQ(GetFailure(decoded), nullptr);
  EXPECT_EQ(std::get<Roster>(decoded), roster);
  EXPECT_NE(GetFailure(DecodeRoster("{\"epoch\": []}")), nullptr);
}

// Guards against a change of members that moves resources between the remaining
// members: only the resources of the removed member may get a new owner.
TEST(RosterTest, RemovalMovesOnlyResourcesOfTheRemovedMember) {
  const Roster all{1, {"a", "b", "c", "d"}, {}};
  const Roster fewer{2, {"a", "b", "c"}, {}};
  int of_d = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string worker = "worker-" + std::to_string(i);
    if (OwnerOf(all, worker) == "d") {
      ++of_d;
    } else {
      EXPECT_EQ(OwnerOf(all, worker), OwnerOf(fewer, worker));
    }
  }
  EXPECT_NEAR(of_d, 250, 60);
}

// Guards against the removal of a VM whose tasks may still run: an unreachable
// VM stays a member, and an unlisted VM stays one for the hold-down time.
TEST(RosterTest, UnreachableVmStaysAndUnlistedVmLeavesAfterHoldDown) {
  const Roster current{3, {"a", "b"}, {}};
  std::map<std::string, VmState> vms{{"a", Live()}, {"b", Live()}};
  vms["b"].live = false;
  EXPECT_FALSE(
      NextRoster(current, vms, kTimes, kStart + std::chrono::hours(1)));
  vms["b"].listed = false;
  vms["b"].unlisted_since = kStart;
  const TimePoint due = kStart + kTimes.hold_down;
  EXPECT_FALSE(NextRoster(current, vms, kTimes, due - Duration(1)));
  EXPECT_EQ(NextRoster(current, vms, kTimes, due), (Roster{4, {"a"}, {}}));
}

// Guards against resources being used by two VMs: a leaving VM may still run
// tasks, so the new owners must wait until it has released them.
TEST(RosterTest, LeavingVmBecomesFormer) {
  const Roster current{3, {"a", "b"}, {}};
  std::map<std::string, VmState> vms{{"a", Live()}, {"b", Live()}};
  vms["b"].leaving = true;
  EXPECT_EQ(NextRoster(current, vms, kTimes, kStart),
            (Roster{4, {"a"}, {"b"}}));
}

// Guards against simultaneous writes of a new roster by several VMs.
TEST(RosterTest, LowestLiveVmProposesFirst) {
  const Roster current{3, {"a", "b"}, {}};
  std::map<std::string, VmState> vms{
      {"a", Live()}, {"b", Live()}, {"c", Live()}};
  const TimePoint now = kStart + kTimes.join_delay;
  std::optional<TimePoint> due_a;
  std::optional<TimePoint> due_b;
  EXPECT_TRUE(ProposeRoster("a", current, vms, kTimes, &due_a, now));
  EXPECT_FALSE(ProposeRoster("b", current, vms, kTimes, &due_b, now));
  EXPECT_TRUE(ProposeRoster("b", current, vms, kTimes, &due_b,
                            now + kTimes.proposer_delay));
}

}  // namespace
}  // namespace sequoiapath
