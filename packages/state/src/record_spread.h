// Defines RecordSpread, which sends the records of a history to other daemons.
//
// Each daemon keeps records that must survive the loss of any other, such as
// the crashes of workers and the cancels of callers. A message is repeated
// until it has been answered. The receivers that a daemon names and the records
// that each of them gets depend on the history.

#ifndef SEQUOIAPATH_STATE_RECORD_SPREAD_H_
#define SEQUOIAPATH_STATE_RECORD_SPREAD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/peer_client.h"

namespace sequoiapath::internal {

// Number of records in one message.
constexpr std::size_t kMaxRecordsPerMessage = 500;

// A daemon that has to get the records.
struct RecordReceiver {
  std::string origin;  // Names the daemon's process.
  Endpoint endpoint;
  // Gets only the records that this daemon has not learned from another one.
  bool own_records_only = false;
};

struct RecordSpread {
  PeerClient* peers = nullptr;
  std::string path;  // Of the messages.
  // Returns the sequence number of the latest record; zero if there is none.
  std::function<std::uint64_t()> last_sequence;
  // Encodes up to kMaxRecordsPerMessage records with a number above `sequence`
  // for a receiver. Sets `sequence` to the number of the last record that was
  // examined. Returns an empty string if the receiver lacks none.
  std::function<std::string(const RecordReceiver& receiver,
                            std::uint64_t* sequence)>
      encode_after;
  // Returns the daemons that have to get the records now.
  std::function<std::vector<RecordReceiver>()> receivers;

  struct Progress {
    std::uint64_t delivered = 0;  // Sequence number of the last such record.
    bool in_flight = false;
  };
  // By `origin` and `own_records_only`: a receiver that becomes the scheduler
  // may lack records that were not meant for it before.
  std::map<std::pair<std::string, bool>, Progress> progress;
};

// Sends the records that the receivers lack and that are not being sent yet.
// Call it after each new record and at intervals, which repeats unanswered
// messages. Thread safety: loop thread only.
void SendRecords(RecordSpread* spread);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_RECORD_SPREAD_H_
