// Discrete-event simulation of placement policies in virtual time. Compares the
// task queues and share ledgers of 8 entry VMs with random choice, round robin
// and two-choice placement without shares, and with a single queue. Prints one
// row per policy, load and job size. See docs/placement.md.

#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "sequoiapath/coordination/loan_policy.h"
#include "sequoiapath/coordination/share_ledger.h"
#include "sequoiapath/coordination/task_queue.h"

namespace sequoiapath {
namespace internal {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kVms = 8;
constexpr int kWorkers = 50;
constexpr int kSlots = 8;
constexpr std::array<int, kVms> kDataCentreOfVm = {0, 0, 0, 1, 1, 1, 2, 2};
// The fraction of the jobs that arrive at each VM.
constexpr std::array<double, kVms> kArrivalShare = {0.30, 0.15, 0.10, 0.15,
                                                    0.10, 0.05, 0.10, 0.05};
constexpr std::array<std::uint32_t, 3> kJobSizes = {1, 40, 480};
// The fraction of the tasks that belongs to jobs of each size. With an equal
// fraction for each size nearly all jobs would be small; these fractions yield
// enough large jobs for the percentiles.
constexpr std::array<double, 3> kTaskShare = {0.1, 0.4, 0.5};
constexpr auto kHeartbeatInterval = milliseconds(250);
constexpr auto kCrossDataCentreHeartbeatInterval = milliseconds(2000);

// Configures how VMs borrow units from each other.
struct BorrowPolicy {
  // Number of idle units that a lender keeps for its own tasks.
  int reserve = 0;
  // If true, VMs also borrow from other data centres.
  bool cross_data_centre = true;
  // If true, replies to loan requests contain the lender's load.
  bool piggyback = true;
  // If true, lenders recall loans while tasks wait in their queue.
  bool recall = true;
  // If true, a VM lends to VMs with a longer expected wait; if false, it lends
  // idle units only.
  bool by_wait = true;
  // If true, a VM announces free units immediately when their number rises
  // above the reserve.
  bool announce = true;
};

struct Options {
  int seed = 1;
  int seconds = 60;
  int warmup = 10;
  BorrowPolicy borrow;
};

int DataCentreOfWorker(int worker) {
  return worker < 18 ? 0 : worker < 34 ? 1 : 2;
}

struct Job {
  TimePoint arrival;
  int vm = 0;
  std::size_t size_class = 0;
  Duration ideal{};
  std::vector<Duration> runs;
  std::uint32_t remaining_tasks = 0;
};

struct Stats {
  std::array<std::vector<double>, 3> response_over_ideal;  // By size class.
  std::uint64_t tasks = 0;
  std::uint64_t messages = 0;
};

struct EventQueue {
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) <
             std::pair(this->at, this->order);
    }
  };
  std::priority_queue<Event> events;
  TimePoint now{std::chrono::hours(1)};
  std::uint64_t order = 0;
};

void ScheduleAfter(EventQueue* queue, Duration delay,
                   std::function<void()> run) {
  queue->events.push({queue->now + delay, queue->order++, std::move(run)});
}

void RunUntil(EventQueue* queue, TimePoint end) {
  while (!queue->events.empty() && queue->events.top().at <= end) {
    EventQueue::Event event = queue->events.top();
    queue->events.pop();
    queue->now = event.at;
    event.run();
  }
}

struct Vm {
  int number = 0;
  ShareLedger ledger;
  TaskQueue queue;
  std::array<VmLoad, kVms> peers{};  // Load that each peer last reported.
  // When this VM last sent a loan request to each peer.
  std::array<TimePoint, kVms> requested_at{};
  // The units that each peer has requested from this VM and not received.
  std::array<int, kVms> requested_units{};
  std::array<TimePoint, kVms> requested_units_since{};
  bool had_free_units = true;
  // Tasks in progress per worker; used by the baselines only.
  std::array<int, kWorkers> outstanding{};
  int next_worker = 0;
};

struct Worker {
  int running = 0;
  std::deque<std::pair<JobId, std::uint32_t>> waiting;
};

