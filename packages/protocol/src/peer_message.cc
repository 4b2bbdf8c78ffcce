#include "sequoiapath/protocol/peer_message.h"

#include <algorithm>
#include <exception>
#include <limits>
#include <msgpack.hpp>
#include <tuple>
#include <type_traits>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

// Names of standbys in a report. A scheduler names one in each data centre.
constexpr std::size_t kMaxStandbys = 256;
// A share in thousandths.
constexpr std::uint32_t kMaxAdmissionShare = 1000;
// Limits the decoder's memory: it allocates 24 bytes for each element that the
// header of an array declares. The longest valid array is in the handover of a
// full session table.
constexpr std::size_t kMaxArrayLength = 100'000;
// Handover has the deepest nesting: message, sessions, session, records,
// record.
constexpr std::size_t kMaxDepth = 8;
constexpr auto kMaxDuration = std::chrono::hours(48);
// Differences of times below this limit fit into nanoseconds.
constexpr auto kMaxDaemonTime = std::chrono::years(100);

// The fields of each struct in encoding order. New fields must be appended, so
// that earlier versions can ignore them.

#define SEQUOIAPATH_FIELDS(Type, ...)                                     \
  [[maybe_unused]] auto Fields(Type& m) { return std::tie(__VA_ARGS__); } \
  [[maybe_unused]] auto Fields(const Type& m) { return std::tie(__VA_ARGS__); }

SEQUOIAPATH_FIELDS(Endpoint, m.address, m.port)
SEQUOIAPATH_FIELDS(MemberIdentity, m.data_centre, m.vm, m.peer_endpoint,
                   m.incarnation)
SEQUOIAPATH_FIELDS(SuccessionRecord, m.ended, m.successor, m.age)
SEQUOIAPATH_FIELDS(ResourceKey, m.kind, m.name, m.part)
SEQUOIAPATH_FIELDS(UnitCount, m.slots, m.accelerators)
SEQUOIAPATH_FIELDS(QuotaCount, m.team, m.units)
SEQUOIAPATH_FIELDS(ShareStatus, m.sequence, m.roster_epoch, m.settling,
                   m.unreleased, m.free, m.free_quota, m.backlog, m.units)
SEQUOIAPATH_FIELDS(HeartbeatReply, m.sender, m.leaving, m.config_generation,
                   m.config_digest, m.roster)
SEQUOIAPATH_FIELDS(Heartbeat, m.sender, m.leaving, m.config_generation,
                   m.config_digest, m.shares, m.recalls, m.succession)
SEQUOIAPATH_FIELDS(ConfigPull, m.generation, m.digest)
SEQUOIAPATH_FIELDS(ConfigPullReply, m.generation, m.change_id, m.digest, m.form,
                   m.parts)
SEQUOIAPATH_FIELDS(MemberRecord, m.identity, m.leaving)
SEQUOIAPATH_FIELDS(Join, m.sender, m.config_generation)
SEQUOIAPATH_FIELDS(JoinReply, m.sender, m.members, m.succession, m.config)
SEQUOIAPATH_FIELDS(Demand, m.cores, m.memory_mb, m.accelerators)
SEQUOIAPATH_FIELDS(LoanDemand, m.demand, m.places, m.worker_tasks, m.team,
                   m.quota_units)
SEQUOIAPATH_FIELDS(LoanGrant, m.loan_id, m.resource, m.units, m.duration)
SEQUOIAPATH_FIELDS(Borrow, m.borrower, m.lender, m.demands, m.renewals,
                   m.backlog, m.units)
SEQUOIAPATH_FIELDS(BorrowReply, m.grants, m.renewed, m.renewal_duration, m.free,
                   m.backlog, m.units)
SEQUOIAPATH_FIELDS(ReturnedLoan, m.loan_id, m.kept)
SEQUOIAPATH_FIELDS(Return, m.borrower, m.lender, m.returns)
[[maybe_unused]] std::tuple<> Fields(const ReturnReply& /*message*/) {
  return {};
}
SEQUOIAPATH_FIELDS(Forward, m.action, m.session, m.sequence, m.body,
                   m.remaining)
