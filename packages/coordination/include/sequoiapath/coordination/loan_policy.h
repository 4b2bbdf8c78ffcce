// Defines the policy for loans of units between VMs: which VM to ask for units,
// when to lend and when to recall a loan. The decisions compare expected waits.

#ifndef SEQUOIAPATH_COORDINATION_LOAN_POLICY_H_
#define SEQUOIAPATH_COORDINATION_LOAN_POLICY_H_

#include <optional>
#include <vector>

namespace sequoiapath {

// Load of a VM as carried by heartbeats, borrow requests and their replies.
struct VmLoad {
  int free = 0;     // Units that the VM would lend at once.
  int backlog = 0;  // Number of waiting tasks.
  // Units that the VM may use: owned and borrowed units, excluding lent ones.
  int units = 0;
  // Whether the VM is in the data centre of the VM that makes the decision.
  bool same_data_centre = true;
};

// Returns the expected wait for a unit, as a multiple of the mean run time of a
// task. All functions here are thread-safe.
double ExpectedWait(const VmLoad& load);

// Returns whether a VM with load `own` should lend its next free unit to
// `borrower`. It should if it has no backlog, or if its tasks would wait
// considerably less than the borrower's even without the unit.
bool ShouldLend(const VmLoad& own, const VmLoad& borrower);

// Returns whether a lender with load `own` and a backlog should recall its
// loans to `borrower`. It should if its tasks wait considerably longer than the
// borrower's.
bool ShouldRecall(const VmLoad& own, const VmLoad& borrower);

// Returns the index in `peers` of the VM to ask for units, or nothing if no VM
// should lend. VMs with free units are preferred to VMs without. Among equals,
// VMs in the same data centre are preferred, then those with more free units,
// then those with a shorter expected wait. `peers` must not include VMs to
// which a request of this VM is pending.
std::optional<std::size_t> ChooseLender(const VmLoad& own,
                                        const std::vector<VmLoad>& peers);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_LOAN_POLICY_H_
