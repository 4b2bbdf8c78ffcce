// Defines the policy for loans of units between VMs: which VM to ask for units,
// when to lend and when to recall a loan. The decisions compare expected waits.

#ifndef SEQUOIAPATH_COORDINATION_LOAN_POLICY_H_
#define SEQUOIAPATH_COORDINATION_LOAN_POLICY_H_

#include <optional>
#include <vector>

namespace sequoiapath {

// Load of a VM as carried by heartbeats, borrow requests and their replies.
struct VmLoad {
  int free = 0;     // Units that it would lend at once.
  int backlog = 0;  // Number of waiting tasks.
  // Units that it may use: owned and borrowed, without lent ones.
  int units = 0;
  bool same_data_centre = true;  // As the VM that makes the decision.
};

// Returns the expected wait for a unit, as a multiple of the mean run time of a
// task. All functions here are thread-safe.
double ExpectedWait(const VmLoad& load);

// Says whether a VM with load `own` should lend its next free unit to
// `borrower`: it has no backlog, or even without the unit its tasks wait
// considerably less than the borrower's.
bool ShouldLend(const VmLoad& own, const VmLoad& borrower);

// Says whether a lender with a backlog should recall its loans to `borrower`:
// its tasks wait considerably longer than the borrower's.
bool ShouldRecall(const VmLoad& own, const VmLoad& borrower);

// Returns the index in `peers` of the VM to ask for units, or nothing if no VM
// should lend. VMs with free units precede VMs without; then those in the same
// data centre precede others; then those with more free units; then those with
// a shorter expected wait. `peers` must not include VMs to which a request of
// this VM is pending.
std::optional<std::size_t> ChooseLender(const VmLoad& own,
                                        const std::vector<VmLoad>& peers);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_LOAN_POLICY_H_