// kSingleQueue is the upper bound for any exchange of units: one VM owns all
// workers and receives all jobs.
enum class Policy { kRandom, kRoundRobin, kTwoChoices, kShares, kSingleQueue };
constexpr std::array<const char*, 5> kPolicyNames = {
    "random", "round robin", "two choices", "shares", "one queue"};

struct Experiment {
  Options options;
  Policy policy = Policy::kShares;
  double load = 0;
  EventQueue events;
  // Draws arrivals and run times, which are equal for all policies.
  std::mt19937_64 random;
  std::mt19937_64 choices;  // Draws the workers that the baselines select.
  std::array<Vm, kVms> vms;
  std::array<Worker, kWorkers> workers;
  std::map<JobId, Job> jobs;
  JobId next_job = 1;
  Stats stats;
  // Jobs that arrive from `measured_from` on are counted in `stats`.
  TimePoint measured_from, arrivals_end;
};

double DrawUniform(Experiment* experiment) {
  return std::uniform_real_distribution<double>(0, 1)(experiment->random);
}

Duration NetworkDelay(int from_dc, int to_dc) {
  return from_dc == to_dc ? microseconds(250) : microseconds(1000);
}

Duration VmDelay(int a, int b) {
  return NetworkDelay(kDataCentreOfVm[static_cast<std::size_t>(a)],
                      kDataCentreOfVm[static_cast<std::size_t>(b)]);
}

Duration WorkerDelay(int vm, int worker) {
  return NetworkDelay(kDataCentreOfVm[static_cast<std::size_t>(vm)],
                      DataCentreOfWorker(worker));
}

void SendToVm(Experiment* experiment, int from, int to,
              std::function<void()> run) {
  ++experiment->stats.messages;
  ScheduleAfter(&experiment->events, VmDelay(from, to), std::move(run));
}

void FinishTask(Experiment* experiment, JobId id) {
  Job& job = experiment->jobs.at(id);
  if (--job.remaining_tasks > 0) return;
  if (job.arrival >= experiment->measured_from) {
    const double response =
        static_cast<double>((experiment->events.now - job.arrival).count());
    experiment->stats.response_over_ideal[job.size_class].push_back(
        response / static_cast<double>(job.ideal.count()));
  }
  experiment->jobs.erase(id);
}

// --- Shares and loans ---

void Dispatch(Experiment* experiment, Vm* vm);

int FreeOwnUnits(Experiment* experiment, Vm* vm) {
  if (vm->queue.waiting > 0) return 0;
  return MakeReport(&vm->ledger, 0, 0, experiment->events.now).free.slots;
}

int ParseWorkerNumber(const std::string& name) {
  return std::stoi(name.substr(1));
}

void StartOnHeldUnits(Experiment* experiment, Vm* vm, const QueuedTask& task,
                      const HeldUnits& held) {
  const int worker = ParseWorkerNumber(held.worker);
  const Duration run = experiment->jobs.at(task.job).runs[task.index];
  ScheduleAfter(&experiment->events, run + 2 * WorkerDelay(vm->number, worker),
                [=] {
                  ReleaseUnits(&vm->ledger, held);
                  FinishTask(experiment, task.job);
                  Dispatch(experiment, vm);
                });
}

VmLoad MakeVmLoad(Experiment* experiment, Vm* vm) {
  return {FreeOwnUnits(experiment, vm) - experiment->options.borrow.reserve,
          static_cast<int>(vm->queue.waiting), UsableUnits(vm->ledger).slots,
          true};
}

void RecordLoad(Vm* vm, int peer, const VmLoad& load) {
  auto& known = vm->peers[static_cast<std::size_t>(peer)];
  known = load;
  known.same_data_centre = VmDelay(vm->number, peer) == VmDelay(0, 0);
}

// How long a lender keeps a request that it could not serve in full. While the
// lender reports no free units, the borrower sends it no second request.
constexpr auto kPendingRequestTimeout = milliseconds(250);

std::vector<Grant> Lend(Experiment* experiment, Vm* lender, int borrower,
                        int count) {
  if (count <= 0) return {};
  return LendUnits(&lender->ledger,
                   {std::to_string(borrower), {{{}, count, "", 0}}},
                   experiment->events.now);
}

