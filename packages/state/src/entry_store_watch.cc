#include "entry_store_watch.h"

#include <utility>
#include <variant>
#include <vector>

#include "entry_heartbeats.h"
#include "entry_limits.h"
#include "sequoiapath/coordination/overload_policy.h"
#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kCatalogTimeout{800};
// The reply is small. The next report that names a newer set repeats the call,
// possibly to another daemon, within kLongestEvacuationCopy.
constexpr milliseconds kEvacuationsTimeout{300};
// Prefix of the daemons' entries in the store. A VM's name follows.
constexpr std::string_view kDaemonPrefix = "sequoiapath/daemon/";
constexpr milliseconds kDaemonEntryTtl{4000};
// Pause between two watches of the workers' records. Each worker writes its
// record every second or two. The scheduler needs the changes soon; the other
// daemons read them in larger batches, so that they can replace the scheduler.
constexpr Duration kSchedulerWatchPause = milliseconds(200);
constexpr Duration kFollowerWatchPause = milliseconds(800);
// The same pause while resubmitted jobs wait for a newer list of the workers.
constexpr Duration kTakeoverWatchPause = milliseconds(20);
// The store counts as unresponsive after this time without a response. While it
// is available, it responds to lease renewals more often.
constexpr Duration kStoreSilenceTimeout = milliseconds(2500);

void ApplyCatalogChange(EntryDaemonState* daemon, CatalogChange change) {
  if (change.routes) {
    ApplyRequestLimits(daemon, *change.routes);
    daemon->service->EnableOverloadPolicy(
        CallsForOverloadPolicy(*change.routes));
    daemon->gateway->SetRoutes(*std::move(change.routes));
  }
  if (change.evacuations) daemon->service->SetEvacuations(*change.evacuations);
  for (const WorkerDescription& worker : change.updated) {
    daemon->service->UpdateWorker(worker);
  }
  for (const std::string& id : change.removed) {
    daemon->service->UnlistWorker(id);
  }
  if (!change.updated.empty() || !change.removed.empty()) {
    std::vector<std::string> ids;
    ids.reserve(daemon->catalog.workers.size());
    for (const auto& [id, value] : daemon->catalog.workers) ids.push_back(id);
    daemon->gateway->SetWorkers(ids);
  }
  UpdateOwnReport(daemon);
}

// Applies changes of the keys that operators write.
void OnOperatorChange(EntryDaemonState* daemon, const KeyValuePage& page,
                      bool complete) {
  ApplyCatalogChange(daemon,
                     ApplyEvacuations(&daemon->catalog, page, complete));
  for (const KeyValueItem& item : page.items) {
    if (item.key != daemon->codecs.store.config_key) continue;
    ApplyCatalogChange(daemon, ApplyConfig(&daemon->catalog, item.value));
  }
}

// Decodes the daemons' entries in the store, which have the form
// "data_centre address:port". Entries of another form are ignored.
std::vector<ListedDaemon> ListDaemons(const EntryDaemonState& daemon) {
  std::vector<ListedDaemon> listed;
  for (const auto& [key, value] : daemon.daemon_entries) {
    const auto space = value.find(' ');
    if (space == std::string::npos) continue;
    const auto endpoint = ParseEndpoint(value.substr(space + 1));
    if (!endpoint) continue;
    listed.push_back(
        {key.substr(kDaemonPrefix.size()), value.substr(0, space), *endpoint});
  }
  return listed;
}

void OnDaemonsChange(EntryDaemonState* daemon, const KeyValuePage& page,
                     bool complete) {
  if (complete) daemon->daemon_entries.clear();
  for (const KeyValueItem& item : page.items) {
    if (!item.key.starts_with(kDaemonPrefix)) continue;
    daemon->daemon_entries[item.key] = item.value;
  }
  for (const std::string& key : page.removed) daemon->daemon_entries.erase(key);
  SetListedDaemons(&daemon->election, ListDaemons(*daemon));
  SendDueHeartbeats(daemon);
}

Duration WorkerWatchPause(const EntryDaemonState& daemon) {
  if (daemon.election.self.claim == 0) return kFollowerWatchPause;
  return AwaitsWorkerList(daemon.service->scheduler(), daemon.loop->Now())
             ? kTakeoverWatchPause
             : kSchedulerWatchPause;
}

}  // namespace