SEQUOIAPATH_FIELDS(ForwardReply, m.status, m.body)
SEQUOIAPATH_FIELDS(DelegatedTask, m.index, m.payload)
SEQUOIAPATH_FIELDS(DelegatedResult, m.index, m.failure, m.body)
SEQUOIAPATH_FIELDS(Delegate, m.sender, m.job_id, m.service, m.team, m.priority,
                   m.demand, m.places, m.remaining, m.tasks)
SEQUOIAPATH_FIELDS(DelegateReply, m.results)
SEQUOIAPATH_FIELDS(HandedOverRecord, m.sequence, m.state, m.answer_status,
                   m.answer_body, m.verdict)
SEQUOIAPATH_FIELDS(HandedOverSession, m.counter, m.team, m.idle,
                   m.greatest_sequence, m.records, m.watermark, m.incarnation)
SEQUOIAPATH_FIELDS(Handover, m.sender, m.sessions, m.last)
SEQUOIAPATH_FIELDS(HandoverReply, m.successor, m.sessions)
SEQUOIAPATH_FIELDS(Failure, m.verdict, m.reason, m.retry, m.retry_after,
                   m.detail)

SEQUOIAPATH_FIELDS(PeerErrorReply, m.failure)
SEQUOIAPATH_FIELDS(DaemonReport, m.vm, m.data_centre, m.endpoint, m.incarnation,
                   m.weight, m.eligible, m.claim, m.partial, m.stopping,
                   m.highest_fence, m.config_version, m.store_revision,
                   m.scheduler, m.sent_at, m.heard_incarnation, m.heard_sent_at,
                   m.standbys, m.evacuation_revision, m.relays_orders,
                   m.omits_specs, m.admission_share, m.link_congested)
SEQUOIAPATH_FIELDS(Resources, m.milli_cores, m.memory_mb, m.accelerators)
SEQUOIAPATH_FIELDS(JobStep, m.count, m.demand, m.estimate, m.after,
                   m.required_label, m.preferred_rack, m.max_per_worker)
SEQUOIAPATH_FIELDS(StepJob, m.id, m.spec, m.steps, m.service, m.priority,
                   m.max_attempts, m.stretch, m.slack, m.remaining, m.age,
                   m.generation, m.former_fence, m.former_workers,
                   m.scheduler_fence, m.heartbeat_sent_at, m.submission,
                   m.spec_omitted)
SEQUOIAPATH_FIELDS(StepJobAnswer, m.outcome, m.reason, m.retry_after)
SEQUOIAPATH_FIELDS(WorkerEntry, m.id, m.value)
SEQUOIAPATH_FIELDS(EvacuationSet, m.revision, m.data_centres)
SEQUOIAPATH_FIELDS(CatalogRequest, m.vm, m.evacuations_only)
SEQUOIAPATH_FIELDS(CatalogSnapshot, m.revision, m.config_version, m.config,
                   m.workers, m.evacuations)
SEQUOIAPATH_FIELDS(CancelStepJob, m.job, m.sender, m.submission)
SEQUOIAPATH_FIELDS(JobCancel, m.job, m.age)
SEQUOIAPATH_FIELDS(JobCancels, m.origin, m.cancels)
SEQUOIAPATH_FIELDS(TaskName, m.job, m.step, m.index)
SEQUOIAPATH_FIELDS(TaskCrash, m.task, m.worker, m.started_at_ms, m.age, m.alone,
                   m.confirmed)
SEQUOIAPATH_FIELDS(TaskCrashes, m.origin, m.crashes)
SEQUOIAPATH_FIELDS(CompactRun, m.job, m.other_job, m.step, m.index, m.run)
SEQUOIAPATH_FIELDS(RelayedStart, m.id, m.worker, m.run, m.submission,
                   m.lease_end, m.lease_left, m.fence)