void SendGrants(Experiment* experiment, Vm* lender, Vm* vm, TimePoint sent,
                const std::vector<Grant>& grants) {
  const VmLoad load = MakeVmLoad(experiment, lender);
  SendToVm(experiment, lender->number, vm->number, [=] {
    if (experiment->options.borrow.piggyback) {
      RecordLoad(vm, lender->number, load);
    }
    for (const Grant& grant : grants) {
      ReceiveGrant(&vm->ledger, std::to_string(lender->number), grant, sent,
                   experiment->events.now);
    }
    Dispatch(experiment, vm);
  });
}

// Lends free units for pending requests while the loan policy allows it.
void ServePendingRequests(Experiment* experiment, Vm* vm) {
  const TimePoint now = experiment->events.now;
  for (std::size_t peer = 0; peer < kVms; ++peer) {
    if (vm->requested_units[peer] <= 0) continue;
    const bool expired =
        now - vm->requested_units_since[peer] > kPendingRequestTimeout;
    std::vector<Grant> grants;
    VmLoad own = MakeVmLoad(experiment, vm);
    while (!expired && vm->requested_units[peer] > 0 &&
           ShouldLend(own, vm->peers[peer])) {
      const auto more = Lend(experiment, vm, static_cast<int>(peer), 1);
      if (more.empty()) break;
      grants.insert(grants.end(), more.begin(), more.end());
      --vm->requested_units[peer];
      --own.units;
      ++vm->peers[peer].units;
    }
    if (!grants.empty()) {
      SendGrants(experiment, vm, &experiment->vms[peer],
                 vm->requested_units_since[peer], grants);
    }
    if (expired) vm->requested_units[peer] = 0;
  }
}

void RequestLoan(Experiment* experiment, Vm* vm, std::size_t peer,
                 int requested) {
  const TimePoint sent = experiment->events.now;
  vm->requested_at[peer] = sent;
  const VmLoad load = MakeVmLoad(experiment, vm);
  SendToVm(experiment, vm->number, static_cast<int>(peer), [=] {
    Vm* lender = &experiment->vms[peer];
    RecordLoad(lender, vm->number, load);
    const int spare = MakeVmLoad(experiment, lender).free;
    const auto grants =
        Lend(experiment, lender, vm->number, std::min(requested, spare));
    int granted = 0;
    for (const Grant& grant : grants) granted += grant.units.slots;
    if (experiment->options.borrow.by_wait) {
      const auto borrower = static_cast<std::size_t>(vm->number);
      lender->requested_units[borrower] = requested - granted;
      lender->requested_units_since[borrower] = sent;
    }
    SendGrants(experiment, lender, vm, sent, grants);
  });
}

// Returns the VM to request a loan from, if any. Excludes VMs that got a
// request from `vm` within the last 2 ms or, if they reported no free units,
// within kPendingRequestTimeout.
std::optional<std::size_t> NextLender(const Experiment& experiment,
                                      const Vm& vm, const VmLoad& own) {
  std::vector<VmLoad> peers;
  std::vector<std::size_t> numbers;
  for (std::size_t peer = 0; peer < kVms; ++peer) {
    const VmLoad& load = vm.peers[peer];
    if (static_cast<int>(peer) == vm.number || load.units == 0 ||
        (!load.same_data_centre &&
         !experiment.options.borrow.cross_data_centre) ||
        (load.free <= 0 && !experiment.options.borrow.by_wait) ||
        experiment.events.now - vm.requested_at[peer] <
            (load.free > 0 ? Duration(milliseconds(2))
                           : kPendingRequestTimeout)) {
      continue;
    }
    peers.push_back(load);
    numbers.push_back(peer);
  }
  const auto chosen = ChooseLender(own, peers);
  return chosen ? std::optional(numbers[*chosen]) : std::nullopt;
}

void BorrowIfNeeded(Experiment* experiment, Vm* vm) {
  int missing = static_cast<int>(vm->queue.waiting);
  while (missing > 0) {
    const auto peer = NextLender(*experiment, *vm, MakeVmLoad(experiment, vm));
    if (!peer) return;
    const int free = vm->peers[*peer].free;
    const int requested = free > 0 ? std::min(missing, free) : missing;
    RequestLoan(experiment, vm, *peer, requested);
    missing -= std::max(free, 0);
  }
}

