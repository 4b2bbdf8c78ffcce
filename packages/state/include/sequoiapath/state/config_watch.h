// Defines ConfigWatch, which reports each newer configuration record in the
// store. It reads the key once and then watches it.

#ifndef SEQUOIAPATH_STATE_CONFIG_WATCH_H_
#define SEQUOIAPATH_STATE_CONFIG_WATCH_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sequoiapath/protocol/document.h"
#include "sequoiapath/state/store_client.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

using RecordCallback = std::function<void(const ConfigRecord& record)>;

// Calls `on_record` with each record in the store that is newer than the one in
// force. Thread safety: loop thread only.
class ConfigWatch {
 public:
  // Sends the first read. Preconditions: `loop` and `store` outlive the watch;
  // `on_record` does not destroy the watch.
  ConfigWatch(EventLoop* loop, StoreClient* store, RecordCallback on_record);
  ~ConfigWatch();
  ConfigWatch(const ConfigWatch&) = delete;
  ConfigWatch& operator=(const ConfigWatch&) = delete;

  // Sets the record in force if `record` is newer, for example after it was
  // received from a peer. The watch reports only records that are newer than
  // the record in force.
  void SetInForce(const ConfigRecord& record);

  // Returns how often the store contained no record, a record older than the
  // one in force, or a record of the same generation with another digest. This
  // happens when the store is restored from an old backup. Each case is logged
  // as an error.
  std::uint64_t Alarms() const { return this->alarms; }

 private:
  void Read();
  void OnRead(const Result<RangeReply>& result);
  void StartWatch(std::int64_t revision);
  void OnValue(const std::string& value, bool is_event);
  void RaiseAlarm(const ConfigRecord& record);

  EventLoop* loop;
  StoreClient* store;
  RecordCallback on_record;
  std::unique_ptr<StoreWatch> watch;
  TimerId read_timer = 0;
  // Generation and digest of the record in force; zero and empty before the
  // first one.
  std::uint64_t generation = 0;
  std::string digest;
  // Generation of the last record that this watch received from the store.
  std::uint64_t last_store_generation = 0;
  // Whether the last record from the store raised an alarm.
  bool alarm_active = false;
  std::uint64_t alarms = 0;
  // Callbacks of reads hold a weak pointer to this member, because a reply may
  // arrive after the watch is destroyed.
  std::shared_ptr<ConfigWatch*> self;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_CONFIG_WATCH_H_
