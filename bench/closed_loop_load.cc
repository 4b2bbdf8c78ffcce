// Closed-loop load generator: keeps a fixed number of requests in flight to one
// endpoint and prints the throughput. It measures either a GET handler without
// a job or the complete job path with jobs of equal tasks, one session per
// connection.

#include <fmt/format.h>
#include <popt.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr auto kTimeout = std::chrono::seconds(30);

struct Load;

struct Stream {
  Load* load = nullptr;
  std::string session;
  std::uint64_t sequence = 0;
};

struct Load {
  EventLoop loop;
  // Declared before the client, whose destructor passes cancelled requests to
  // the streams.
  std::vector<Stream> streams;
  std::unique_ptr<HttpClient> client;
  std::string get_path;  // If empty, jobs are submitted.
  std::string team;
  std::string job_json;
  bool running = true;
  std::size_t answered = 0;
  std::size_t failed = 0;
};

// Submits the stream's next job, or sends the next GET request.
void SendNextRequest(Stream* stream);

void OnReply(Stream* stream, const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  Load* load = stream->load;
  if (response != nullptr && response->status == 200) {
    ++load->answered;
  } else if (load->running) {
    ++load->failed;
  }
  if (load->running) SendNextRequest(stream);
}

void SendNextRequest(Stream* stream) {
  Load* load = stream->load;
  HttpRequest request;
  if (load->get_path.empty()) {
    request.method = "PUT";
    request.path = fmt::format("/v1/sessions/{}/jobs/{}", stream->session,
                               ++stream->sequence);
    request.headers = {{"content-type", "application/json"}};
    request.body = load->job_json;
  } else {
    request.method = "GET";
    request.path = load->get_path;
  }
  load->client->Send(
      std::move(request), kTimeout,
      [stream](const HttpResult& result) { OnReply(stream, result); });
}

void StartStream(Stream* stream) {
  Load* load = stream->load;
  if (!load->get_path.empty()) {
    SendNextRequest(stream);
    return;
  }
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/sessions";
  request.headers = {{"content-type", "application/json"}};
  request.body = nlohmann::json{{"team", load->team}}.dump();
  load->client->Send(
      std::move(request), kTimeout, [stream](const HttpResult& result) {
        const auto* response = std::get_if<HttpResponse>(&result);
        const auto body =
            response == nullptr
                ? nlohmann::json()
                : nlohmann::json::parse(response->body, nullptr, false);
        if (!body.is_object() || !body.contains("session")) {
          fmt::print(stderr,
                     "closed_loop_load: the daemon did not open a session\n");
          stream->load->loop.RequestStop();
          return;
        }
        stream->session = body["session"].get<std::string>();
        SendNextRequest(stream);
      });
}

std::string EncodeJob(const char* service, int tasks, int run_ms) {
  nlohmann::json job{{"service", service}, {"tasks", nlohmann::json::array()}};
  for (int i = 0; i < tasks; ++i) {
    job["tasks"].push_back({{"value", i}, {"run_ms", run_ms}});
  }
  return job.dump();
}

int Main(int argc, const char** argv) {
  int port = 0;
  int connections = 16;
  int seconds = 5;
  int tasks = 1;
  int run_ms = 0;
  const char* get_path = "";
  const char* service = "check";
  const char* team = "clerks";
  const poptOption options[] = {
      {"port", 'p', POPT_ARG_INT, &port, 0, "port on 127.0.0.1", "PORT"},
      {"connections", 'c', POPT_ARG_INT, &connections, 0, "requests in flight",
       "N"},
      {"seconds", 's', POPT_ARG_INT, &seconds, 0, "duration in seconds", "N"},
      {"tasks", 't', POPT_ARG_INT, &tasks, 0, "tasks per job", "N"},
      {"run-ms", 'r', POPT_ARG_INT, &run_ms, 0, "run time of a task in ms",
       "MS"},
      {"get", 'g', POPT_ARG_STRING, &get_path, 0,
       "send GET requests for this path instead of jobs", "PATH"},
      {"service", 0, POPT_ARG_STRING, &service, 0, "service of the jobs",
       "NAME"},
      {"team", 0, POPT_ARG_STRING, &team, 0, "team of the jobs", "NAME"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("closed_loop_load", argc, argv, options, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed < -1 || port == 0 || connections < 1 || tasks < 1) {
    fmt::print(stderr,
               "closed_loop_load: --port is required, and --connections and "
               "--tasks must be at least 1; see --help\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Load load;
  load.client = HttpClientBuilder(
                    &load.loop, {"127.0.0.1", static_cast<std::uint16_t>(port)})
                    .MaxConnections(static_cast<std::size_t>(connections))
                    .Build();
  load.get_path = get_path;
  load.team = team;
  load.job_json = EncodeJob(service, tasks, run_ms);
  load.streams.resize(static_cast<std::size_t>(connections));
  for (Stream& stream : load.streams) {
    stream.load = &load;
    StartStream(&stream);
  }
  load.loop.Schedule(std::chrono::seconds(seconds), [&load] {
    load.running = false;
    load.loop.RequestStop();
  });
  load.loop.Run();
  fmt::print("answered={} failed={} requests_per_s={} tasks_per_s={}\n",
             load.answered, load.failed, load.answered / seconds,
             load.get_path.empty() ? load.answered * tasks / seconds : 0);
  return load.failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace internal
}  // namespace sequoiapath

int main(int argc, const char** argv) {
  return sequoiapath::internal::Main(argc, argv);
}
