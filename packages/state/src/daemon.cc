#include "sequoiapath/state/daemon.h"

#include <fmt/format.h>

#include <optional>
#include <random>
#include <utility>

#include "config_console.h"
#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/state/caller_api.h"
#include "sequoiapath/state/config_keeper.h"
#include "sequoiapath/state/config_store.h"
#include "sequoiapath/state/job_runner.h"
#include "sequoiapath/state/log.h"
#include "sequoiapath/state/membership.h"
#include "sequoiapath/state/observation.h"
#include "sequoiapath/state/operator_api.h"
#include "sequoiapath/state/peer_service.h"
#include "sequoiapath/state/session_handover.h"
#include "sequoiapath/state/session_router.h"
#include "sequoiapath/state/share_exchange.h"
#include "sequoiapath/state/store_client.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {
namespace internal {

constexpr auto kStoreTimeout = std::chrono::seconds(2);
constexpr auto kChangeTimeLimit = std::chrono::seconds(5);
constexpr auto kLogReportInterval = std::chrono::seconds(1);
// Time for the last answers to be written to their sockets before the loop
// stops.
constexpr auto kFlushTime = std::chrono::milliseconds(200);
constexpr auto kStopPollInterval = std::chrono::milliseconds(20);

Incarnation GenerateIncarnation() {
  std::random_device device;
  const Incarnation incarnation = (Incarnation{device()} << 32) | device();
  return incarnation == 0 ? 1 : incarnation;
}

struct DaemonState {
  DaemonState(EventLoop* loop, Settings settings)
      : loop(loop),
        settings(std::move(settings)),
        incarnation(GenerateIncarnation()),
        runner(loop, fmt::format("{}-{:x}", this->settings.vm, incarnation)),
        caller_api(loop, &this->settings, incarnation, &runner),
        store(loop, this->settings.stores, kStoreTimeout),
        config_store(loop, &store, kChangeTimeLimit) {
    runner.SetMetrics(&observer.metrics);
    caller_api.SetObserver(&observer);
  }

