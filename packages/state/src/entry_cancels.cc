#include "entry_cancels.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

#include "entry_daemon_state.h"
#include "entry_submissions.h"
#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

// Prefix of the records in the store. A VM's name, its incarnation and the
// number of the write follow.
constexpr std::string_view kCancelPrefix = "sequoiapath/cancels/";
// How long a new process waits for the records of former ones. It claims to
// schedule 0.9 s after its start unless it reads the list of daemons from the
// store, so the wait delays no job while the store is unavailable.
constexpr Duration kRecordsWait = milliseconds(800);
// A caller repeats a job for at most 120 s, so a record that is read later has
// no effect.
constexpr Duration kRecordsRetryTime = std::chrono::seconds(120);
// The same for the records of a lost daemon, whose jobs go on meanwhile.
constexpr Duration kLostRecordsRetryTime = std::chrono::seconds(10);
// Between two reads after losses, while the scheduler or the reachability of
// daemons changes often.
constexpr Duration kLossReadInterval = std::chrono::seconds(1);
// Interval at which due writes and requests to other daemons are sent.
constexpr Duration kPumpInterval = milliseconds(20);
// The same while the store takes no writes, since many cancels may be pending.
constexpr Duration kOutagePumpInterval = milliseconds(100);
constexpr milliseconds kRequestTimeout{400};

std::string RecordPrefix(const std::string& vm) {
  return fmt::format("{}{}/", kCancelPrefix, vm);
}

KeyValueItem MakeRecord(const EntryDaemonState& daemon,
                        const CancelWrite& write) {
  return {fmt::format("{}{:016x}/{:08}", RecordPrefix(daemon.election.self.vm),
                      daemon.election.self.incarnation, write.number),
          EncodePeerMessage(JobCancels{OwnOrigin(daemon), write.cancels})};
}

std::vector<CancelHolder> ReachableDaemons(const EntryDaemonState& daemon) {
  std::vector<CancelHolder> holders;
  for (const auto& [vm, peer] : daemon.election.peers) {
    if (!IsReachable(daemon.election, peer, daemon.loop->Now())) continue;
    holders.push_back(
        {MakeOrigin(vm, peer.report.incarnation), peer.report.data_centre});
  }
  return holders;
}

const Endpoint* EndpointOf(const EntryDaemonState& daemon,
                           const std::string& origin) {
  for (const auto& [vm, peer] : daemon.election.peers) {
    if (MakeOrigin(vm, peer.report.incarnation) == origin) {
      return &peer.report.endpoint;
    }
  }
  return nullptr;
}

void AcknowledgeDurable(EntryDaemonState* daemon) {
  EntryCancels& cancels = daemon->cancels;
  for (const DurableCancel& durable : TakeDurableCancels(&cancels.durability)) {
    const auto node = cancels.waiters.extract(durable.job);
    if (node.empty()) continue;
    auto& count = durable.proof == CancelProof::kStore
                      ? cancels.counts.acknowledged_by_store
                      : cancels.counts.acknowledged_by_daemons;
    count += node.mapped().size();
    for (const CancelWaiter& waiter : node.mapped()) waiter.callback(true);
  }
}

void PumpCancels(EntryDaemonState* daemon);

void SendWrite(EntryDaemonState* daemon, const CancelWrite& write) {
  daemon->cancels.store->Write(
      {MakeRecord(*daemon, write)},
      [daemon](std::optional<KeyValueFailure> failure) {
        CancelDurability* durability = &daemon->cancels.durability;
        if (failure.has_value() != durability->store_failing) {
          Log(failure ? LogLevel::kWarning : LogLevel::kInfo,
              failure ? "cancels_not_written" : "cancels_written_again",
              {{"detail", failure ? ToString(*failure) : "answered"},
               {"pending", durability->pending.size()}});
        }
        EndCancelWrite(durability, !failure, daemon->loop->Now());
        PumpCancels(daemon);
      });
}

