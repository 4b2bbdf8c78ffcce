#include "http_call.h"

#include <optional>
#include <utility>

#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr auto kMaxLoopWait = std::chrono::milliseconds(100);

}  // namespace
}  // namespace internal

HttpResult CallAndWait(const Endpoint& endpoint, HttpRequest request,
                       Duration timeout) {
  EventLoop loop;
  std::optional<HttpResult> result;
  const auto client = HttpClientBuilder(&loop, endpoint).Build();
  client->Send(std::move(request), timeout, [&result](HttpResult received) {
    result = std::move(received);
  });
  while (!result) loop.RunOnce(internal::kMaxLoopWait);
  return *std::move(result);
}

}  // namespace sequoiapath