  EventLoop* loop;
  Settings settings;
  Incarnation incarnation;
  Observer observer;
  JobRunner runner;
  CallerApi caller_api;
  StoreClient store;
  ConfigStore config_store;
  std::unique_ptr<HttpServer> caller_server;
  std::shared_ptr<const Catalog> catalog;
  std::unique_ptr<OperatorApi> operator_api;
  std::unique_ptr<HttpServer> operator_server;
  std::uint64_t generation = 0;
  bool stopping = false;
  bool stop_forced = false;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<ConfigKeeper> config_keeper;
  std::unique_ptr<ShareExchange> exchange;
  std::unique_ptr<SessionRouter> router;
  std::unique_ptr<SessionHandover> handover;
  // Declared last and so destroyed first: destroying it ends its requests,
  // whose callbacks use the other members.
  std::unique_ptr<PeerService> peers;
};

namespace {

void ApplyConfig(DaemonState* daemon, std::shared_ptr<const Catalog> catalog) {
  daemon->generation = catalog->generation;
  daemon->exchange->SetCatalog(*catalog);
  daemon->runner.SetCatalog(catalog);
  daemon->caller_api.SetCatalog(catalog);
  daemon->catalog = std::move(catalog);
}

// Listens for other daemons; returns an error message if the socket cannot be
// bound. The membership is started later, once all components have added their
// listeners.
std::optional<std::string> StartPeers(DaemonState* daemon) {
  const Settings& settings = daemon->settings;
  auto peers = PeerServiceBuilder(daemon->loop)
                   .Listen(settings.peer_listen)
                   .ClusterKey(settings.cluster_key)
                   .Build();
  if (const auto* error = std::get_if<ListenError>(&peers)) {
    return error->message;
  }
  daemon->peers = std::get<std::unique_ptr<PeerService>>(std::move(peers));
  daemon->membership = std::make_unique<Membership>(
      daemon->loop, daemon->peers.get(),
      MemberIdentity{settings.data_centre, settings.vm,
                     daemon->peers->endpoint(), daemon->incarnation},
      settings.seeds);
  return std::nullopt;
}

void CreateConfigKeeper(DaemonState* daemon) {
  daemon->config_keeper = std::make_unique<ConfigKeeper>(
      daemon->loop, daemon->peers.get(), daemon->membership.get(),
      &daemon->store, [daemon](std::shared_ptr<const Catalog> catalog) {
        ApplyConfig(daemon, std::move(catalog));
      });
}

DaemonStatus StatusOf(const DaemonState& daemon) {
  return {daemon.settings.vm,
          daemon.settings.data_centre,
          daemon.incarnation,
          daemon.generation,
          daemon.catalog == nullptr ? "" : daemon.catalog->digest,
          daemon.runner.RunningJobCount(),
          daemon.runner.WaitingTaskCount(),
          daemon.stopping};
}

std::vector<MemberStatus> MembersOf(const DaemonState& daemon) {
  using Milliseconds = std::chrono::milliseconds;
  std::vector<MemberStatus> members;
  const TimePoint now = daemon.loop->Now();
  for (const auto& [vm, member] : daemon.membership->view().members) {
    const bool heard = member.heard_at != TimePoint();
    members.push_back(
        {vm, member.identity.data_centre,
         daemon.config_keeper->PeerGeneration(vm), ToString(member.state),
         heard ? std::chrono::duration_cast<Milliseconds>(now - member.heard_at)
               : Milliseconds(0)});
  }
  return members;
}

std::string MetricsOf(DaemonState* daemon) {
  Metrics* metrics = &daemon->observer.metrics;
  const PeerTraffic& traffic = daemon->peers->Traffic();
  metrics->peer_messages = traffic.messages_sent;
  metrics->control_bytes_sent = traffic.control_bytes_sent;
  metrics->control_bytes_received = traffic.control_bytes_received;
  return RenderMetrics(
      *metrics,
      {daemon->runner.RunningJobCount(), daemon->runner.WaitingTaskCount(),
       daemon->generation, daemon->observer.late_log.entries.size(),
       daemon->config_keeper->Alarms()});
}

OperatorBackend BackendOf(DaemonState* daemon) {
  OperatorBackend backend;
  backend.status = [daemon] { return StatusOf(*daemon); };
  backend.late_log = [daemon] { return &daemon->observer.late_log; };
  backend.current_catalog = [daemon] { return daemon->catalog; };
  backend.metrics = [daemon] { return MetricsOf(daemon); };
  backend.members = [daemon] { return MembersOf(*daemon); };
  ConnectConfigStore(&daemon->config_store, &backend);
  return backend;
}

// Starts the operators' HTTP server; returns an error message if the socket
// cannot be bound.
std::optional<std::string> ServeOperators(DaemonState* daemon) {
  daemon->operator_api = std::make_unique<OperatorApi>(
      daemon->settings.operator_token, BackendOf(daemon));
  auto server = HttpServerBuilder(daemon->loop)
                    .Listen(daemon->settings.operator_listen)
                    .MaxBodySize(kMaxOperatorRequestBytes)
                    .Handler([daemon](const HttpRequest& request,
                                      const HttpResponder& responder) {
                      daemon->operator_api->Handle(request, responder);
                    })
                    .Build();
  if (const auto* error = std::get_if<ListenError>(&server)) {
    return error->message;
  }
  daemon->operator_server =
      std::get<std::unique_ptr<HttpServer>>(std::move(server));
  return std::nullopt;
}

// Starts to share the workers with the other daemons of the data centre.
void StartShareExchange(DaemonState* daemon) {
  daemon->exchange = std::make_unique<ShareExchange>(ShareExchangeDependencies{
      daemon->loop, daemon->peers.get(), daemon->membership.get(),
      &daemon->runner, &daemon->store});
  daemon->exchange->Start();
}

void ReportLogPeriodically(DaemonState* daemon) {
  ReportSuppressedLines();
  daemon->loop->Schedule(kLogReportInterval,
                         [daemon] { ReportLogPeriodically(daemon); });
}

void CreateSessionRouting(DaemonState* daemon) {
  daemon->router = std::make_unique<SessionRouter>(
      daemon->loop, daemon->peers.get(), daemon->membership.get(),
      &daemon->caller_api);
  daemon->handover = std::make_unique<SessionHandover>(
      daemon->loop, daemon->peers.get(), daemon->membership.get(),
      &daemon->caller_api);
}

std::size_t PendingRequests(const DaemonState& daemon) {
  return daemon.caller_server->PendingRequests() +
         daemon.peers->PendingRequests();
}

// Ends a stop without waiting for it to complete: fails all running jobs and
// forwarded requests and stops the loop after kFlushTime.
void ForceStop(DaemonState* daemon) {
  if (daemon->stop_forced) return;
  daemon->stop_forced = true;
  Log(LogLevel::kWarning, "stop_abandoned",
      {{"running_jobs", daemon->runner.RunningJobCount()},
       {"pending_requests", PendingRequests(*daemon)}});
  daemon->runner.AbandonJobs();
  daemon->router->AbandonRequests();
  daemon->loop->Schedule(kFlushTime, [daemon] {
    Log(LogLevel::kInfo, "stopped", {{"drained", false}});
    daemon->loop->RequestStop();
  });
}

// Checks the progress of a stop at intervals. Once all jobs and requests have
// ended, starts the session handover and the release of the workers; once both
// are complete, stops the loop. Forces the stop at `deadline`.
void PollStop(DaemonState* daemon, TimePoint deadline) {
  if (daemon->stop_forced) return;
  if (daemon->loop->Now() >= deadline) return ForceStop(daemon);
  const bool drained =
      daemon->runner.RunningJobCount() == 0 && PendingRequests(*daemon) == 0;
  if (drained) {
    daemon->handover->Start();
    daemon->exchange->BeginStop();
  }
  if (drained && daemon->handover->IsDone() && daemon->exchange->IsReleased()) {
    Log(LogLevel::kInfo, "stopped", {{"drained", true}});
    daemon->loop->RequestStop();
    return;
  }
  daemon->loop->Schedule(kStopPollInterval,
                         [daemon, deadline] { PollStop(daemon, deadline); });
}

}  // namespace
}  // namespace internal

