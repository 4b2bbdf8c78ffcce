// Defines FakeStore, an in-memory fake of the etcd v3 JSON gateway with fault
// injection for tests.

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
// /v3/watch, and two control paths for tests:
//
// GET /control/stats: the number of calls by type, where a watch counts as one
// call, and the number of open watches.
// POST /control: a JSON object with any of
//   "down": bool              fails every call with 503 and ends all watches
//   "delay_ms": number        delays the processing of each call
//   "lose_replies": number    applies this many writes without replying
//   "lose_requests": number   discards this many writes without replying
//   "lapse_leases": true      expires all leases at once
//   "watch_delay_ms": number  delays the delivery of watch events
//   "mute_watches": true      stops delivery to the open watches, which stay
//                             open
//   "progress_ms": number     interval of progress notifications; zero for none
//   "compact": true           discards all past events
//   "snapshot": true          saves a copy of the current state
//   "restore": true           replaces the state by the saved copy, if there is
//                             one, and ends all watches
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

  // Listens on `endpoint` and serves requests; port zero selects a free port.
  // Returns an error message on failure.
  std::optional<std::string> Listen(const Endpoint& endpoint);

  const Endpoint& endpoint() const;

  // Applies a control message like POST /control. Returns an error message on
  // failure.
  std::optional<std::string> Control(std::string_view json);

  // Returns the value of `key`, if it exists, without counting a call.
  std::optional<std::string> Peek(const std::string& key) const;

  // Returns the number of calls by type.
  const std::map<std::string, std::uint64_t>& CallCounts() const;

 private:
  std::shared_ptr<internal::FakeStoreState> state;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_FAKES_FAKE_STORE_H_
