// Defines helpers for tests that run clients and servers on one event loop.

#ifndef SEQUOIAPATH_TESTS_LOOP_TESTING_H_
#define SEQUOIAPATH_TESTS_LOOP_TESTING_H_

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <utility>
#include <variant>

#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {

// Runs the loop until `done` returns true. Returns false if that does not
// happen within `limit`.
inline bool RunUntil(EventLoop* loop, const std::function<bool()>& done,
                     Duration limit = std::chrono::seconds(10)) {
  const TimePoint end = loop->Now() + limit;
  while (!done()) {
    if (loop->Now() >= end) return false;
    loop->RunOnce(std::chrono::milliseconds(5));
  }
  return true;
}

inline void RunFor(EventLoop* loop, Duration duration) {
  RunUntil(
      loop, [] { return false; }, duration);
}

// Starts a server on a free port of the loopback address.
inline std::unique_ptr<HttpServer> StartServer(
    EventLoop* loop, HttpHandler handler,
    Duration request_timeout = std::chrono::seconds(10)) {
  auto built = HttpServerBuilder(loop)
                   .Listen({"127.0.0.1", 0})
                   .MaxBodySize(32 << 20)
                   .RequestTimeout(request_timeout)
                   .Handler(std::move(handler))
                   .Build();
  EXPECT_TRUE(std::holds_alternative<std::unique_ptr<HttpServer>>(built));
  return std::get<std::unique_ptr<HttpServer>>(std::move(built));
}

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TESTS_LOOP_TESTING_H_
