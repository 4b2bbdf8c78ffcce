#include "crash_spread.h"

#include <utility>

#include "sequoiapath/protocol/peer_message.h"

namespace sequoiapath::internal {
namespace {

// Number of records in one message.
constexpr std::size_t kMaxCrashesPerMessage = 500;
constexpr Duration kCrashesTimeout = std::chrono::milliseconds(400);
constexpr int kStatusOk = 200;

void SendCrashesTo(CrashSpread* spread, const CrashReceiver& receiver) {
  CrashSpread::Progress& progress = spread->progress[receiver.origin];
  const CrashHistory& history = spread->history();
  if (progress.in_flight || progress.delivered == history.last_sequence) return;
  std::uint64_t sequence = progress.delivered;
  TaskCrashes message{spread->own_origin,
                      CrashesAfter(history, &sequence, receiver.origin,
                                   kMaxCrashesPerMessage, spread->loop->Now())};
  if (message.crashes.empty()) {
    progress.delivered = sequence;
    return;
  }
  progress.in_flight = true;
  PeerCall call{
      .path = kCrashesPath, .headers = {}, .body = EncodePeerMessage(message)};
  spread->peers->Call(
      receiver.endpoint, std::move(call), kCrashesTimeout,
      [spread, origin = receiver.origin, sequence](const HttpResult& result) {
        CrashSpread::Progress& reached = spread->progress[origin];
        reached.in_flight = false;
        const auto* response = std::get_if<HttpResponse>(&result);
        if (response == nullptr || response->status != kStatusOk) return;
        reached.delivered = sequence;
        SendCrashes(spread);
      });
}

}  // namespace

void SendCrashes(CrashSpread* spread) {
  if (spread->history().records.empty()) return;
  for (const CrashReceiver& receiver : spread->receivers()) {
    SendCrashesTo(spread, receiver);
  }
}

}  // namespace sequoiapath::internal
