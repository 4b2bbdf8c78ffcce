#include "order_relay.h"

#include <utility>

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kOrderTimeout{400};
// Added to the time that a worker may delay its reply to a renewal. It is
// shorter than the scheduler's margin, so that its result reaches the scheduler
// before that one gives the renewal up.
constexpr milliseconds kRenewalTimeoutMargin{250};

// The scheduler's process that sent an order.
using Sender = std::pair<std::string, std::uint64_t>;

OrderReplies* RepliesFor(OrderRelay* relay, const Sender& sender) {
  const auto [entry, added] = relay->replies.try_emplace(sender);
  if (added) {
    entry->second.scheduler_incarnation = sender.second;
    const Duration delay =
        BatchDelay(relay->batch_sent_at[sender.first], relay->loop->Now());
    relay->loop->Schedule(delay, [relay, sender] {
      auto node = relay->replies.extract(sender);
      relay->batch_sent_at[sender.first] = relay->loop->Now();
      relay->send(sender.first, std::move(node.mapped()));
    });
  }
  return &entry->second;
}

void AddReply(OrderRelay* relay, const Sender& sender,
              const RelayedReply& reply) {
  RepliesFor(relay, sender)->replies.push_back(reply);
}

void DropOrder(OrderRelay* relay, const Sender& sender, std::uint64_t id,
               RelayedOutcome outcome) {
  ++relay->dropped;
  AddReply(relay, sender, {id, outcome, 0});
}

// Returns whether an order may be given to the worker's client, and replies if
// not.
bool AcceptOrder(OrderRelay* relay, const Sender& sender, std::uint64_t id,
                 const std::string& worker, FencingToken fence) {
  ++relay->executed;
  if (!relay->clients->workers.contains(worker)) {
    DropOrder(relay, sender, id, RelayedOutcome::kDropped);
    return false;
  }
  if (!AcceptRelayedFence(&relay->fences, worker, fence)) {
    DropOrder(relay, sender, id, RelayedOutcome::kStaleFence);
    return false;
  }
  return true;
}

// Returns whether the order's token is still the highest for the worker. A
// later scheduler's order may have come while this one waited.
bool IsHighestFence(const OrderRelay& relay, const std::string& worker,
                    FencingToken fence) {
  const auto highest = relay.fences.highest.find(worker);
  return highest == relay.fences.highest.end() || fence >= highest->second;
}

// Returns the text of the job of a start order, or null if the job has ended
// here or is submitted elsewhere, so that the order must not be sent.
const std::string* SpecOf(const OrderRelay& relay, const std::string& scheduler,
                          const std::string& job, std::uint64_t submission) {
  const auto kept = relay.specs.find(job);
  if (kept == relay.specs.end()) return nullptr;
  if (kept->second.scheduler != scheduler ||
      kept->second.submission != submission ||
      !relay.is_submitted_to(job, scheduler)) {
    return nullptr;
  }
  return &kept->second.spec;
}

// Returns the callback that returns a worker's reply to a start or stop.
HttpCallback ReturnOrderReply(OrderRelay* relay, const Sender& sender,
                              std::uint64_t id) {
  return [relay, sender, id](const HttpResult& result) {
    const auto* error = std::get_if<HttpError>(&result);
    // The order was withdrawn here, which says nothing of the worker.
    if (error != nullptr && error->kind == HttpErrorKind::kCancelled &&
        !error->may_have_been_sent) {
      DropOrder(relay, sender, id, RelayedOutcome::kDropped);
      return;
    }
    AddReply(relay, sender,
             ToRelayedReply(id, relay->codec.decode_order_reply(result)));
  };
}

HttpCallback ReturnRenewReply(OrderRelay* relay, const Sender& sender,
                              std::uint64_t id) {
  return [relay, sender, id](const HttpResult& result) {
    const RenewReply reply = relay->codec.decode_renew_reply(result);
    if (const auto* report = std::get_if<WorkerReport>(&reply)) {
      RepliesFor(relay, sender)
          ->reports.push_back(ToRelayedReport(id, *report));
    } else {
      AddReply(relay, sender, ToRelayedReply(id, reply));
    }
  };
}

