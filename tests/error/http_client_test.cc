// Guards against the late delivery of a request whose caller was told that it
// timed out.

#include "sequoiapath/transport/http_client.h"

#include <optional>

#include "loop_testing.h"
#include "raw_listener.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

// The body waits in the kernel's send buffer because the server does not read.
// A plain close would deliver it later, and the worker would start the task.
TEST(HttpClientErrorTest, TimedOutRequestIsNotDeliveredLater) {
  constexpr std::size_t kBodyBytes = 64 << 10;
  EventLoop loop;
  RawListener listener;
  const auto client = HttpClientBuilder(&loop, listener.endpoint).Build();
  std::optional<HttpResult> result;
  client->Send({"POST", "/v1/tasks/1", {}, std::string(kBodyBytes, 'x'), ""},
               milliseconds(200),
               [&](HttpResult outcome) { result = std::move(outcome); });
  ASSERT_TRUE(RunUntil(&loop, [&] { return result.has_value(); }));
  EXPECT_EQ(std::get<HttpError>(*result).kind, HttpErrorKind::kTimeout);
  RunFor(&loop, milliseconds(50));
  bool reset = false;
  EXPECT_LT(listener.ReadAll(&reset), kBodyBytes);
  EXPECT_TRUE(reset);
}

}  // namespace
}  // namespace sequoiapath
