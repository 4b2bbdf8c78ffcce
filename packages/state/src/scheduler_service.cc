#include "sequoiapath/state/scheduler_service.h"

#include <map>
#include <utility>
#include <vector>

#include "sequoiapath/state/log.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath {
namespace internal {

using std::chrono::milliseconds;

// Connections to one worker; the platform allows 64 over all daemons.
constexpr std::size_t kWorkerConnections = 16;
// Workers close idle connections after some seconds.
constexpr Duration kWorkerIdleTimeout = std::chrono::seconds(5);
constexpr milliseconds kWorkerConnectTimeout{350};
// Workers answer orders within the round trip and well under a millisecond.
constexpr milliseconds kOrderTimeout{400};
// Added to the time that a hold waits. With the wait it stays below the lease,
// so that a lost reply does not end what runs.
constexpr milliseconds kHoldSlack{300};
constexpr Duration kTickInterval = milliseconds(20);

// Who waits for a job's answer.
struct JobWaiter {
  std::string origin;
  StepJobCallback callback;
};

// The connections to one worker's address.
struct WorkerLink {
  Endpoint endpoint;
  std::unique_ptr<HttpClient> http;
};

struct SchedulerServiceState {
  EventLoop* loop = nullptr;
  WorkerCodec codec;
  TaskScheduler scheduler;
  std::map<std::string, std::shared_ptr<WorkerLink>> links;
  std::unordered_map<std::string, JobWaiter> waiters;
  bool run_scheduled = false;
};

namespace {

void ScheduleRun(SchedulerServiceState* service);

void CarryOut(SchedulerServiceState* service, const SendStart& action) {
  const auto link = service->links.find(action.worker);
  if (link == service->links.end()) return;
  link->second->http->Send(
      service->codec.encode_start(action.order), kOrderTimeout,
      [service, action](const HttpResult& result) {
        RecordStartReply(&service->scheduler, action.worker, action.order,
                         service->codec.decode_order_reply(result),
                         service->loop->Now());
        ScheduleRun(service);
      });
}

void CarryOut(SchedulerServiceState* service, const SendStop& action) {
  const auto link = service->links.find(action.worker);
  if (link == service->links.end()) return;
  link->second->http->Send(
      service->codec.encode_stop(action.order), kOrderTimeout,
      [service, action](const HttpResult& result) {
        RecordStopReply(&service->scheduler, action.worker, action.order,
                        service->codec.decode_order_reply(result),
                        service->loop->Now());
        ScheduleRun(service);
      });
}

void CarryOut(SchedulerServiceState* service, const SendRenewal& action) {
  const auto link = service->links.find(action.worker);
  if (link == service->links.end()) return;
  link->second->http->Send(
      service->codec.encode_renew(action.order), action.order.wait + kHoldSlack,
      [service, action](const HttpResult& result) {
        RecordRenewalReply(&service->scheduler, action.worker, action.order,
                           service->codec.decode_renew_reply(result),
                           service->loop->Now());
        ScheduleRun(service);
      });
}

void CarryOut(SchedulerServiceState* service, const AnswerJob& action) {
  auto waiter = service->waiters.extract(action.job);
  if (waiter.empty()) return;
  waiter.mapped().callback(action.answer);
}

void CarryOut(SchedulerServiceState* /*service*/,
              const SchedulerLogEntry& note) {
  Log(LogLevel::kInfo, note.event,
      {{"id", note.job}, {"worker", note.worker}, {"detail", note.detail}});
}

void CarryOutActions(SchedulerServiceState* service) {
  for (;;) {
    const std::vector<SchedulerAction> actions =
        TakeActions(&service->scheduler);
    if (actions.empty()) return;
    for (const SchedulerAction& action : actions) {
      std::visit([service](const auto& a) { CarryOut(service, a); }, action);
    }
  }
}

void RunNow(SchedulerServiceState* service) {
  RunScheduler(&service->scheduler, service->loop->Now());
  CarryOutActions(service);
}

// Events of one turn of the loop are handled together.
void ScheduleRun(SchedulerServiceState* service) {
  if (std::exchange(service->run_scheduled, true)) return;
  service->loop->Schedule(Duration::zero(), [service] {
    service->run_scheduled = false;
    RunNow(service);
  });
}

void Tick(SchedulerServiceState* service) {
  if (service->scheduler.fence != 0) RunNow(service);
  service->loop->Schedule(kTickInterval, [service] { Tick(service); });
}

// Makes the connections follow the worker's address.
void UpdateLink(SchedulerServiceState* service,
                const WorkerDescription& worker) {
  const auto endpoint = ParseEndpoint(worker.address);
  if (!endpoint) return;
  std::shared_ptr<WorkerLink>& link = service->links[worker.id];
  if (link != nullptr && link->endpoint == *endpoint) return;
  // Calls in flight still use the old connections in this turn.
  if (link != nullptr) {
    service->loop->Schedule(Duration::zero(), [old = link] {});
  }
  link = std::make_shared<WorkerLink>();
  link->endpoint = *endpoint;
  link->http = HttpClientBuilder(service->loop, *endpoint)
                   .MaxConnections(kWorkerConnections)
                   .IdleTimeout(kWorkerIdleTimeout)
                   .ConnectTimeout(kWorkerConnectTimeout)
                   .Build();
}

}  // namespace
}  // namespace internal

