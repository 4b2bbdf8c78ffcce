// Tests that lent units are not reclaimed too early after a new configuration
// has increased the longest task lease.

#include "sequoiapath/coordination/share_ledger.h"

#include <gtest/gtest.h>

namespace sequoiapath {
namespace {

using std::chrono::seconds;

// Guards against units being used twice: at the end of a loan that was granted
// under the shorter lease, the borrower may start a task with the longer lease,
// so the lender must reclaim the units only after the longer lease.
TEST(ShareLedgerTest, LongerTaskLeaseDelaysReclaimOfLentUnits) {
  const TimePoint begin{std::chrono::hours(1)};
  Document document;
  document.workers.resize(1);
  document.workers[0].name = "w";
  document.workers[0].data_centre = "d";
  ShareLedger ledger;
  InitializeLedger(&ledger, "a", {seconds(2), seconds(10)}, 1, false, begin);
  SetResources(&ledger, document, "d", begin);
  SetRoster(&ledger, {1, {"a"}, {}}, begin);
  ASSERT_EQ(LendUnits(&ledger, {"b", {{{}, 8, "", 0}}}, begin).size(), 1U);
  ExtendLongestTaskLease(&ledger, seconds(30));
  UpdateOwnershipAndLoans(&ledger, begin + seconds(13));
  EXPECT_EQ(UsableUnits(ledger).slots, 0);
  UpdateOwnershipAndLoans(&ledger, begin + seconds(32));
  EXPECT_EQ(UsableUnits(ledger).slots, 8);
}

}  // namespace
}  // namespace sequoiapath
