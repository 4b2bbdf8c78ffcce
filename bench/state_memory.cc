// Measures the memory of each kind of daemon state as the heap growth for a
// given number of entries.

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "sample_document.h"
#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/coordination/config_spread.h"
#include "sequoiapath/coordination/member_view.h"
#include "sequoiapath/coordination/session_table.h"
#include "sequoiapath/coordination/share_ledger.h"
#include "sequoiapath/coordination/task_queue.h"
#include "sequoiapath/protocol/peer_message.h"

namespace sequoiapath {
namespace internal {
namespace {

std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Prints the total heap growth of `build(count)` and the growth per entry. The
// state is kept alive until after the measurement.
template <typename Build>
void Measure(const char* label, std::size_t count, const Build& build) {
  const std::size_t before = HeapBytes();
  const auto state = build(count);
  const std::size_t grown = HeapBytes() - before;
  fmt::print("{:<38} {:>8} {:>12} {:>10.0f}\n", label, count, grown,
             static_cast<double>(grown) / static_cast<double>(count));
  static_cast<void>(state);
}

std::string VmName(std::size_t i) { return fmt::format("entry-vm-{:05}", i); }

std::unique_ptr<SessionTable> OpenSessions(std::size_t count) {
  auto table = std::make_unique<SessionTable>();
  table->incarnation = 1;
  for (std::size_t i = 0; i < count; ++i) {
    // The number of sessions is limited for each team, so use many teams.
    OpenSession(table.get(), fmt::format("team-{:03}", i % 170), TimePoint{});
  }
  return table;
}

// Returns a table with `count` finished submissions whose answers have 1,000
// bytes each.
std::unique_ptr<SessionTable> FinishSubmissions(std::size_t count) {
  auto table = OpenSessions(100);
  const JobAnswer answer{"request", JobResults{}};
  const std::string body(1000, 'x');
  for (std::size_t i = 0; i < count; ++i) {
    const SessionKey key{1, 1 + i % 100};
    const SequenceNumber sequence = 1 + i / 100;
    const auto decision =
        AdmitSubmission(table.get(), key, sequence, TimePoint{});
    if (std::holds_alternative<StartJob>(decision)) {
      FinishSubmission(table.get(), key, sequence, answer, body, TimePoint{});
    }
  }
  return table;
}

std::unique_ptr<TaskQueue> QueueJobs(std::size_t count) {
  auto queue = std::make_unique<TaskQueue>();
  for (std::size_t i = 0; i < count; ++i) {
    TaskGroup group;
    group.job = i + 1;
    group.team = fmt::format("team-{:03}", i % 170);
    group.task_count = 480;
    EnqueueGroup(queue.get(), std::move(group));
  }
  return queue;
}

std::unique_ptr<MemberView> AddMembers(std::size_t count) {
  auto view = std::make_unique<MemberView>(
      MakeMemberView({"data-centre-00", "self", {"10.0.0.1", 7000}, 1}, {}));
  for (std::size_t i = 0; i < count; ++i) {
    ObserveRequest(view.get(),
                   {fmt::format("data-centre-{:02}", i % 16),
                    VmName(i),
                    {"10.1.1.1", static_cast<std::uint16_t>(1 + i % 60000)},
                    i + 2},
                   false, TimePoint{});
  }
  return view;
}

std::unique_ptr<MemberView> AddSuccessionRecords(std::size_t count) {
  auto view = AddMembers(1);
  for (std::size_t i = 0; i < count; ++i) {
    AddSuccession(
        view.get(),
        {i + 100,
         {"data-centre-00", VmName(i), {"10.1.1.1", 7000}, i + 1000000},
         std::chrono::milliseconds(0)},
        TimePoint{});
  }
  return view;
}

std::unique_ptr<ShareLedger> AddWorkers(std::size_t count) {
  auto ledger = std::make_unique<ShareLedger>();
  SetWorkers(ledger.get(), MakeSampleDocument(count).workers);
  return ledger;
}

void PrintMessageSizes() {
  fmt::print("\n{:<38} {:>12}\n", "message", "bytes");
  Heartbeat heartbeat;
  heartbeat.sender = {
      "data-centre-00", VmName(1), {"10.1.1.1", 7000}, ~std::uint64_t{0}};
  heartbeat.config_generation = 1000000;
  heartbeat.config_digest = std::string(16, 'a');
  heartbeat.shares.sequence = 1764825000000000;
  heartbeat.shares.roster_epoch = 1000;
  heartbeat.shares.free = {100, 100};
  heartbeat.shares.backlog = 1000;
  heartbeat.shares.units = {1000, 1000};
  fmt::print("{:<38} {:>12}\n", "heartbeat",
             EncodePeerMessage(heartbeat).size());
  for (int i = 0; i < 8; ++i) {
    heartbeat.shares.free_quota.push_back({fmt::format("team-{:03}", i), 100});
  }
  fmt::print("{:<38} {:>12}\n", "heartbeat with 8 teams' free quota",
             EncodePeerMessage(heartbeat).size());
  HeartbeatReply reply;
  reply.sender = heartbeat.sender;
  reply.config_generation = 1000000;
  reply.config_digest = heartbeat.config_digest;
  fmt::print("{:<38} {:>12}\n", "heartbeat reply",
             EncodePeerMessage(reply).size());
}

void MeasureAll() {
  fmt::print("{:<38} {:>8} {:>12} {:>10}\n", "state", "entries", "bytes",
             "per entry");
  Measure("open session", 20000, OpenSessions);
  Measure("finished submission, 1,000 B answer", 10000, FinishSubmissions);
  Measure("queued job of 480 tasks", 10000, QueueJobs);
  Measure("member", 128, AddMembers);
  Measure("member", 1024, AddMembers);
  Measure("succession record", 320, AddSuccessionRecords);
  Measure("worker in the ledger", 260, AddWorkers);
  Measure("worker in the ledger", 4200, AddWorkers);
  for (const std::size_t workers : {50, 500, 4200}) {
    Measure("catalog, per worker", workers, [](std::size_t count) {
      const Document document = MakeSampleDocument(count);
      return MakeCatalog(MakeSampleRecord(1, document), document);
    });
    Measure("canonical document, per worker", workers, [](std::size_t count) {
      return MakeSampleRecord(1, MakeSampleDocument(count));
    });
  }
  PrintMessageSizes();
}

}  // namespace
}  // namespace internal
}  // namespace sequoiapath

int main() {
  sequoiapath::internal::MeasureAll();
  return 0;
}
