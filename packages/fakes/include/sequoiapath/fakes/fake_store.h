// Defines FakeStore, a stand-in for the platform's key-value service: the etcd
// v3 JSON gateway in memory, with faults that tests switch.

#ifndef SEQUOIAPATH_FAKES_FAKE_STORE_H_
#define SEQUOIAPATH_FAKES_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

namespace internal {
struct FakeStoreState;
}  // namespace internal

// Serves /v3/kv/range, put and txn, /v3/lease/grant, keepalive and revoke,
// /v3/watch, and two paths for tests:
//
// GET /control/stats: the number of calls by type; a watch counts as one call.
// POST /control: a JSON object with any of
//   "down": bool              every call fails with 503; watches end
//   "delay_ms": number        each call takes effect and is answered later
//   "lose_replies": number    so many writes take effect without a reply
//   "lose_requests": number   so many writes vanish without an effect
//   "lapse_leases": true      all leases expire now
//   "watch_delay_ms": number  watches deliver later
//   "mute_watches": true      the open watches go silent
//   "progress_ms": number     interval of progress notices; zero: none
//   "compact": true           drops the history of events
//   "snapshot": true          remembers the present state
//   "restore": true           restarts from the remembered state
//   "vms": [{"data_centre", "vm", "address", "state"}]  sets entries of the VM
//     list; state is "live", "leaving" or "absent"
//
// Thread safety: loop thread only.
class FakeStore {
 public:
  // Precondition: `loop` outlives the store.
  explicit FakeStore(EventLoop* loop);
  ~FakeStore();
  FakeStore(const FakeStore&) = delete;
  FakeStore& operator=(const FakeStore&) = delete;

  // Starts to serve; port zero picks a free one. Returns an error message.
  std::optional<std::string> Listen(const Endpoint& endpoint);

  const Endpoint& endpoint() const;

  // Does what POST /control does; returns an error message.
  std::optional<std::string> Control(std::string_view json);

  // Returns the value of a key, if it exists, without counting a call.
  std::optional<std::string> Peek(const std::string& key) const;

  // Returns the calls by type.
  const std::map<std::string, std::uint64_t>& CallCounts() const;

 private:
  std::shared_ptr<internal::FakeStoreState> state;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_FAKES_FAKE_STORE_H_
