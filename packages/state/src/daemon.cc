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
#include "sequoiapath/state/share_exchange.h"
#include "sequoiapath/state/store_client.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {
namespace internal {

constexpr auto kStoreTimeout = std::chrono::seconds(2);
constexpr auto kLogReportInterval = std::chrono::seconds(1);
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
  std::unique_ptr<PeerService> peers;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<ShareExchange> exchange;
  std::unique_ptr<ConfigWatch> config_watch;
  std::unique_ptr<HttpServer> caller_server;
  Observer observer;
  std::shared_ptr<const Catalog> catalog;
  std::unique_ptr<OperatorApi> operator_api;
  std::unique_ptr<HttpServer> operator_server;
  std::uint64_t generation = 0;
  bool stopping = false;
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
  daemon->exchange->SetCatalog(*catalog);
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

// Binds the peer port and creates the member view; returns an error message if
// the socket cannot be bound. The membership is started later, when all parts
// have added their listeners.
std::optional<std::string> StartPeers(DaemonState* daemon) {
  const Settings& settings = daemon->settings;
  auto built = PeerServiceBuilder(daemon->loop)
                   .Listen(settings.peer_listen)
                   .ClusterKey(settings.cluster_key)
                   .Build();
  if (const auto* error = std::get_if<ListenError>(&built)) {
    return error->message;
  }
  daemon->peers = std::get<std::unique_ptr<PeerService>>(std::move(built));
  daemon->membership = std::make_unique<Membership>(
      daemon->loop, daemon->peers.get(),
      MemberIdentity{settings.data_centre, settings.vm,
                     daemon->peers->endpoint(), daemon->incarnation},
      settings.seeds);
  return std::nullopt;
}

// Divides the workers among the daemons of the data centre.
void StartExchange(DaemonState* daemon) {
  daemon->exchange = std::make_unique<ShareExchange>(ShareExchangeParts{
      daemon->loop, daemon->peers.get(), daemon->membership.get(),
      &daemon->runner, &daemon->store});
  daemon->exchange->Start();
}

void ReportLogPeriodically(DaemonState* daemon) {
  ReportSuppressedLines();
  daemon->loop->Schedule(kLogReportInterval,
                         [daemon] { ReportLogPeriodically(daemon); });
}

void PollStop(DaemonState* daemon, TimePoint give_up) {
  const bool drained = daemon->runner.RunningJobs() == 0 &&
                       daemon->caller_server->PendingRequests() == 0;
  if (drained) daemon->exchange->BeginStop();
  if ((drained && daemon->exchange->IsReleased()) ||
      daemon->loop->Now() >= give_up) {
    Log(LogLevel::kInfo, "stopped", {{"drained", drained}});
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
  if (daemon->stopping) {
    daemon->loop->RequestStop();
    return;
  }
  daemon->stopping = true;
  Log(LogLevel::kInfo, "stopping",
      {{"running_jobs", daemon->runner.RunningJobs()}});
  daemon->caller_api.BeginStop();
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
  if (auto error = internal::StartPeers(daemon)) return *std::move(error);
  internal::StartExchange(daemon);
  daemon->membership->Start();
  internal::ReportLogPeriodically(daemon);
  daemon->config_watch = std::make_unique<ConfigWatch>(
      this->loop, &daemon->store, [daemon](const ConfigRecord& record) {
        internal::AdoptConfig(daemon, record);
      });
  return std::unique_ptr<Daemon>(new Daemon(std::move(state)));
}

}  // namespace sequoiapath