SEQUOIAPATH_FIELDS(RelayedStop, m.id, m.worker, m.run, m.fence)
SEQUOIAPATH_FIELDS(RelayedRenewal, m.id, m.worker, m.lease_end, m.fence,
                   m.last_seen_end, m.wait)
SEQUOIAPATH_FIELDS(OrderBatch, m.scheduler, m.scheduler_incarnation,
                   m.relay_incarnation, m.sent_at, m.workers, m.starts, m.stops,
                   m.renewals)
SEQUOIAPATH_FIELDS(RelayedReply, m.id, m.outcome, m.clock)
SEQUOIAPATH_FIELDS(RelayedEnd, m.number, m.run, m.outcome)
SEQUOIAPATH_FIELDS(RelayedReport, m.id, m.clock, m.started_at_ms, m.running,
                   m.ended, m.capacity)
SEQUOIAPATH_FIELDS(OrderReplies, m.scheduler_incarnation, m.replies, m.reports)
#undef SEQUOIAPATH_FIELDS

// Number of leading fields that an encoded struct must have. The other fields
// keep their default values when an earlier version sends it without them.
template <typename T>
constexpr std::size_t kRequiredFields =
    std::tuple_size_v<decltype(Fields(std::declval<T&>()))>;
template <>
constexpr std::size_t kRequiredFields<DaemonReport> = 12;
template <>
constexpr std::size_t kRequiredFields<StepJob> = 13;
template <>
constexpr std::size_t kRequiredFields<TaskCrash> = 5;
template <>
constexpr std::size_t kRequiredFields<CancelStepJob> = 1;
template <>
constexpr std::size_t kRequiredFields<CatalogRequest> = 1;
template <>
constexpr std::size_t kRequiredFields<CatalogSnapshot> = 4;

// Maximum value of each enum that is encoded as a number.
constexpr int MaxValue(ResourceKind /*kind*/) {
  return static_cast<int>(ResourceKind::kQuota);
}
constexpr int MaxValue(ConfigForm /*form*/) {
  return static_cast<int>(ConfigForm::kDocument);
}
constexpr int MaxValue(ForwardAction /*action*/) {
  return static_cast<int>(ForwardAction::kCancel);
}
constexpr int MaxValue(Priority /*priority*/) {
  return static_cast<int>(Priority::kBulk);
}
constexpr int MaxValue(HandedOverState /*state*/) {
  return static_cast<int>(HandedOverState::kAnswerDropped);
}

constexpr int MaxValue(StepJobOutcome /*outcome*/) {
  return static_cast<int>(StepJobOutcome::kNotAccepted);
}

constexpr int MaxValue(RelayedOutcome /*outcome*/) {
  return static_cast<int>(RelayedOutcome::kDropped);
}
constexpr int MaxValue(RunOutcome /*outcome*/) {
  return static_cast<int>(RunOutcome::kOther);
}

// Enums of the caller's protocol are encoded as their stable names.
void ParseName(std::string_view text, std::optional<Verdict>* out) {
  *out = ParseVerdict(text);
}
void ParseName(std::string_view text, std::optional<Reason>* out) {
  // A later version may send a reason that this version lacks.
  *out = ParseReason(text).value_or(Reason::kInternal);
}
void ParseName(std::string_view text, std::optional<RetryAdvice>* out) {
  *out = ParseRetryAdvice(text);
}

template <typename T>
constexpr bool kEncodedByName =
    std::is_same_v<T, Verdict> || std::is_same_v<T, Reason> ||
    std::is_same_v<T, RetryAdvice>;

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};
template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};

using Packer = msgpack::packer<msgpack::sbuffer>;
using Milliseconds = std::chrono::milliseconds;

