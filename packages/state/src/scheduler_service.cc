#include "sequoiapath/state/scheduler_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "order_clients.h"
#include "order_sender.h"
#include "scheduler_congestion.h"
#include "sequoiapath/coordination/load_shedder.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(20);
// Retry-After of a job that an overloaded scheduler refuses. A burst of
// requests lasts some seconds.
constexpr milliseconds kOverloadRetryAfter{1000};

// The daemon that submitted a job, and the callback that gets its answer.
struct AnswerWaiter {
  std::string origin;
  StepJobCallback callback;
};

struct SchedulerServiceState {
  EventLoop* loop = nullptr;
  TaskScheduler scheduler;
  OrderClients clients;
  OrderSender sender;
  std::unordered_map<std::string, AnswerWaiter> waiters;  // By job.
  std::function<void()> on_new_crashes;
  std::uint64_t last_crash = 0;  // Sequence number at the last such call.
  bool run_scheduled = false;
  LoadShedder shedder;
  SchedulerCongestion congestion;
  TimePoint next_tick;
  bool overload_logged = false;
  bool all_evacuated_logged = false;
  std::uint64_t refused_jobs = 0;  // By the shedder.
};

namespace {

void ScheduleSchedulerRun(SchedulerServiceState* service);

template <typename Order>
void Execute(SchedulerServiceState* service, const Order& action) {
  SendOrderOf(&service->sender, action);
}

void Execute(SchedulerServiceState* service, const AnswerJob& action) {
  auto waiter = service->waiters.extract(action.job);
  if (waiter.empty()) return;
  waiter.mapped().callback(action.answer);
}

void Execute(SchedulerServiceState* /*service*/,
             const SchedulerLogEntry& entry) {
  Log(LogLevel::kInfo, entry.event,
      {{"id", entry.job}, {"worker", entry.worker}, {"detail", entry.detail}});
}

void ExecuteActions(SchedulerServiceState* service) {
  for (;;) {
    const std::vector<SchedulerAction> actions =
        TakeActions(&service->scheduler);
    if (actions.empty()) return;
    for (const SchedulerAction& action : actions) {
      std::visit([service](const auto& a) { Execute(service, a); }, action);
    }
  }
}

void RunScheduler(SchedulerServiceState* service) {
  RunScheduler(&service->scheduler, service->loop->Now());
  ExecuteActions(service);
  const std::uint64_t last_crash = service->scheduler.crashes.last_sequence;
  if (std::exchange(service->last_crash, last_crash) == last_crash) return;
  if (service->on_new_crashes) service->on_new_crashes();
}

// Runs the scheduler in the next iteration of the event loop, once for all
// events until then.
void ScheduleSchedulerRun(SchedulerServiceState* service) {
  if (std::exchange(service->run_scheduled, true)) return;
  service->loop->Schedule(Duration::zero(), [service] {
    service->run_scheduled = false;
    RunScheduler(service);
  });
}

// Removes the clients of workers that the scheduler has removed.
void RemoveUnusedClients(SchedulerServiceState* service) {
  const auto& workers = service->scheduler.workers;
  if (service->clients.workers.size() <= workers.size()) return;
  RemoveOrderClients(&service->clients, [&workers](const std::string& worker) {
    return !workers.contains(worker);
  });
  std::erase_if(service->sender.routes.workers, [&workers](const auto& entry) {
    return !workers.contains(entry.first);
  });
}

// Records how late a tick is, and logs when an overload begins or ends.
void ObserveLag(SchedulerServiceState* service) {
  const TimePoint now = service->loop->Now();
  RecordLag(&service->shedder, std::max(now - service->next_tick, Duration{0}));
  service->next_tick = now + kTickInterval;
  const bool overloaded = IsOverloaded(service->shedder);
  if (std::exchange(service->overload_logged, overloaded) == overloaded) return;
  Log(LogLevel::kWarning, overloaded ? "overload_began" : "overload_ended",
      {{"average_lag_ms", service->shedder.average_lag / milliseconds(1)},
       {"jobs", service->scheduler.jobs.size()},
       {"refused_jobs", service->refused_jobs}});
}

// Returns whether a submission is refused because the event loop lags. Only
// jobs of which nothing can have been started are refused.
bool ShedsJob(SchedulerServiceState* service, const StepJob& job) {
  const Duration lag = service->loop->Lag();
  if (!RefusesNewJob(service->shedder, lag)) return false;
  if (!IsUnknownJob(service->scheduler, job)) return false;
  ++service->refused_jobs;
  return true;
}

// Logs when all workers begin or cease to be in evacuated data centres.
void ObserveEvacuations(SchedulerServiceState* service) {
  const bool all = AllWorkersAreEvacuated(service->scheduler);
  if (std::exchange(service->all_evacuated_logged, all) == all) return;
  Log(LogLevel::kWarning,
      all ? "all_workers_evacuated" : "some_workers_not_evacuated",
      {{"data_centres", service->scheduler.evacuations.data_centres.size()},
       {"workers", service->scheduler.workers.size()},
       {"jobs", service->scheduler.jobs.size()}});
}

void InitializeSender(SchedulerServiceState* service, WorkerCodec codec) {
  service->clients.loop = service->loop;
  service->sender.loop = service->loop;
  service->sender.codec = codec;
  service->sender.scheduler = &service->scheduler;
  service->sender.clients = &service->clients;
  service->sender.on_reply = [service] { ScheduleSchedulerRun(service); };
}

void Tick(SchedulerServiceState* service) {
  ObserveLag(service);
  ObserveEvacuations(service);
  UpdateRelaying(&service->sender);
  ObserveLink(&service->congestion, &service->scheduler, service->loop->Now());
  RunScheduler(service);
  RemoveUnusedClients(service);
  RemoveOldCancels(&service->scheduler.cancels, service->loop->Now());
  service->loop->Schedule(kTickInterval, [service] { Tick(service); });
}

StepJobAnswer NotAcceptedAnswer(const char* reason) {
  return {StepJobOutcome::kNotAccepted, reason, milliseconds(0)};
}

// Logs a submission that is not accepted because it is too old or meant for an
// earlier term of this scheduler.
void LogStaleSubmission(const SchedulerServiceState& service,
                        const StepJob& job, std::string_view origin) {
  const Duration heartbeat_age = service.loop->Now() - job.heartbeat_sent_at;
  Log(LogLevel::kInfo, "submission_stale",
      {{"id", job.id},
       {"from", origin},
       {"generation", job.generation},
       {"claim", job.scheduler_fence},
       {"own_claim", service.scheduler.fence},
       {"heartbeat_age_ms", heartbeat_age / milliseconds(1)}});
}

// Logs a submission that its daemon has cancelled or repeated before it
// arrived.
void LogSupersededSubmission(const StepJob& job, std::string_view origin) {
  Log(LogLevel::kInfo, "submission_superseded",
      {{"id", job.id},
       {"from", origin},
       {"generation", job.generation},
       {"submission", job.submission}});
}

// Logs the cancel of a submission and the job that it meets here.
void LogSubmissionCancel(const SchedulerServiceState& service,
                         const std::string& job, std::string_view origin,
                         std::uint64_t submission) {
  const auto known = service.scheduler.jobs.find(job);
  if (known == service.scheduler.jobs.end()) {
    Log(LogLevel::kInfo, "submission_cancelled",
        {{"id", job},
         {"from", origin},
         {"submission", submission},
         {"known", false}});
    return;
  }
  const ScheduledJob& held = known->second;
  Log(LogLevel::kInfo, "submission_cancelled",
      {{"id", job},
       {"from", origin},
       {"submission", submission},
       {"known", true},
       {"held_for", held.origin},
       {"held_submission", held.job.submission},
       {"generation", held.job.generation},
       {"age_ms", (service.loop->Now() - held.submitted) / milliseconds(1)}});
}

// Cancels the jobs that the daemon `origin` submitted. Returns the removed
// waiters, which have not been answered.
std::vector<AnswerWaiter> StopJobsOf(SchedulerServiceState* service,
                                     std::string_view origin) {
  std::vector<std::string> jobs;
  for (const auto& [id, waiter] : service->waiters) {
    if (waiter.origin == origin) jobs.push_back(id);
  }
  std::vector<AnswerWaiter> removed;
  for (const std::string& job : jobs) {
    removed.push_back(std::move(service->waiters.extract(job).mapped()));
    CancelJob(&service->scheduler, job, service->loop->Now());
  }
  if (jobs.empty()) return removed;
  ExecuteActions(service);
  ScheduleSchedulerRun(service);
  return removed;
}

void AnswerMoved(const std::vector<AnswerWaiter>& waiters, const char* reason) {
  for (const AnswerWaiter& waiter : waiters) {
    waiter.callback({StepJobOutcome::kMoved, reason, milliseconds(0)});
  }
}

// Stops the jobs that the daemon `origin` submitted and answers them with
// kMoved.
void ReturnJobs(SchedulerServiceState* service, std::string_view origin,
                const char* reason) {
  const std::vector<AnswerWaiter> waiters = StopJobsOf(service, origin);
  if (waiters.empty()) return;
  Log(LogLevel::kWarning, "jobs_of_leaving_daemon_stopped",
      {{"vm", origin}, {"jobs", waiters.size()}, {"reason", reason}});
  AnswerMoved(waiters, reason);
}

}  // namespace
}  // namespace internal

