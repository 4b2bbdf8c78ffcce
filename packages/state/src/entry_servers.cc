#include "entry_servers.h"

#include <utility>
#include <variant>

#include "entry_heartbeats.h"
#include "entry_limits.h"
#include "entry_relays.h"
#include "entry_submissions.h"
#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxCallerBody = 4u << 20;
// Readiness checks and metrics have no body.
constexpr std::size_t kMaxProbeBody = 64u << 10;
constexpr std::size_t kMaxPeerBody = 16u << 20;
constexpr Duration kCallerTimeout = std::chrono::seconds(30);
constexpr Duration kPeerIdleTimeout = std::chrono::seconds(60);
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

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

// A request that cannot be decoded gets the whole catalog, as in the versions
// that did not read it.
void HandleCatalog(EntryDaemonState* daemon, const HttpRequest& request,
                   const HttpResponder& responder) {
  const auto message = DecodePeerMessage<CatalogRequest>(request.body);
  const auto* decoded = std::get_if<CatalogRequest>(&message);
  const bool evacuations_only = decoded != nullptr && decoded->evacuations_only;
  responder.Respond(MakeOkResponse(EncodePeerMessage(
      evacuations_only ? MakeEvacuationSnapshot(daemon->catalog)
                       : MakeCatalogSnapshot(daemon->catalog))));
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
  } else if (request.path == kOrdersPath) {
    HandleOrders(daemon, request, responder);
  } else if (request.path == kOrderRepliesPath) {
    HandleOrderReplies(daemon, request, responder);
  } else if (request.path == kCatalogPath) {
    HandleCatalog(daemon, request, responder);
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
         daemon.cancels.may_schedule && !daemon.election.leader.empty();
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
      .cancels = daemon->cancels,
      .scheduler = daemon->service->scheduler(),
      .election = daemon->election,
      .requests = *daemon->request_budget,
      .overload_refusals = daemon->service->RefusedJobs(),
      .relay = daemon->service->Relayed(),
      .orders_executed = daemon->order_relay.executed,
      .orders_dropped = daemon->order_relay.dropped,
      .link = daemon->service->Link(),
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
                                  const ConnectionLimits& limits,
                                  HttpHandler handler,
                                  std::unique_ptr<HttpServer>* server) {
  auto built = HttpServerBuilder(daemon->loop)
                   .Listen(endpoint)
                   .MaxBodySize(max_body)
                   .RequestTimeout(timeout)
                   .Limits(limits, daemon->request_budget)
                   .Handler(std::move(handler))
                   .Build();
  if (const auto* error = std::get_if<ListenError>(&built)) {
    return error->message;
  }
  *server = std::get<std::unique_ptr<HttpServer>>(std::move(built));
  return std::nullopt;
}

}  // namespace

std::optional<std::string> ListenAll(EntryDaemonState* daemon) {
  const EntrySettings& settings = daemon->settings;
  const EntryLimits limits = MakeEntryLimits(settings);
  daemon->request_budget = std::make_shared<RequestBudget>();
  daemon->request_budget->limit_bytes = limits.budget_bytes;
  auto error = Listen(
      daemon, settings.peer_listen, kMaxPeerBody, kPeerIdleTimeout, limits.peer,
      [daemon](const HttpRequest& request, const HttpResponder& responder) {
        HandlePeer(daemon, request, responder);
      },
      &daemon->peer_server);
  if (error) return error;
  error = Listen(
      daemon, settings.ready_listen, kMaxProbeBody, kCallerTimeout,
      limits.probe,
      [daemon](const HttpRequest& request, const HttpResponder& responder) {
        HandleReady(daemon, request, responder);
      },
      &daemon->ready_server);
  if (error) return error;
  error = Listen(
      daemon, settings.metrics_listen, kMaxProbeBody, kCallerTimeout,
      limits.probe,
      [daemon](const HttpRequest& /*request*/, const HttpResponder& responder) {
        HandleMetrics(daemon, responder);
      },
      &daemon->metrics_server);
  if (error) return error;
  ReportRefusals(daemon);
  return Listen(
      daemon, settings.caller_listen, kMaxCallerBody, kCallerTimeout,
      limits.caller,
      [daemon](const HttpRequest& request, const HttpResponder& responder) {
        HandleCaller(daemon, request, responder);
      },
      &daemon->caller_server);
}

}  // namespace sequoiapath::internal
