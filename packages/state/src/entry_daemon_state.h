// Defines EntryDaemonState, the state of an EntryDaemon, which its modules
// share: entry_store_watch, entry_heartbeats, entry_election,
// entry_submissions, entry_records, entry_relays, entry_servers and
// late_requests.
//
// Thread safety: loop thread only, as for all functions of these modules.

#ifndef SEQUOIAPATH_STATE_ENTRY_DAEMON_STATE_H_
#define SEQUOIAPATH_STATE_ENTRY_DAEMON_STATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "entry_cancels.h"
#include "entry_metrics.h"
#include "order_relay.h"
#include "record_spread.h"
#include "sequoiapath/coordination/retry_budget.h"
#include "sequoiapath/coordination/scheduler_election.h"
#include "sequoiapath/state/entry_catalog.h"
#include "sequoiapath/state/entry_daemon.h"
#include "sequoiapath/state/job_gateway.h"
#include "sequoiapath/state/key_value_client.h"
#include "sequoiapath/state/scheduler_service.h"
#include "sequoiapath/transport/connection_limits.h"
#include "sequoiapath/transport/http_server.h"
#include "sequoiapath/transport/peer_client.h"

namespace sequoiapath::internal {

// Paths of the calls between daemons.
constexpr const char* kReportPath = "/scheduler/report";
constexpr const char* kSubmitPath = "/scheduler/submit";
constexpr const char* kCancelPath = "/scheduler/cancel";
constexpr const char* kCrashesPath = "/scheduler/crashes";
constexpr const char* kCancelsPath = "/scheduler/cancels";
constexpr const char* kCatalogPath = "/scheduler/catalog";
constexpr const char* kOrdersPath = "/scheduler/orders";
constexpr const char* kOrderRepliesPath = "/scheduler/order-replies";

// Names the sending process of a submission or cancel.
constexpr const char* kOriginHeader = "x-origin";
constexpr int kStatusOk = 200;
// Of heartbeats and cancels.
constexpr std::chrono::milliseconds kHeartbeatTimeout{400};
// Of heartbeats where the link is scarce. A later reply confirms nothing (see
// SchedulerTimes::daemon_timeout), and an earlier timeout would replace a
// connection that is only slow.
constexpr std::chrono::milliseconds kScarceLinkHeartbeatTimeout{800};

// State of another daemon that SchedulerElection does not hold.
struct PeerState {
  bool heartbeat_in_flight = false;
  bool reachable = false;  // According to the latest election run.
  // The connection of a heartbeat was silent, and none has succeeded since.
  bool suspect = false;
  bool closed = false;  // The connection of the latest heartbeat was closed.
  bool probe_in_flight = false;  // On the connection of the submissions.
  std::uint64_t incarnation = 0;
  TimePoint last_reply;  // To any call to the daemon.
};

struct EntryDaemonState {
  EventLoop* loop = nullptr;
  EntrySettings settings;
  EntryCodecs codecs;
  EntryCatalog catalog;
  SchedulerElection election;
  std::map<std::string, std::string> daemon_entries;  // Store values, by key.
  std::map<std::string, PeerState> peer_states;       // By VM.
  std::unique_ptr<PeerClient> peers;
  // Its connections carry the heartbeats where the link is scarce: on those of
  // `peers` they would wait behind submissions.
  std::unique_ptr<PeerClient> heartbeat_peers;
  std::unique_ptr<SchedulerService> service;
  std::unique_ptr<JobGateway> gateway;
  std::unique_ptr<KeyValueClient> store;
  OrderRelay order_relay;
  RecordSpread crash_spread;
  RecordSpread cancel_spread;
  EntryCancels cancels;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> ready_server;
  std::unique_ptr<HttpServer> peer_server;
  std::unique_ptr<HttpServer> metrics_server;
  RetryBudget cancel_retries;  // Used where the link is scarce.
  std::minstd_rand random{std::random_device{}()};
  // Of the requests to all servers.
  std::shared_ptr<RequestBudget> request_budget;
  std::uint64_t refusals_logged = 0;  // According to request_budget.
  EntryCounts counts;
  bool pull_in_flight = false;
  bool evacuation_pull_in_flight = false;
  bool stopping = false;
  bool ready_logged = false;
  bool monitors_all = true;  // As logged.
  TimePoint stop_began_at;
  TimePoint home_workers_found_at;
  // For requests that arrive late.
  TimePoint callers_checked_at;  // Latest AbortCheckTick.
  TimePoint disruption_began_at;
  // Requests of older connections may be late until then.
  TimePoint late_requests_until;
  TimePoint suspended_at;      // When a suspension was noticed.
  Duration suspended_time{0};  // According to EventLoop::SuspendedTime.
};

// Returns the name of a daemon's process.
std::string MakeOrigin(const std::string& vm, std::uint64_t incarnation);

// Returns the name of this process.
std::string OwnOrigin(const EntryDaemonState& daemon);

// Sets what the catalog decides in this daemon's reports.
void UpdateOwnReport(EntryDaemonState* daemon);

// Returns the time on this daemon's clock, as its heartbeats name it.
DaemonTime ReportTime(const EntryDaemonState& daemon);

// Encodes this daemon's report for the daemon on `vm`, which may be unknown.
std::string EncodeOwnReport(const EntryDaemonState& daemon,
                            const std::string& vm);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ENTRY_DAEMON_STATE_H_