void PackString(Packer* packer, std::string_view text) {
  packer->pack_str(static_cast<std::uint32_t>(text.size()));
  packer->pack_str_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

template <typename T>
void Pack(Packer* packer, const T& value) {
  if constexpr (std::is_arithmetic_v<T>) {
    packer->pack(value);
  } else if constexpr (kEncodedByName<T>) {
    PackString(packer, ToString(value));
  } else if constexpr (std::is_enum_v<T>) {
    packer->pack(static_cast<int>(value));
  } else if constexpr (std::is_same_v<T, std::string>) {
    PackString(packer, value);
  } else if constexpr (std::is_same_v<T, Milliseconds>) {
    packer->pack(static_cast<std::int64_t>(value.count()));
  } else if constexpr (std::is_same_v<T, DaemonTime>) {
    Pack(packer, value.time_since_epoch());
  } else if constexpr (IsVector<T>::value) {
    packer->pack_array(static_cast<std::uint32_t>(value.size()));
    for (const auto& element : value) Pack(packer, element);
  } else if constexpr (IsOptional<T>::value) {
    if (value.has_value()) {
      Pack(packer, *value);
    } else {
      packer->pack_nil();
    }
  } else {
    std::apply(
        [packer](const auto&... fields) {
          packer->pack_array(sizeof...(fields));
          (Pack(packer, fields), ...);
        },
        Fields(value));
  }
}

// Validates a struct whose fields have been decoded.
template <typename T>
bool IsValid(const T& /*value*/) {
  return true;
}
bool IsValid(const Endpoint& value) {
  return ParseEndpoint(ToString(value)).has_value();
}
bool IsValid(const MemberIdentity& value) {
  return value.incarnation != 0 && !value.vm.empty();
}
// Larger counts would overflow the int arithmetic of the share ledger.
constexpr std::int64_t kMaxUnits = 1'000'000'000;
bool IsCount(std::int64_t value) { return value >= 0 && value <= kMaxUnits; }
bool IsValid(const ResourceKey& value) { return IsCount(value.part); }
bool IsValid(const UnitCount& value) {
  return IsCount(value.slots) && IsCount(value.accelerators);
}
bool IsValid(const QuotaCount& value) { return IsCount(value.units); }
bool IsValid(const LoanDemand& value) {
  return IsCount(value.worker_tasks) && IsCount(value.quota_units);
}
bool IsValid(const DaemonReport& value) {
  return value.standbys.size() <= kMaxStandbys &&
         value.admission_share <= kMaxAdmissionShare;
}
bool IsValid(const JobStep& value) {
  return value.count > 0 && value.demand.milli_cores >= 0 &&
         value.demand.memory_mb >= 0 && value.demand.accelerators >= 0;
}
// Each step depends only on earlier ones, which excludes cyclic dependencies.
bool IsValid(const StepJob& value) {
  for (std::size_t step = 0; step < value.steps.size(); ++step) {
    for (const std::uint32_t earlier : value.steps[step].after) {
      if (earlier >= step) return false;
    }
  }
  return !value.id.empty() && !value.steps.empty();
}
bool IsValid(const JobCancel& value) { return !value.job.empty(); }
bool IsValid(const TaskCrash& value) {
  return !value.task.job.empty() && !value.worker.empty();
}
// Returns whether a worker's time, in milliseconds, can be added to others.
bool IsWorkerTime(std::int64_t milliseconds) {
  return milliseconds >= 0 &&
         milliseconds <= std::chrono::milliseconds(kMaxDaemonTime).count();
}
bool IsValid(const RelayedStart& value) {
  return value.fence != 0 && IsWorkerTime(value.lease_end);
}
bool IsValid(const RelayedStop& value) { return value.fence != 0; }
bool IsValid(const RelayedRenewal& value) {
  return value.fence != 0 && IsWorkerTime(value.lease_end);
}
bool IsValid(const RelayedReply& value) { return IsWorkerTime(value.clock); }
bool IsValid(const RelayedReport& value) {
  if (value.capacity &&
      (value.capacity->milli_cores < 0 || value.capacity->memory_mb < 0 ||
       value.capacity->accelerators < 0)) {
    return false;
  }
  return IsWorkerTime(value.clock) && IsWorkerTime(value.started_at_ms);
}
// Each order names one of the batch's workers.
bool IsValid(const OrderBatch& value) {
  const auto names_worker = [&value](const auto& order) {
    return order.worker < value.workers.size();
  };
  return !value.scheduler.empty() &&
         std::all_of(value.starts.begin(), value.starts.end(), names_worker) &&
         std::all_of(value.stops.begin(), value.stops.end(), names_worker) &&
         std::all_of(value.renewals.begin(), value.renewals.end(),
                     names_worker);
}
bool IsValid(const Demand& value) {
  // The comparison also rejects NaN.
  return value.cores >= 0 && value.memory_mb >= 0 && value.accelerators >= 0;
}

template <typename T>
bool UnpackInteger(const msgpack::object& object, T* out) {
  if (object.type == msgpack::type::POSITIVE_INTEGER) {
    if (!std::in_range<T>(object.via.u64)) return false;
    *out = static_cast<T>(object.via.u64);
    return true;
  }
  if (object.type == msgpack::type::NEGATIVE_INTEGER) {
    if (!std::in_range<T>(object.via.i64)) return false;
    *out = static_cast<T>(object.via.i64);
    return true;
  }
  return false;
}

// Accepts integers, because the library packs a double without a fractional
// part as an integer.
bool UnpackDouble(const msgpack::object& object, double* out) {
  if (object.type == msgpack::type::POSITIVE_INTEGER) {
    *out = static_cast<double>(object.via.u64);
    return true;
  }
  if (object.type == msgpack::type::NEGATIVE_INTEGER) {
    *out = static_cast<double>(object.via.i64);
    return true;
  }
  if (object.type != msgpack::type::FLOAT64 &&
      object.type != msgpack::type::FLOAT32) {
    return false;
  }
  *out = object.via.f64;
  return true;
}

bool UnpackView(const msgpack::object& object, std::string_view* out) {
  if (object.type != msgpack::type::STR) return false;
  *out = {object.via.str.ptr, object.via.str.size};
  return true;
}

template <typename T>
bool UnpackEnum(const msgpack::object& object, T* out) {
  if constexpr (kEncodedByName<T>) {
    std::string_view text;
    std::optional<T> parsed;
    if (!UnpackView(object, &text)) return false;
    ParseName(text, &parsed);
    if (parsed.has_value()) *out = *parsed;
    return parsed.has_value();
  } else {
    int number = 0;
    if (!UnpackInteger(object, &number) || number < 0 ||
        number > MaxValue(T{})) {
      return false;
    }
    *out = static_cast<T>(number);
    return true;
  }
}

bool UnpackDuration(const msgpack::object& object, Milliseconds* out) {
  std::int64_t count = 0;
  if (!UnpackInteger(object, &count) || count < 0 ||
      count > Milliseconds(kMaxDuration).count()) {
    return false;
  }
  *out = Milliseconds(count);
  return true;
}

// A clock counts from the start of its machine, so its times exceed
// kMaxDuration.
bool UnpackDaemonTime(const msgpack::object& object, DaemonTime* out) {
  std::int64_t count = 0;
  if (!UnpackInteger(object, &count) || count < 0 ||
      count > Milliseconds(kMaxDaemonTime).count()) {
    return false;
  }
  *out = DaemonTime(Milliseconds(count));
  return true;
}

template <typename T>
bool Unpack(const msgpack::object& object, T* out);

template <typename T>
bool UnpackVector(const msgpack::object& object, std::vector<T>* out) {
  if (object.type != msgpack::type::ARRAY) return false;
  out->resize(object.via.array.size);
  for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
    if (!Unpack(object.via.array.ptr[i], &(*out)[i])) return false;
  }
  return true;
}

