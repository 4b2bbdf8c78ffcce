// Defines RawServer, a TCP server for tests that control the exact bytes sent
// and when connections close. A separate thread serves each connection.

#ifndef SEQUOIAPATH_TESTS_SUPPORT_RAW_SERVER_H_
#define SEQUOIAPATH_TESTS_SUPPORT_RAW_SERVER_H_

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "loop_testing.h"
#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath::test {

// Reads one request including its body. Returns an empty string if the
// connection ends first.
inline std::string ReadRawRequest(int fd) {
  std::string text;
  std::size_t needed = std::string::npos;
  char buffer[4096];
  while (needed == std::string::npos || text.size() < needed) {
    const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
    if (count <= 0) return "";
    text.append(buffer, static_cast<std::size_t>(count));
    const std::size_t end = text.find("\r\n\r\n");
    const std::size_t length = text.find("content-length: ");
    if (end == std::string::npos || length == std::string::npos) continue;
    needed = end + 4 + std::stoul(text.substr(length + 16));
  }
  return text;
}

inline void WriteRaw(int fd, const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t count =
        send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (count <= 0) return;
    done += static_cast<std::size_t>(count);
  }
}

// Writes a response. `headers` contains complete header lines, each with its
// line terminator.
inline void WriteRawResponse(int fd, int status, const std::string& body,
                             const std::string& headers = "") {
  WriteRaw(fd,
           fmt::format("HTTP/1.1 {} status\r\ncontent-length: {}\r\n{}\r\n{}",
                       status, body.size(), headers, body));
}

class RawServer {
 public:
  // Serves one connection. The server shuts the socket down when it returns.
  using Serve = std::function<void(int fd)>;

  explicit RawServer(Serve serve) : serve(std::move(serve)) {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t length = sizeof(address);
    if (bind(this->listener, generic, length) != 0 ||
        listen(this->listener, 128) != 0) {
      fmt::print(stderr, "RawServer: cannot listen on 127.0.0.1\n");
      std::abort();
    }
    getsockname(this->listener, generic, &length);
    this->endpoint = {"127.0.0.1", ntohs(address.sin_port)};
    this->acceptor = std::thread([this] { this->Accept(); });
  }

  ~RawServer() {
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    close(this->listener);
    for (const int fd : this->sockets) shutdown(fd, SHUT_RDWR);
    for (std::thread& thread : this->threads) thread.join();
    for (const int fd : this->sockets) close(fd);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  Endpoint endpoint;
  std::atomic<int> connections = 0;

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      ++this->connections;
      this->sockets.push_back(fd);
      this->threads.emplace_back([this, fd] {
        this->serve(fd);
        // Ends the connection for the client at once. The destructor closes
        // the descriptor, so that its number is not reused while it is in
        // `sockets`.
        shutdown(fd, SHUT_RDWR);
      });
    }
  }

  Serve serve;
  int listener = -1;
  std::thread acceptor;
  std::vector<int> sockets;
  std::vector<std::thread> threads;
};

using sequoiapath::RunFor;
using sequoiapath::RunUntil;

}  // namespace sequoiapath::test

#endif  // SEQUOIAPATH_TESTS_SUPPORT_RAW_SERVER_H_