void ExecuteStart(OrderRelay* relay, const Sender& sender,
                  const std::string& worker, const RelayedStart& start) {
  const TimePoint now = relay->loop->Now();
  const TimePoint latest = RelayedStartExpiry(start, now);
  StartOrder order;
  order.task = TaskOf(start.run);
  const std::string* spec =
      SpecOf(*relay, sender.first, order.task.job, start.submission);
  if (spec == nullptr || now >= latest) {
    DropOrder(relay, sender, start.id, RelayedOutcome::kDropped);
    return;
  }
  if (!AcceptOrder(relay, sender, start.id, worker, start.fence)) return;
  order.run = start.run.run;
  order.spec = *spec;
  order.lease_end = WorkerTime(start.lease_end);
  order.fence = start.fence;
  order.worker = worker;
  const auto may_send = [relay, sender, worker, job = order.task.job,
                         submission = start.submission, fence = start.fence] {
    return SpecOf(*relay, sender.first, job, submission) != nullptr &&
           IsHighestFence(*relay, worker, fence);
  };
  SendOrder(relay->clients, worker,
            {.request = relay->codec.encode_start(order),
             .timeout = kOrderTimeout,
             .latest_send = latest,
             .may_send = may_send,
             .callback = ReturnOrderReply(relay, sender, start.id)});
}

void ExecuteStop(OrderRelay* relay, const Sender& sender,
                 const std::string& worker, const RelayedStop& stop) {
  if (!AcceptOrder(relay, sender, stop.id, worker, stop.fence)) return;
  StopOrder order;
  order.task = TaskOf(stop.run);
  order.run = stop.run.run;
  order.fence = stop.fence;
  order.worker = worker;
  SendOrder(relay->clients, worker,
            {.request = relay->codec.encode_stop(order),
             .timeout = kOrderTimeout,
             .latest_send = relay->loop->Now() + kMaxRelayDelay,
             .may_send =
                 [relay, worker, fence = stop.fence] {
                   return IsHighestFence(*relay, worker, fence);
                 },
             .callback = ReturnOrderReply(relay, sender, stop.id)});
}

void ExecuteRenewal(OrderRelay* relay, const Sender& sender,
                    const std::string& worker, const RelayedRenewal& renewal) {
  if (!AcceptOrder(relay, sender, renewal.id, worker, renewal.fence)) return;
  RenewOrder order;
  order.lease_end = WorkerTime(renewal.lease_end);
  order.fence = renewal.fence;
  order.last_seen_end = renewal.last_seen_end;
  order.wait = renewal.wait;
  order.worker = worker;
  SendOrder(relay->clients, worker,
            {.request = relay->codec.encode_renew(order),
             .timeout = renewal.wait + kRenewalTimeoutMargin,
             .latest_send = relay->loop->Now() + kMaxRelayDelay,
             .may_send =
                 [relay, worker, fence = renewal.fence] {
                   return IsHighestFence(*relay, worker, fence);
                 },
             .callback = ReturnRenewReply(relay, sender, renewal.id)});
}

}  // namespace

void KeepSpec(OrderRelay* relay, const std::string& job, KeptSpec kept) {
  relay->specs[job] = std::move(kept);
}

void ForgetSpec(OrderRelay* relay, const std::string& job,
                std::uint64_t submission) {
  const auto kept = relay->specs.find(job);
  if (kept == relay->specs.end() || kept->second.submission != submission) {
    return;
  }
  relay->specs.erase(kept);
}

namespace {

// Removes the tokens of workers that are no longer known. The workers reject
// lower tokens themselves.
void RemoveUnusedFences(OrderRelay* relay) {
  const auto& workers = relay->clients->workers;
  if (relay->fences.highest.size() <= workers.size()) return;
  std::erase_if(relay->fences.highest, [&workers](const auto& entry) {
    return !workers.contains(entry.first);
  });
}

}  // namespace

void ExecuteOrders(OrderRelay* relay, const OrderBatch& batch) {
  RemoveUnusedFences(relay);
  const Sender sender{batch.scheduler, batch.scheduler_incarnation};
  SetLimited(relay->clients, true);
  for (const RelayedRenewal& renewal : batch.renewals) {
    ExecuteRenewal(relay, sender, batch.workers[renewal.worker], renewal);
  }
  for (const RelayedStop& stop : batch.stops) {
    ExecuteStop(relay, sender, batch.workers[stop.worker], stop);
  }
  for (const RelayedStart& start : batch.starts) {
    ExecuteStart(relay, sender, batch.workers[start.worker], start);
  }
}

}  // namespace sequoiapath::internal
