#include "sequoiapath/state/entry_daemon.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "entry_metrics.h"
#include "record_spread.h"
#include "sequoiapath/coordination/daemon_monitoring.h"
#include "sequoiapath/coordination/scheduler_election.h"
#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/state/entry_catalog.h"
#include "sequoiapath/state/job_gateway.h"
#include "sequoiapath/state/key_value_client.h"
#include "sequoiapath/state/log.h"
#include "sequoiapath/state/scheduler_service.h"
#include "sequoiapath/transport/http_server.h"
#include "sequoiapath/transport/peer_client.h"

namespace sequoiapath {
namespace internal {

using std::chrono::milliseconds;

constexpr Duration kElectionInterval = milliseconds(50);
constexpr Duration kRecordsInterval = milliseconds(200);
constexpr milliseconds kHeartbeatTimeout{400};
// A caller whose connection is lost sends its job to another daemon 1.3 s
// later. By then, the runs of the first submission must have been stopped.
constexpr Duration kAbortCheckInterval = milliseconds(50);
// A request is a danger if its caller has given it up and sent the job again,
// which takes 1.3 s at least. One that was sent within this time is not held.
constexpr Duration kLongestCertainAge = milliseconds(500);
// After a longer time without an AbortCheckTick this daemon has stood still.
constexpr Duration kLongestPause = milliseconds(500);
// A request may be late until this long after a disruption at least, and for as
// long as the disruption was. The intervals at which TCP repeats a segment
// double while there is no way, so one that was sent at the start of a cut may
// arrive after the end of the cut plus the length of the cut.
constexpr Duration kLateRequestTime = milliseconds(5000);
constexpr Duration kLongestLateRequestTime = std::chrono::seconds(60);
// Time until a daemon counts as unreachable, with a margin.
constexpr Duration kDisruptionDetectionTime = milliseconds(1000);
// Two readings of the time of suspensions differ by less without a suspension.
constexpr Duration kSuspensionTolerance = milliseconds(10);
// Delay before a daemon that became a partial scheduler claims the workers of
// another scheduler. Daemons that became unreachable together are all detected
// within this time.
constexpr Duration kPartialClaimDelay = milliseconds(700);
constexpr milliseconds kPeerConnectTimeout{300};
// Added to a job's remaining time as the timeout of its submission, so that the
// reply can arrive.
constexpr milliseconds kSubmissionTimeoutMargin{300};
// Doubles with each attempt, because a scheduler that is overloaded closes many
// connections, and cancels at a fixed interval would add to its load.
constexpr Duration kFirstCancelRetryDelay = milliseconds(50);
// A scheduler that receives nothing from this daemon for a shorter time cancels
// all of the daemon's jobs.
constexpr Duration kCancelRetryTime = milliseconds(2000);
constexpr milliseconds kCatalogTimeout{800};
// Prefix of the daemons' entries in the store. A VM's name follows.
constexpr std::string_view kDaemonPrefix = "sequoiapath/daemon/";
constexpr milliseconds kDaemonEntryTtl{4000};
// Pause between two watches of the workers' records. Each worker writes its
// record every second or two. The scheduler needs the changes soon; the other
// daemons read them in larger batches, so that they can replace the scheduler.
constexpr Duration kSchedulerWatchPause = milliseconds(200);
constexpr Duration kFollowerWatchPause = milliseconds(800);
// The same pause while resubmitted jobs wait for a newer list of the workers.
constexpr Duration kTakeoverWatchPause = milliseconds(20);
// The store counts as unresponsive after this time without a response. While it
// is available, it responds to lease renewals more often.
constexpr Duration kStoreSilenceTimeout = milliseconds(2500);
// The load balancer stops sending requests to a VM after two failed readiness
// checks, which are one second apart.
constexpr Duration kLoadBalancerRemovalTime = milliseconds(2600);
// A stop ends this long before the platform kills the process.
constexpr Duration kStopMargin = milliseconds(400);
constexpr Duration kStopCheckInterval = milliseconds(50);
// Time to write the last answers before the loop stops.
constexpr Duration kResponseFlushDelay = milliseconds(50);
// Subtracted from the longest lease that workers grant, as a margin for
// rounding. Workers shorten longer leases.
constexpr milliseconds kLeaseMargin{50};
constexpr int kRenewalsPerLease = 3;
// A fencing token that no scheduler claims.
constexpr FencingToken kNoClaim = 1;
constexpr Duration kSuppressedLinesInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxCallerBody = 4u << 20;
constexpr std::size_t kMaxPeerBody = 16u << 20;
constexpr Duration kCallerTimeout = std::chrono::seconds(30);
constexpr Duration kPeerIdleTimeout = std::chrono::seconds(60);
constexpr Duration kPeerReuseTimeout = std::chrono::seconds(50);
constexpr const char* kReportPath = "/scheduler/report";
constexpr const char* kSubmitPath = "/scheduler/submit";
constexpr const char* kCancelPath = "/scheduler/cancel";
constexpr const char* kCrashesPath = "/scheduler/crashes";
constexpr const char* kCancelsPath = "/scheduler/cancels";
constexpr const char* kCatalogPath = "/scheduler/catalog";
constexpr const char* kOriginHeader = "x-origin";
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

// State of another daemon that SchedulerElection does not hold.
struct PeerState {
  bool heartbeat_in_flight = false;
  bool reachable = false;  // According to the latest election run.
  // The connection of a heartbeat was silent, and none has succeeded since.
  bool suspect = false;
  bool closed = false;  // The connection of the latest heartbeat was closed.
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
  std::unique_ptr<SchedulerService> service;
  std::unique_ptr<JobGateway> gateway;
  std::unique_ptr<KeyValueClient> store;
  RecordSpread crash_spread;
  RecordSpread cancel_spread;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> ready_server;
  std::unique_ptr<HttpServer> peer_server;
  std::unique_ptr<HttpServer> metrics_server;
  EntryCounts counts;
  bool pull_in_flight = false;
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

namespace {

void SendHeartbeat(EntryDaemonState* daemon, const std::string& vm);
void SendDueHeartbeats(EntryDaemonState* daemon);
void RunElectionNow(EntryDaemonState* daemon);

milliseconds WallClock() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::string MakeOrigin(const std::string& vm, std::uint64_t incarnation) {
  return fmt::format("{}/{}", vm, incarnation);
}

std::string OwnOrigin(const EntryDaemonState& daemon) {
  return MakeOrigin(daemon.election.self.vm, daemon.election.self.incarnation);
}

void UpdateOwnReport(EntryDaemonState* daemon) {
  daemon->election.self.config_version = daemon->catalog.config_version;
  daemon->election.self.store_revision = daemon->catalog.worker_revision;
}

// Returns the time on this daemon's clock, as its heartbeats name it.
DaemonTime ReportTime(const EntryDaemonState& daemon) {
  return std::chrono::floor<milliseconds>(daemon.loop->Now());
}

// Encodes this daemon's report for the daemon on `vm`, which may be unknown.
std::string EncodeOwnReport(const EntryDaemonState& daemon,
                            const std::string& vm) {
  DaemonReport report = daemon.election.self;
  report.sent_at = ReportTime(daemon);
  const auto peer = daemon.election.peers.find(vm);
  if (peer != daemon.election.peers.end()) {
    report.heard_incarnation = peer->second.report.incarnation;
    report.heard_sent_at = peer->second.report.sent_at;
  }
  return EncodePeerMessage(report);
}

// ---- Catalog ----

void ApplyCatalogChange(EntryDaemonState* daemon, CatalogChange change) {
  if (change.routes) daemon->gateway->SetRoutes(*std::move(change.routes));
  for (const WorkerDescription& worker : change.updated) {
    daemon->service->UpdateWorker(worker);
  }
  for (const std::string& id : change.removed) {
    daemon->service->UnlistWorker(id);
  }
  if (!change.updated.empty() || !change.removed.empty()) {
    std::vector<std::string> ids;
    ids.reserve(daemon->catalog.workers.size());
    for (const auto& [id, value] : daemon->catalog.workers) ids.push_back(id);
    daemon->gateway->SetWorkers(ids);
  }
  UpdateOwnReport(daemon);
}

void OnConfigChange(EntryDaemonState* daemon, const KeyValuePage& page) {
  for (const KeyValueItem& item : page.items) {
    if (item.key != daemon->codecs.store.config_key) continue;
    ApplyCatalogChange(daemon, ApplyConfig(&daemon->catalog, item.value));
  }
}

// Decodes the daemons' entries in the store, which have the form
// "data_centre address:port". Entries of another form are ignored.
std::vector<ListedDaemon> ListDaemons(const EntryDaemonState& daemon) {
  std::vector<ListedDaemon> listed;
  for (const auto& [key, value] : daemon.daemon_entries) {
    const auto space = value.find(' ');
    if (space == std::string::npos) continue;
    const auto endpoint = ParseEndpoint(value.substr(space + 1));
    if (!endpoint) continue;
    listed.push_back(
        {key.substr(kDaemonPrefix.size()), value.substr(0, space), *endpoint});
  }
  return listed;
}

void OnDaemonsChange(EntryDaemonState* daemon, const KeyValuePage& page,
                     bool complete) {
  if (complete) daemon->daemon_entries.clear();
  for (const KeyValueItem& item : page.items) {
    if (!item.key.starts_with(kDaemonPrefix)) continue;
    daemon->daemon_entries[item.key] = item.value;
  }
  for (const std::string& key : page.removed) daemon->daemon_entries.erase(key);
  SetListedDaemons(&daemon->election, ListDaemons(*daemon));
  SendDueHeartbeats(daemon);
}

Duration WorkerWatchPause(const EntryDaemonState& daemon) {
  if (daemon.election.self.claim == 0) return kFollowerWatchPause;
  return AwaitsWorkerList(daemon.service->scheduler(), daemon.loop->Now())
             ? kTakeoverWatchPause
             : kSchedulerWatchPause;
}

void WatchStore(EntryDaemonState* daemon) {
  const KeyValueCodec& codec = daemon->codecs.store;
  daemon->store->WatchPrefix(
      std::string(codec.config_prefix),
      [daemon](const KeyValuePage& page, bool /*complete*/,
               TimePoint /*read_at*/) { OnConfigChange(daemon, page); });
  daemon->store->WatchBusyPrefix(
      std::string(codec.worker_prefix),
      [daemon] { return WorkerWatchPause(*daemon); },
      [daemon](const KeyValuePage& page, bool complete, TimePoint read_at) {
        ApplyCatalogChange(daemon,
                           ApplyWorkers(&daemon->catalog, page, complete));
        daemon->service->SetWorkersListedAt(read_at);
      });
  daemon->store->WatchPrefix(
      std::string(kDaemonPrefix),
      [daemon](const KeyValuePage& page, bool complete, TimePoint /*read_at*/) {
        OnDaemonsChange(daemon, page, complete);
      });
  const EntrySettings& settings = daemon->settings;
  daemon->store->PutWithLease(
      {std::string(kDaemonPrefix) + settings.vm,
       settings.data_centre + " " + ToString(settings.peer_listen)},
      kDaemonEntryTtl);
}

bool StoreIsUnresponsive(const EntryDaemonState& daemon) {
  const TimePoint last = daemon.store->LastResponseTime();
  return last == TimePoint{} ||
         daemon.loop->Now() - last > kStoreSilenceTimeout;
}

// Requests another daemon's catalog if that has a newer configuration, or newer
// workers while this daemon cannot read them from the store.
void PullCatalog(EntryDaemonState* daemon, const DaemonReport& report) {
  const bool newer_config =
      report.config_version > daemon->catalog.config_version;
  const bool newer_workers =
      report.store_revision > daemon->catalog.worker_revision &&
      (StoreIsUnresponsive(*daemon) || !daemon->catalog.workers_known);
  if (daemon->pull_in_flight || (!newer_config && !newer_workers)) return;
  daemon->pull_in_flight = true;
  ++daemon->counts.catalog_pulls;
  PeerCall call{
      .path = kCatalogPath,
      .headers = {},
      .body = EncodePeerMessage(CatalogRequest{daemon->election.self.vm})};
  daemon->peers->Call(
      report.endpoint, std::move(call), kCatalogTimeout,
      [daemon, vm = report.vm](const HttpResult& result) {
        daemon->pull_in_flight = false;
        const auto* response = std::get_if<HttpResponse>(&result);
        if (response == nullptr || response->status != kStatusOk) {
          Log(LogLevel::kWarning, "catalog_pull_failed", {{"vm", vm}});
          return;
        }
        auto snapshot = DecodePeerMessage<CatalogSnapshot>(response->body);
        const auto* decoded = std::get_if<CatalogSnapshot>(&snapshot);
        if (decoded == nullptr) {
          Log(LogLevel::kError, "catalog_copy_unreadable", {{"vm", vm}});
          return;
        }
        Log(LogLevel::kInfo, "catalog_pulled",
            {{"vm", vm},
             {"config", decoded->config_version},
             {"revision", decoded->revision},
             {"former_revision", daemon->catalog.worker_revision}});
        ApplyCatalogChange(daemon,
                           ApplyCatalogSnapshot(&daemon->catalog, *decoded));
      });
}

// ---- Heartbeats ----

// Stops the jobs of a daemon that follows another scheduler, which starts their
// tasks. The daemon also cancels each job here, but these messages may be lost.
void ReturnJobsOfLeavingDaemon(EntryDaemonState* daemon,
                               const DaemonReport& report) {
  const bool leaving =
      !report.scheduler.empty() && report.scheduler != daemon->election.self.vm;
  if (!leaving) return;
  daemon->service->ReturnJobsOf(MakeOrigin(report.vm, report.incarnation));
}

// Sends a heartbeat to the scheduler that another daemon's report contradicts
// or names: to this daemon's scheduler if the other one claims the role too,
// and to the other's if this daemon has none.
void CheckScheduler(EntryDaemonState* daemon, const DaemonReport& report) {
  const std::string& leader = daemon->election.leader;
  if (leader.empty()) {
    SendHeartbeat(daemon, report.scheduler);
  } else if (report.claim != 0 && leader != report.vm) {
    SendHeartbeat(daemon, leader);
  }
}

// Records a report and acts on its news.
void OnReport(EntryDaemonState* daemon, const DaemonReport& report) {
  if (report.vm == daemon->election.self.vm) return;
  if (IsOutdated(daemon->election, report)) return;
  const TimePoint now = daemon->loop->Now();
  const bool decisive = ChangesElection(daemon->election, report, now);
  RecordReport(&daemon->election, report, now);
  PeerState& peer_state = daemon->peer_states[report.vm];
  if (peer_state.incarnation != 0 &&
      peer_state.incarnation != report.incarnation) {
    daemon->service->CancelJobsOf(
        MakeOrigin(report.vm, peer_state.incarnation));
  }
  peer_state.incarnation = report.incarnation;
  ReturnJobsOfLeavingDaemon(daemon, report);
  PullCatalog(daemon, report);
  if (!decisive) return;
  CheckScheduler(daemon, report);
  RunElectionNow(daemon);
}

// Records that the connection to the daemon on `vm` responds.
void RecordReply(EntryDaemonState* daemon, const std::string& vm,
                 const HttpResult& result) {
  if (!std::holds_alternative<HttpResponse>(result)) return;
  daemon->peer_states[vm].last_reply = daemon->loop->Now();
}

// `incarnation` is that of the daemon on `vm` when the heartbeat was sent to it
// at `sent_at`.
void OnHeartbeatReply(EntryDaemonState* daemon, const std::string& vm,
                      std::uint64_t incarnation, TimePoint sent_at,
                      const HttpResult& result) {
  PeerState& peer_state = daemon->peer_states[vm];
  peer_state.heartbeat_in_flight = false;
  RecordReply(daemon, vm, result);
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr || response->status != kStatusOk) {
    ++daemon->counts.heartbeats_failed;
    const auto* error = std::get_if<HttpError>(&result);
    if (error != nullptr && error->connection_was_silent) {
      peer_state.suspect = true;
    }
    const bool closed =
        error != nullptr && error->kind == HttpErrorKind::kClosed;
    const bool closed_again = std::exchange(peer_state.closed, closed);
    if (closed && !closed_again) {
      // The network may have reset the connection. If the process has ended, a
      // new connection is refused within one round trip.
      SendHeartbeat(daemon, vm);
    } else if (error != nullptr && error->kind != HttpErrorKind::kTimeout) {
      RecordDaemonFailure(&daemon->election, vm, incarnation);
      RunElectionNow(daemon);
    }
    return;
  }
  auto report = DecodePeerMessage<DaemonReport>(response->body);
  if (const auto* decoded = std::get_if<DaemonReport>(&report)) {
    OnReport(daemon, *decoded);
    daemon->service->ConfirmDaemon(
        MakeOrigin(decoded->vm, decoded->incarnation), sent_at);
  }
  peer_state.closed = false;
  // Replies to submissions to the scheduler are lost if its connection stopped
  // responding, so the jobs are submitted again.
  if (std::exchange(peer_state.suspect, false) &&
      vm == daemon->election.leader) {
    daemon->gateway->ResubmitAll();
  }
}

// Sends a heartbeat to the daemon on `vm`, unless one is unanswered or the
// daemon's endpoint is not known.
void SendHeartbeat(EntryDaemonState* daemon, const std::string& vm) {
  const auto peer = daemon->election.peers.find(vm);
  if (peer == daemon->election.peers.end()) return;
  const Endpoint& endpoint = peer->second.report.endpoint;
  PeerState& peer_state = daemon->peer_states[vm];
  if (peer_state.heartbeat_in_flight || endpoint.port == 0) return;
  peer_state.heartbeat_in_flight = true;
  RecordHeartbeatSent(&daemon->election, vm, daemon->loop->Now());
  ++daemon->counts.heartbeats;
  PeerCall call{
      .path = kReportPath, .headers = {}, .body = EncodeOwnReport(*daemon, vm)};
  const std::uint64_t incarnation = IncarnationOf(daemon->election, vm);
  const TimePoint sent_at = daemon->loop->Now();
  daemon->peers->Call(
      endpoint, std::move(call), kHeartbeatTimeout,
      [daemon, vm, incarnation, sent_at](const HttpResult& result) {
        OnHeartbeatReply(daemon, vm, incarnation, sent_at, result);
      });
}

// Sends a report to the seeds while no other daemon is known. The replies are
// the reports of the seeds' daemons and name their VMs.
void QuerySeeds(EntryDaemonState* daemon) {
  if (!daemon->election.peers.empty()) return;
  for (const Endpoint& seed : daemon->settings.seeds) {
    if (seed == daemon->settings.peer_listen) continue;
    PeerCall call{.path = kReportPath,
                  .headers = {},
                  .body = EncodeOwnReport(*daemon, "")};
    daemon->peers->Call(
        seed, std::move(call), kHeartbeatTimeout,
        [daemon](const HttpResult& result) {
          const auto* response = std::get_if<HttpResponse>(&result);
          if (response == nullptr || response->status != kStatusOk) return;
          auto report = DecodePeerMessage<DaemonReport>(response->body);
          if (const auto* decoded = std::get_if<DaemonReport>(&report)) {
            OnReport(daemon, *decoded);
          }
        });
  }
}

// Returns whether jobs wait for answers on a connection to the scheduler that
// has been silent. The scheduler's own heartbeats arrive on another connection,
// so they do not show whether this one still responds.
bool AwaitsAnswersInSilence(EntryDaemonState* daemon) {
  const SchedulerElection& election = daemon->election;
  const auto leader = election.peers.find(election.leader);
  if (leader == election.peers.end()) return false;
  if (daemon->gateway->PendingJobCount() == 0) return false;
  const TimePoint now = daemon->loop->Now();
  const Duration interval = election.times.heartbeat_interval;
  return now - leader->second.last_sent >= interval &&
         now - daemon->peer_states[election.leader].last_reply >= interval;
}

void SendDueHeartbeats(EntryDaemonState* daemon) {
  for (const std::string& vm :
       DueHeartbeats(daemon->election, daemon->loop->Now())) {
    SendHeartbeat(daemon, vm);
  }
  if (AwaitsAnswersInSilence(daemon)) {
    SendHeartbeat(daemon, daemon->election.leader);
  }
}

// Announces that this daemon has begun or ended to schedule.
void SendHeartbeatsToAll(EntryDaemonState* daemon) {
  for (const auto& [vm, peer] : daemon->election.peers) {
    SendHeartbeat(daemon, vm);
  }
}

void RecordsTick(EntryDaemonState* daemon) {
  QuerySeeds(daemon);
  SendRecords(&daemon->crash_spread);
  SendRecords(&daemon->cancel_spread);
  daemon->loop->Schedule(kRecordsInterval, [daemon] { RecordsTick(daemon); });
}

// Notes whether callers may have sent requests that could not be delivered: a
// cut that separates a caller from this daemon also separates other daemons
// from it, and while this machine stands still nothing is received.
void NoteDisruptions(EntryDaemonState* daemon) {
  const TimePoint now = daemon->loop->Now();
  const Duration suspended_time = EventLoop::SuspendedTime();
  if (suspended_time > daemon->suspended_time + kSuspensionTolerance) {
    daemon->suspended_at = now;
  }
  daemon->suspended_time = suspended_time;
  const bool paused = now > daemon->callers_checked_at + kLongestPause;
  if (!paused && !AnyContactUnreachable(daemon->election, now)) return;
  if (now > daemon->late_requests_until) {
    daemon->disruption_began_at =
        (paused ? daemon->callers_checked_at : now) - kDisruptionDetectionTime;
  }
  daemon->late_requests_until =
      now + std::clamp(now - daemon->disruption_began_at, kLateRequestTime,
                       kLongestLateRequestTime);
}

// Returns whether a request may have been delivered so late that its caller has
// given it up. TCP delivers what was sent during a cut when the cut has ended,
// and the end of the caller's connection one round trip later. After a
// suspension, SentAfter is not known to be true.
bool MayBeLate(EntryDaemonState* daemon, const HttpResponder& responder) {
  NoteDisruptions(daemon);
  const TimePoint now = daemon->loop->Now();
  if (now <= daemon->suspended_at + kLateRequestTime) return true;
  if (responder.SentAfter() >= now - kLongestCertainAge) return false;
  return now <= daemon->late_requests_until;
}

// Cancels the jobs of callers that have closed their connections. After that,
// the callers of this daemon's other jobs are known to wait.
void AbortCheckTick(EntryDaemonState* daemon) {
  daemon->caller_server->CloseAbortedConnections();
  NoteDisruptions(daemon);
  daemon->callers_checked_at = daemon->loop->Now();
  daemon->service->ConfirmDaemon(OwnOrigin(*daemon), daemon->loop->Now());
  daemon->loop->Schedule(kAbortCheckInterval,
                         [daemon] { AbortCheckTick(daemon); });
}

// ---- Election ----

std::set<std::string> HomeWorkers(const EntryDaemonState& daemon) {
  std::set<std::string> home;
  const TimePoint now = daemon.loop->Now();
  for (const auto& [id, worker] : daemon.service->scheduler().workers) {
    if (IsHomeWorker(daemon.election, id, worker.description.data_centre,
                     now)) {
      home.insert(id);
    }
  }
  return home;
}

// Finds the home workers at most once in each `kElectionInterval`, because this
// examines all workers and members and an election runs with each heartbeat.
void UpdateExtent(EntryDaemonState* daemon) {
  const bool partial = daemon->election.role == SchedulerRole::kPartial;
  const TaskScheduler& scheduler = daemon->service->scheduler();
  const TimePoint now = daemon->loop->Now();
  if (partial && scheduler.partial &&
      now - daemon->home_workers_found_at < kElectionInterval) {
    return;
  }
  std::set<std::string> home;
  if (partial) home = HomeWorkers(*daemon);
  daemon->home_workers_found_at = now;
  if (scheduler.partial == partial && scheduler.home_workers == home) return;
  Log(LogLevel::kInfo, "scheduling_extent",
      {{"partial", partial}, {"home_workers", home.size()}});
  const bool became_partial = partial && !scheduler.partial;
  daemon->service->SetExtent(partial, std::move(home));
  // After kPartialClaimDelay this daemon has detected all unreachable daemons
  // and cancelled their jobs, which they submit to another scheduler.
  if (became_partial) {
    daemon->service->RetryForeignWorkers(
        MakeHighestFencingToken(&daemon->election), kPartialClaimDelay);
  }
}

const char* RoleName(SchedulerRole role) {
  switch (role) {
    case SchedulerRole::kFollower:
      return "follower";
    case SchedulerRole::kFull:
      return "full";
    case SchedulerRole::kPartial:
      return "partial";
  }
  return "unknown";
}

// Applies changes of the daemons' reachability, and cancels the jobs of daemons
// that became unreachable. Returns whether any daemon became reachable.
bool UpdateReachability(EntryDaemonState* daemon) {
  const TimePoint now = daemon->loop->Now();
  bool any_newly_reachable = false;
  for (auto& [vm, peer_state] : daemon->peer_states) {
    const bool reachable = IsReachable(daemon->election, vm, now);
    if (reachable == peer_state.reachable) continue;
    peer_state.reachable = reachable;
    if (daemon->election.contacts.contains(vm)) {
      Log(LogLevel::kInfo,
          reachable ? "daemon_reachable" : "daemon_unreachable",
          {{"vm", vm}, {"incarnation", peer_state.incarnation}});
    }
    if (reachable) {
      any_newly_reachable = true;
    } else {
      daemon->service->CancelJobsOf(MakeOrigin(vm, peer_state.incarnation));
    }
  }
  return any_newly_reachable;
}

void LogLeader(const EntryDaemonState& daemon, const std::string& former) {
  Log(LogLevel::kInfo, "scheduler_changed",
      {{"scheduler", daemon.election.leader},
       {"former", former},
       {"role", RoleName(daemon.election.role)},
       {"fence", daemon.election.self.claim},
       {"known_daemons", daemon.election.peers.size() + 1}});
}

// Logs when this daemon begins or ends to monitor all daemons.
void LogMonitoring(EntryDaemonState* daemon) {
  const SchedulerElection& election = daemon->election;
  if (std::exchange(daemon->monitors_all, election.monitors_all) ==
      election.monitors_all) {
    return;
  }
  Log(LogLevel::kInfo, "monitoring_changed",
      {{"monitors_all", election.monitors_all},
       {"standby", IsStandby(election)},
       {"scheduler", election.leader},
       {"known_daemons", election.peers.size() + 1}});
}

// Starts or stops scheduling according to the result of the election.
void ApplyRole(EntryDaemonState* daemon, bool schedules) {
  const bool scheduled = daemon->service->scheduler().fence != 0;
  if (schedules && !scheduled) {
    ++daemon->counts.elections_won;
    UpdateExtent(daemon);
    daemon->service->Begin(daemon->election.self.claim);
    SendHeartbeatsToAll(daemon);
  } else if (!schedules && scheduled) {
    daemon->service->End();
    // The other scheduler claims the workers as soon as it receives this
    // report.
    SendHeartbeatsToAll(daemon);
  } else if (schedules) {
    UpdateExtent(daemon);
  }
}

// Claims the workers that another scheduler had claimed, once no other
// scheduler is reachable. As long as two schedulers are reachable, each would
// claim the workers of the other.
void ClaimWorkersOfEndedSchedulers(EntryDaemonState* daemon, bool may_claim) {
  if (!may_claim || daemon->election.role != SchedulerRole::kFull ||
      !daemon->election.other_schedulers.empty()) {
    return;
  }
  daemon->service->RetryForeignWorkers(
      MakeHighestFencingToken(&daemon->election), Duration::zero());
}

void RunElectionNow(EntryDaemonState* daemon) {
  UpdateOwnReport(daemon);
  const bool any_newly_reachable = UpdateReachability(daemon);
  const std::string former = daemon->election.leader;
  const ElectionChange change =
      RunElection(&daemon->election, daemon->loop->Now(), WallClock());
  ApplyRole(daemon, daemon->election.self.claim != 0);
  ClaimWorkersOfEndedSchedulers(
      daemon, any_newly_reachable || change.last_other_scheduler_ended);
  LogMonitoring(daemon);
  if (!change.leader_changed && !change.role_changed) return;
  ++daemon->counts.leader_changes;
  LogLeader(*daemon, former);
  if (change.leader_changed) daemon->gateway->LeaderChanged();
}

void ElectionTick(EntryDaemonState* daemon) {
  RunElectionNow(daemon);
  SendDueHeartbeats(daemon);
  daemon->service->ReturnJobsOfUnconfirmedDaemons();
  daemon->loop->Schedule(kElectionInterval, [daemon] { ElectionTick(daemon); });
}

// ---- Submissions ----

const Endpoint* EndpointOf(const EntryDaemonState& daemon,
                           const std::string& vm) {
  const auto found = daemon.election.peers.find(vm);
  return found == daemon.election.peers.end() ? nullptr
                                              : &found->second.report.endpoint;
}

SubmissionResult ReadSubmissionResult(const HttpResult& result) {
  SubmissionResult submission;
  if (const auto* error = std::get_if<HttpError>(&result)) {
    submission.may_have_been_sent = error->may_have_been_sent;
    return submission;
  }
  auto answer =
      DecodePeerMessage<StepJobAnswer>(std::get<HttpResponse>(result).body);
  if (auto* decoded = std::get_if<StepJobAnswer>(&answer)) {
    submission.has_answer = true;
    submission.answer = std::move(*decoded);
  }
  return submission;
}

// Submits a job to this daemon's scheduler. A job that another scheduler may
// have had before waits for a list of the workers, which is requested at once.
void SubmitToService(EntryDaemonState* daemon, StepJob job,
                     const std::string& origin, StepJobCallback callback) {
  daemon->service->Submit(std::move(job), origin, std::move(callback));
  if (AwaitsWorkerList(daemon->service->scheduler(), daemon->loop->Now())) {
    daemon->store->EndWatchPause(daemon->codecs.store.worker_prefix);
  }
}

// Returns when the latest heartbeat of the scheduler was sent, on its clock;
// zero if there is none. A heartbeat of this daemon itself is always current.
DaemonTime HeartbeatOf(const EntryDaemonState& daemon,
                       const std::string& leader) {
  if (leader == daemon.election.self.vm) return ReportTime(daemon);
  const auto peer = daemon.election.peers.find(leader);
  if (peer == daemon.election.peers.end()) return DaemonTime{};
  return peer->second.report.sent_at;
}

// Names the claim and the heartbeat of the scheduler on which the submission is
// based, so that the scheduler can reject it if it arrives late.
void SetSubmissionBasis(const EntryDaemonState& daemon,
                        const std::string& leader, StepJob* job) {
  if (leader == daemon.election.self.vm) {
    job->scheduler_fence = daemon.election.self.claim;
    job->heartbeat_sent_at = ReportTime(daemon);
    return;
  }
  const auto peer = daemon.election.peers.find(leader);
  if (peer == daemon.election.peers.end()) return;
  const DaemonReport& report = peer->second.report;
  if (report.sent_at == DaemonTime{}) return;
  // Zero would mark a submission of an earlier version, which counts as
  // current.
  job->scheduler_fence = std::max(report.claim, kNoClaim);
  job->heartbeat_sent_at = report.sent_at;
}

void SubmitToLeader(EntryDaemonState* daemon, const std::string& leader,
                    StepJob job, const SubmissionCallback& callback) {
  SetSubmissionBasis(*daemon, leader, &job);
  if (leader == daemon->election.self.vm) {
    SubmitToService(daemon, std::move(job), OwnOrigin(*daemon),
                    [callback](const StepJobAnswer& answer) {
                      callback({true, answer, true});
                    });
    return;
  }
  const Endpoint* endpoint = EndpointOf(*daemon, leader);
  if (endpoint == nullptr) {
    callback({false, {}, false});
    return;
  }
  const Duration timeout = job.remaining + kSubmissionTimeoutMargin;
  PeerCall call{.path = kSubmitPath,
                .headers = {{kOriginHeader, OwnOrigin(*daemon)}},
                .body = EncodePeerMessage(job)};
  const std::uint64_t incarnation = IncarnationOf(daemon->election, leader);
  daemon->peers->Call(
      *endpoint, std::move(call), timeout,
      [daemon, leader, incarnation, callback](const HttpResult& result) {
        const auto* error = std::get_if<HttpError>(&result);
        const bool refused =
            error != nullptr && error->kind == HttpErrorKind::kConnectFailed;
        const bool closed =
            error != nullptr && error->kind == HttpErrorKind::kClosed;
        RecordReply(daemon, leader, result);
        if (refused) {
          RecordDaemonFailure(&daemon->election, leader, incarnation);
        }
        callback(ReadSubmissionResult(result));
        if (refused || closed) {
          // The heartbeat tells whether the scheduler's process has ended.
          SendHeartbeat(daemon, leader);
          RunElectionNow(daemon);
        }
      });
}

// A cancel of a job at another daemon.
struct RemoteCancel {
  std::string scheduler;
  // The cancelled submissions of this daemon; of all daemons if its number is
  // zero.
  SubmissionCancel cancelled;
  TimePoint last_attempt;  // No attempt begins after this time.
  Duration retry_delay = kFirstCancelRetryDelay;
};

RemoteCancel MakeRemoteCancel(const EntryDaemonState& daemon,
                              const std::string& scheduler,
                              const SubmissionCancel& cancelled) {
  RemoteCancel cancel;
  cancel.scheduler = scheduler;
  cancel.cancelled = cancelled;
  cancel.last_attempt = daemon.loop->Now() + kCancelRetryTime;
  return cancel;
}

void SendCancel(EntryDaemonState* daemon, const RemoteCancel& cancel);

void RetryCancel(EntryDaemonState* daemon, RemoteCancel cancel) {
  if (daemon->loop->Now() > cancel.last_attempt) return;
  // The job has returned to this scheduler, which does not tell submissions
  // apart if it is of an earlier version.
  if (daemon->gateway->IsSubmittedTo(cancel.cancelled.job, cancel.scheduler)) {
    return;
  }
  cancel.retry_delay *= 2;
  SendCancel(daemon, cancel);
}

void OnCancelError(EntryDaemonState* daemon, const RemoteCancel& cancel,
                   const HttpError& error) {
  // A connection is refused if the scheduler's process has ended, or if the
  // scheduler cannot be reached and stops all jobs of this daemon.
  const bool retries =
      !cancel.cancelled.expired && error.kind != HttpErrorKind::kConnectFailed;
  Log(LogLevel::kWarning, "cancel_unanswered",
      {{"id", cancel.cancelled.job},
       {"scheduler", cancel.scheduler},
       {"submission", cancel.cancelled.submission},
       {"expired", cancel.cancelled.expired},
       {"retries", retries}});
  if (!retries) return;
  daemon->loop->Schedule(cancel.retry_delay,
                         [daemon, cancel] { RetryCancel(daemon, cancel); });
}

// Sends the cancel until the scheduler has answered it, because a scheduler
// that has missed it would go on starting the job's tasks.
void SendCancel(EntryDaemonState* daemon, const RemoteCancel& cancel) {
  const Endpoint* endpoint = EndpointOf(*daemon, cancel.scheduler);
  if (endpoint == nullptr) return;
  const CancelStepJob message{cancel.cancelled.job, OwnOrigin(*daemon),
                              cancel.cancelled.submission};
  PeerCall call{
      .path = kCancelPath, .headers = {}, .body = EncodePeerMessage(message)};
  if (cancel.cancelled.submission != 0) {
    call.headers.push_back({kOriginHeader, OwnOrigin(*daemon)});
  }
  daemon->peers->Call(*endpoint, std::move(call), kHeartbeatTimeout,
                      [daemon, cancel](const HttpResult& result) {
                        const auto* error = std::get_if<HttpError>(&result);
                        if (error != nullptr) {
                          OnCancelError(daemon, cancel, *error);
                        }
                      });
}

void CancelAtLeader(EntryDaemonState* daemon, const std::string& leader,
                    const SubmissionCancel& cancel) {
  if (leader != daemon->election.self.vm) {
    SendCancel(daemon, MakeRemoteCancel(*daemon, leader, cancel));
  } else {
    daemon->service->CancelSubmission(cancel.job, OwnOrigin(*daemon),
                                      cancel.submission);
  }
}

// Applies a caller's cancel to this daemon's job and to its scheduler. `from`
// names the daemon process that sent it; empty if the caller sent it here.
void ApplyCallerCancel(EntryDaemonState* daemon, const JobCancel& cancel,
                       std::string_view from) {
  if (FindCancel(daemon->service->scheduler().cancels, cancel.job) != nullptr) {
    return;
  }
  const bool scheduled = daemon->service->scheduler().jobs.contains(cancel.job);
  const bool accepted = daemon->gateway->CancelForCaller(cancel.job);
  const bool recorded = daemon->service->ApplyCallerCancel(cancel, from);
  Log(LogLevel::kInfo, "job_cancelled",
      {{"id", cancel.job},
       {"from", from.empty() ? "caller" : from},
       {"age_ms", cancel.age.count()},
       {"accepted_here", accepted},
       {"scheduled_here", scheduled},
       {"recorded", recorded}});
}

// Cancels a job whose caller has sent the cancel to this daemon.
void CancelEverywhere(EntryDaemonState* daemon, const std::string& job) {
  ApplyCallerCancel(daemon, {job, milliseconds(0)}, "");
  SendRecords(&daemon->cancel_spread);
  const std::string& leader = daemon->election.leader;
  if (leader.empty() || leader == daemon->election.self.vm) return;
  // A scheduler of an earlier version keeps no cancels.
  SubmissionCancel cancelled;
  cancelled.job = job;
  SendCancel(daemon, MakeRemoteCancel(*daemon, leader, cancelled));
}

std::optional<Duration> CancelAge(const EntryDaemonState& daemon,
                                  const std::string& job) {
  const TimePoint* cancelled =
      FindCancel(daemon.service->scheduler().cancels, job);
  if (cancelled == nullptr) return std::nullopt;
  return daemon.loop->Now() - *cancelled;
}

SchedulerAccess MakeSchedulerAccess(EntryDaemonState* daemon) {
  return {
      .leader = [daemon] { return daemon->election.leader; },
      .fence = [daemon] { return daemon->election.self.highest_fence; },
      .heartbeat =
          [daemon](const std::string& leader) {
            return HeartbeatOf(*daemon, leader);
          },
      .submit =
          [daemon](const std::string& leader, StepJob job,
                   const SubmissionCallback& callback) {
            SubmitToLeader(daemon, leader, std::move(job), callback);
          },
      .cancel =
          [daemon](const std::string& leader, const SubmissionCancel& cancel) {
            CancelAtLeader(daemon, leader, cancel);
          },
      .cancel_everywhere =
          [daemon](const std::string& job) { CancelEverywhere(daemon, job); },
      .cancel_age =
          [daemon](const std::string& job) { return CancelAge(*daemon, job); }};
}

// ---- Crashes of workers and cancels of callers ----

// Returns the reachable daemons. A daemon that schedules sends them all of its
// records. One that follows sends all of them to the scheduler only.
std::vector<RecordReceiver> RecordReceivers(const EntryDaemonState& daemon) {
  const SchedulerElection& election = daemon.election;
  std::vector<RecordReceiver> receivers;
  for (const auto& [vm, peer] : election.peers) {
    if (!IsReachable(election, vm, daemon.loop->Now())) continue;
    const bool gets_all = election.self.claim != 0 || vm == election.leader;
    receivers.push_back({MakeOrigin(vm, peer.report.incarnation),
                         peer.report.endpoint, !gets_all});
  }
  return receivers;
}

template <typename History>
std::uint64_t LastSequence(const History& history) {
  return history.records.empty() ? 0 : history.last_sequence;
}

std::string EncodeCrashesAfter(const EntryDaemonState& daemon,
                               const RecordReceiver& receiver,
                               std::uint64_t* sequence) {
  const TaskCrashes message{
      OwnOrigin(daemon),
      CrashesAfter(daemon.service->scheduler().crashes, sequence,
                   receiver.origin, kMaxRecordsPerMessage, daemon.loop->Now())};
  return message.crashes.empty() ? "" : EncodePeerMessage(message);
}

// The scheduler starts the tasks of all jobs, so the others need its records of
// crashes only to succeed it.
void InitializeCrashSpread(EntryDaemonState* daemon) {
  daemon->crash_spread = {
      .peers = daemon->peers.get(),
      .path = kCrashesPath,
      .last_sequence =
          [daemon] {
            return LastSequence(daemon->service->scheduler().crashes);
          },
      .encode_after =
          [daemon](const RecordReceiver& receiver, std::uint64_t* sequence) {
            return EncodeCrashesAfter(*daemon, receiver, sequence);
          },
      .receivers =
          [daemon] {
            std::vector<RecordReceiver> receivers = RecordReceivers(*daemon);
            std::erase_if(receivers, [](const RecordReceiver& receiver) {
              return receiver.own_records_only;
            });
            return receivers;
          },
      .progress = {}};
  daemon->service->OnNewCrashes(
      [daemon] { SendRecords(&daemon->crash_spread); });
}

std::string EncodeCancelsAfter(const EntryDaemonState& daemon,
                               const RecordReceiver& receiver,
                               std::uint64_t* sequence) {
  const JobCancels message{
      OwnOrigin(daemon),
      CancelsAfter(daemon.service->scheduler().cancels, sequence,
                   receiver.origin, receiver.own_records_only,
                   kMaxRecordsPerMessage, daemon.loop->Now())};
  return message.cancels.empty() ? "" : EncodePeerMessage(message);
}

// Any daemon may have the cancelled job or get a repeated request for it.
void InitializeCancelSpread(EntryDaemonState* daemon) {
  daemon->cancel_spread = {
      .peers = daemon->peers.get(),
      .path = kCancelsPath,
      .last_sequence =
          [daemon] {
            return LastSequence(daemon->service->scheduler().cancels);
          },
      .encode_after =
          [daemon](const RecordReceiver& receiver, std::uint64_t* sequence) {
            return EncodeCancelsAfter(*daemon, receiver, sequence);
          },
      .receivers = [daemon] { return RecordReceivers(*daemon); },
      .progress = {}};
}

// ---- Servers ----

HttpResponse MakeOkResponse(std::string body) {
  return {.status = kStatusOk, .headers = {}, .body = std::move(body)};
}

void RespondStatus(const HttpResponder& responder, int status) {
  responder.Respond({.status = status, .headers = {}, .body = ""});
}

void HandleReport(EntryDaemonState* daemon, const HttpRequest& request,
                  const HttpResponder& responder) {
  auto report = DecodePeerMessage<DaemonReport>(request.body);
  const auto* decoded = std::get_if<DaemonReport>(&report);
  if (decoded == nullptr) {
    Log(LogLevel::kError, "report_unreadable",
        {{"bytes", request.body.size()}});
    RespondStatus(responder, kStatusBadRequest);
    return;
  }
  OnReport(daemon, *decoded);
  // The sender was alive when it received the report that it names.
  if (decoded->heard_incarnation == daemon->election.self.incarnation) {
    daemon->service->ConfirmDaemon(
        MakeOrigin(decoded->vm, decoded->incarnation),
        TimePoint(decoded->heard_sent_at));
  }
  responder.Respond(MakeOkResponse(EncodeOwnReport(*daemon, decoded->vm)));
}

void HandleSubmit(EntryDaemonState* daemon, const HttpRequest& request,
                  const HttpResponder& responder) {
  auto job = DecodePeerMessage<StepJob>(request.body);
  auto* decoded = std::get_if<StepJob>(&job);
  if (decoded == nullptr) {
    Log(LogLevel::kError, "submission_unreadable",
        {{"bytes", request.body.size()}});
    RespondStatus(responder, kStatusBadRequest);
    return;
  }
  const std::string origin(
      FindHeader(request.headers, kOriginHeader).value_or(""));
  if (decoded->scheduler_fence == 0) {  // From an earlier version.
    daemon->service->ConfirmDaemon(origin, daemon->loop->Now());
  } else if (decoded->scheduler_fence == daemon->election.self.claim) {
    daemon->service->ConfirmDaemon(origin,
                                   TimePoint(decoded->heartbeat_sent_at));
  }
  SubmitToService(
      daemon, std::move(*decoded), origin,
      [responder](const StepJobAnswer& answer) {
        responder.Respond(MakeOkResponse(EncodePeerMessage(answer)));
      });
}

void HandleCancel(EntryDaemonState* daemon, const HttpRequest& request,
                  const HttpResponder& responder) {
  auto cancel = DecodePeerMessage<CancelStepJob>(request.body);
  const auto* decoded = std::get_if<CancelStepJob>(&cancel);
  if (decoded == nullptr) {
    RespondStatus(responder, kStatusBadRequest);
    return;
  }
  if (const auto origin = FindHeader(request.headers, kOriginHeader)) {
    daemon->service->CancelSubmission(decoded->job, std::string(*origin),
                                      decoded->submission);
  } else {
    // A daemon of an earlier version names no sender and does not spread the
    // cancel, so this one does.
    ApplyCallerCancel(daemon, {decoded->job, milliseconds(0)}, decoded->sender);
  }
  responder.Respond(MakeOkResponse(""));
}

void HandleCancels(EntryDaemonState* daemon, const HttpRequest& request,
                   const HttpResponder& responder) {
  auto cancels = DecodePeerMessage<JobCancels>(request.body);
  const auto* decoded = std::get_if<JobCancels>(&cancels);
  if (decoded == nullptr) {
    RespondStatus(responder, kStatusBadRequest);
    return;
  }
  for (const JobCancel& cancel : decoded->cancels) {
    ApplyCallerCancel(daemon, cancel, decoded->origin);
  }
  responder.Respond(MakeOkResponse(""));
}

void HandleCrashes(EntryDaemonState* daemon, const HttpRequest& request,
                   const HttpResponder& responder) {
  auto crashes = DecodePeerMessage<TaskCrashes>(request.body);
  const auto* decoded = std::get_if<TaskCrashes>(&crashes);
  if (decoded == nullptr) {
    RespondStatus(responder, kStatusBadRequest);
    return;
  }
  daemon->service->MergeCrashes(*decoded);
  responder.Respond(MakeOkResponse(""));
}

void HandlePeer(EntryDaemonState* daemon, const HttpRequest& request,
                const HttpResponder& responder) {
  if (request.path == kReportPath) {
    HandleReport(daemon, request, responder);
  } else if (request.path == kSubmitPath) {
    HandleSubmit(daemon, request, responder);
  } else if (request.path == kCancelPath) {
    HandleCancel(daemon, request, responder);
  } else if (request.path == kCancelsPath) {
    HandleCancels(daemon, request, responder);
  } else if (request.path == kCrashesPath) {
    HandleCrashes(daemon, request, responder);
  } else if (request.path == kCatalogPath) {
    responder.Respond(MakeOkResponse(
        EncodePeerMessage(MakeCatalogSnapshot(daemon->catalog))));
  } else {
    RespondStatus(responder, kStatusNotFound);
  }
}

// Drops a request whose caller has left before it was read, because the caller
// may have sent the job to another daemon.
void HandleCaller(EntryDaemonState* daemon, const HttpRequest& request,
                  const HttpResponder& responder) {
  if (responder.CloseIfClientHasGone()) {
    Log(LogLevel::kInfo, "caller_left_early", {{"path", request.path}});
    return;
  }
  daemon->gateway->Handle(request, responder);
}

// Returns whether the daemon can accept a job and submit it to a scheduler.
bool IsReady(const EntryDaemonState& daemon) {
  return !daemon.stopping && daemon.catalog.config_version > 0 &&
         !daemon.election.leader.empty();
}

void HandleReady(EntryDaemonState* daemon, const HttpRequest& request,
                 const HttpResponder& responder) {
  if (request.path != daemon->codecs.callers.ready_path) {
    RespondStatus(responder, kStatusNotFound);
    return;
  }
  const bool ready = IsReady(*daemon);
  if (ready != daemon->ready_logged) {
    daemon->ready_logged = ready;
    Log(LogLevel::kInfo, ready ? "ready" : "not_ready",
        {{"stopping", daemon->stopping},
         {"config", daemon->catalog.config_version},
         {"scheduler", daemon->election.leader}});
  }
  RespondStatus(responder, ready ? kStatusOk : kStatusUnavailable);
}

void HandleMetrics(EntryDaemonState* daemon, const HttpResponder& responder) {
  const auto age = std::chrono::duration<double>(
      daemon->loop->Now() - daemon->store->LastResponseTime());
  const EntryMetricsSource source{
      .daemon = daemon->counts,
      .gateway = daemon->gateway->Counts(),
      .store = daemon->store->Counts(),
      .scheduler = daemon->service->scheduler(),
      .election = daemon->election,
      .pending_jobs = daemon->gateway->PendingJobCount(),
      .config_version = daemon->catalog.config_version,
      .store_answer_age_seconds = age.count()};
  responder.Respond({.status = kStatusOk,
                     .headers = {{"content-type", "text/plain; version=0.0.4"}},
                     .body = RenderEntryMetrics(source)});
}

// Starts a server. Returns an error message if it cannot listen.
std::optional<std::string> Listen(EntryDaemonState* daemon,
                                  const Endpoint& endpoint,
                                  std::size_t max_body, Duration timeout,
                                  HttpHandler handler,
                                  std::unique_ptr<HttpServer>* server) {
  auto built = HttpServerBuilder(daemon->loop)
                   .Listen(endpoint)
                   .MaxBodySize(max_body)
                   .RequestTimeout(timeout)
                   .Handler(std::move(handler))
                   .Build();
  if (const auto* error = std::get_if<ListenError>(&built)) {
    return error->message;
  }
  *server = std::get<std::unique_ptr<HttpServer>>(std::move(built));
  return std::nullopt;
}

std::optional<std::string> ListenAll(EntryDaemonState* daemon) {
  const EntrySettings& settings = daemon->settings;
  auto error = Listen(
      daemon, settings.peer_listen, kMaxPeerBody, kPeerIdleTimeout,
      [daemon](const HttpRequest& request, const HttpResponder& responder) {
        HandlePeer(daemon, request, responder);
      },
      &daemon->peer_server);
  if (error) return error;
  error = Listen(
      daemon, settings.ready_listen, kMaxCallerBody, kCallerTimeout,
      [daemon](const HttpRequest& request, const HttpResponder& responder) {
        HandleReady(daemon, request, responder);
      },
      &daemon->ready_server);
  if (error) return error;
  error = Listen(
      daemon, settings.metrics_listen, kMaxCallerBody, kCallerTimeout,
      [daemon](const HttpRequest& /*request*/, const HttpResponder& responder) {
        HandleMetrics(daemon, responder);
      },
      &daemon->metrics_server);
  if (error) return error;
  return Listen(
      daemon, settings.caller_listen, kMaxCallerBody, kCallerTimeout,
      [daemon](const HttpRequest& request, const HttpResponder& responder) {
        HandleCaller(daemon, request, responder);
      },
      &daemon->caller_server);
}

// ---- Stop ----

// Stops the loop once no request is pending and the load balancer has removed
// this VM, or once the time for the stop has run out. Otherwise checks again
// later.
void CheckStopComplete(EntryDaemonState* daemon) {
  const Duration elapsed = daemon->loop->Now() - daemon->stop_began_at;
  const bool idle = daemon->caller_server->PendingRequests() == 0 &&
                    elapsed >= kLoadBalancerRemovalTime;
  const bool out_of_time = elapsed >= daemon->settings.stop_grace - kStopMargin;
  if (idle || out_of_time) {
    Log(LogLevel::kInfo, "stopped",
        {{"unanswered", daemon->gateway->PendingJobCount()},
         {"ms", std::chrono::duration_cast<milliseconds>(elapsed).count()}});
    daemon->gateway->AnswerRemainingJobs();
    daemon->loop->Schedule(kResponseFlushDelay,
                           [daemon] { daemon->loop->RequestStop(); });
    return;
  }
  daemon->loop->Schedule(kStopCheckInterval,
                         [daemon] { CheckStopComplete(daemon); });
}

void ReportSuppressed(EntryDaemonState* daemon) {
  ReportSuppressedLines();
  daemon->loop->Schedule(kSuppressedLinesInterval,
                         [daemon] { ReportSuppressed(daemon); });
}

// Returns the scheduler's times for the longest lease that workers grant.
SchedulerTimes MakeSchedulerTimes(const EntrySettings& settings) {
  SchedulerTimes times;
  if (settings.longest_lease.count() == 0) return times;
  const milliseconds lease = settings.longest_lease - kLeaseMargin;
  times.resubmission_wait += lease - times.lease.lease;
  times.lease.lease = lease;
  // Several renewals fit into one lease, so that a lost reply does not end the
  // runs.
  times.renewal_wait = std::min(times.renewal_wait, lease / kRenewalsPerLease);
  return times;
}

void InitializeElection(EntryDaemonState* daemon) {
  const EntrySettings& settings = daemon->settings;
  DaemonReport& self = daemon->election.self;
  self.vm = settings.vm;
  self.data_centre = settings.data_centre;
  self.endpoint = settings.peer_listen;
  std::random_device random;
  self.incarnation = (std::uint64_t{random()} << 32) | random();
  self.weight = settings.core_share;
  daemon->election.started = daemon->loop->Now();
}

}  // namespace
}  // namespace internal

EntryDaemon::EntryDaemon(std::unique_ptr<internal::EntryDaemonState> state)
    : state(std::move(state)) {}

EntryDaemon::~EntryDaemon() {
  // Timers and calls in flight have pointers to the state, so it is not freed.
  // A daemon exists until its process ends.
  static_cast<void>(this->state.release());
}

void EntryDaemon::BeginStop() {
  internal::EntryDaemonState* daemon = this->state.get();
  if (std::exchange(daemon->stopping, true)) return;
  daemon->stop_began_at = daemon->loop->Now();
  Log(LogLevel::kInfo, "stopping",
      {{"pending", daemon->gateway->PendingJobCount()},
       {"schedules", daemon->election.self.claim != 0}});
  const std::vector<std::string> monitors = FindMonitors(daemon->election);
  daemon->election.self.stopping = true;
  StepDown(&daemon->election, daemon->loop->Now());
  // Tells the daemons that monitor this one; a scheduler tells all.
  internal::RunElectionNow(daemon);
  for (const std::string& vm : monitors) internal::SendHeartbeat(daemon, vm);
  daemon->gateway->BeginStop(daemon->stop_began_at +
                             daemon->settings.stop_grace -
                             internal::kStopMargin);
  daemon->store->RevokeLease();
  daemon->caller_server->BeginGracefulShutdown();
  internal::CheckStopComplete(daemon);
}

void EntryDaemon::Reload(const EntrySettings& settings) {
  internal::EntryDaemonState* daemon = this->state.get();
  const bool addresses_differ =
      settings.caller_listen != daemon->settings.caller_listen ||
      settings.peer_listen != daemon->settings.peer_listen ||
      settings.ready_listen != daemon->settings.ready_listen;
  daemon->settings.seeds = settings.seeds;
  daemon->settings.stop_grace = settings.stop_grace;
  Log(LogLevel::kInfo, "settings_reloaded",
      {{"seeds", settings.seeds.size()},
       {"addresses_differ", addresses_differ}});
}

EntryDaemonBuilder::EntryDaemonBuilder(EventLoop* loop, EntrySettings settings,
                                       EntryCodecs codecs)
    : loop(loop), settings(std::move(settings)), codecs(codecs) {}

std::variant<std::unique_ptr<EntryDaemon>, std::string>
EntryDaemonBuilder::Build() {
  auto state = std::make_unique<internal::EntryDaemonState>();
  internal::EntryDaemonState* daemon = state.get();
  daemon->loop = this->loop;
  daemon->settings = std::move(this->settings);
  daemon->codecs = this->codecs;
  daemon->catalog.codec = this->codecs.store;
  internal::InitializeElection(daemon);
  daemon->callers_checked_at = this->loop->Now();
  daemon->suspended_time = EventLoop::SuspendedTime();
  daemon->peers = PeerClientBuilder(this->loop)
                      .ConnectTimeout(internal::kPeerConnectTimeout)
                      .IdleTimeout(internal::kPeerReuseTimeout)
                      .Build();
  daemon->service = SchedulerServiceBuilder(this->loop, this->codecs.workers)
                        .Times(internal::MakeSchedulerTimes(daemon->settings))
                        .Build();
  daemon->gateway =
      JobGatewayBuilder(this->loop, this->codecs.callers,
                        internal::MakeSchedulerAccess(daemon))
          .HoldLateRequests([daemon](const HttpResponder& responder) {
            return internal::MayBeLate(daemon, responder);
          })
          .Build();
  daemon->store = KeyValueClientBuilder(this->loop, daemon->settings.store,
                                        this->codecs.store)
                      .Build();
  internal::InitializeCrashSpread(daemon);
  internal::InitializeCancelSpread(daemon);
  if (auto error = internal::ListenAll(daemon)) return *std::move(error);
  Log(LogLevel::kInfo, "started",
      {{"vm", daemon->settings.vm},
       {"data_centre", daemon->settings.data_centre},
       {"incarnation", daemon->election.self.incarnation},
       {"core_share", daemon->settings.core_share}});
  internal::WatchStore(daemon);
  internal::RecordsTick(daemon);
  internal::AbortCheckTick(daemon);
  internal::ElectionTick(daemon);
  internal::ReportSuppressed(daemon);
  return std::unique_ptr<EntryDaemon>(new EntryDaemon(std::move(state)));
}

}  // namespace sequoiapath