void SendRequest(EntryDaemonState* daemon, const CancelRequest& request) {
  const Endpoint* endpoint = EndpointOf(*daemon, request.holder.origin);
  if (endpoint == nullptr) {
    EndCancelRequest(&daemon->cancels.durability, request, /*confirmed=*/false,
                     daemon->loop->Now());
    return;
  }
  PeerCall call{.path = kCancelsPath,
                .headers = {},
                .body = EncodePeerMessage(
                    JobCancels{OwnOrigin(*daemon), request.cancels})};
  daemon->peers->Call(
      *endpoint, std::move(call), kRequestTimeout,
      [daemon, request](const HttpResult& result) {
        const auto* response = std::get_if<HttpResponse>(&result);
        // A daemon without the path keeps no cancels and answers 404.
        EndCancelRequest(&daemon->cancels.durability, request,
                         response != nullptr && response->status == kStatusOk,
                         daemon->loop->Now());
        PumpCancels(daemon);
      });
}

// Sends what is due, answers callers, and repeats this while cancels are
// pending.
void PumpCancels(EntryDaemonState* daemon) {
  CancelDurability* durability = &daemon->cancels.durability;
  const TimePoint now = daemon->loop->Now();
  if (const CancelWrite* write = BeginCancelWrite(durability, now)) {
    SendWrite(daemon, *write);
  }
  for (const CancelRequest& request :
       BeginCancelRequests(durability, ReachableDaemons(*daemon), now)) {
    SendRequest(daemon, request);
  }
  AcknowledgeDurable(daemon);
  if (!HasCancelWork(*durability) ||
      std::exchange(daemon->cancels.pump_scheduled, true)) {
    return;
  }
  const Duration interval =
      durability->store_failing ? kOutagePumpInterval : kPumpInterval;
  daemon->loop->Schedule(interval, [daemon] {
    daemon->cancels.pump_scheduled = false;
    PumpCancels(daemon);
  });
}

// Ends the wait of a caller whose cancel did not become durable in time.
void EndWait(EntryDaemonState* daemon, const std::string& job,
             std::uint64_t id) {
  const auto found = daemon->cancels.waiters.find(job);
  if (found == daemon->cancels.waiters.end()) return;
  std::vector<CancelWaiter>& waiters = found->second;
  const auto waiter = std::find_if(
      waiters.begin(), waiters.end(),
      [id](const CancelWaiter& candidate) { return candidate.id == id; });
  if (waiter == waiters.end()) return;
  const auto callback = std::move(waiter->callback);
  waiters.erase(waiter);
  if (waiters.empty()) daemon->cancels.waiters.erase(found);
  ++daemon->cancels.counts.unacknowledged;
  Log(LogLevel::kWarning, "cancel_not_acknowledged", {{"id", job}});
  callback(false);
}

// Applies the cancels of one record in the store.
void ApplyRecord(EntryDaemonState* daemon, const KeyValueItem& item,
                 bool at_start) {
  auto message = DecodePeerMessage<JobCancels>(item.value);
  const auto* decoded = std::get_if<JobCancels>(&message);
  if (decoded == nullptr) {
    Log(LogLevel::kError, "cancel_record_unreadable", {{"key", item.key}});
    return;
  }
  if (decoded->origin == OwnOrigin(*daemon)) return;
  for (const JobCancel& cancel : decoded->cancels) {
    // The age is that at the time of the write. The true age is not known
    // without a common clock, so the cancel is kept longer than necessary.
    ApplyCallerCancel(daemon, cancel,
                      at_start ? kReadFromStore : decoded->origin);
    ++daemon->cancels.records_read;
  }
}

void ReadRecords(EntryDaemonState* daemon, const std::string& prefix,
                 Duration retry_time, bool at_start,
                 std::function<void(bool complete)> on_end) {
  daemon->cancels.store->Read(
      {.prefix = prefix,
       .give_up = daemon->loop->Now() + retry_time,
       .on_page =
           [daemon, at_start](const std::vector<KeyValueItem>& items) {
             for (const KeyValueItem& item : items) {
               ApplyRecord(daemon, item, at_start);
             }
           },
       .on_end = std::move(on_end)});
}

