#include "record_spread.h"

#include <chrono>

namespace sequoiapath::internal {
namespace {

constexpr Duration kRecordsTimeout = std::chrono::milliseconds(400);
constexpr int kStatusOk = 200;
// A daemon of an earlier version does not know the path and cannot use the
// records.
constexpr int kStatusNotFound = 404;

bool IsDelivered(const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  return response != nullptr &&
         (response->status == kStatusOk || response->status == kStatusNotFound);
}

void SendRecordsTo(RecordSpread* spread, const RecordReceiver& receiver) {
  const std::pair key{receiver.origin, receiver.own_records_only};
  RecordSpread::Progress& progress = spread->progress[key];
  if (progress.in_flight || progress.delivered == spread->last_sequence()) {
    return;
  }
  std::uint64_t sequence = progress.delivered;
  std::string body = spread->encode_after(receiver, &sequence);
  if (body.empty()) {
    progress.delivered = sequence;
    return;
  }
  progress.in_flight = true;
  PeerCall call{.path = spread->path, .headers = {}, .body = std::move(body)};
  spread->peers->Call(receiver.endpoint, std::move(call), kRecordsTimeout,
                      [spread, key, sequence](const HttpResult& result) {
                        RecordSpread::Progress& reached = spread->progress[key];
                        reached.in_flight = false;
                        if (!IsDelivered(result)) return;
                        reached.delivered = sequence;
                        SendRecords(spread);
                      });
}

}  // namespace

void SendRecords(RecordSpread* spread) {
  if (spread->last_sequence() == 0) return;
  for (const RecordReceiver& receiver : spread->receivers()) {
    SendRecordsTo(spread, receiver);
  }
}

}  // namespace sequoiapath::internal
