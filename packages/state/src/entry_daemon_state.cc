#include "entry_daemon_state.h"

#include <fmt/format.h>

#include "sequoiapath/protocol/peer_message.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

std::string MakeOrigin(const std::string& vm, std::uint64_t incarnation) {
  return fmt::format("{}/{}", vm, incarnation);
}

std::string OwnOrigin(const EntryDaemonState& daemon) {
  return MakeOrigin(daemon.election.self.vm, daemon.election.self.incarnation);
}

void UpdateOwnReport(EntryDaemonState* daemon) {
  daemon->election.self.config_version = daemon->catalog.config_version;
  daemon->election.self.store_revision = daemon->catalog.worker_revision;
  daemon->election.self.evacuation_revision =
      EvacuationRevision(daemon->catalog.evacuations);
  daemon->election.self.omits_specs = daemon->service->RelaysOrders();
  const LinkStatus link = daemon->service->Link();
  daemon->election.self.admission_share = link.admission_share;
  daemon->election.self.link_congested = link.congested;
}

DaemonTime ReportTime(const EntryDaemonState& daemon) {
  return std::chrono::floor<milliseconds>(daemon.loop->Now());
}

std::string EncodeOwnReport(const EntryDaemonState& daemon,
                            const std::string& vm) {
  DaemonReport report = daemon.election.self;
  report.sent_at = ReportTime(daemon);
  const auto peer = daemon.election.peers.find(vm);
  if (peer != daemon.election.peers.end()) {
    report.heard_incarnation = peer->second.report.incarnation;
    report.heard_sent_at = peer->second.report.sent_at;
  }
  return EncodePeerMessage(report);
}

}  // namespace sequoiapath::internal
