#include "order_sender.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "sequoiapath/state/log.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

// Workers process an order in well under a millisecond, so the round trip
// dominates the time to the reply.
constexpr milliseconds kOrderTimeout{400};
// Added to the time that a worker may delay its reply to a renewal. The sum is
// shorter than the lease, so that a lost reply does not end the runs.
constexpr milliseconds kRenewalTimeoutMargin{300};
// Added to the timeout of a start or stop through a relay: two batches and a
// further round trip. A renewal gets none, because with a longer timeout the
// runs on the worker would end before another relay has extended their leases.
constexpr milliseconds kRelayTimeoutMargin{200};
// An order that cannot be given to its relay fails after this time, so that its
// task is not placed again at once for as long as the relay is missing.
constexpr Duration kMissingRelayDelay = milliseconds(20);
constexpr Duration kCandidatesLifetime = milliseconds(20);

// Returns the time of a worker's reply in which an unsent order may wait.
TimePoint LatestSend(const OrderSender& sender) {
  return sender.loop->Now() + kOrderTimeout;
}

void RecordReply(OrderSender* sender, const SendStart& action,
                 const OrderReply& reply) {
  RecordStartReply(sender->scheduler, action.worker, action.order, reply,
                   sender->loop->Now());
  sender->on_reply();
}

void RecordReply(OrderSender* sender, const SendStop& action,
                 const OrderReply& reply) {
  RecordStopReply(sender->scheduler, action.worker, action.order, reply,
                  sender->loop->Now());
  sender->on_reply();
}

void RecordReply(OrderSender* sender, const SendRenewal& action,
                 const RenewReply& reply) {
  RecordRenewalReply(sender->scheduler, action.worker, action.order, reply,
                     sender->loop->Now());
  sender->on_reply();
}

void SendDirectly(OrderSender* sender, const SendStart& action) {
  SendOrder(sender->clients, action.worker,
            {.request = sender->codec.encode_start(action.order),
             .timeout = kOrderTimeout,
             .latest_send = LatestSend(*sender),
             .may_send = nullptr,
             .callback = [sender, action](const HttpResult& result) {
               RecordReply(sender, action,
                           sender->codec.decode_order_reply(result));
             }});
}

void SendDirectly(OrderSender* sender, const SendStop& action) {
  SendOrder(sender->clients, action.worker,
            {.request = sender->codec.encode_stop(action.order),
             .timeout = kOrderTimeout,
             .latest_send = LatestSend(*sender),
             .may_send = nullptr,
             .callback = [sender, action](const HttpResult& result) {
               RecordReply(sender, action,
                           sender->codec.decode_order_reply(result));
             }});
}

void SendDirectly(OrderSender* sender, const SendRenewal& action) {
  SendOrder(sender->clients, action.worker,
            {.request = sender->codec.encode_renew(action.order),
             .timeout = action.order.wait + kRenewalTimeoutMargin,
             .latest_send = LatestSend(*sender),
             .may_send = nullptr,
             .callback = [sender, action](const HttpResult& result) {
               RecordReply(sender, action,
                           sender->codec.decode_renew_reply(result));
             }});
}

// Returns the live relays, found at most once in each `kCandidatesLifetime`,
// because this examines all daemons.
const std::vector<RelayCandidate>& Candidates(OrderSender* sender) {
  const TimePoint now = sender->loop->Now();
  if (!sender->access.candidates) return sender->candidates;
  if (now - sender->candidates_found_at >= kCandidatesLifetime) {
    sender->candidates = sender->access.candidates();
    sender->candidates_found_at = now;
  }
  return sender->candidates;
}

const RelayCandidate* FindCandidate(OrderSender* sender,
                                    const std::string& vm) {
  const std::vector<RelayCandidate>& candidates = Candidates(sender);
  const auto found = std::find_if(
      candidates.begin(), candidates.end(),
      [&vm](const RelayCandidate& candidate) { return candidate.vm == vm; });
  return found == candidates.end() ? nullptr : &*found;
}