SchedulerService::SchedulerService(
    std::unique_ptr<internal::SchedulerServiceState> state)
    : state(std::move(state)) {}

SchedulerService::~SchedulerService() {
  // Timers and calls in flight have pointers to the state, so it is not freed.
  // It exists until the process ends.
  static_cast<void>(this->state.release());
}

void SchedulerService::Begin(FencingToken fence) {
  BeginScheduling(&this->state->scheduler, fence, this->state->loop->Now());
  internal::RunScheduler(this->state.get());
}

void SchedulerService::End() {
  EndScheduling(&this->state->scheduler);
  internal::ExecuteActions(this->state.get());
}

void SchedulerService::SetExtent(bool partial,
                                 std::set<std::string> home_workers) {
  sequoiapath::SetExtent(&this->state->scheduler, partial,
                         std::move(home_workers));
  internal::ScheduleSchedulerRun(this->state.get());
}

void SchedulerService::RetryForeignWorkers(FencingToken fence, Duration delay) {
  sequoiapath::RetryForeignWorkers(&this->state->scheduler, fence, delay,
                                   this->state->loop->Now());
  internal::ScheduleSchedulerRun(this->state.get());
}

void SchedulerService::EnableOverloadPolicy(bool enabled) {
  this->state->scheduler.overload.enabled = enabled;
}

