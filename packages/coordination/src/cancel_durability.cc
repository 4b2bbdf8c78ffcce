#include "sequoiapath/coordination/cancel_durability.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

// Confirmations that replace a write.
constexpr std::size_t kConfirmations = 2;
// Daemons that are asked at a time: one more than has to confirm, so that the
// loss of one costs no further round trip.
constexpr std::size_t kRequestedHolders = kConfirmations + 1;

JobCancel WithAge(const std::string& job, const PendingCancel& cancel,
                  TimePoint now) {
  return {job, std::chrono::duration_cast<std::chrono::milliseconds>(
                   now - cancel.cancelled)};
}

void ForgetStored(CancelDurability* durability, TimePoint now) {
  while (!durability->stored_order.empty()) {
    const auto first =
        durability->stored.find(durability->stored_order.front());
    if (now - first->second <= durability->limits.repetition_time) return;
    durability->stored.erase(first);
    durability->stored_order.pop_front();
  }
}

void RecordStored(CancelDurability* durability, const std::string& job,
                  TimePoint now) {
  if (durability->stored.emplace(job, now).second) {
    durability->stored_order.push_back(job);
  }
}

void ErasePending(CancelDurability* durability, const std::string& job) {
  durability->pending.erase(job);
  durability->unacknowledged.erase(job);
}

// Moves cancels that no write contains yet to a new write. Cancels that are too
// old are dropped: no request for their jobs can arrive any more.
void ComposeWrite(CancelDurability* durability, TimePoint now) {
  CancelWrite write;
  std::size_t bytes = 0;
  while (!durability->unwritten.empty()) {
    const std::string& job = durability->unwritten.front();
    const auto found = durability->pending.find(job);
    if (now - found->second.cancelled > durability->limits.retention) {
      ErasePending(durability, job);
    } else {
      bytes += job.size();
      const bool full = bytes > durability->limits.max_batch_bytes;
      if (full && !write.cancels.empty()) break;
      write.cancels.push_back(WithAge(job, found->second, now));
    }
    durability->unwritten.pop_front();
  }
  if (write.cancels.empty()) return;
  write.number = ++durability->last_number;
  durability->write = std::move(write);
}

// Drops a write that has failed until none of its cancels matters any more.
void DropOldWrite(CancelDurability* durability, TimePoint now) {
  if (!durability->write) return;
  const auto matters = [&](const JobCancel& cancel) {
    return now - durability->pending.at(cancel.job).cancelled <=
           durability->limits.retention;
  };
  const auto& cancels = durability->write->cancels;
  if (std::any_of(cancels.begin(), cancels.end(), matters)) return;
  for (const JobCancel& cancel : cancels) {
    ErasePending(durability, cancel.job);
  }
  durability->write.reset();
}

bool IsElsewhere(const CancelDurability& durability,
                 const std::string& data_centre) {
  return data_centre != durability.data_centre;
}

// Returns whether the confirmations suffice for an acknowledgement.
bool IsConfirmed(const CancelDurability& durability,
                 const PendingCancel& cancel,
                 const std::vector<CancelHolder>& reachable) {
  if (cancel.confirmed.size() < kConfirmations) return false;
  const bool has_elsewhere = std::any_of(
      cancel.confirmed.begin(), cancel.confirmed.end(),
      [&](const auto& entry) { return IsElsewhere(durability, entry.second); });
  return has_elsewhere ||
         std::none_of(reachable.begin(), reachable.end(),
                      [&](const CancelHolder& holder) {
                        return IsElsewhere(durability, holder.data_centre);
                      });
}

// Returns the daemons to ask: those that confirm first, then the one in another
// data centre, so that one of these is among them if any confirms.
std::vector<CancelHolder> ChooseHolders(CancelDurability* durability,
                                        std::vector<CancelHolder> reachable) {
  std::erase_if(durability->holders, [&](const auto& entry) {
    return !entry.second.in_flight &&
           std::none_of(reachable.begin(), reachable.end(),
                        [&](const CancelHolder& holder) {
                          return holder.origin == entry.first;
                        });
  });
  const auto rank = [&](const CancelHolder& holder) {
    return std::tuple(durability->holders[holder.origin].failures,
                      !IsElsewhere(*durability, holder.data_centre),
                      holder.origin);
  };
  std::sort(reachable.begin(), reachable.end(),
            [&](const CancelHolder& a, const CancelHolder& b) {
              return rank(a) < rank(b);
            });
  // The last place goes to another data centre even if it has failed before,
  // because an acknowledgement needs it while it counts as reachable.
  const auto elsewhere = std::find_if(
      reachable.begin(), reachable.end(), [&](const CancelHolder& holder) {
        return IsElsewhere(*durability, holder.data_centre);
      });
  if (elsewhere != reachable.end() &&
      elsewhere - reachable.begin() >=
          static_cast<std::ptrdiff_t>(kRequestedHolders)) {
    std::swap(*elsewhere, reachable[kRequestedHolders - 1]);
  }
  if (reachable.size() > kRequestedHolders) reachable.resize(kRequestedHolders);
  return reachable;
}

