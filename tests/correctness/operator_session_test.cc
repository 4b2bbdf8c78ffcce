// Tests the output of the configuration subcommands: compares the transcript of
// one session with a golden file, after replacing change ids, times and the
// host name by placeholders.

#include <gtest/gtest.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <regex>
#include <thread>

#include "command.h"
#include "sequoiapath/fakes/fake_store.h"

namespace sequoiapath {
namespace {

constexpr const char* kDocument = R"([[data_centres]]
name = "heredia"

[[teams]]
name = "depot-clerks"
quota = 200

[[workers]]
name = "heredia-01"
data_centre = "heredia"
address = "127.0.0.1:19000"
)";

// Runs a fake store on a separate thread, because the subcommands block in
// their own event loop.
class StoreThread {
 public:
  StoreThread()
      : thread([this] {
          EventLoop loop;
          FakeStore store(&loop);
          EXPECT_EQ(store.Listen({"127.0.0.1", 0}), std::nullopt);
          this->port = store.endpoint().port;
          while (!this->stopped) loop.RunOnce(std::chrono::milliseconds(10));
        }) {
    while (this->port == 0) std::this_thread::yield();
  }
  ~StoreThread() {
    this->stopped = true;
    this->thread.join();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

 private:
  std::atomic<int> port{0};
  std::atomic<bool> stopped{false};
  std::thread thread;
};

class Session {
 public:
  // Runs a subcommand and appends its command line, output and exit code to the
  // transcript.
  void Run(int (*command)(int, const char**),
           const std::vector<std::string>& arguments) {
    std::vector<const char*> argv;
    argv.reserve(arguments.size() + 4);
    for (const auto& argument : arguments) argv.push_back(argument.c_str());
    for (const char* option : {"--store", "--who", "ana"}) {
      argv.push_back(option);
      if (argv.back() == std::string("--store")) {
        argv.push_back(this->address.c_str());
      }
    }
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    const int code = command(static_cast<int>(argv.size()), argv.data());
    this->transcript += "$";
    for (const auto& argument : arguments) this->transcript += " " + argument;
    this->transcript += "\n" + testing::internal::GetCapturedStdout() +
                        testing::internal::GetCapturedStderr() + "exit " +
                        std::to_string(code) + "\n\n";
  }

  // Writes the document with `from` replaced by `to` and returns the path.
  std::string Write(const std::string& name, const std::string& from,
                    const std::string& to) {
    std::string text = kDocument;
    text.replace(text.find(from), from.size(), to);
    std::string path = testing::TempDir() + name;
    std::ofstream(path) << text;
    return path;
  }

  std::string Normalised() const {
    std::string text = this->transcript;
    const auto replace = [&text](const char* pattern, const char* with) {
      text = std::regex_replace(text, std::regex(pattern), with);
    };
    replace("[0-9a-f]{32}", "CHANGE-ID");
    replace("[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}Z", "TIME");
    replace("from [^ ,]+,", "from HOST,");
    replace("\"from\": \"[^\"]*\"", "\"from\": \"HOST\"");
    replace(testing::TempDir().c_str(), "");
    return text;
  }

 private:
  StoreThread store;
  std::string address = this->store.Address();
  std::string transcript;
};

TEST(OperatorSessionTest, TranscriptMatchesTheGoldenFile) {
  Session session;
  const auto first = session.Write("first.toml", "200", "200");
  const auto more = session.Write("more.toml", "200", "300");
  const auto less = session.Write("less.toml", "200", "100");
  const auto moved = session.Write("moved.toml", "19000", "19009");
  const auto wrong = session.Write("wrong.toml", "200", "0\nqota = 1");
  session.Run(RunCheck, {"check", wrong});
  session.Run(RunCheck, {"check", wrong, "--json"});
  session.Run(RunCheck, {"check", first});
  session.Run(RunPlan, {"plan", first});
  session.Run(RunApply, {"apply", first});
  session.Run(RunApply, {"apply", first});
  session.Run(RunPlan, {"plan", more});
  session.Run(RunApply, {"apply", more});
  session.Run(RunApply, {"apply", moved, "--base", "1"});
  session.Run(RunPlan, {"plan", less, "--base", "1"});
  session.Run(RunApply, {"apply", less, "--base", "1"});
  session.Run(RunApply, {"apply", less, "--base", "1", "--json"});
  session.Run(RunApply, {"apply", wrong});
  session.Run(RunRevertTo, {"revert-to", "1"});
  session.Run(RunRevertTo, {"revert-to", "77"});
  session.Run(RunRevertTo, {"revert-to", "one"});
  session.Run(RunHistory, {"history"});
  session.Run(RunHistory, {"history", "--limit", "1", "--json"});

  const std::string path = std::string(SEQUOIAPATH_SOURCE_DIR) +
                           "/tests/golden/operator_session.txt";
  std::ifstream file(path);
  const std::string golden{std::istreambuf_iterator<char>(file), {}};
  // The transcript is written to a file for comparison after a failure.
  const std::string actual_path = testing::TempDir() + "operator_session.txt";
  std::ofstream(actual_path) << session.Normalised();
  EXPECT_EQ(session.Normalised(), golden) << "see " << actual_path;
}

}  // namespace
}  // namespace sequoiapath
