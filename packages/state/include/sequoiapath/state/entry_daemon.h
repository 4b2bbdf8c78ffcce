// Defines EntryDaemon, the daemon on an entry VM of the platform. It accepts
// jobs from callers and, while it is the elected scheduler, schedules the jobs
// of all daemons that can reach it.

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

// Codecs for the platform's interfaces to callers, workers and the key-value
// store.
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

  // Begins a graceful stop: the daemon steps down as the scheduler, reports
  // that it is not ready, answers the jobs that it has accepted, and then stops
  // the loop. Later calls have no effect.
  void BeginStop();

  // Applies the `seeds` and `stop_grace` of reloaded settings. All other
  // settings keep their values from the start. A changed listen address for
  // callers, peers or readiness checks is logged.
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

  // Starts all servers and clients. Returns an error message if a server cannot
  // listen.
  std::variant<std::unique_ptr<EntryDaemon>, std::string> Build();

 private:
  EventLoop* loop;
  EntrySettings settings;
  EntryCodecs codecs;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_ENTRY_DAEMON_H_
