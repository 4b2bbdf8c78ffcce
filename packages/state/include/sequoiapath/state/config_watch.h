// Defines ConfigWatch, which reports each newer configuration record that the
// store shows, from one read and one watch.

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

using OnRecord = std::function<void(const ConfigRecord& record)>;

// Thread safety: loop thread only.
class ConfigWatch {
 public:
  // Starts with a read. Preconditions: `loop` and `store` outlive the watch;
  // `on_record` does not destroy it.
  ConfigWatch(EventLoop* loop, StoreClient* store, OnRecord on_record);
  ~ConfigWatch();
  ConfigWatch(const ConfigWatch&) = delete;
  ConfigWatch& operator=(const ConfigWatch&) = delete;

  // Notes a record that came into force by another way, such as from a peer.
  // Records that are not newer are not reported.
  void NoteInForce(const ConfigRecord& record);

  // Returns how often the store showed a record that is older than the one in
  // force, or another record of the same generation. Each is logged as an
  // error: the store was restored from an old copy.
  std::uint64_t Alarms() const { return this->alarms; }

 private:
  void Read();
  void OnRead(const Result<RangeReply>& result);
  void StartWatch(std::int64_t revision);
  void OnValue(const std::string& value, bool is_event);
  void RaiseAlarm(const ConfigRecord& record);

  EventLoop* loop;
  StoreClient* store;
  OnRecord on_record;
  std::unique_ptr<StoreWatch> watch;
  TimerId read_timer = 0;
  std::uint64_t generation = 0;
  std::string digest;
  // Of the newest record that this watch got from the store.
  std::uint64_t shown_generation = 0;
  // Whether the store last showed an older or another record.
  bool alarmed = false;
  std::uint64_t alarms = 0;
  // Expires with this object; a read's reply may arrive later.
  std::shared_ptr<ConfigWatch*> self;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_CONFIG_WATCH_H_