Daemon::Daemon(std::unique_ptr<internal::DaemonState> state)
    : state(std::move(state)) {}

Daemon::~Daemon() = default;

void Daemon::BeginStop() {
  internal::DaemonState* daemon = this->state.get();
  if (daemon->stopping) return internal::ForceStop(daemon);
  daemon->stopping = true;
  Log(LogLevel::kInfo, "stopping",
      {{"running_jobs", daemon->runner.RunningJobCount()}});
  daemon->caller_api.BeginStop();
  daemon->membership->BeginLeaving();
  internal::PollStop(daemon,
                     daemon->loop->Now() + daemon->settings.stop_timeout);
}

DaemonBuilder::DaemonBuilder(EventLoop* loop, Settings settings)
    : loop(loop), settings(std::move(settings)) {}

std::variant<std::unique_ptr<Daemon>, std::string> DaemonBuilder::Build() {
  auto state = std::make_unique<internal::DaemonState>(
      this->loop, std::move(this->settings));
  internal::DaemonState* daemon = state.get();
  auto server = HttpServerBuilder(this->loop)
                    .Listen(daemon->settings.caller_listen)
                    .MaxBodySize(daemon->settings.max_request_bytes)
                    .Handler([daemon](const HttpRequest& request,
                                      const HttpResponder& responder) {
                      daemon->caller_api.Handle(request, responder);
                    })
                    .Build();
  if (const auto* error = std::get_if<ListenError>(&server)) {
    return error->message;
  }
  daemon->caller_server =
      std::get<std::unique_ptr<HttpServer>>(std::move(server));
  if (auto error = internal::StartPeers(daemon)) return *std::move(error);
  internal::CreateConfigKeeper(daemon);
  internal::CreateSessionRouting(daemon);
  internal::StartShareExchange(daemon);
  if (auto error = internal::ServeOperators(daemon)) return *std::move(error);
  internal::ReportLogPeriodically(daemon);
  daemon->membership->Start();
  daemon->config_keeper->Start();
  return std::unique_ptr<Daemon>(new Daemon(std::move(state)));
}

}  // namespace sequoiapath