// Begins to submit and to accept jobs.
void AllowScheduling(EntryDaemonState* daemon) {
  if (std::exchange(daemon->cancels.may_schedule, true)) return;
  daemon->gateway->LeaderChanged();
}

}  // namespace

void InitializeCancels(EntryDaemonState* daemon) {
  daemon->cancels.durability.data_centre = daemon->settings.data_centre;
  daemon->cancels.store =
      KeyValueBatchClientBuilder(daemon->loop, daemon->settings.store,
                                 daemon->codecs.store)
          .Build();
  const TimePoint began = daemon->loop->Now();
  ReadRecords(daemon, std::string(kCancelPrefix), kRecordsRetryTime,
              /*at_start=*/true, [daemon, began](bool complete) {
                Log(complete ? LogLevel::kInfo : LogLevel::kError,
                    "cancels_read",
                    {{"complete", complete},
                     {"cancels", daemon->cancels.records_read},
                     {"ms", (daemon->loop->Now() - began) / milliseconds(1)}});
                AllowScheduling(daemon);
              });
  daemon->loop->Schedule(kRecordsWait, [daemon] {
    if (daemon->cancels.may_schedule) return;
    Log(LogLevel::kWarning, "cancels_not_read_in_time",
        {{"cancels", daemon->service->scheduler().cancels.records.size()}});
    AllowScheduling(daemon);
  });
}

void KeepCallerCancel(EntryDaemonState* daemon, const std::string& job,
                      Duration wait,
                      std::function<void(bool durable)> callback) {
  EntryCancels& cancels = daemon->cancels;
  const TimePoint now = daemon->loop->Now();
  switch (AddPendingCancel(&cancels.durability, job, now)) {
    case CancelState::kStored:
      ++cancels.counts.acknowledged_by_store;
      callback(true);
      return;
    case CancelState::kFull:
      ++cancels.counts.unacknowledged;
      Log(LogLevel::kWarning, "cancel_not_acknowledged",
          {{"id", job}, {"pending", cancels.durability.pending.size()}});
      callback(false);
      return;
    case CancelState::kPending:
      break;
  }
  const std::uint64_t id = ++cancels.last_waiter;
  cancels.waiters[job].push_back({id, std::move(callback)});
  daemon->loop->Schedule(wait, [daemon, job, id] { EndWait(daemon, job, id); });
  PumpCancels(daemon);
}

namespace {

void ReadAfterLoss(EntryDaemonState* daemon, const std::string& prefix) {
  daemon->cancels.next_loss_read = daemon->loop->Now() + kLossReadInterval;
  const std::uint64_t before = daemon->cancels.records_read;
  ReadRecords(daemon, prefix, kLostRecordsRetryTime, /*at_start=*/false,
              [daemon, prefix, before](bool complete) {
                Log(complete ? LogLevel::kInfo : LogLevel::kWarning,
                    "cancels_read_after_loss",
                    {{"prefix", prefix},
                     {"complete", complete},
                     {"cancels", daemon->cancels.records_read - before}});
              });
}

}  // namespace

void ReadCancelsOfLostDaemon(EntryDaemonState* daemon, const std::string& vm) {
  if (daemon->loop->Now() < daemon->cancels.next_loss_read) {
    ReadCancelsOfAllDaemons(daemon);
  } else {
    ReadAfterLoss(daemon, RecordPrefix(vm));
  }
}

void ReadCancelsOfAllDaemons(EntryDaemonState* daemon) {
  EntryCancels& cancels = daemon->cancels;
  const TimePoint now = daemon->loop->Now();
  if (now >= cancels.next_loss_read) {
    ReadAfterLoss(daemon, std::string(kCancelPrefix));
    return;
  }
  if (std::exchange(cancels.full_read_scheduled, true)) return;
  daemon->loop->Schedule(cancels.next_loss_read - now, [daemon] {
    daemon->cancels.full_read_scheduled = false;
    if (daemon->election.self.claim != 0) ReadCancelsOfAllDaemons(daemon);
  });
}

}  // namespace sequoiapath::internal
