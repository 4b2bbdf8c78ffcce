#include "share_messages.h"

#include <algorithm>
#include <limits>

namespace sequoiapath {
namespace internal {
namespace {

ResourceKey ToResourceKey(const ResourceId& resource) {
  return {resource.kind == ResourceId::Kind::kWorker ? ResourceKind::kWorker
                                                     : ResourceKind::kQuota,
          resource.name, resource.part};
}

ResourceId ToResourceId(const ResourceKey& name) {
  return {name.kind == ResourceKind::kWorker ? ResourceId::Kind::kWorker
                                             : ResourceId::Kind::kQuota,
          name.name, static_cast<int>(name.part)};
}

int ClampToInt(std::uint64_t value) {
  return static_cast<int>(std::min<std::uint64_t>(
      value, static_cast<std::uint64_t>(std::numeric_limits<int>::max())));
}

}  // namespace
}  // namespace internal

UnitCount ToMessage(const Units& units) {
  return {std::max(units.slots, 0), std::max(units.accelerators, 0)};
}

Units FromMessage(const UnitCount& units) {
  return {static_cast<int>(units.slots), static_cast<int>(units.accelerators)};
}

ShareStatus ToMessage(const ShareReport& report) {
  ShareStatus status;
  status.sequence = report.sequence;
  status.roster_epoch = report.roster_epoch;
  status.settling = report.settling;
  for (const ResourceId& resource : report.unreleased) {
    status.unreleased.push_back(internal::ToResourceKey(resource));
  }
  status.free = ToMessage(report.free);
  for (const auto& [team, units] : report.free_quota) {
    status.free_quota.push_back({team, units});
  }
  status.backlog = report.backlog;
  status.units = ToMessage(report.units);
  return status;
}

ShareReport FromMessage(const std::string& vm, const ShareStatus& status) {
  ShareReport report;
  report.vm = vm;
  report.sequence = status.sequence;
  report.roster_epoch = status.roster_epoch;
  report.settling = status.settling;
  for (const ResourceKey& name : status.unreleased) {
    report.unreleased.push_back(internal::ToResourceId(name));
  }
  report.free = FromMessage(status.free);
  for (const QuotaCount& quota : status.free_quota) {
    report.free_quota[quota.team] = static_cast<int>(quota.units);
  }
  report.backlog =
      static_cast<std::uint32_t>(internal::ClampToInt(status.backlog));
  report.units = FromMessage(status.units);
  return report;
}

LoanGrant ToMessage(const Grant& grant) {
  return {grant.loan, internal::ToResourceKey(grant.resource),
          ToMessage(grant.units),
          std::chrono::floor<std::chrono::milliseconds>(grant.duration)};
}

Grant FromMessage(const LoanGrant& grant) {
  return {grant.loan_id, internal::ToResourceId(grant.resource),
          FromMessage(grant.units), grant.duration};
}

BorrowDemand FromMessage(const LoanDemand& demand) {
  return {{demand.demand, demand.places},
          static_cast<int>(demand.worker_tasks),
          demand.team,
          static_cast<int>(demand.quota_units)};
}

VmLoad LoadFromMessage(const UnitCount& free, std::uint64_t backlog,
                       const UnitCount& units) {
  return {static_cast<int>(free.slots), internal::ClampToInt(backlog),
          static_cast<int>(units.slots), true};
}

}  // namespace sequoiapath
