// Defines the conversions between the types of the ledger and those of the peer
// messages.

#ifndef SEQUOIAPATH_STATE_SRC_SHARE_MESSAGES_H_
#define SEQUOIAPATH_STATE_SRC_SHARE_MESSAGES_H_

#include <string>

#include "sequoiapath/coordination/loan_policy.h"
#include "sequoiapath/coordination/share_ledger.h"
#include "sequoiapath/protocol/peer_message.h"

namespace sequoiapath {

// Thread safety: all functions are thread-safe.

UnitCount ToMessage(const Units& units);
Units FromMessage(const UnitCount& units);

ShareStatus ToMessage(const ShareReport& report);
ShareReport FromMessage(const std::string& vm, const ShareStatus& status);

LoanGrant ToMessage(const Grant& grant);
Grant FromMessage(const LoanGrant& grant);

BorrowDemand FromMessage(const LoanDemand& demand);

// Returns the load of a peer in the same data centre.
VmLoad LoadFromMessage(const UnitCount& free, std::uint64_t backlog,
                       const UnitCount& units);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SRC_SHARE_MESSAGES_H_
