#include "socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>

namespace sequoiapath {
namespace internal {
namespace {

// Time after which the kernel closes a connection with unacknowledged data.
// Together with the keep-alive probes, it closes an unresponsive connection
// with a pending watch within 3 s, the shortest time within which the platform
// expects a daemon to be up to date.
constexpr auto kTcpUserTimeout = std::chrono::seconds(3);
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

}  // namespace

void ConfigureClientSocket(int fd) {
  const int on = 1;
  const int user_timeout_ms =
      static_cast<int>(std::chrono::milliseconds(kTcpUserTimeout).count());
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds,
             sizeof(kKeepAliveIdleSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds,
             sizeof(kKeepAliveIntervalSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
             sizeof(user_timeout_ms));
}

void DiscardUnsentOnClose(int fd) {
  const linger discard{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
}

}  // namespace internal
}  // namespace sequoiapath
