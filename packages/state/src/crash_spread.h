// Defines CrashSpread, which sends the history of crashes to other daemons.
//
// The scheduler sends each record to every daemon that it reaches, so that the
// counts survive the loss of the scheduler. A daemon that does not schedule
// sends the records that it has to the scheduler that it follows. A message is
// repeated until it has been answered.

#ifndef SEQUOIAPATH_STATE_CRASH_SPREAD_H_
#define SEQUOIAPATH_STATE_CRASH_SPREAD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sequoiapath/coordination/crash_history.h"
#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/peer_client.h"

namespace sequoiapath::internal {

// Path of the messages that CrashSpread sends.
constexpr const char* kCrashesPath = "/scheduler/crashes";

// A daemon that has to get the records.
struct CrashReceiver {
  std::string origin;  // Names the daemon's process.
  Endpoint endpoint;
};

struct CrashSpread {
  EventLoop* loop = nullptr;
  PeerClient* peers = nullptr;
  std::string own_origin;  // Names this daemon's process.
  std::function<const CrashHistory&()> history;
  // Returns the daemons that have to get the records now.
  std::function<std::vector<CrashReceiver>()> receivers;

  struct Progress {
    std::uint64_t delivered = 0;  // Sequence number of the last such record.
    bool in_flight = false;
  };
  std::map<std::string, Progress> progress;  // By origin.
};

// Sends the records that the receivers lack and that are not being sent yet.
// Call it after each new record and at intervals, which repeats unanswered
// messages. Thread safety: loop thread only.
void SendCrashes(CrashSpread* spread);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_CRASH_SPREAD_H_