void SchedulerService::UpdateWorker(const WorkerDescription& worker) {
  internal::UpdateOrderClient(&this->state->clients, worker);
  sequoiapath::UpdateWorker(&this->state->scheduler, worker,
                            this->state->loop->Now());
  internal::ScheduleSchedulerRun(this->state.get());
}

void SchedulerService::SetEvacuations(const EvacuationSet& set) {
  const TaskScheduler& scheduler = this->state->scheduler;
  const EvacuationChange change =
      sequoiapath::SetEvacuations(&this->state->scheduler, set);
  const auto log = [&](const char* event, const std::string& data_centre) {
    Log(LogLevel::kInfo, event,
        {{"data_centre", data_centre},
         {"revision", set.revision},
         {"workers", CountWorkersIn(scheduler, data_centre)}});
  };
  for (const std::string& name : change.began) log("evacuation_began", name);
  for (const std::string& name : change.ended) log("evacuation_ended", name);
}

void SchedulerService::HearEvacuationRevision(std::uint64_t revision) {
  sequoiapath::HearEvacuationRevision(&this->state->scheduler.evacuations,
                                      revision);
}

void SchedulerService::UnlistWorker(const std::string& worker) {
  sequoiapath::UnlistWorker(&this->state->scheduler, worker,
                            this->state->loop->Now());
}

void SchedulerService::SetWorkersListedAt(TimePoint read_at) {
  sequoiapath::SetWorkersListedAt(&this->state->scheduler, read_at);
  internal::ScheduleSchedulerRun(this->state.get());
}

void SchedulerService::ConfirmDaemon(const std::string& origin, TimePoint at) {
  sequoiapath::ConfirmDaemon(&this->state->scheduler, origin, at);
}

void SchedulerService::ReturnJobsOfUnconfirmedDaemons() {
  const TimePoint now = this->state->loop->Now();
  for (const std::string& origin :
       TakeUnconfirmedDaemons(&this->state->scheduler, now)) {
    internal::ReturnJobs(this->state.get(), origin, "daemon_not_confirmed");
  }
}

void SchedulerService::Submit(StepJob job, const std::string& origin,
                              StepJobCallback callback) {
  if (this->state->scheduler.fence == 0) {
    callback(internal::NotAcceptedAnswer("not_scheduling"));
    return;
  }
  if (!IsCurrentSubmission(this->state->scheduler, job,
                           this->state->loop->Now())) {
    internal::LogStaleSubmission(*this->state, job, origin);
    callback(internal::NotAcceptedAnswer("stale_submission"));
    return;
  }
  if (IsSupersededSubmission(this->state->scheduler, job, origin)) {
    internal::LogSupersededSubmission(job, origin);
    callback(internal::NotAcceptedAnswer("superseded_submission"));
    return;
  }
  if (internal::ShedsJob(this->state.get(), job) ||
      internal::ShedsForLink(&this->state->congestion, this->state->scheduler,
                             job)) {
    callback({StepJobOutcome::kRefused, "scheduler_overloaded",
              internal::kOverloadRetryAfter});
    return;
  }
  this->state->waiters[job.id] = {origin, std::move(callback)};
  SubmitJob(&this->state->scheduler, std::move(job), this->state->loop->Now(),
            origin);
  internal::ExecuteActions(this->state.get());
  internal::ScheduleSchedulerRun(this->state.get());
}

