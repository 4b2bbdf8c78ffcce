#include "entry_records.h"

#include <cstdint>
#include <string>
#include <vector>

#include "entry_heartbeats.h"
#include "sequoiapath/protocol/peer_message.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

constexpr Duration kRecordsInterval = milliseconds(200);

// Returns the reachable daemons. A daemon that schedules sends them all of its
// records. One that follows sends all of them to the scheduler only.
std::vector<RecordReceiver> RecordReceivers(const EntryDaemonState& daemon) {
  const SchedulerElection& election = daemon.election;
  std::vector<RecordReceiver> receivers;
  for (const auto& [vm, peer] : election.peers) {
    if (!IsReachable(election, vm, daemon.loop->Now())) continue;
    const bool gets_all = election.self.claim != 0 || vm == election.leader;
    receivers.push_back({MakeOrigin(vm, peer.report.incarnation),
                         peer.report.endpoint, !gets_all});
  }
  return receivers;
}

template <typename History>
std::uint64_t LastSequence(const History& history) {
  return history.records.empty() ? 0 : history.last_sequence;
}

std::string EncodeCrashesAfter(const EntryDaemonState& daemon,
                               const RecordReceiver& receiver,
                               std::uint64_t* sequence) {
  const TaskCrashes message{
      OwnOrigin(daemon),
      CrashesAfter(daemon.service->scheduler().crashes, sequence,
                   receiver.origin, kMaxRecordsPerMessage, daemon.loop->Now())};
  return message.crashes.empty() ? "" : EncodePeerMessage(message);
}

}  // namespace

void InitializeCrashSpread(EntryDaemonState* daemon) {
  daemon->crash_spread = {
      .peers = daemon->peers.get(),
      .path = kCrashesPath,
      .last_sequence =
          [daemon] {
            return LastSequence(daemon->service->scheduler().crashes);
          },
      .encode_after =
          [daemon](const RecordReceiver& receiver, std::uint64_t* sequence) {
            return EncodeCrashesAfter(*daemon, receiver, sequence);
          },
      .receivers =
          [daemon] {
            std::vector<RecordReceiver> receivers = RecordReceivers(*daemon);
            std::erase_if(receivers, [](const RecordReceiver& receiver) {
              return receiver.own_records_only;
            });
            return receivers;
          },
      .progress = {}};
  daemon->service->OnNewCrashes(
      [daemon] { SendRecords(&daemon->crash_spread); });
}

namespace {

std::string EncodeCancelsAfter(const EntryDaemonState& daemon,
                               const RecordReceiver& receiver,
                               std::uint64_t* sequence) {
  const JobCancels message{
      OwnOrigin(daemon),
      CancelsAfter(daemon.service->scheduler().cancels, sequence,
                   receiver.origin, receiver.own_records_only,
                   kMaxRecordsPerMessage, daemon.loop->Now())};
  return message.cancels.empty() ? "" : EncodePeerMessage(message);
}

}  // namespace

void InitializeCancelSpread(EntryDaemonState* daemon) {
  daemon->cancel_spread = {
      .peers = daemon->peers.get(),
      .path = kCancelsPath,
      .last_sequence =
          [daemon] {
            return LastSequence(daemon->service->scheduler().cancels);
          },
      .encode_after =
          [daemon](const RecordReceiver& receiver, std::uint64_t* sequence) {
            return EncodeCancelsAfter(*daemon, receiver, sequence);
          },
      .receivers = [daemon] { return RecordReceivers(*daemon); },
      .progress = {}};
}

void RecordsTick(EntryDaemonState* daemon) {
  QuerySeeds(daemon);
  SendRecords(&daemon->crash_spread);
  SendRecords(&daemon->cancel_spread);
  daemon->loop->Schedule(kRecordsInterval, [daemon] { RecordsTick(daemon); });
}

}  // namespace sequoiapath::internal
