// Answers the requests of callers that cancel a job.

#ifndef SEQUOIAPATH_STATE_CANCEL_REPLY_H_
#define SEQUOIAPATH_STATE_CANCEL_REPLY_H_

#include "sequoiapath/protocol/caller_codec.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_message.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath::internal {

// A cancel that has no answer yet.
struct CancelReply {
  HttpResponder responder;
  CallerCodec codec;
  bool job_known = false;  // This daemon had the job when the cancel arrived.
};

// Returns how long the caller waits for the answer.
Duration CancelWait(const CallerCodec& codec, const HttpRequest& request);

// Acknowledges the cancel if it is durable. Otherwise answers with 503: the
// cancel has been applied, but may be lost with the daemons that know it.
void SendCancelReply(const CancelReply& reply, bool durable);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_CANCEL_REPLY_H_