template <typename T>
bool UnpackStruct(const msgpack::object& object, T* out) {
  if (object.type != msgpack::type::ARRAY) return false;
  if (object.via.array.size < kRequiredFields<T>) return false;
  auto fields = Fields(*out);
  const msgpack::object* next = object.via.array.ptr;
  const msgpack::object* const end = next + object.via.array.size;
  const bool read = std::apply(
      [&next, end](auto&... field) {
        return ((next == end || Unpack(*next++, &field)) && ...);
      },
      fields);
  return read && IsValid(*out);
}

template <typename T>
bool Unpack(const msgpack::object& object, T* out) {
  if constexpr (std::is_same_v<T, bool>) {
    if (object.type != msgpack::type::BOOLEAN) return false;
    *out = object.via.boolean;
    return true;
  } else if constexpr (std::is_integral_v<T>) {
    return UnpackInteger(object, out);
  } else if constexpr (std::is_floating_point_v<T>) {
    return UnpackDouble(object, out);
  } else if constexpr (std::is_enum_v<T>) {
    return UnpackEnum(object, out);
  } else if constexpr (std::is_same_v<T, std::string>) {
    std::string_view view;
    if (!UnpackView(object, &view)) return false;
    out->assign(view);
    return true;
  } else if constexpr (std::is_same_v<T, Milliseconds>) {
    return UnpackDuration(object, out);
  } else if constexpr (std::is_same_v<T, DaemonTime>) {
    return UnpackDaemonTime(object, out);
  } else if constexpr (IsVector<T>::value) {
    return UnpackVector(object, out);
  } else if constexpr (IsOptional<T>::value) {
    if (object.type == msgpack::type::NIL) return true;
    return Unpack(object, &out->emplace());
  } else {
    return UnpackStruct(object, out);
  }
}