bool SchedulerService::ApplyCallerCancel(const JobCancel& cancel,
                                         std::string_view learned_from) {
  const bool added = sequoiapath::ApplyCallerCancel(
      &this->state->scheduler, cancel, learned_from, this->state->loop->Now());
  internal::ExecuteActions(this->state.get());
  internal::ScheduleSchedulerRun(this->state.get());
  return added;
}

void SchedulerService::CancelSubmission(const std::string& job,
                                        const std::string& origin,
                                        std::uint64_t submission) {
  internal::LogSubmissionCancel(*this->state, job, origin, submission);
  sequoiapath::CancelSubmission(&this->state->scheduler, job, origin,
                                submission, this->state->loop->Now());
  internal::ExecuteActions(this->state.get());
  internal::ScheduleSchedulerRun(this->state.get());
}

void SchedulerService::CancelJobsOf(std::string_view origin) {
  const auto waiters = internal::StopJobsOf(this->state.get(), origin);
  if (waiters.empty()) return;
  Log(LogLevel::kWarning, "jobs_of_lost_daemon_stopped",
      {{"vm", origin}, {"jobs", waiters.size()}});
  internal::AnswerMoved(waiters, "daemon_lost");
}

void SchedulerService::ReturnJobsOf(std::string_view origin) {
  internal::ReturnJobs(this->state.get(), origin,
                       "daemon_follows_other_scheduler");
}

void SchedulerService::OnNewCrashes(std::function<void()> callback) {
  this->state->on_new_crashes = std::move(callback);
}

void SchedulerService::MergeCrashes(const TaskCrashes& crashes) {
  const CrashHistory& history = this->state->scheduler.crashes;
  const std::uint64_t before = history.last_sequence;
  sequoiapath::MergeCrashes(&this->state->scheduler, crashes.crashes,
                            crashes.origin, this->state->loop->Now());
  if (history.last_sequence != before) {
    Log(LogLevel::kInfo, "crashes_merged",
        {{"daemon", crashes.origin},
         {"received", crashes.crashes.size()},
         {"new", history.last_sequence - before},
         {"known", history.records.size()}});
  }
  internal::ScheduleSchedulerRun(this->state.get());
}

void SchedulerService::SetRelays(RelayAccess access) {
  this->state->sender.access = std::move(access);
}

bool SchedulerService::RelaysOrders() const {
  return this->state->sender.relaying;
}

void SchedulerService::ApplyOrderReplies(const OrderReplies& replies) {
  internal::ApplyOrderReplies(&this->state->sender, replies);
}

const RelayCounts& SchedulerService::Relayed() const {
  return this->state->sender.counts;
}

internal::OrderClients* SchedulerService::Clients() {
  return &this->state->clients;
}

std::uint64_t SchedulerService::RefusedJobs() const {
  return this->state->refused_jobs;
}

void SchedulerService::RecordHeartbeat(Duration round_trip) {
  internal::RecordHeartbeat(&this->state->congestion, &this->state->scheduler,
                            round_trip, this->state->loop->Now());
}

LinkStatus SchedulerService::Link() const {
  const internal::SchedulerCongestion& congestion = this->state->congestion;
  const TaskScheduler& scheduler = this->state->scheduler;
  return {.scarce = IsScarceLink(congestion.link_bytes_per_second,
                                 scheduler.workers.size()),
          .congested = congestion.admission.congested,
          .admission_share = ShareInThousandths(congestion.admission),
          .work_delay = WorkDelay(scheduler.link),
          .delayed_passes = scheduler.link.delayed,
          .share_decreases = congestion.admission.decreases,
          .refused_jobs = congestion.refused_jobs};
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

SchedulerServiceBuilder& SchedulerServiceBuilder::FollowEvacuations(
    bool follow) {
  this->follow_evacuations = follow;
  return *this;
}

SchedulerServiceBuilder& SchedulerServiceBuilder::LinkRate(
    std::uint64_t bytes_per_second) {
  this->link_bytes_per_second = bytes_per_second;
  return *this;
}

std::unique_ptr<SchedulerService> SchedulerServiceBuilder::Build() {
  auto state = std::make_unique<internal::SchedulerServiceState>();
  state->loop = this->loop;
  state->scheduler.times = this->times;
  state->scheduler.evacuations.followed = this->follow_evacuations;
  internal::InitializeSender(state.get(), this->codec);
  state->congestion.link_bytes_per_second = this->link_bytes_per_second;
  state->next_tick = this->loop->Now();
  internal::Tick(state.get());
  return std::unique_ptr<SchedulerService>(
      new SchedulerService(std::move(state)));
}

}  // namespace sequoiapath
