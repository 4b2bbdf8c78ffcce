// Defines the socket options shared by the HTTP/1.1 and HTTP/2 clients.

#ifndef SEQUOIAPATH_TRANSPORT_SOCKET_OPTIONS_H_
#define SEQUOIAPATH_TRANSPORT_SOCKET_OPTIONS_H_

namespace sequoiapath {
namespace internal {

// Disables Nagle's algorithm and enables keep-alive probes and a TCP user
// timeout, so that the kernel closes a connection whose peer no longer
// acknowledges packets. Thread-safe.
void ConfigureClientSocket(int fd);

// Makes close() reset the connection and discard unsent and unacknowledged
// bytes. Otherwise the kernel could deliver them after the request was reported
// as failed. Thread-safe.
void DiscardUnsentOnClose(int fd);

}  // namespace internal
}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TRANSPORT_SOCKET_OPTIONS_H_