SchedulerService::SchedulerService(
    std::unique_ptr<internal::SchedulerServiceState> state)
    : state(std::move(state)) {}

SchedulerService::~SchedulerService() {
  // Timers and open calls keep pointers to the state, so it is not freed; it
  // lives as long as its process.
  static_cast<void>(this->state.release());
}

void SchedulerService::Begin(FencingToken claim) {
  BeginScheduling(&this->state->scheduler, claim, this->state->loop->Now());
  internal::RunNow(this->state.get());
}

void SchedulerService::End() {
  EndScheduling(&this->state->scheduler);
  internal::CarryOutActions(this->state.get());
}

void SchedulerService::SetExtent(bool partial,
                                 std::set<std::string> home_workers) {
  sequoiapath::SetExtent(&this->state->scheduler, partial,
                         std::move(home_workers));
  internal::ScheduleRun(this->state.get());
}

void SchedulerService::RetryForeignWorkers(FencingToken fence, Duration delay) {
  sequoiapath::RetryForeignWorkers(&this->state->scheduler, fence, delay,
                                   this->state->loop->Now());
  internal::ScheduleRun(this->state.get());
}

void SchedulerService::UpdateWorker(const WorkerDescription& worker) {
  internal::UpdateLink(this->state.get(), worker);
  sequoiapath::UpdateWorker(&this->state->scheduler, worker,
                            this->state->loop->Now());
  internal::ScheduleRun(this->state.get());
}

void SchedulerService::UnlistWorker(const std::string& worker) {
  sequoiapath::UnlistWorker(&this->state->scheduler, worker,
                            this->state->loop->Now());
}

void SchedulerService::Submit(StepJob job, std::string origin,
                              StepJobCallback callback) {
  if (this->state->scheduler.fence == 0) {
    callback({StepJobOutcome::kMoved, "not_scheduling",
              std::chrono::milliseconds(0)});
    return;
  }
  this->state->waiters[job.id] = {std::move(origin), std::move(callback)};
  SubmitJob(&this->state->scheduler, std::move(job), this->state->loop->Now());
  internal::CarryOutActions(this->state.get());
  internal::ScheduleRun(this->state.get());
}

bool SchedulerService::Cancel(const std::string& job) {
  const bool known =
      CancelJob(&this->state->scheduler, job, this->state->loop->Now());
  internal::CarryOutActions(this->state.get());
  internal::ScheduleRun(this->state.get());
  return known;
}

void SchedulerService::CancelJobsOf(std::string_view origin) {
  std::vector<std::string> jobs;
  for (const auto& [id, waiter] : this->state->waiters) {
    if (waiter.origin == origin) jobs.push_back(id);
  }
  if (jobs.empty()) return;
  Log(LogLevel::kWarning, "jobs_of_lost_daemon_stopped",
      {{"vm", origin}, {"jobs", jobs.size()}});
  for (const std::string& job : jobs) {
    this->state->waiters.erase(job);
    CancelJob(&this->state->scheduler, job, this->state->loop->Now());
  }
  internal::CarryOutActions(this->state.get());
  internal::ScheduleRun(this->state.get());
}

const TaskScheduler& SchedulerService::scheduler() const {
  return this->state->scheduler;
}

SchedulerServiceBuilder::SchedulerServiceBuilder(EventLoop* loop,
                                                 WorkerCodec codec)
    : loop(loop), codec(codec) {}

SchedulerServiceBuilder& SchedulerServiceBuilder::Times(SchedulerTimes times) {
  this->times = times;
  return *this;
}

std::unique_ptr<SchedulerService> SchedulerServiceBuilder::Build() {
  auto state = std::make_unique<internal::SchedulerServiceState>();
  state->loop = this->loop;
  state->codec = this->codec;
  state->scheduler.times = this->times;
  internal::Tick(state.get());
  return std::unique_ptr<SchedulerService>(
      new SchedulerService(std::move(state)));
}

}  // namespace sequoiapath