void SendReturns(Experiment* experiment, Vm* vm) {
  std::map<std::string, std::vector<LoanReturn>> batches;
  for (LoanReturn& returned : DrainReturns(&vm->ledger)) {
    batches[returned.lender].push_back(returned);
  }
  for (const auto& [lender, batch] : batches) {
    const int peer = std::stoi(lender);
    SendToVm(experiment, vm->number, peer, [=, batch = batch] {
      Vm* to = &experiment->vms[static_cast<std::size_t>(peer)];
      for (const LoanReturn& returned : batch) {
        ReceiveReturn(&to->ledger, std::to_string(vm->number), returned);
      }
      Dispatch(experiment, to);
    });
  }
}

void Announce(Experiment* experiment, Vm* vm, bool all) {
  const VmLoad load = MakeVmLoad(experiment, vm);
  for (int peer = 0; peer < kVms; ++peer) {
    if (peer == vm->number ||
        (!all && VmDelay(peer, vm->number) != VmDelay(0, 0))) {
      continue;
    }
    SendToVm(experiment, vm->number, peer, [=] {
      Vm* to = &experiment->vms[static_cast<std::size_t>(peer)];
      RecordLoad(to, vm->number, load);
      BorrowIfNeeded(experiment, to);
    });
  }
}

void Recall(Experiment* experiment, Vm* vm) {
  for (const auto& [borrower, loans] :
       RecallLoans(&vm->ledger, [=](const std::string& borrower) {
         return !experiment->options.borrow.by_wait ||
                ShouldRecall(
                    MakeVmLoad(experiment, vm),
                    vm->peers[static_cast<std::size_t>(std::stoi(borrower))]);
       })) {
    const int peer = std::stoi(borrower);
    SendToVm(experiment, vm->number, peer, [=, loans = loans] {
      Vm* to = &experiment->vms[static_cast<std::size_t>(peer)];
      for (const LoanId loan : loans) {
        ReceiveRecall(&to->ledger, std::to_string(vm->number), loan);
      }
      SendReturns(experiment, to);
    });
  }
}

void Dispatch(Experiment* experiment, Vm* vm) {
  ServePendingRequests(experiment, vm);
  while (vm->queue.waiting > 0) {
    std::optional<HeldUnits> held;
    const auto task = DequeueTask(&vm->queue, [&](const TaskGroup& group) {
      held = AcquireUnits(&vm->ledger, group.team, group.placement,
                          experiment->events.now,
                          [](const std::string&) { return true; });
      return held.has_value();
    });
    if (!task) break;
    StartOnHeldUnits(experiment, vm, *task, *held);
  }
  if (vm->queue.waiting == 0) ReturnIdleUnits(&vm->ledger);
  SendReturns(experiment, vm);
  BorrowIfNeeded(experiment, vm);
  const bool has_free_units =
      FreeOwnUnits(experiment, vm) > experiment->options.borrow.reserve;
  if (has_free_units && !vm->had_free_units &&
      experiment->options.borrow.announce) {
    Announce(experiment, vm, true);
  }
  vm->had_free_units = has_free_units;
}

void RenewHeldLoans(Experiment* experiment, Vm* vm) {
  const TimePoint sent = experiment->events.now;
  for (const auto& [lender, loans] :
       LoansToRenew(vm->ledger, vm->queue.waiting > 0, sent)) {
    const int peer = std::stoi(lender);
    SendToVm(experiment, vm->number, peer, [=, lender = lender, loans = loans] {
      const auto renewed =
          RenewLoans(&experiment->vms[static_cast<std::size_t>(peer)].ledger,
                     std::to_string(vm->number), loans, experiment->events.now);
      SendToVm(experiment, peer, vm->number, [=] {
        for (const LoanId loan : renewed) {
          ReceiveRenewal(&vm->ledger, lender, loan,
                         vm->ledger.times.loan_duration, sent);
        }
      });
    });
  }
}