std::vector<JobCancel> UnconfirmedBy(const CancelDurability& durability,
                                     const std::string& origin, TimePoint now) {
  std::vector<JobCancel> cancels;
  for (const std::string& job : durability.unacknowledged) {
    const PendingCancel& cancel = durability.pending.at(job);
    if (cancel.confirmed.contains(origin)) continue;
    if (now - cancel.cancelled > durability.limits.retention) continue;
    cancels.push_back(WithAge(job, cancel, now));
    if (cancels.size() >= durability.limits.max_request_cancels) break;
  }
  return cancels;
}

void AcknowledgeConfirmed(CancelDurability* durability,
                          const std::vector<CancelHolder>& reachable) {
  std::erase_if(durability->unacknowledged, [&](const std::string& job) {
    PendingCancel& cancel = durability->pending.at(job);
    if (!IsConfirmed(*durability, cancel, reachable)) return false;
    cancel.acknowledged = true;
    durability->durable.push_back({job, CancelProof::kDaemons});
    return true;
  });
}

}  // namespace
}  // namespace internal

CancelState AddPendingCancel(CancelDurability* durability,
                             const std::string& job, TimePoint now) {
  internal::ForgetStored(durability, now);
  if (durability->stored.contains(job)) return CancelState::kStored;
  const auto known = durability->pending.find(job);
  if (known != durability->pending.end()) {
    // The acknowledgement that other daemons have made possible is repeated.
    if (known->second.acknowledged) {
      durability->durable.push_back({job, CancelProof::kDaemons});
    }
    return CancelState::kPending;
  }
  if (durability->pending.size() >= durability->limits.max_pending) {
    return CancelState::kFull;
  }
  if (durability->pending.empty()) {
    durability->next_write =
        std::max(durability->next_write, now + durability->limits.gather_time);
  }
  durability->pending.emplace(job,
                              PendingCancel{.cancelled = now, .confirmed = {}});
  durability->unacknowledged.insert(job);
  durability->unwritten.push_back(job);
  return CancelState::kPending;
}

const CancelWrite* BeginCancelWrite(CancelDurability* durability,
                                    TimePoint now) {
  if (durability->write_in_flight || now < durability->next_write) {
    return nullptr;
  }
  internal::DropOldWrite(durability, now);
  if (!durability->write) internal::ComposeWrite(durability, now);
  if (!durability->write) return nullptr;
  durability->write_in_flight = true;
  if (durability->write_interval == Duration::zero()) {
    durability->write_interval = durability->limits.write_interval;
  }
  durability->next_write = now + durability->write_interval;
  return &*durability->write;
}

void EndCancelWrite(CancelDurability* durability, bool succeeded,
                    TimePoint now) {
  durability->write_in_flight = false;
  durability->store_failing = !succeeded;
  if (!succeeded) {
    durability->write_interval =
        std::min(durability->write_interval * 2,
                 durability->limits.longest_write_interval);
    return;
  }
  durability->write_interval = durability->limits.write_interval;
  const CancelWrite write = *std::exchange(durability->write, std::nullopt);
  for (const JobCancel& cancel : write.cancels) {
    durability->pending.erase(cancel.job);
    internal::RecordStored(durability, cancel.job, now);
    if (durability->unacknowledged.erase(cancel.job) == 0) continue;
    durability->durable.push_back({cancel.job, CancelProof::kStore});
  }
}

std::vector<CancelRequest> BeginCancelRequests(
    CancelDurability* durability, const std::vector<CancelHolder>& reachable,
    TimePoint now) {
  std::vector<CancelRequest> requests;
  internal::AcknowledgeConfirmed(durability, reachable);
  if (!durability->store_failing || durability->unacknowledged.empty() ||
      reachable.size() < internal::kConfirmations) {
    return requests;
  }
  for (const CancelHolder& holder :
       internal::ChooseHolders(durability, reachable)) {
    CancelDurability::HolderState& state = durability->holders[holder.origin];
    if (state.in_flight || now < state.next_request) continue;
    auto cancels = internal::UnconfirmedBy(*durability, holder.origin, now);
    if (cancels.empty()) continue;
    state.in_flight = true;
    requests.push_back({holder, std::move(cancels)});
  }
  return requests;
}

void EndCancelRequest(CancelDurability* durability,
                      const CancelRequest& request, bool confirmed,
                      TimePoint now) {
  CancelDurability::HolderState& state =
      durability->holders[request.holder.origin];
  state.in_flight = false;
  if (!confirmed) {
    ++state.failures;
    state.next_request = now + durability->limits.request_retry_interval;
    return;
  }
  state.failures = 0;
  for (const JobCancel& cancel : request.cancels) {
    const auto found = durability->pending.find(cancel.job);
    if (found == durability->pending.end()) continue;
    found->second.confirmed.emplace(request.holder.origin,
                                    request.holder.data_centre);
  }
}

std::vector<DurableCancel> TakeDurableCancels(CancelDurability* durability) {
  return std::exchange(durability->durable, {});
}

bool HasCancelWork(const CancelDurability& durability) {
  return !durability.pending.empty() || !durability.durable.empty();
}

}  // namespace sequoiapath
