#include "sequoiapath/state/daemon.h"

#include <fmt/format.h>

#include <optional>
#include <random>
#include <utility>

#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/state/caller_api.h"
#include "sequoiapath/state/config_watch.h"
#include "sequoiapath/state/job_runner.h"
#include "sequoiapath/state/log.h"
#include "sequoiapath/state/membership.h"
#include "sequoiapath/state/observation.h"
#include "sequoiapath/state/operator_api.h"
#include "sequoiapath/state/peer_service.h"
#include "sequoiapath/state/session_handover.h"
#include "sequoiapath/state/session_router.h"
#include "sequoiapath/state/store_client.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {
namespace internal {

constexpr auto kStoreTimeout = std::chrono::seconds(2);
constexpr auto kLogReportInterval = std::chrono::seconds(1);
// Lets the last answers leave the process.
constexpr auto kFlushTime = std::chrono::milliseconds(200);
constexpr auto kStopPollInterval = std::chrono::milliseconds(20);

Incarnation DrawIncarnation() {
  std::random_device device;
  const Incarnation drawn = (Incarnation{device()} << 32) | device();
  return drawn == 0 ? 1 : drawn;
}

struct DaemonState {
  DaemonState(EventLoop* loop, Settings settings)
      : loop(loop),
        settings(std::move(settings)),
        incarnation(DrawIncarnation()),
        runner(loop, fmt::format("{}-{:x}", this->settings.vm, incarnation)),
        caller_api(loop, &this->settings, incarnation, &runner),
        store(loop, this->settings.stores, kStoreTimeout) {}

