// Fake workers: a process that serves the worker interface on consecutive ports
// and counts every task start. A payload is a JSON object with these optional
// members: run_ms (run time in ms), fail (answer 500) and refuse (answer 503
// without starting the task); other members are ignored. The result of a task
// is its payload.
//
// The file of --record gets a line "PORT TASK_ID VALUE" for each start; VALUE
// is the payload's "value", or "-" without one.
//
// GET /stats on any port returns the numbers of started and running tasks, of
// tasks started twice and of starts above the slots, over all workers of the
// process, and the greatest number of running tasks on one worker.

#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kTasksPath = "/v1/tasks/";
constexpr std::string_view kStatsPath = "/stats";
constexpr std::string_view kUsagePath = "/v1/usage";

struct RunningTask {
  TimerId timer = 0;
  HttpResponder responder;
};

struct FakeWorker {
  std::unique_ptr<HttpServer> server;
  std::unordered_map<std::string, RunningTask> running;
  std::size_t max_running = 0;
  std::size_t starts = 0;
};

struct WorkerGroup {
  EventLoop loop;
  std::vector<std::unique_ptr<FakeWorker>> workers;
  std::unordered_map<std::string, int> starts_by_id;
  std::size_t duplicate_starts = 0;
  std::size_t slots = 8;
  std::size_t over_limit_starts = 0;
  std::FILE* record = nullptr;
};

HttpResponse TaskResponse(const std::string& id, int status, std::string body) {
  return {status,
          {{"content-type", "application/json"}, {"x-task-id", id}},
          std::move(body)};
}

void RecordStart(WorkerGroup* group, FakeWorker* worker, const std::string& id,
                 const std::string& value) {
  ++worker->starts;
  if (++group->starts_by_id[id] > 1) ++group->duplicate_starts;
  if (worker->running.size() >= group->slots) ++group->over_limit_starts;
  if (group->record != nullptr) {
    fmt::print(group->record, "{} {} {}\n", worker->server->endpoint().port, id,
               value);
    std::fflush(group->record);
  }
}

void EndTask(FakeWorker* worker, const std::string& id, int status,
             std::string body) {
  auto node = worker->running.extract(id);
  if (node.empty()) return;
  node.mapped().responder.Respond(TaskResponse(id, status, std::move(body)));
}

std::chrono::milliseconds ReadLease(const HttpRequest& request) {
  const auto text = FindHeader(request.headers, "x-lease-ms");
  return std::chrono::milliseconds(
      text ? std::strtoll(std::string(*text).c_str(), nullptr, 10) : 0);
}

void StartTask(WorkerGroup* group, FakeWorker* worker, const std::string& id,
               const HttpRequest& request, const HttpResponder& responder) {
  const Json payload = Json::parse(request.body, nullptr, false);
  const bool is_object = payload.is_object();
  if (is_object && payload.value("refuse", false)) {
    HttpResponse response = TaskResponse(id, 503, "{}");
    response.headers.push_back({"x-not-started", "1"});
    responder.Respond(response);
    return;
  }
  RecordStart(
      group, worker, id,
      is_object && payload.contains("value") ? payload["value"].dump() : "-");
  const bool fails = is_object && payload.value("fail", false);
  const std::chrono::milliseconds run_time(
      is_object ? payload.value("run_ms", 0) : 0);
  const auto lease = ReadLease(request);
  const bool lease_expires_first = run_time > lease;
  const int status = lease_expires_first ? 504 : (fails ? 500 : 200);
  const TimerId timer = group->loop.Schedule(
      std::min(run_time, lease), [worker, id, status, body = request.body] {
        EndTask(worker, id, status, body);
      });
  worker->running.insert_or_assign(id, RunningTask{timer, responder});
  worker->max_running = std::max(worker->max_running, worker->running.size());
}

void StopTask(WorkerGroup* group, FakeWorker* worker, const std::string& id,
              const HttpResponder& responder) {
  const auto it = worker->running.find(id);
  if (it != worker->running.end()) {
    group->loop.Cancel(it->second.timer);
    EndTask(worker, id, 500, R"({"stopped":true})");
  }
  responder.Respond({200, {}, "{}"});
}

std::string Stats(const WorkerGroup& group) {
  std::size_t starts = 0;
  std::size_t max_running = 0;
  std::size_t running = 0;
  for (const auto& worker : group.workers) {
    starts += worker->starts;
    running += worker->running.size();
    max_running = std::max(max_running, worker->max_running);
  }
  return Json{{"starts", starts},
              {"running", running},
              {"duplicate_starts", group.duplicate_starts},
              {"over_limit_starts", group.over_limit_starts},
              {"greatest_running_per_worker", max_running}}
      .dump();
}

void Handle(WorkerGroup* group, FakeWorker* worker, const HttpRequest& request,
            const HttpResponder& responder) {
  if (request.path == kStatsPath) {
    responder.Respond({200, {}, Stats(*group)});
  } else if (request.path == kUsagePath) {
    responder.Respond(
        {200, {}, Json{{"running", worker->running.size()}}.dump()});
  } else if (request.path.starts_with(kTasksPath)) {
    const std::string id = request.path.substr(kTasksPath.size());
    if (request.method == "POST") {
      StartTask(group, worker, id, request, responder);
    } else if (request.method == "DELETE") {
      StopTask(group, worker, id, responder);
    } else {
      responder.Respond({405, {}, ""});
    }
  } else {
    responder.Respond({404, {}, ""});
  }
}

bool StartWorker(WorkerGroup* group, std::uint16_t port) {
  auto owned = std::make_unique<FakeWorker>();
  FakeWorker* worker = owned.get();
  auto built = HttpServerBuilder(&group->loop)
                   .Listen({"127.0.0.1", port})
                   .Handler([group, worker](const HttpRequest& request,
                                            const HttpResponder& responder) {
                     Handle(group, worker, request, responder);
                   })
                   .Build();
  if (const auto* error = std::get_if<ListenError>(&built)) {
    fmt::print(stderr, "fake_worker: {}\n", error->message);
    return false;
  }
  worker->server = std::get<std::unique_ptr<HttpServer>>(std::move(built));
  group->workers.push_back(std::move(owned));
  return true;
}

int Main(int argc, const char** argv) {
  int first_port = 9000;
  int count = 1;
  int slots = 8;
  char* record_file = nullptr;
  const poptOption options[] = {
      {"first-port", 'p', POPT_ARG_INT, &first_port, 0,
       "port of the first worker", "PORT"},
      {"count", 'n', POPT_ARG_INT, &count, 0, "number of workers", "N"},
      {"slots", 's', POPT_ARG_INT, &slots, 0,
       "slots of a worker; a start while all are in use counts as over the "
       "limit",
       "N"},
      {"record", 'r', POPT_ARG_STRING, &record_file, 0,
       "file to which a line is appended for every start", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("fake_worker", argc, argv, options, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed < -1) {
    fmt::print(stderr, "fake_worker: invalid option; see --help\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  WorkerGroup group;
  group.slots = static_cast<std::size_t>(slots);
  if (record_file != nullptr) group.record = std::fopen(record_file, "ae");
  for (int i = 0; i < count; ++i) {
    if (!StartWorker(&group, static_cast<std::uint16_t>(first_port + i))) {
      return 1;
    }
  }
  group.loop.Run();
  return 0;
}

}  // namespace
}  // namespace internal
}  // namespace sequoiapath

int main(int argc, const char** argv) {
  return sequoiapath::internal::Main(argc, argv);
}
