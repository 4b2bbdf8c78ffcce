#include "cancel_reply.h"

#include <chrono>
#include <string>

namespace sequoiapath::internal {
namespace {

using std::chrono::milliseconds;

// For a request without a time limit. An acknowledgement may take 8 s at most.
constexpr milliseconds kDefaultCancelWait{8000};
constexpr int kStatusGone = 410;
constexpr int kStatusUnavailable = 503;

}  // namespace

Duration CancelWait(const CallerCodec& codec, const HttpRequest& request) {
  return codec.caller_timeout(request).value_or(kDefaultCancelWait);
}

void SendCancelReply(const CancelReply& reply, bool durable) {
  if (durable && reply.job_known) {
    reply.responder.Respond(reply.codec.encode_answer(
        {StepJobOutcome::kCancelled, "cancelled", milliseconds(0)}));
    return;
  }
  reply.responder.Respond(
      {.status = durable ? kStatusGone : kStatusUnavailable,
       .headers = {{"content-type", "text/plain"}},
       .body = durable ? "this daemon has no job with this id"
                       : "the cancel is applied but not yet recorded; repeat "
                         "it"});
}

}  // namespace sequoiapath::internal
