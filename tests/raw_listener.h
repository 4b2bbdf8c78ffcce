// Defines RawListener, a listening socket that accepts and reads connections
// only when a test calls for it.

#ifndef SEQUOIAPATH_TESTS_RAW_LISTENER_H_
#define SEQUOIAPATH_TESTS_RAW_LISTENER_H_

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <utility>

#include "sequoiapath/transport/endpoint.h"

namespace sequoiapath {

// Listens on a free loopback port. The kernel completes TCP handshakes; the
// listener reads nothing until ReadAll is called.
struct RawListener {
  explicit RawListener(int receive_buffer = 4096)
      : fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(this->fd, generic, length), 0);
    EXPECT_EQ(listen(this->fd, 16), 0);
    getsockname(this->fd, generic, &length);
    this->endpoint = {"127.0.0.1", ntohs(address.sin_port)};
  }
  ~RawListener() { this->Close(); }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  void Close() {
    if (this->fd >= 0) close(std::exchange(this->fd, -1));
  }

  // Precondition: a connection is waiting to be accepted.
  void AcceptAndClose() const { close(accept(this->fd, nullptr, nullptr)); }

  // Accepts a waiting connection and reads it until it ends. Returns the number
  // of bytes read. Sets `reset` to whether the connection ended with an error
  // such as a reset.
  std::size_t ReadAll(bool* reset) const {
    const int connection = accept(this->fd, nullptr, nullptr);
    std::array<char, 65536> buffer{};
    std::size_t total = 0;
    ssize_t count = 0;
    while ((count = recv(connection, buffer.data(), buffer.size(), 0)) > 0) {
      total += static_cast<std::size_t>(count);
    }
    *reset = count < 0;
    close(connection);
    return total;
  }

  int fd;
  Endpoint endpoint;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TESTS_RAW_LISTENER_H_
