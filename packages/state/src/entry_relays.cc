#include "entry_relays.h"

#include <utility>
#include <variant>

#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

constexpr int kStatusBadRequest = 400;
// The batch was sent by or for an earlier process, or too long ago.
constexpr int kStatusConflict = 409;
// Of a batch of orders or replies, which is answered at once. Later, the orders
// count as unanswered.
constexpr milliseconds kBatchTimeout{600};

void RespondStatus(const HttpResponder& responder, int status) {
  responder.Respond({.status = status, .headers = {}, .body = ""});
}

void SendOrders(EntryDaemonState* daemon, const RelayCandidate& relay,
                OrderBatch batch, HttpCallback callback) {
  batch.scheduler = daemon->election.self.vm;
  batch.scheduler_incarnation = daemon->election.self.incarnation;
  batch.relay_incarnation = relay.incarnation;
  batch.sent_at = ReportTime(*daemon);
  PeerCall call{
      .path = kOrdersPath, .headers = {}, .body = EncodePeerMessage(batch)};
  daemon->peers->Call(relay.endpoint, std::move(call), kBatchTimeout,
                      std::move(callback));
}

void SendReplies(EntryDaemonState* daemon, const std::string& scheduler,
                 const OrderReplies& replies) {
  const auto peer = daemon->election.peers.find(scheduler);
  if (peer == daemon->election.peers.end()) return;
  PeerCall call{.path = kOrderRepliesPath,
                .headers = {},
                .body = EncodePeerMessage(replies)};
  daemon->peers->Call(
      peer->second.report.endpoint, std::move(call), kBatchTimeout,
      [scheduler](const HttpResult& result) {
        const auto* response = std::get_if<HttpResponse>(&result);
        if (response != nullptr && response->status == kStatusOk) return;
        Log(LogLevel::kWarning, "order_replies_lost",
            {{"scheduler", scheduler}});
      });
}

}  // namespace

void InitializeRelays(EntryDaemonState* daemon) {
  daemon->election.self.relays_orders = true;
  daemon->service->SetRelays(
      {.link_bytes_per_second = daemon->settings.link_bytes_per_second,
       .candidates =
           [daemon] {
             return FindRelays(daemon->election, daemon->loop->Now());
           },
       .send =
           [daemon](const RelayCandidate& relay, OrderBatch batch,
                    HttpCallback callback) {
             SendOrders(daemon, relay, std::move(batch), std::move(callback));
           }});
  OrderRelay& relay = daemon->order_relay;
  relay.loop = daemon->loop;
  relay.codec = daemon->codecs.workers;
  relay.clients = daemon->service->Clients();
  relay.is_submitted_to = [daemon](const std::string& job,
                                   const std::string& scheduler) {
    return daemon->gateway->IsSubmittedTo(job, scheduler);
  };
  relay.send = [daemon](const std::string& scheduler,
                        const OrderReplies& replies) {
    SendReplies(daemon, scheduler, replies);
  };
}

bool OmitsSpec(const EntryDaemonState& daemon, const std::string& leader) {
  const auto peer = daemon.election.peers.find(leader);
  return peer != daemon.election.peers.end() && peer->second.report.omits_specs;
}

void OmitSpec(EntryDaemonState* daemon, const std::string& leader,
              StepJob* job) {
  KeepSpec(&daemon->order_relay, job->id,
           {.spec = std::exchange(job->spec, ""),
            .scheduler = leader,
            .submission = job->submission});
  job->spec_omitted = true;
}

void HandleOrders(EntryDaemonState* daemon, const HttpRequest& request,
                  const HttpResponder& responder) {
  auto message = DecodePeerMessage<OrderBatch>(request.body);
  const auto* batch = std::get_if<OrderBatch>(&message);
  if (batch == nullptr) {
    Log(LogLevel::kError, "orders_unreadable",
        {{"bytes", request.body.size()}});
    RespondStatus(responder, kStatusBadRequest);
    return;
  }
  const auto scheduler = daemon->election.peers.find(batch->scheduler);
  if (scheduler == daemon->election.peers.end() ||
      !IsCurrentBatch(*batch, scheduler->second.report,
                      daemon->election.self.incarnation)) {
    Log(LogLevel::kInfo, "orders_stale", {{"scheduler", batch->scheduler}});
    RespondStatus(responder, kStatusConflict);
    return;
  }
  ExecuteOrders(&daemon->order_relay, *batch);
  RespondStatus(responder, kStatusOk);
}

void HandleOrderReplies(EntryDaemonState* daemon, const HttpRequest& request,
                        const HttpResponder& responder) {
  auto message = DecodePeerMessage<OrderReplies>(request.body);
  const auto* replies = std::get_if<OrderReplies>(&message);
  if (replies == nullptr) {
    Log(LogLevel::kError, "order_replies_unreadable",
        {{"bytes", request.body.size()}});
    RespondStatus(responder, kStatusBadRequest);
    return;
  }
  if (replies->scheduler_incarnation != daemon->election.self.incarnation) {
    RespondStatus(responder, kStatusConflict);
    return;
  }
  daemon->service->ApplyOrderReplies(*replies);
  RespondStatus(responder, kStatusOk);
}

}  // namespace sequoiapath::internal
