// Defines FakeOperatorBackend, an in-memory configuration and example state for
// tests of the operator interface.

#ifndef SEQUOIAPATH_TESTS_SUPPORT_FAKE_OPERATOR_BACKEND_H_
#define SEQUOIAPATH_TESTS_SUPPORT_FAKE_OPERATOR_BACKEND_H_

#include <fmt/format.h>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sequoiapath/state/metrics.h"
#include "sequoiapath/state/operator_backend.h"

namespace sequoiapath {

struct FakeOperatorBackend {
  Document document;
  std::uint64_t generation = 7;
  std::set<std::string> applied_ids;
  std::vector<HistoryEntry> history;
  LateLog late_log;
  Metrics metrics;
  std::vector<MemberStatus> members;
  // If set, returned as the result of every submitted change.
  std::optional<SubmitResult> forced_result;
};

inline const TeamSpec* FindTeamIn(const Document& document,
                                  const std::string& name) {
  for (const TeamSpec& team : document.teams) {
    if (team.name == name) return &team;
  }
  return nullptr;
}

inline std::string Describe(const TeamSpec* team) {
  return team == nullptr
             ? "absent"
             : fmt::format("quota {}, weight {}", team->quota, team->weight);
}

inline SubmitResult SubmitTo(FakeOperatorBackend* fake,
                             const ConfigProposal& proposal) {
  if (fake->forced_result) return *fake->forced_result;
  if (!fake->applied_ids.insert(proposal.change_id).second) {
    return ChangeApplied{fake->generation};
  }
  if (proposal.base != fake->document) {
    ChangeConflict conflict{fake->generation, {}};
    for (const TeamSpec& team : proposal.proposed.teams) {
      const TeamSpec* base = FindTeamIn(proposal.base, team.name);
      const TeamSpec* theirs = FindTeamIn(fake->document, team.name);
      if (base != nullptr && theirs != nullptr && *base == *theirs) continue;
      conflict.fields.push_back({"teams", team.name, "", Describe(base),
                                 Describe(&team), Describe(theirs)});
    }
    return conflict;
  }
  fake->document = proposal.proposed;
  ++fake->generation;
  fake->history.insert(fake->history.begin(),
                       {std::chrono::system_clock::now(), proposal.author,
                        proposal.remote_address, proposal.change_id,
                        fake->generation, "applied", "teams"});
  return ChangeApplied{fake->generation};
}

inline std::variant<Difference, DocumentErrors> PreviewChange(
    const ConfigProposal& proposal) {
  Difference difference;
  for (const TeamSpec& team : proposal.proposed.teams) {
    if (team.quota > 100'000) {
      return DocumentErrors{{0, "teams." + team.name + ".quota",
                             std::to_string(team.quota), "0 to 100000"}};
    }
    const TeamSpec* base = FindTeamIn(proposal.base, team.name);
    if (base != nullptr && *base == team) continue;
    difference.push_back(
        {"teams", team.name, "", Describe(base), Describe(&team)});
  }
  return difference;
}

// Precondition: `fake` outlives the backend.
inline OperatorBackend BackendOf(FakeOperatorBackend* fake) {
  OperatorBackend backend;
  backend.status = [fake] {
    return DaemonStatus{
        "san-jose-1",       "san-jose", 0xabcdef, fake->generation,
        "0123456789abcdef", 12,         340,      false};
  };
  backend.late_log = [fake] { return &fake->late_log; };
  backend.metrics = [fake] { return RenderMetrics(fake->metrics, {}); };
  backend.members = [fake] { return fake->members; };
  backend.current_catalog = [fake]() -> std::shared_ptr<const Catalog> {
    return MakeCatalog({fake->generation, "", "", ""}, fake->document);
  };
  backend.preview = PreviewChange;
  backend.submit = [fake](const ConfigProposal& proposal, const auto& done) {
    done(SubmitTo(fake, proposal));
  };
  backend.history = [fake](const auto& done) { done(fake->history); };
  return backend;
}

// Fills the backend with example data; the late entry contains HTML markup to
// test escaping.
inline void FillWithExamples(FakeOperatorBackend* fake) {
  ServiceSpec service;
  service.name = "label-check";
  fake->document.services = {service};
  fake->document.teams = {{"depot-clerks", 200, 2}, {"refund-office", 100, 1}};
  for (int i = 0; i < 450; ++i) {
    WorkerSpec worker;
    worker.name = fmt::format("san-jose-{:03}", i);
    worker.data_centre = "san-jose";
    worker.rack = fmt::format("rack-{}", i / 8);
    worker.address = {"127.0.0.1", static_cast<std::uint16_t>(19000 + i)};
    fake->document.workers.push_back(worker);
  }
  fake->members = {
      {"heredia-1", "heredia", 7, "live", std::chrono::milliseconds(120)},
      {"cartago-1", "cartago", 4, "suspect", std::chrono::milliseconds(2400)}};
  LateEntry entry;
  entry.request_id = "san-jose-1-abc-1";
  entry.team = "<script>alert(1)</script>";
  entry.service = "label-check";
  entry.when = std::chrono::system_clock::now();
  entry.deadline = std::chrono::milliseconds(15'000);
  entry.response_time = std::chrono::milliseconds(15'001);
  entry.verdict = Verdict::kMayHaveRun;
  entry.reason = Reason::kWorkerSilent;
  entry.answer_summary = "502 worker_silent, retry never";
  entry.callers_gone = 1;
  AddLateEntry(&fake->late_log, entry);
  fake->history = {{entry.when, "maria", "10.0.0.4", "00ff", 7, "applied",
                    "teams/depot-clerks quota 150 -> 200"}};
}

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TESTS_SUPPORT_FAKE_OPERATOR_BACKEND_H_