void Heartbeat(Experiment* experiment, Vm* vm, int count) {
  UpdateOwnershipAndLoans(&vm->ledger, experiment->events.now);
  Announce(
      experiment, vm,
      count % (kCrossDataCentreHeartbeatInterval / kHeartbeatInterval) == 0);
  RenewHeldLoans(experiment, vm);
  if (vm->queue.waiting > 0 && experiment->options.borrow.recall) {
    Recall(experiment, vm);
  }
  Dispatch(experiment, vm);
  ScheduleAfter(&experiment->events, kHeartbeatInterval,
                [=] { Heartbeat(experiment, vm, count + 1); });
}

void SetUpShares(Experiment* experiment) {
  Document document;
  for (int i = 0; i < kWorkers; ++i) {
    WorkerSpec worker;
    worker.name = fmt::format("w{:02}", i);
    worker.data_centre = std::to_string(DataCentreOfWorker(i));
    worker.rack = fmt::format("r{}", i / 8);
    document.workers.push_back(worker);
  }
  if (experiment->policy == Policy::kSingleQueue) {
    SetWorkers(&experiment->vms[0].ledger, document.workers);
    return;
  }
  std::array<Roster, 3> rosters;
  for (int vm = 0; vm < kVms; ++vm) {
    Roster& roster = rosters[static_cast<std::size_t>(
        kDataCentreOfVm[static_cast<std::size_t>(vm)])];
    roster.epoch = 1;
    roster.members.push_back(std::to_string(vm));
  }
  const TimePoint now = experiment->events.now;
  std::array<ShareReport, kVms> reports;
  for (Vm& vm : experiment->vms) {
    const auto i = static_cast<std::size_t>(vm.number);
    InitializeLedger(&vm.ledger, std::to_string(vm.number), {}, (i + 1) << 32U,
                     false, now);
    SetResources(&vm.ledger, document, std::to_string(kDataCentreOfVm[i]), now);
    SetRoster(&vm.ledger, rosters[static_cast<std::size_t>(kDataCentreOfVm[i])],
              now);
    reports[i] = MakeReport(&vm.ledger, 1, 0, now);
  }
  for (Vm& vm : experiment->vms) {
    for (int peer = 0; peer < kVms; ++peer) {
      if (kDataCentreOfVm[static_cast<std::size_t>(peer)] !=
              kDataCentreOfVm[static_cast<std::size_t>(vm.number)] ||
          peer == vm.number) {
        continue;
      }
      ReceiveReport(&vm.ledger, reports[static_cast<std::size_t>(peer)], now);
    }
    ScheduleAfter(&experiment->events, milliseconds(10 * vm.number),
                  [=, vm = &vm] { Heartbeat(experiment, vm, 0); });
  }
}

// --- Baselines ---

void StartAtWorker(Experiment* experiment, int number, JobId id,
                   std::uint32_t index) {
  Worker& worker = experiment->workers[static_cast<std::size_t>(number)];
  ++worker.running;
  const int vm = experiment->jobs.at(id).vm;
  ScheduleAfter(&experiment->events, experiment->jobs.at(id).runs[index], [=] {
    Worker& same = experiment->workers[static_cast<std::size_t>(number)];
    --same.running;
    if (!same.waiting.empty()) {
      const auto [next, next_index] = same.waiting.front();
      same.waiting.pop_front();
      StartAtWorker(experiment, number, next, next_index);
    }
    ScheduleAfter(&experiment->events, WorkerDelay(vm, number), [=] {
      --experiment->vms[static_cast<std::size_t>(vm)]
            .outstanding[static_cast<std::size_t>(number)];
      FinishTask(experiment, id);
    });
  });
}

int ChooseBaselineWorker(Experiment* experiment, Vm* vm) {
  const auto any = [experiment] {
    return std::uniform_int_distribution<int>(
        0, kWorkers - 1)(experiment->choices);
  };
  if (experiment->policy == Policy::kRoundRobin) {
    return vm->next_worker++ % kWorkers;
  }
  const int first = any();
  if (experiment->policy == Policy::kRandom) return first;
  const int second = any();
  const auto& tasks = vm->outstanding;
  return tasks[static_cast<std::size_t>(second)] <
                 tasks[static_cast<std::size_t>(first)]
             ? second
             : first;
}

