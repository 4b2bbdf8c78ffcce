#include "entry_heartbeats.h"

#include <utility>
#include <variant>

#include "entry_election.h"
#include "entry_store_watch.h"
#include "sequoiapath/coordination/daemon_monitoring.h"
#include "sequoiapath/protocol/peer_message.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

// Of a probe where the link is scarce. Equals the time after which a congested
// scheduler is replaced.
constexpr milliseconds kProbeTimeout{2000};
// Longest silence on the connection of the submissions, while jobs wait for
// answers, before it is probed there.
constexpr milliseconds kProbeInterval{500};

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

}  // namespace

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
    if (daemon->election.self.claim != 0) {
      ReadCancelsOfLostDaemon(daemon, report.vm);
    }
  }
  peer_state.incarnation = report.incarnation;
  ReturnJobsOfLeavingDaemon(daemon, report);
  PullCatalog(daemon, report);
  PullEvacuations(daemon, report);
  if (!decisive) return;
  CheckScheduler(daemon, report);
  RunElectionNow(daemon);
}

void RecordReply(EntryDaemonState* daemon, const std::string& vm,
                 const HttpResult& result) {
  if (!std::holds_alternative<HttpResponse>(result)) return;
  daemon->peer_states[vm].last_reply = daemon->loop->Now();
}

namespace {

// `incarnation` is that of the daemon on `vm` when the heartbeat was sent to it
// at `sent_at`.
void OnHeartbeatReply(EntryDaemonState* daemon, const std::string& vm,
                      std::uint64_t incarnation, TimePoint sent_at,
                      const HttpResult& result) {
  PeerState& peer_state = daemon->peer_states[vm];
  peer_state.heartbeat_in_flight = false;
  const bool scarce = daemon->service->Link().scarce;
  // Where the link is scarce, ProbeSubmissions watches the connection of the
  // submissions, and a heartbeat says nothing about it.
  if (!scarce) RecordReply(daemon, vm, result);
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr || response->status != kStatusOk) {
    ++daemon->counts.heartbeats_failed;
    const auto* error = std::get_if<HttpError>(&result);
    if (error != nullptr && error->connection_was_silent && !scarce) {
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

// Records how long a heartbeat to a reachable daemon took. One to a daemon that
// has ended says nothing about this daemon's link.
void RecordHeartbeatRoundTrip(EntryDaemonState* daemon, const std::string& vm,
                              TimePoint sent_at, const HttpResult& result) {
  const auto* error = std::get_if<HttpError>(&result);
  if (error != nullptr && error->kind != HttpErrorKind::kTimeout) return;
  const TimePoint now = daemon->loop->Now();
  if (!IsReachable(daemon->election, vm, now)) return;
  daemon->service->RecordHeartbeat(now - sent_at);
}

}  // namespace

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
  const bool scarce = daemon->service->Link().scarce;
  PeerClient* peers =
      scarce ? daemon->heartbeat_peers.get() : daemon->peers.get();
  peers->Call(endpoint, std::move(call),
              scarce ? kScarceLinkHeartbeatTimeout : kHeartbeatTimeout,
              [daemon, vm, incarnation, sent_at](const HttpResult& result) {
                RecordHeartbeatRoundTrip(daemon, vm, sent_at, result);
                OnHeartbeatReply(daemon, vm, incarnation, sent_at, result);
              });
}

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

namespace {

// Sends a report to the scheduler on the connection of the submissions, which
// heartbeats do not use where the link is scarce. If the connection has stopped
// responding, the jobs are submitted again on another one.
void ProbeSubmissions(EntryDaemonState* daemon, const std::string& vm) {
  const auto peer = daemon->election.peers.find(vm);
  if (peer == daemon->election.peers.end()) return;
  const Endpoint& endpoint = peer->second.report.endpoint;
  PeerState& peer_state = daemon->peer_states[vm];
  if (peer_state.probe_in_flight || endpoint.port == 0) return;
  peer_state.probe_in_flight = true;
  PeerCall call{
      .path = kReportPath, .headers = {}, .body = EncodeOwnReport(*daemon, vm)};
  daemon->peers->Call(endpoint, std::move(call), kProbeTimeout,
                      [daemon, vm](const HttpResult& result) {
                        daemon->peer_states[vm].probe_in_flight = false;
                        RecordReply(daemon, vm, result);
                        const auto* error = std::get_if<HttpError>(&result);
                        if (error == nullptr || !error->connection_was_silent) {
                          return;
                        }
                        if (vm == daemon->election.leader) {
                          daemon->gateway->ResubmitAll();
                        }
                      });
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
  const Duration silence =
      now - daemon->peer_states[election.leader].last_reply;
  if (daemon->service->Link().scarce) return silence >= kProbeInterval;
  const Duration interval = election.times.heartbeat_interval;
  return now - leader->second.last_sent >= interval && silence >= interval;
}

}  // namespace

void SendDueHeartbeats(EntryDaemonState* daemon) {
  for (const std::string& vm :
       DueHeartbeats(daemon->election, daemon->loop->Now())) {
    SendHeartbeat(daemon, vm);
  }
  if (!AwaitsAnswersInSilence(daemon)) return;
  if (daemon->service->Link().scarce) {
    ProbeSubmissions(daemon, daemon->election.leader);
  } else {
    SendHeartbeat(daemon, daemon->election.leader);
  }
}

void SendHeartbeatsToAll(EntryDaemonState* daemon) {
  for (const auto& [vm, peer] : daemon->election.peers) {
    SendHeartbeat(daemon, vm);
  }
}

}  // namespace sequoiapath::internal