  EventLoop* loop;
  Settings settings;
  Incarnation incarnation;
  JobRunner runner;
  CallerApi caller_api;
  StoreClient store;
  std::unique_ptr<ConfigWatch> config_watch;
  std::unique_ptr<HttpServer> caller_server;
  Observer observer;
  std::shared_ptr<const Catalog> catalog;
  std::unique_ptr<OperatorApi> operator_api;
  std::unique_ptr<HttpServer> operator_server;
  std::uint64_t generation = 0;
  bool stopping = false;
  bool abandoned = false;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<SessionRouter> router;
  std::unique_ptr<SessionHandover> handover;
  // Destroyed first, because ending its requests calls back into the others.
  std::unique_ptr<PeerService> peers;
};

namespace {

void AdoptConfig(DaemonState* daemon, const ConfigRecord& record) {
  if (record.generation <= daemon->generation) return;
  DocumentResult parsed = ParseDocumentJson(record.document);
  auto* document = std::get_if<Document>(&parsed);
  if (document == nullptr) {
    Log(LogLevel::kError, "config_invalid",
        {{"generation", record.generation}});
    return;
  }
  daemon->generation = record.generation;
  const auto catalog = MakeCatalog(record, std::move(*document));
  daemon->runner.SetCatalog(catalog);
  daemon->caller_api.SetCatalog(catalog);
  daemon->catalog = catalog;
  Log(LogLevel::kInfo, "config_in_force",
      {{"generation", record.generation}, {"change_id", record.change_id}});
}

DaemonStatus StatusOf(const DaemonState& daemon) {
  return {daemon.settings.vm,
          daemon.settings.data_centre,
          daemon.incarnation,
          daemon.generation,
          daemon.catalog == nullptr ? "" : daemon.catalog->digest,
          daemon.runner.RunningJobs(),
          daemon.runner.WaitingTasks(),
          daemon.stopping};
}

OperatorBackend BackendOf(DaemonState* daemon) {
  OperatorBackend backend;
  backend.status = [daemon] { return StatusOf(*daemon); };
  backend.late = [daemon] { return &daemon->observer.late_log; };
  backend.current = [daemon] { return daemon->catalog; };
  backend.metrics = [daemon] {
    return RenderMetrics(
        daemon->observer.metrics,
        {daemon->runner.RunningJobs(), daemon->runner.WaitingTasks(),
         daemon->generation, daemon->observer.late_log.entries.size()});
  };
  return backend;
}

// Serves operators; returns an error message if the socket cannot be bound.
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

void ReportLogPeriodically(DaemonState* daemon) {
  ReportSuppressedLines();
  daemon->loop->Schedule(kLogReportInterval,
                         [daemon] { ReportLogPeriodically(daemon); });
}

// Connects to the other daemons; returns an error message if the socket cannot
// be bound.
std::optional<std::string> ServePeers(DaemonState* daemon) {
  auto built = PeerServiceBuilder(daemon->loop)
                   .Listen(daemon->settings.peer_listen)
                   .ClusterKey(daemon->settings.cluster_key)
                   .Build();
  if (const auto* error = std::get_if<ListenError>(&built)) {
    return error->message;
  }
  daemon->peers = std::get<std::unique_ptr<PeerService>>(std::move(built));
  PeerService* peers = daemon->peers.get();
  daemon->membership = std::make_unique<Membership>(
      daemon->loop, peers,
      MemberIdentity{daemon->settings.data_centre, daemon->settings.vm,
                     daemon->settings.peer_listen, daemon->incarnation},
      daemon->settings.seeds);
  daemon->router = std::make_unique<SessionRouter>(
      daemon->loop, peers, daemon->membership.get(), &daemon->caller_api);
  daemon->handover = std::make_unique<SessionHandover>(
      daemon->loop, peers, daemon->membership.get(), &daemon->caller_api);
  return std::nullopt;
}

std::size_t PendingRequests(const DaemonState& daemon) {
  return daemon.caller_server->PendingRequests() +
         daemon.peers->PendingRequests();
}

// Answers everything that waits with what is known, and ends the loop.
void AbandonStop(DaemonState* daemon) {
  if (daemon->abandoned) return;
  daemon->abandoned = true;
  Log(LogLevel::kWarning, "stop_abandoned",
      {{"running_jobs", daemon->runner.RunningJobs()},
       {"pending_requests", PendingRequests(*daemon)}});
  daemon->runner.AbandonJobs();
  daemon->router->AbandonRequests();
  daemon->loop->Schedule(kFlushTime, [daemon] {
    Log(LogLevel::kInfo, "stopped", {{"drained", false}});
    daemon->loop->RequestStop();
  });
}

// Waits until jobs and requests have ended, hands the sessions over, and ends
// the loop once the succession is known.
void PollStop(DaemonState* daemon, TimePoint give_up) {
  if (daemon->abandoned) return;
  if (daemon->loop->Now() >= give_up) return AbandonStop(daemon);
  const bool drained =
      daemon->runner.RunningJobs() == 0 && PendingRequests(*daemon) == 0;
  if (drained) daemon->handover->Start();
  if (drained && daemon->handover->IsDone()) {
    Log(LogLevel::kInfo, "stopped", {{"drained", true}});
    daemon->loop->RequestStop();
    return;
  }
  daemon->loop->Schedule(kStopPollInterval,
                         [daemon, give_up] { PollStop(daemon, give_up); });
}

}  // namespace
}  // namespace internal

Daemon::Daemon(std::unique_ptr<internal::DaemonState> state)
    : state(std::move(state)) {}

Daemon::~Daemon() = default;

void Daemon::BeginStop() {
  internal::DaemonState* daemon = this->state.get();
  if (daemon->stopping) return internal::AbandonStop(daemon);
  daemon->stopping = true;
  Log(LogLevel::kInfo, "stopping",
      {{"running_jobs", daemon->runner.RunningJobs()}});
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
  if (auto error = internal::ServeOperators(daemon)) return *std::move(error);
  if (auto error = internal::ServePeers(daemon)) return *std::move(error);
  internal::ReportLogPeriodically(daemon);
  daemon->config_watch = std::make_unique<ConfigWatch>(
      this->loop, &daemon->store, [daemon](const ConfigRecord& record) {
        internal::AdoptConfig(daemon, record);
      });
  daemon->membership->Start();
  return std::unique_ptr<Daemon>(new Daemon(std::move(state)));
}

}  // namespace sequoiapath
