// Defines EntryDaemon, one daemon on an entry VM of the platform: it takes jobs
// from callers and, if it is elected, schedules them for all daemons.

#ifndef SEQUOIAPATH_STATE_ENTRY_DAEMON_H_
#define SEQUOIAPATH_STATE_ENTRY_DAEMON_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "sequoiapath/protocol/caller_codec.h"
#include "sequoiapath/protocol/key_value_codec.h"
#include "sequoiapath/protocol/worker_order.h"
#include "sequoiapath/state/entry_settings.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

namespace internal {
struct EntryDaemonState;
}  // namespace internal

// How the daemon's surroundings are spoken to.
struct EntryCodecs {
  CallerCodec callers;
  WorkerCodec workers;
  KeyValueCodec store;
};

// Thread safety: loop thread only.
class EntryDaemon {
 public:
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  // Begins a graceful stop: the daemon hands scheduling over, is no longer
  // ready, answers what it has taken, and then stops the loop. Has no effect
  // the second time.
  void BeginStop();

  // Takes over settings that were read again. Addresses of a running daemon do
  // not change; a difference is logged.
  void Reload(const EntrySettings& settings);

 private:
  friend class EntryDaemonBuilder;
  explicit EntryDaemon(std::unique_ptr<internal::EntryDaemonState> state);

  std::unique_ptr<internal::EntryDaemonState> state;
};

// Builds an EntryDaemon.
class EntryDaemonBuilder {
 public:
  // Preconditions: `loop` outlives the daemon; the codecs are complete.
  EntryDaemonBuilder(EventLoop* loop, EntrySettings settings,
                     EntryCodecs codecs);

  // Starts all servers and clients; returns what failed otherwise.
  std::variant<std::unique_ptr<EntryDaemon>, std::string> Build();

 private:
  EventLoop* loop;
  EntrySettings settings;
  EntryCodecs codecs;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_ENTRY_DAEMON_H_
