// Defines the socket options shared by the HTTP/1.1 and HTTP/2 clients.

#ifndef SEQUOIAPATH_TRANSPORT_SOCKET_OPTIONS_H_
#define SEQUOIAPATH_TRANSPORT_SOCKET_OPTIONS_H_

namespace sequoiapath {
namespace internal {

// Disables Nagle's algorithm and enables keep-alive probes and a user timeout,
// so that the kernel ends connections over a dead path. Thread-safe.
void ConfigureClientSocket(int fd);

// Makes close() discard unsent and unacknowledged bytes and reset the
// connection; otherwise the kernel delivers them after the caller was told that
// its request failed. Thread-safe.
void DiscardUnsentOnClose(int fd);

}  // namespace internal
}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TRANSPORT_SOCKET_OPTIONS_H_
