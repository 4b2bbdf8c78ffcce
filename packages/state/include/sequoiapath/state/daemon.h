// Defines Daemon, which runs one entry VM's process, and its builder, which
// creates the components of that process and connects them.

#ifndef SEQUOIAPATH_STATE_DAEMON_H_
#define SEQUOIAPATH_STATE_DAEMON_H_

#include <memory>
#include <string>
#include <variant>

#include "sequoiapath/state/settings.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

namespace internal {
struct DaemonState;
}  // namespace internal

// One entry VM's process. Thread safety: loop thread only.
class Daemon {
 public:
  ~Daemon();

  // Starts a graceful stop: refuses new jobs, answers running ones, transfers
  // the sessions and then stops the loop. A second call fails running jobs
  // immediately and stops the loop.
  void BeginStop();

 private:
  friend class DaemonBuilder;
  explicit Daemon(std::unique_ptr<internal::DaemonState> state);

  std::unique_ptr<internal::DaemonState> state;
};

// Builds a Daemon from validated settings.
class DaemonBuilder {
 public:
  // Precondition: `loop` outlives the daemon.
  DaemonBuilder(EventLoop* loop, Settings settings);

  // Binds the sockets and starts to load the configuration. Returns an error
  // message if a socket cannot be bound.
  std::variant<std::unique_ptr<Daemon>, std::string> Build();

 private:
  EventLoop* loop;
  Settings settings;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_DAEMON_H_