// Ends an order through a relay that has no reply. A renewal without one uses
// another relay from now on.
void FailRelayed(OrderSender* sender, std::uint64_t id,
                 const OrderUnanswered& unanswered) {
  const auto node = sender->relayed.extract(id);
  if (node.empty()) return;
  const RelayedOrder& order = node.mapped();
  sender->loop->Cancel(order.timeout);
  ++sender->counts.unanswered;
  if (const auto* renewal = std::get_if<SendRenewal>(&order.action)) {
    EndRelayedRenewal(&sender->routes, renewal->worker);
    RecordRelayFailure(&sender->routes, renewal->worker, order.relay,
                       sender->loop->Now());
  }
  std::visit(
      [sender, &unanswered](const auto& action) {
        RecordReply(sender, action, unanswered);
      },
      order.action);
}

OrderUnanswered LostAtRelay(bool may_have_been_sent) {
  OrderUnanswered unanswered;
  unanswered.may_have_been_sent = may_have_been_sent;
  unanswered.by_relay = true;
  unanswered.cause = may_have_been_sent ? "relay_silent" : "relay_missing";
  return unanswered;
}

// The ids of a batch's orders.
struct BatchIds {
  std::vector<std::uint64_t> renewals;
  std::vector<std::uint64_t> others;
};

BatchIds OrderIds(const OrderBatch& batch) {
  BatchIds ids;
  for (const RelayedStart& order : batch.starts) ids.others.push_back(order.id);
  for (const RelayedStop& order : batch.stops) ids.others.push_back(order.id);
  for (const RelayedRenewal& order : batch.renewals) {
    ids.renewals.push_back(order.id);
  }
  return ids;
}

// Returns whether it is certain that the relay has not taken the batch.
bool IsNotTaken(const HttpResult& result) {
  if (const auto* error = std::get_if<HttpError>(&result)) {
    return !error->may_have_been_sent;
  }
  constexpr int kOk = 200;
  return std::get<HttpResponse>(result).status != kOk;
}

void FailAll(OrderSender* sender, const std::vector<std::uint64_t>& ids,
             bool may_have_been_sent) {
  for (const std::uint64_t id : ids) {
    FailRelayed(sender, id, LostAtRelay(may_have_been_sent));
  }
}

// Applies the reply to a batch. If the connection was closed, the relay may
// have ended: the renewals are sent through another one at once, before the
// leases end. The starts and stops may still be answered.
void OnBatchReply(OrderSender* sender, const BatchIds& ids,
                  const HttpResult& result) {
  const auto* error = std::get_if<HttpError>(&result);
  if (IsNotTaken(result)) {
    FailAll(sender, ids.renewals, false);
    FailAll(sender, ids.others, false);
  } else if (error != nullptr && error->kind == HttpErrorKind::kClosed) {
    FailAll(sender, ids.renewals, true);
  }
}

void SendBatch(OrderSender* sender, const std::string& relay) {
  const auto node = sender->batches.extract(relay);
  if (node.empty()) return;
  const BatchIds ids = OrderIds(node.mapped());
  const RelayCandidate* candidate = FindCandidate(sender, relay);
  if (candidate == nullptr) {
    FailAll(sender, ids.renewals, false);
    FailAll(sender, ids.others, false);
    return;
  }
  ++sender->counts.batches;
  sender->batch_sent_at[relay] = sender->loop->Now();
  sender->access.send(*candidate, std::move(node.mapped()),
                      [sender, ids](const HttpResult& result) {
                        OnBatchReply(sender, ids, result);
                      });
}

// Returns the batch that is collected for a relay.
OrderBatch* BatchFor(OrderSender* sender, const std::string& relay) {
  const auto [entry, added] = sender->batches.try_emplace(relay);
  if (added) {
    const Duration delay =
        BatchDelay(sender->batch_sent_at[relay], sender->loop->Now());
    sender->loop->Schedule(delay,
                           [sender, relay] { SendBatch(sender, relay); });
  }
  return &entry->second;
}

