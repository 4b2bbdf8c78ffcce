// Runs FakeStore, the fake of the platform's key-value service, as a process.

#include <fmt/format.h>
#include <popt.h>

#include <csignal>
#include <cstdint>
#include <cstdio>

#include "sequoiapath/fakes/fake_store.h"
#include "sequoiapath/transport/event_loop.h"

int main(int argc, const char** argv) {
  int port = 2379;
  const poptOption options[] = {
      {"port", 'p', POPT_ARG_INT, &port, 0, "port to listen on", "PORT"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("fake_store", argc, argv, options, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed < -1) {
    fmt::print(stderr, "fake_store: invalid option; see --help\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  sequoiapath::EventLoop loop;
  sequoiapath::FakeStore store(&loop);
  const auto error =
      store.Listen({"127.0.0.1", static_cast<std::uint16_t>(port)});
  if (error) {
    fmt::print(stderr, "fake_store: {}\n", *error);
    return 1;
  }
  loop.Run();
  return 0;
}
