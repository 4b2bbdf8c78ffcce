// Tests the event loop with sockets that are closed soon after a write.

#include "sequoiapath/transport/event_loop.h"

#include <gtest/gtest.h>
#include <h2o.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <memory>
#include <vector>

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

// The loop hangs if the fault occurs, so the test ends the process instead.
constexpr unsigned kHangLimitSeconds = 10;
constexpr int kSockets = 7;
constexpr int kSocketsPerWrite = 12;

// A socket of the loop and the other end of its connection.
struct Connection {
  h2o_socket_t* socket = nullptr;
  int peer = -1;
};

Connection Connect(EventLoop* loop) {
  std::array<int, 2> ends{};
  EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()),
            0);
  return {h2o_evloop_socket_create(loop->native(), ends[0], 0), ends[1]};
}

struct OpenedSockets {
  EventLoop* loop = nullptr;
  std::vector<Connection> connections;
  int writes = 0;
};

// Opens sockets, which use the memory of those that have been freed.
void OnWritten(h2o_socket_t* socket, const char* /*error*/) {
  auto* opened = static_cast<OpenedSockets*>(socket->data);
  ++opened->writes;
  for (int i = 0; i < kSocketsPerWrite; ++i) {
    opened->connections.push_back(Connect(opened->loop));
  }
}

// Guards against a loop that hangs or uses freed memory after timer callbacks
// that are due at the same time have written to a socket and closed it.
TEST(EventLoopErrorTest, TimersMayWriteToASocketAndCloseIt) {
  alarm(kHangLimitSeconds);
  EventLoop loop;
  OpenedSockets opened{.loop = &loop, .connections = {}, .writes = 0};
  std::vector<Connection> idle;
  idle.reserve(kSockets);
  for (int i = 0; i < kSockets; ++i) idle.push_back(Connect(&loop));
  // Memory beside the sockets that is not freed with them.
  const auto before = std::make_unique<std::array<char, 64>>();
  const Connection closed = Connect(&loop);
  const auto after = std::make_unique<std::array<char, 64>>();
  const Connection open = Connect(&loop);
  closed.socket->data = &opened;
  open.socket->data = &opened;
  std::array<char, 1> byte{'x'};
  h2o_iovec_t buffer = h2o_iovec_init(byte.data(), byte.size());
  loop.Schedule(milliseconds(10), [&] {
    h2o_socket_write(closed.socket, &buffer, 1, OnWritten);
    h2o_socket_write(open.socket, &buffer, 1, OnWritten);
  });
  loop.Schedule(milliseconds(10), [&] {
    for (const Connection& connection : idle) {
      h2o_socket_close(connection.socket);
    }
    h2o_socket_close(closed.socket);
  });
  bool ran = false;
  loop.Schedule(milliseconds(100), [&] { ran = true; });
  while (!ran) loop.RunOnce(milliseconds(20));
  alarm(0);
  EXPECT_EQ(opened.writes, 1);
  for (const Connection& connection : idle) close(connection.peer);
  for (const Connection& connection : opened.connections) {
    h2o_socket_close(connection.socket);
    close(connection.peer);
  }
  h2o_socket_close(open.socket);
  close(open.peer);
  close(closed.peer);
}

}  // namespace
}  // namespace sequoiapath