void WatchStore(EntryDaemonState* daemon) {
  const KeyValueCodec& codec = daemon->codecs.store;
  daemon->store->WatchPrefix(
      std::string(daemon->catalog.evacuations.followed ? codec.operator_prefix
                                                       : codec.config_prefix),
      [daemon](const KeyValuePage& page, bool complete, TimePoint /*read_at*/) {
        OnOperatorChange(daemon, page, complete);
      });
  daemon->store->WatchBusyPrefix(
      std::string(codec.worker_prefix),
      [daemon] { return WorkerWatchPause(*daemon); },
      [daemon](const KeyValuePage& page, bool complete, TimePoint read_at) {
        ApplyCatalogChange(daemon,
                           ApplyWorkers(&daemon->catalog, page, complete));
        daemon->service->SetWorkersListedAt(read_at);
      });
  daemon->store->WatchPrefix(
      std::string(kDaemonPrefix),
      [daemon](const KeyValuePage& page, bool complete, TimePoint /*read_at*/) {
        OnDaemonsChange(daemon, page, complete);
      });
  const EntrySettings& settings = daemon->settings;
  daemon->store->PutWithLease(
      {std::string(kDaemonPrefix) + settings.vm,
       settings.data_centre + " " + ToString(settings.peer_listen)},
      kDaemonEntryTtl);
}

namespace {

bool StoreIsUnresponsive(const EntryDaemonState& daemon) {
  const TimePoint last = daemon.store->LastResponseTime();
  return last == TimePoint{} ||
         daemon.loop->Now() - last > kStoreSilenceTimeout;
}

}  // namespace

void PullEvacuations(EntryDaemonState* daemon, const DaemonReport& report) {
  const EvacuationRecord& known = daemon->catalog.evacuations;
  if (!known.followed ||
      report.evacuation_revision <= EvacuationRevision(known)) {
    return;
  }
  daemon->service->HearEvacuationRevision(report.evacuation_revision);
  if (std::exchange(daemon->evacuation_pull_in_flight, true)) return;
  PeerCall call{.path = kCatalogPath,
                .headers = {},
                .body = EncodePeerMessage(
                    CatalogRequest{daemon->election.self.vm, true})};
  daemon->peers->Call(
      report.endpoint, std::move(call), kEvacuationsTimeout,
      [daemon, vm = report.vm](const HttpResult& result) {
        daemon->evacuation_pull_in_flight = false;
        const auto* response = std::get_if<HttpResponse>(&result);
        if (response == nullptr || response->status != kStatusOk) {
          Log(LogLevel::kWarning, "evacuations_pull_failed", {{"vm", vm}});
          return;
        }
        const auto snapshot =
            DecodePeerMessage<CatalogSnapshot>(response->body);
        const auto* decoded = std::get_if<CatalogSnapshot>(&snapshot);
        if (decoded == nullptr) {
          Log(LogLevel::kError, "catalog_copy_unreadable", {{"vm", vm}});
          return;
        }
        ApplyCatalogChange(daemon,
                           ApplyCatalogSnapshot(&daemon->catalog, *decoded));
      });
}

void PullCatalog(EntryDaemonState* daemon, const DaemonReport& report) {
  const bool newer_config =
      report.config_version > daemon->catalog.config_version;
  const bool newer_workers =
      report.store_revision > daemon->catalog.worker_revision &&
      (StoreIsUnresponsive(*daemon) || !daemon->catalog.workers_known);
  if (daemon->pull_in_flight || (!newer_config && !newer_workers)) return;
  daemon->pull_in_flight = true;
  ++daemon->counts.catalog_pulls;
  PeerCall call{
      .path = kCatalogPath,
      .headers = {},
      .body = EncodePeerMessage(CatalogRequest{daemon->election.self.vm})};
  daemon->peers->Call(
      report.endpoint, std::move(call), kCatalogTimeout,
      [daemon, vm = report.vm](const HttpResult& result) {
        daemon->pull_in_flight = false;
        const auto* response = std::get_if<HttpResponse>(&result);
        if (response == nullptr || response->status != kStatusOk) {
          Log(LogLevel::kWarning, "catalog_pull_failed", {{"vm", vm}});
          return;
        }
        auto snapshot = DecodePeerMessage<CatalogSnapshot>(response->body);
        const auto* decoded = std::get_if<CatalogSnapshot>(&snapshot);
        if (decoded == nullptr) {
          Log(LogLevel::kError, "catalog_copy_unreadable", {{"vm", vm}});
          return;
        }
        Log(LogLevel::kInfo, "catalog_pulled",
            {{"vm", vm},
             {"config", decoded->config_version},
             {"revision", decoded->revision},
             {"former_revision", daemon->catalog.worker_revision}});
        ApplyCatalogChange(daemon,
                           ApplyCatalogSnapshot(&daemon->catalog, *decoded));
      });
}

}  // namespace sequoiapath::internal
