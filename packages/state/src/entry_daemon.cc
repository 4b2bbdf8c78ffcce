#include "sequoiapath/state/entry_daemon.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include "entry_daemon_state.h"
#include "entry_election.h"
#include "entry_heartbeats.h"
#include "entry_records.h"
#include "entry_relays.h"
#include "entry_servers.h"
#include "entry_store_watch.h"
#include "entry_submissions.h"
#include "late_requests.h"
#include "sequoiapath/coordination/daemon_monitoring.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPeerConnectTimeout{300};
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
constexpr Duration kSuppressedLinesInterval = std::chrono::seconds(1);
constexpr Duration kPeerReuseTimeout = std::chrono::seconds(50);

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
  daemon->catalog.evacuations.followed =
      daemon->settings.evacuation_bound.has_value();
  internal::InitializeElection(daemon);
  daemon->callers_checked_at = this->loop->Now();
  daemon->suspended_time = EventLoop::SuspendedTime();
  daemon->peers = PeerClientBuilder(this->loop)
                      .ConnectTimeout(internal::kPeerConnectTimeout)
                      .IdleTimeout(internal::kPeerReuseTimeout)
                      .Build();
  daemon->heartbeat_peers = PeerClientBuilder(this->loop)
                                .ConnectTimeout(internal::kPeerConnectTimeout)
                                .IdleTimeout(internal::kPeerReuseTimeout)
                                .Build();
  daemon->service = SchedulerServiceBuilder(this->loop, this->codecs.workers)
                        .Times(internal::MakeSchedulerTimes(daemon->settings))
                        .FollowEvacuations(daemon->catalog.evacuations.followed)
                        .LinkRate(daemon->settings.link_bytes_per_second)
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
  internal::InitializeRelays(daemon);
  internal::InitializeCrashSpread(daemon);
  internal::InitializeCancelSpread(daemon);
  if (auto error = internal::ListenAll(daemon)) return *std::move(error);
  Log(LogLevel::kInfo, "started",
      {{"vm", daemon->settings.vm},
       {"data_centre", daemon->settings.data_centre},
       {"incarnation", daemon->election.self.incarnation},
       {"core_share", daemon->settings.core_share}});
  internal::WatchStore(daemon);
  internal::InitializeCancels(daemon);
  internal::RecordsTick(daemon);
  internal::AbortCheckTick(daemon);
  internal::ElectionTick(daemon);
  internal::ReportSuppressed(daemon);
  return std::unique_ptr<EntryDaemon>(new EntryDaemon(std::move(state)));
}

}  // namespace sequoiapath