std::uint32_t WorkerIndex(OrderBatch* batch, const std::string& worker) {
  const auto found =
      std::find(batch->workers.begin(), batch->workers.end(), worker);
  const auto index = static_cast<std::uint32_t>(found - batch->workers.begin());
  if (found == batch->workers.end()) batch->workers.push_back(worker);
  return index;
}

// Records an order that is given to a relay and returns its id.
template <typename Action>
std::uint64_t AddRelayed(OrderSender* sender, const Action& action,
                         const std::string& relay, Duration timeout) {
  const std::uint64_t id = sender->next_order++;
  const TimerId timer = sender->loop->Schedule(
      timeout, [sender, id] { FailRelayed(sender, id, LostAtRelay(true)); });
  sender->relayed[id] = {action, relay, timer};
  ++sender->counts.orders;
  return id;
}

// Returns the estimated time until the lease of a start order ends.
milliseconds LeaseLeft(const OrderSender& sender, const StartOrder& order) {
  const auto worker = sender.scheduler->workers.find(order.worker);
  if (worker == sender.scheduler->workers.end()) return milliseconds(0);
  const WorkerTime clock = EstimateClock(worker->second, sender.loop->Now());
  return std::max(order.lease_end - clock, milliseconds(0));
}

void RelayStart(OrderSender* sender, const SendStart& action,
                const std::string& relay, std::uint64_t submission) {
  RelayedStart start;
  start.id = AddRelayed(sender, action, relay,
                        kOrderTimeout + kMaxRelayDelay + kRelayTimeoutMargin);
  OrderBatch* batch = BatchFor(sender, relay);
  start.worker = WorkerIndex(batch, action.worker);
  start.run = ToCompactRun(action.order.task, action.order.run);
  start.submission = submission;
  start.lease_end = action.order.lease_end.count();
  start.lease_left = LeaseLeft(*sender, action.order);
  start.fence = action.order.fence;
  batch->starts.push_back(std::move(start));
}

void RelayStop(OrderSender* sender, const SendStop& action,
               const std::string& relay) {
  RelayedStop stop;
  stop.id =
      AddRelayed(sender, action, relay, kOrderTimeout + kRelayTimeoutMargin);
  OrderBatch* batch = BatchFor(sender, relay);
  stop.worker = WorkerIndex(batch, action.worker);
  stop.run = ToCompactRun(action.order.task, action.order.run);
  stop.fence = action.order.fence;
  batch->stops.push_back(std::move(stop));
}

void RelayRenewal(OrderSender* sender, const SendRenewal& action,
                  const std::string& relay) {
  RelayedRenewal renewal;
  renewal.id = AddRelayed(sender, action, relay,
                          action.order.wait + kRenewalTimeoutMargin);
  BeginRelayedRenewal(&sender->routes, action.worker);
  OrderBatch* batch = BatchFor(sender, relay);
  renewal.worker = WorkerIndex(batch, action.worker);
  renewal.lease_end = action.order.lease_end.count();
  renewal.fence = action.order.fence;
  renewal.last_seen_end = action.order.last_seen_end;
  renewal.wait = action.order.wait;
  batch->renewals.push_back(renewal);
}

// Returns the VM in the name "VM/INCARNATION" of a daemon's process.
std::string VmOf(const std::string& origin) {
  return origin.substr(0, origin.rfind('/'));
}

// Chooses the relay of a renewal; empty if it is sent directly.
std::string RelayOfRenewal(OrderSender* sender, const std::string& worker) {
  if (!sender->relaying) {
    sender->routes.workers.erase(worker);
    return "";
  }
  const auto found = sender->scheduler->workers.find(worker);
  const std::string data_centre = found == sender->scheduler->workers.end()
                                      ? ""
                                      : found->second.description.data_centre;
  return ChooseRelay(&sender->routes, Candidates(sender), worker, data_centre,
                     sender->loop->Now());
}

