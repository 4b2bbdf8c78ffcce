#include "sequoiapath/coordination/roster.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

bool Contains(const std::vector<std::string>& sorted, const std::string& name) {
  return std::binary_search(sorted.begin(), sorted.end(), name);
}

bool IsUnlistedFor(const VmState& vm, Duration hold_down, TimePoint now) {
  return !vm.listed && now - vm.unlisted_since >= hold_down;
}

bool ShouldBeMember(const std::string& name, const VmState& vm,
                    const Roster& current, const RosterTimes& times,
                    TimePoint now) {
  if (vm.leaving) return false;
  if (Contains(current.members, name)) {
    return !IsUnlistedFor(vm, times.hold_down, now);
  }
  // The first roster is written without a delay, because no VM owns any
  // resource before it.
  return vm.listed && vm.live &&
         (current.epoch == 0 || now - vm.listed_since >= times.join_delay);
}

}  // namespace
}  // namespace internal

std::string_view OwnerOf(const Roster& roster, std::string_view resource) {
  const XXH64_hash_t seed = XXH3_64bits(resource.data(), resource.size());
  std::string_view owner;
  XXH64_hash_t best = 0;
  for (const std::string& member : roster.members) {
    const XXH64_hash_t score =
        XXH3_64bits_withSeed(member.data(), member.size(), seed);
    if (owner.empty() || score > best) {
      owner = member;
      best = score;
    }
  }
  return owner;
}

std::string EncodeRoster(const Roster& roster) {
  return nlohmann::json{{"epoch", roster.epoch},
                        {"members", roster.members},
                        {"former", roster.former}}
      .dump();
}

Result<Roster> DecodeRoster(std::string_view text) {
  try {
    const auto json = nlohmann::json::parse(text);
    Roster roster{json.at("epoch"), json.at("members"),
                  json.value("former", std::vector<std::string>{})};
    std::sort(roster.members.begin(), roster.members.end());
    std::sort(roster.former.begin(), roster.former.end());
    return roster;
  } catch (const std::exception& error) {
    return Failure{Verdict::kNotRun, Reason::kInternal, RetryAdvice::kNever,
                   std::nullopt,
                   fmt::format("invalid roster in the store: {}; required are "
                               "a number in `epoch` and a list of VM names in "
                               "`members`",
                               error.what())};
  }
}

std::optional<Roster> NextRoster(const Roster& current,
                                 const std::map<std::string, VmState>& vms,
                                 const RosterTimes& times, TimePoint now) {
  Roster next{current.epoch + 1, {}, {}};
  for (const auto& [name, vm] : vms) {
    const bool in_former = internal::Contains(current.former, name);
    const bool was_member = internal::Contains(current.members, name);
    if (internal::ShouldBeMember(name, vm, current, times, now)) {
      next.members.push_back(name);
    } else if ((was_member || in_former) &&
               !internal::IsUnlistedFor(vm, times.hold_down, now)) {
      next.former.push_back(name);
    }
  }
  // A VM without an entry in `vms` stays a member or former member, because
  // this daemon has not yet observed it as unlisted for the hold-down time.
  for (const std::string& name : current.members) {
    if (!vms.contains(name)) next.members.push_back(name);
  }
  for (const std::string& name : current.former) {
    if (!vms.contains(name)) next.former.push_back(name);
  }
  std::sort(next.members.begin(), next.members.end());
  std::sort(next.former.begin(), next.former.end());
  if (next.members.empty() ||
      (next.members == current.members && next.former == current.former)) {
    return std::nullopt;
  }
  return next;
}

Duration ProposalDelay(const std::string& self,
                       const std::map<std::string, VmState>& vms,
                       const RosterTimes& times) {
  int earlier = 0;
  for (const auto& [name, vm] : vms) {
    if (name < self && vm.live && !vm.leaving) ++earlier;
  }
  return earlier * times.proposer_delay;
}

std::optional<Roster> ProposeRoster(const std::string& self,
                                    const Roster& current,
                                    const std::map<std::string, VmState>& vms,
                                    const RosterTimes& times,
                                    std::optional<TimePoint>* due_since,
                                    TimePoint now) {
  auto next = NextRoster(current, vms, times, now);
  if (!next) {
    due_since->reset();
    return std::nullopt;
  }
  if (!*due_since) *due_since = now;
  if (now - **due_since < ProposalDelay(self, vms, times)) return std::nullopt;
  return next;
}

}  // namespace sequoiapath
