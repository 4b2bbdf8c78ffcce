// Defines the policy of loans between VMs: whom to ask, when to lend and when
// to recall, by expected wait.

#ifndef SEQUOIAPATH_COORDINATION_LOAN_POLICY_H_
#define SEQUOIAPATH_COORDINATION_LOAN_POLICY_H_

#include <optional>
#include <vector>

namespace sequoiapath {

// Load of a VM as carried by heartbeats, borrow requests and their replies.
struct VmLoad {
  int free = 0;     // Units that it would lend at once.
  int backlog = 0;  // Waiting tasks.
  int units = 0;    // Units it may use: owned and borrowed, without lent ones.
  bool same_data_centre = true;  // In the same data centre.
};

// Returns the expected wait for a unit, in mean run times. Thread-safe, as all
// functions here.
double ExpectedWait(const VmLoad& load);

// Says whether a VM should give its next free unit to `borrower`: it has no
// backlog, or its tasks wait less even without the unit.
bool ShouldLend(const VmLoad& own, const VmLoad& borrower);

// Says whether a lender with a backlog should recall its loans to `borrower`.
bool ShouldRecall(const VmLoad& own, const VmLoad& borrower);

// Returns the index of the VM to ask: one with free units, near ones first and
// then the one with the most; otherwise the near one that should lend and has
// the shortest expected wait; nothing if no VM should lend. `peers` has VMs
// that have no request of this VM pending.
std::optional<std::size_t> ChooseLender(const VmLoad& own,
                                        const std::vector<VmLoad>& peers);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_LOAN_POLICY_H_