Failure MalformedMessage(std::string detail) {
  return {Verdict::kNotRun, Reason::kInvalidRequest, RetryAdvice::kNever,
          std::nullopt, "peer message: " + std::move(detail)};
}

// Tells the decoder to reference strings in the input instead of copying them.
bool ReferenceInput(msgpack::type::object_type /*type*/, std::size_t /*size*/,
                    void* /*user_data*/) {
  return true;
}

}  // namespace
}  // namespace internal

template <typename Message>
std::string EncodePeerMessage(const Message& message) {
  msgpack::sbuffer buffer;
  internal::Packer packer(buffer);
  internal::Pack(&packer, message);
  return std::string(buffer.data(), buffer.size());
}

template <typename Message>
Result<Message> DecodePeerMessage(std::string_view bytes) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    return internal::MalformedMessage(std::to_string(bytes.size()) +
                                      " bytes exceed the limit of " +
                                      std::to_string(kMaxPeerMessageBytes));
  }
  // The limits of zero reject maps, binary values and extensions, which no
  // message contains.
  const msgpack::unpack_limit limit(internal::kMaxArrayLength, 0,
                                    kMaxPeerMessageBytes, 0, 0,
                                    internal::kMaxDepth);
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), offset,
                        internal::ReferenceInput, nullptr, limit);
    if (offset != bytes.size()) {
      return internal::MalformedMessage("unexpected bytes after the message");
    }
    Message message;
    if (!internal::Unpack(handle.get(), &message)) {
      return internal::MalformedMessage(
          "a field is missing, has the wrong type or is out of range");
    }
    return message;
  } catch (const std::exception& error) {
    return internal::MalformedMessage(error.what());
  }
}

#define SEQUOIAPATH_INSTANTIATE(Type)                  \
  template std::string EncodePeerMessage(const Type&); \
  template Result<Type> DecodePeerMessage(std::string_view);
SEQUOIAPATH_PEER_MESSAGES(SEQUOIAPATH_INSTANTIATE)
#undef SEQUOIAPATH_INSTANTIATE

}  // namespace sequoiapath