// Ends an order through a relay with its reply, and returns the order; nothing
// if it has ended before.
std::optional<RelayedOrder> TakeRelayed(OrderSender* sender, std::uint64_t id) {
  auto node = sender->relayed.extract(id);
  if (node.empty()) return std::nullopt;
  sender->loop->Cancel(node.mapped().timeout);
  if (const auto* renewal = std::get_if<SendRenewal>(&node.mapped().action)) {
    EndRelayedRenewal(&sender->routes, renewal->worker);
  }
  return std::move(node.mapped());
}

void ApplyReply(OrderSender* sender, const RelayedReply& reply) {
  const std::optional<RelayedOrder> order = TakeRelayed(sender, reply.id);
  if (!order) return;
  if (const auto* start = std::get_if<SendStart>(&order->action)) {
    RecordReply(sender, *start, ToOrderReply(reply));
  } else if (const auto* stop = std::get_if<SendStop>(&order->action)) {
    RecordReply(sender, *stop, ToOrderReply(reply));
  } else {
    const auto& renewal = std::get<SendRenewal>(order->action);
    const RenewReply renewed = ToRenewReply(reply);
    if (std::holds_alternative<OrderUnanswered>(renewed)) {
      RecordRelayFailure(&sender->routes, renewal.worker, order->relay,
                         sender->loop->Now());
    }
    RecordReply(sender, renewal, renewed);
  }
}

void ApplyReport(OrderSender* sender, const RelayedReport& report) {
  const std::optional<RelayedOrder> order = TakeRelayed(sender, report.id);
  if (!order) return;
  const auto* renewal = std::get_if<SendRenewal>(&order->action);
  if (renewal == nullptr) return;
  RecordReply(sender, *renewal, ToWorkerReport(report));
}

}  // namespace

void SendOrderOf(OrderSender* sender, const SendStart& action) {
  const auto job = sender->scheduler->jobs.find(action.order.task.job);
  const bool known = job != sender->scheduler->jobs.end();
  if (known && !job->second.job.spec_omitted) {
    SendDirectly(sender, action);
    return;
  }
  // The job's text is not known here if the job has ended since.
  const std::string relay = known ? VmOf(job->second.origin) : "";
  if (FindCandidate(sender, relay) == nullptr) {
    sender->loop->Schedule(kMissingRelayDelay, [sender, action] {
      RecordReply(sender, action, LostAtRelay(false));
    });
    return;
  }
  RelayStart(sender, action, relay, job->second.job.submission);
}

void SendOrderOf(OrderSender* sender, const SendStop& action) {
  const std::string relay =
      sender->relaying ? CurrentRelay(sender->routes, action.worker) : "";
  if (relay.empty() || FindCandidate(sender, relay) == nullptr) {
    SendDirectly(sender, action);
  } else {
    RelayStop(sender, action, relay);
  }
}

void SendOrderOf(OrderSender* sender, const SendRenewal& action) {
  const std::string relay = RelayOfRenewal(sender, action.worker);
  if (relay.empty()) {
    SendDirectly(sender, action);
  } else {
    RelayRenewal(sender, action, relay);
  }
}

void UpdateRelaying(OrderSender* sender) {
  if (!sender->access.send) return;
  const std::size_t workers = sender->scheduler->workers.size();
  const bool relaying =
      sender->scheduler->fence != 0 &&
      NeedsRelays(sender->access.link_bytes_per_second, workers);
  // A daemon that does not schedule may relay for one that does.
  if (sender->scheduler->fence != 0) SetLimited(sender->clients, relaying);
  if (std::exchange(sender->relaying, relaying) == relaying) return;
  Log(LogLevel::kInfo, relaying ? "relaying_began" : "relaying_ended",
      {{"workers", workers},
       {"link_bytes_per_second", sender->access.link_bytes_per_second},
       {"relays", Candidates(sender).size()}});
}

void ApplyOrderReplies(OrderSender* sender, const OrderReplies& replies) {
  for (const RelayedReply& reply : replies.replies) ApplyReply(sender, reply);
  for (const RelayedReport& report : replies.reports) {
    ApplyReport(sender, report);
  }
}

}  // namespace sequoiapath::internal
