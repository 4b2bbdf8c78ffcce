// Defines RelayAccess, the functions through which a SchedulerService reaches
// the daemons that relay its orders.

#ifndef SEQUOIAPATH_STATE_RELAY_ACCESS_H_
#define SEQUOIAPATH_STATE_RELAY_ACCESS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sequoiapath/coordination/relay_policy.h"
#include "sequoiapath/protocol/order_batch.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath {

struct RelayAccess {
  // Rate of this VM's link in each direction; zero if it is not known.
  std::uint64_t link_bytes_per_second = 0;
  // Returns the live daemons that can relay orders.
  std::function<std::vector<RelayCandidate>()> candidates;
  // Sends a batch to a relay after setting its sender, receiver and time.
  // `callback` is called once. A response with status 200 means that the relay
  // has taken the batch; the replies to its orders follow separately.
  std::function<void(const RelayCandidate& relay, OrderBatch batch,
                     HttpCallback callback)>
      send;
};

// Totals since the service was created.
struct RelayCounts {
  std::uint64_t orders = 0;      // Sent through relays.
  std::uint64_t unanswered = 0;  // Of these, without a reply.
  std::uint64_t batches = 0;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_RELAY_ACCESS_H_