void RunOnBaseline(Experiment* experiment, Vm* vm, JobId id,
                   std::uint32_t count) {
  for (std::uint32_t index = 0; index < count; ++index) {
    const int number = ChooseBaselineWorker(experiment, vm);
    ++vm->outstanding[static_cast<std::size_t>(number)];
    ScheduleAfter(&experiment->events, WorkerDelay(vm->number, number), [=] {
      Worker& worker = experiment->workers[static_cast<std::size_t>(number)];
      if (worker.running < kSlots) {
        StartAtWorker(experiment, number, id, index);
      } else {
        worker.waiting.emplace_back(id, index);
      }
    });
  }
}

// --- Arrivals ---

Duration DrawRunTime(Experiment* experiment) {
  if (DrawUniform(experiment) < 0.02) return std::chrono::seconds(5);
  return microseconds(
      static_cast<int>(50'000 + 950'000 * DrawUniform(experiment)));
}

constexpr double kMeanRunSeconds = 0.98 * 0.525 + 0.02 * 5;

void Submit(Experiment* experiment, std::size_t size_class) {
  const JobId id = experiment->next_job++;
  Job& job = experiment->jobs[id];
  job.arrival = experiment->events.now;
  job.size_class = size_class;
  double point = DrawUniform(experiment);
  while (job.vm < kVms - 1 &&
         (point -= kArrivalShare[static_cast<std::size_t>(job.vm)]) >= 0) {
    ++job.vm;
  }
  job.remaining_tasks = kJobSizes[size_class];
  for (std::uint32_t i = 0; i < job.remaining_tasks; ++i) {
    job.runs.push_back(DrawRunTime(experiment));
  }
  job.ideal = *std::max_element(job.runs.begin(), job.runs.end()) +
              2 * NetworkDelay(0, 0);
  if (job.arrival >= experiment->measured_from) {
    experiment->stats.tasks += job.remaining_tasks;
  }
  if (experiment->policy == Policy::kSingleQueue) job.vm = 0;
  Vm* vm = &experiment->vms[static_cast<std::size_t>(job.vm)];
  if (experiment->policy < Policy::kShares) {
    RunOnBaseline(experiment, vm, id, job.remaining_tasks);
    return;
  }
  EnqueueGroup(&vm->queue,
               {id, "team", 1, Priority::kNormal, {}, job.remaining_tasks});
  Dispatch(experiment, vm);
}

void ScheduleArrival(Experiment* experiment, std::size_t size_class) {
  const double tasks_per_second =
      experiment->load * kWorkers * kSlots / kMeanRunSeconds;
  const double jobs_per_second =
      tasks_per_second * kTaskShare[size_class] / kJobSizes[size_class];
  const double wait = std::exponential_distribution<double>(jobs_per_second)(
      experiment->random);
  ScheduleAfter(&experiment->events,
                microseconds(static_cast<std::int64_t>(wait * 1e6)), [=] {
                  if (experiment->events.now >= experiment->arrivals_end) {
                    return;
                  }
                  Submit(experiment, size_class);
                  ScheduleArrival(experiment, size_class);
                });
}

Stats Run(const Options& options, Policy policy, double load) {
  auto experiment = std::make_unique<Experiment>();
  experiment->options = options;
  experiment->policy = policy;
  experiment->load = load;
  experiment->random.seed(static_cast<std::uint64_t>(options.seed));
  for (int i = 0; i < kVms; ++i) {
    experiment->vms[static_cast<std::size_t>(i)].number = i;
  }
  const TimePoint begin = experiment->events.now;
  experiment->measured_from = begin + std::chrono::seconds(options.warmup);
  experiment->arrivals_end =
      experiment->measured_from + std::chrono::seconds(options.seconds);
  if (policy >= Policy::kShares) SetUpShares(experiment.get());
  for (std::size_t i = 0; i < kJobSizes.size(); ++i) {
    ScheduleArrival(experiment.get(), i);
  }
  RunUntil(&experiment->events, experiment->measured_from);
  experiment->stats.messages = 0;
  RunUntil(&experiment->events, experiment->arrivals_end);
  const std::uint64_t messages = experiment->stats.messages;
  RunUntil(&experiment->events,
           experiment->arrivals_end + std::chrono::seconds(60));
  experiment->stats.messages = messages;
  return experiment->stats;
}

