// Serves the console with example data on 127.0.0.1:18990, for viewing the
// pages in a browser. The token is "preview-operator-token". A login cookie is
// appended after the headers of each request, so that no page requires a login;
// a login cookie that the browser sends takes precedence.

#include <chrono>
#include <cstdio>
#include <string>

#include "sequoiapath/state/operator_api.h"
#include "support/fake_operator_backend.h"

int main() {
  sequoiapath::EventLoop loop;
  sequoiapath::FakeOperatorBackend fake;
  FillWithExamples(&fake);
  const sequoiapath::OperatorApi api("preview-operator-token",
                                     BackendOf(&fake));
  const std::string cookie = sequoiapath::MakeLoginCookie(
      "maria", "preview-operator-token", std::chrono::system_clock::now());
  const auto server =
      sequoiapath::HttpServerBuilder(&loop)
          .Listen({"127.0.0.1", 18990})
          .Handler(
              [&api, &cookie](const sequoiapath::HttpRequest& request,
                              const sequoiapath::HttpResponder& responder) {
                sequoiapath::HttpRequest signed_in = request;
                signed_in.headers.push_back(
                    {"cookie", cookie.substr(0, cookie.find(';'))});
                api.Handle(signed_in, responder);
              })
          .Build();
  if (const auto* error = std::get_if<sequoiapath::ListenError>(&server)) {
    std::fprintf(stderr, "%s\n", error->message.c_str());
    return 1;
  }
  loop.Run();
}
