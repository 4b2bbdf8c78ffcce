// Defines which orders of a scheduler go through relays, which daemon relays
// the renewals and stops of a worker, and which orders a relay must drop.
//
// A scheduler on a slow link cannot send all orders itself. Its start orders go
// through the daemon that submitted the job and kept its text, its renewals and
// stops through one daemon for each worker.

#ifndef SEQUOIAPATH_COORDINATION_RELAY_POLICY_H_
#define SEQUOIAPATH_COORDINATION_RELAY_POLICY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sequoiapath/coordination/scheduler_election.h"
#include "sequoiapath/protocol/order_batch.h"
#include "sequoiapath/protocol/worker_order.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// A relay sends no order later than this after it has received it, and rejects
// a batch that was sent longer than this before the scheduler's latest
// heartbeat.
constexpr Duration kMaxRelayDelay = std::chrono::milliseconds(400);

// Returns whether a scheduler whose link has this rate in each direction sends
// the orders for `workers` workers through relays. A rate of zero is unknown;
// then it sends them itself. Thread-safe.
bool NeedsRelays(std::uint64_t link_bytes_per_second, std::size_t workers);

// A daemon that may relay orders.
struct RelayCandidate {
  std::string vm;
  std::string data_centre;
  Endpoint endpoint;
  std::uint64_t incarnation = 0;
};

// Returns the live daemons that can relay orders, without this one.
// Thread-safe.
std::vector<RelayCandidate> FindRelays(const SchedulerElection& election,
                                       TimePoint now);

// The relays of the workers. Not thread-safe: calls of the functions below must
// not overlap.
struct RelayRoutes {
  struct Route {
    std::string relay;  // VM; empty: the scheduler sends the orders itself.
    std::uint32_t renewals = 0;  // Renewals through `relay` without a reply.
    // By relay: until when it is not used for the worker, because an order
    // through it had no reply.
    std::map<std::string, TimePoint> avoided;
  };
  std::map<std::string, Route> workers;
};

// Chooses the daemon that relays the next renewal of a worker and the stops
// after it: among the candidates that are not avoided, those in the worker's
// data centre first, the one that rendezvous hashing selects. Returns its VM;
// empty if there is none. Call it for each renewal and only then. While a
// renewal has no reply, its relay stays as long as it is a candidate.
std::string ChooseRelay(RelayRoutes* routes,
                        const std::vector<RelayCandidate>& candidates,
                        const std::string& worker,
                        const std::string& data_centre, TimePoint now);

// Returns the relay of the worker's latest renewal; empty if there is none.
std::string CurrentRelay(const RelayRoutes& routes, const std::string& worker);

// Record that a renewal through the worker's relay was sent, or that it has its
// reply or counts as unanswered.
void BeginRelayedRenewal(RelayRoutes* routes, const std::string& worker);
void EndRelayedRenewal(RelayRoutes* routes, const std::string& worker);

// Records that a renewal of the worker through `relay` had no reply.
void RecordRelayFailure(RelayRoutes* routes, const std::string& worker,
                        const std::string& relay, TimePoint now);

// The highest fencing token that this daemon has relayed for each worker. Not
// thread-safe.
struct RelayedFences {
  std::map<std::string, FencingToken> highest;
};

// Returns whether an order with this token may be relayed to the worker, and
// records the token if so.
bool AcceptRelayedFence(RelayedFences* fences, const std::string& worker,
                        FencingToken fence);

// Returns whether a batch of orders is meant for the process `self` and recent.
// `scheduler` is the latest report of the sender. TCP delivers a batch late
// when a cut ends. Thread-safe.
bool IsCurrentBatch(const OrderBatch& batch, const DaemonReport& scheduler,
                    std::uint64_t self);

// Returns how long a batch of orders or replies is collected before it is sent,
// if the previous one to the same daemon was sent at `previous`. Thread-safe.
Duration BatchDelay(TimePoint previous, TimePoint now);

// Returns when a relayed start order must not be sent any more. Thread-safe.
TimePoint RelayedStartExpiry(const RelayedStart& start, TimePoint received);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_RELAY_POLICY_H_