void PrintRow(const char* policy, double load, std::size_t size_class,
              Stats* stats) {
  auto& ratios = stats->response_over_ideal[size_class];
  if (ratios.empty()) return;
  std::sort(ratios.begin(), ratios.end());
  double sum = 0;
  for (const double ratio : ratios) sum += ratio;
  const auto at = [&ratios](double q) {
    return ratios[static_cast<std::size_t>(
        q * static_cast<double>(ratios.size() - 1))];
  };
  // Every policy sends two messages per task for the start and its answer.
  const double messages = 2 + static_cast<double>(stats->messages) /
                                  static_cast<double>(stats->tasks);
  fmt::print(
      "| {:11} | {:3.0f}% | {:3} | {:6} | {:6.2f} | {:6.2f} | {:7.2f} | "
      "{:5.2f} |\n",
      policy, load * 100, kJobSizes[size_class], ratios.size(),
      sum / static_cast<double>(ratios.size()), at(0.5), at(0.99), messages);
}

bool ParseOptions(int argc, const char** argv, Options* options) {
  int no_across = 0;
  int no_announce = 0;
  int no_recall = 0;
  int idle_only = 0;
  int no_piggyback = 0;
  const std::array<poptOption, 11> table = {
      {{"seed", 0, POPT_ARG_INT, &options->seed, 0, "random seed", "N"},
       {"seconds", 0, POPT_ARG_INT, &options->seconds, 0,
        "measured virtual time in seconds", "S"},
       {"warmup", 0, POPT_ARG_INT, &options->warmup, 0,
        "virtual time before the measurement in seconds", "S"},
       {"reserve", 0, POPT_ARG_INT, &options->borrow.reserve, 0,
        "number of idle units that a lender keeps", "N"},
       {"no-across", 0, POPT_ARG_NONE, &no_across, 0,
        "borrow within the data centre only", nullptr},
       {"no-announce", 0, POPT_ARG_NONE, &no_announce, 0,
        "announce free units in heartbeats only", nullptr},
       {"idle-only", 0, POPT_ARG_NONE, &idle_only, 0, "lend idle units only",
        nullptr},
       {"no-recall", 0, POPT_ARG_NONE, &no_recall, 0, "never recall loans",
        nullptr},
       {"no-piggyback", 0, POPT_ARG_NONE, &no_piggyback, 0,
        "omit the lender's load from replies to loan requests", nullptr},
       POPT_AUTOHELP POPT_TABLEEND}};
  poptContext context =
      poptGetContext("placement_experiment", argc, argv, table.data(), 0);
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    fmt::print(stderr, "placement_experiment: {}: {}\n",
               poptBadOption(context, POPT_BADOPTION_NOALIAS),
               poptStrerror(result));
  }
  poptFreeContext(context);
  options->borrow.cross_data_centre = no_across == 0;
  options->borrow.announce = no_announce == 0;
  options->borrow.recall = no_recall == 0;
  options->borrow.by_wait = idle_only == 0;
  options->borrow.piggyback = no_piggyback == 0;
  return result == -1;
}

void PrintTable(const Options& options) {
  fmt::print(
      "| policy      | load | job | jobs   | mean   | p50    | p99     | "
      "msg/task |\n|---|---|---|---|---|---|---|---|\n");
  for (const double load : {0.5, 0.8, 0.95}) {
    for (std::size_t policy = 0; policy < kPolicyNames.size(); ++policy) {
      Stats stats = Run(options, static_cast<Policy>(policy), load);
      for (std::size_t i = 0; i < kJobSizes.size(); ++i) {
        PrintRow(kPolicyNames[policy], load, i, &stats);
      }
    }
  }
}

}  // namespace
}  // namespace internal
}  // namespace sequoiapath

int main(int argc, const char** argv) {
  sequoiapath::internal::Options options;
  if (!sequoiapath::internal::ParseOptions(argc, argv, &options)) return 2;
  sequoiapath::internal::PrintTable(options);
  return 0;
}
