// Defines the messages that daemons exchange and their MessagePack codec. Each
// request struct declares its reply type and the last component of its path.

#ifndef SEQUOIAPATH_PROTOCOL_PEER_MESSAGE_H_
#define SEQUOIAPATH_PROTOCOL_PEER_MESSAGE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiapath/protocol/job.h"
#include "sequoiapath/protocol/order_batch.h"
#include "sequoiapath/protocol/scheduler_message.h"
#include "sequoiapath/protocol/session_id.h"
#include "sequoiapath/protocol/verdict.h"
#include "sequoiapath/transport/endpoint.h"

namespace sequoiapath {

// Maximum size of an encoded message. Larger messages are rejected before they
// are decoded.
constexpr std::size_t kMaxPeerMessageBytes = 64u << 20;
constexpr std::string_view kPeerPathPrefix = "/peer/";

// Identifies a daemon process. Each process has its own incarnation.
struct MemberIdentity {
  std::string data_centre;
  std::string vm;
  Endpoint peer_endpoint;
  Incarnation incarnation = 0;

  friend bool operator==(const MemberIdentity&,
                         const MemberIdentity&) = default;
};

// States that `successor` has taken over the sessions of the process `ended`.
struct SuccessionRecord {
  Incarnation ended = 0;
  MemberIdentity successor;
  std::chrono::milliseconds age{0};  // Time since the handover.

  friend bool operator==(const SuccessionRecord&,
                         const SuccessionRecord&) = default;
};

// The kinds of resource that daemons share.
enum class ResourceKind { kWorker = 0, kQuota = 1 };

// Identifies a worker, or one part of a team's quota.
struct ResourceKey {
  ResourceKind kind = ResourceKind::kWorker;
  std::string name;  // Name of the worker or team.
  std::int64_t part = 0;

  friend bool operator==(const ResourceKey&, const ResourceKey&) = default;
};

// Number of slots and accelerators. Quota units are counted as slots.
struct UnitCount {
  std::int64_t slots = 0;
  std::int64_t accelerators = 0;

  friend bool operator==(const UnitCount&, const UnitCount&) = default;
};

// Number of units of a team's quota.
struct QuotaCount {
  std::string team;
  std::int64_t units = 0;

  friend bool operator==(const QuotaCount&, const QuotaCount&) = default;
};

// The resources that a daemon owns and its load.
struct ShareStatus {
  std::uint64_t sequence = 0;  // Increases, also across restarts.
  std::uint64_t roster_epoch = 0;
  // True until the hold-down after a restart has ended.
  bool settling = false;
  // Resources assigned to another daemon that the sender has yet to release.
  std::vector<ResourceKey> unreleased;
  UnitCount free;
  // Free quota of a subset of the teams; consecutive heartbeats cover all teams
  // in turn.
  std::vector<QuotaCount> free_quota;
  std::uint64_t backlog = 0;  // Number of tasks that wait for a unit.
  // Usable units: the owned and borrowed ones except those lent.
  UnitCount units;

  friend bool operator==(const ShareStatus&, const ShareStatus&) = default;
};

struct HeartbeatReply {
  MemberIdentity sender;
  bool leaving = false;
  std::uint64_t config_generation = 0;
  std::string config_digest;  // The first 16 characters.
  // The roster in JSON. Empty unless the heartbeat has an older roster epoch.
  std::string roster;

  friend bool operator==(const HeartbeatReply&,
                         const HeartbeatReply&) = default;
};

// Reports the sender's state to another daemon; sent periodically.
struct Heartbeat {
  using Reply = HeartbeatReply;
  static constexpr std::string_view kName = "heartbeat";

  MemberIdentity sender;
  bool leaving = false;
  std::uint64_t config_generation = 0;
  std::string config_digest;  // The first 16 characters.
  ShareStatus shares;
  // Ids of the loans that the sender recalls from the receiver.
  std::vector<std::uint64_t> recalls;
  std::vector<SuccessionRecord> succession;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

// Contents of a ConfigPullReply.
enum class ConfigForm {
  kNone = 0,      // The requester has this generation or a newer one.
  kPatches = 1,   // `parts` holds encoded ConfigPatches, oldest first.
  kDocument = 2,  // `parts` holds the document, compressed with zstd.
};

struct ConfigPullReply {
  std::uint64_t generation = 0;
  std::string change_id;
  std::string digest;  // Digest of the resulting document.
  ConfigForm form = ConfigForm::kNone;
  std::vector<std::string> parts;

  friend bool operator==(const ConfigPullReply&,
                         const ConfigPullReply&) = default;
};

// Requests a configuration newer than the requester's.
struct ConfigPull {
  using Reply = ConfigPullReply;
  static constexpr std::string_view kName = "config_pull";

  std::uint64_t generation = 0;  // Generation of the requester; zero: none.
  std::string digest;

  friend bool operator==(const ConfigPull&, const ConfigPull&) = default;
};

struct MemberRecord {
  MemberIdentity identity;
  bool leaving = false;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

struct JoinReply {
  MemberIdentity sender;
  std::vector<MemberRecord> members;
  std::vector<SuccessionRecord> succession;
  ConfigPullReply config;

  friend bool operator==(const JoinReply&, const JoinReply&) = default;
};

// Announces the sender to a daemon and requests its list of members.
struct Join {
  using Reply = JoinReply;
  static constexpr std::string_view kName = "join";

  MemberIdentity sender;
  std::uint64_t config_generation = 0;

  friend bool operator==(const Join&, const Join&) = default;
};

// The units that a borrower requests for tasks with the same placement and
// team.
struct LoanDemand {
  Demand demand;
  std::vector<std::string> places;  // Empty: anywhere.
  std::int64_t worker_tasks = 0;    // Number of tasks without a worker.
  std::string team;
  std::int64_t quota_units = 0;  // Number of missing quota units.

  friend bool operator==(const LoanDemand&, const LoanDemand&) = default;
};

struct LoanGrant {
  std::uint64_t loan_id = 0;
  ResourceKey resource;
  UnitCount units;
  // Duration of the loan, from the time at which the borrower sent the request.
  std::chrono::milliseconds duration{0};

  friend bool operator==(const LoanGrant&, const LoanGrant&) = default;
};

struct BorrowReply {
  std::vector<LoanGrant> grants;
  std::vector<std::uint64_t> renewed;  // Ids of the extended loans.
  std::chrono::milliseconds renewal_duration{0};
  // The lender's load, more recent than its last heartbeat.
  UnitCount free;
  std::uint64_t backlog = 0;
  UnitCount units;

  friend bool operator==(const BorrowReply&, const BorrowReply&) = default;
};

// Requests new loans from a lender and extends existing ones.
struct Borrow {
  using Reply = BorrowReply;
  static constexpr std::string_view kName = "borrow";

  MemberIdentity borrower;
  // Incarnation of the lender. A receiver with another one grants nothing.
  Incarnation lender = 0;
  std::vector<LoanDemand> demands;
  std::vector<std::uint64_t> renewals;  // Ids of the loans to extend.
  // The borrower's load, as in ShareStatus.
  std::uint64_t backlog = 0;
  UnitCount units;

  friend bool operator==(const Borrow&, const Borrow&) = default;
};

struct ReturnedLoan {
  std::uint64_t loan_id = 0;
  UnitCount kept;  // Units that the borrower still uses.

  friend bool operator==(const ReturnedLoan&, const ReturnedLoan&) = default;
};

struct ReturnReply {
  friend bool operator==(const ReturnReply&, const ReturnReply&) = default;
};

// Returns the unused units of loans to their lender.
struct Return {
  using Reply = ReturnReply;
  static constexpr std::string_view kName = "return";

  MemberIdentity borrower;
  // Incarnation of the lender. A receiver with another one ignores the message.
  Incarnation lender = 0;
  std::vector<ReturnedLoan> returns;

  friend bool operator==(const Return&, const Return&) = default;
};

enum class ForwardAction { kSubmit = 0, kCancel = 1 };

struct ForwardReply {
  int status = 0;
  std::string body;  // The answer for the caller, in JSON.

  friend bool operator==(const ForwardReply&, const ForwardReply&) = default;
};

// Passes a caller's request to the daemon that owns the session.
struct Forward {
  using Reply = ForwardReply;
  static constexpr std::string_view kName = "forward";

  ForwardAction action = ForwardAction::kSubmit;
  std::string session;  // The signed session id.
  std::uint64_t sequence = 0;
  std::string body;  // The caller's submission, in JSON.
  std::chrono::milliseconds remaining{0};

  friend bool operator==(const Forward&, const Forward&) = default;
};

struct DelegatedTask {
  std::uint64_t index = 0;  // Index within the job.
  std::string payload;

  friend bool operator==(const DelegatedTask&, const DelegatedTask&) = default;
};

struct DelegatedResult {
  std::uint64_t index = 0;
  std::optional<Failure> failure;  // Absent: the task succeeded.
  std::string body;
};

struct DelegateReply {
  std::vector<DelegatedResult> results;
};

struct Delegate {
  using Reply = DelegateReply;
  static constexpr std::string_view kName = "delegate";

  MemberIdentity sender;
  std::string job_id;
  std::string service;
  std::string team;
  Priority priority = Priority::kNormal;
  Demand demand;
  std::vector<std::string> places;
  std::chrono::milliseconds remaining{0};
  std::vector<DelegatedTask> tasks;

  friend bool operator==(const Delegate&, const Delegate&) = default;
};

enum class HandedOverState { kFinished = 0, kAnswerDropped = 1 };

// State of one used sequence number at the handover.
struct HandedOverRecord {
  std::uint64_t sequence = 0;
  HandedOverState state = HandedOverState::kFinished;
  int answer_status = 0;
  std::string answer_body;
  Verdict verdict = Verdict::kMayHaveRun;

  friend bool operator==(const HandedOverRecord&,
                         const HandedOverRecord&) = default;
};

struct HandedOverSession {
  std::uint64_t counter = 0;
  std::string team;
  std::chrono::milliseconds idle{0};
  std::uint64_t greatest_sequence = 0;
  std::vector<HandedOverRecord> records;
  // Jobs with a sequence number up to this one are never started, even if the
  // number has no record.
  std::uint64_t watermark = 0;
  // Incarnation of the process that opened the session. It differs from the
  // sender's if the sender took the session over.
  Incarnation incarnation = 0;

  friend bool operator==(const HandedOverSession&,
                         const HandedOverSession&) = default;
};

struct HandoverReply {
  MemberIdentity successor;
  std::uint64_t sessions = 0;  // Number of sessions taken over.

  friend bool operator==(const HandoverReply&, const HandoverReply&) = default;
};

// Transfers sessions of a stopping daemon to its successor.
struct Handover {
  using Reply = HandoverReply;
  static constexpr std::string_view kName = "handover";

  MemberIdentity sender;
  std::vector<HandedOverSession> sessions;
  // False if more messages of this handover follow.
  bool last = true;

  friend bool operator==(const Handover&, const Handover&) = default;
};

// Body of an HTTP response with an error status.
struct PeerErrorReply {
  Failure failure;
};

// Invokes X(type) for each type that has a codec.
// clang-format off
#define SEQUOIAPATH_PEER_MESSAGES(X) \
  X(Heartbeat) \
  X(HeartbeatReply) \
  X(Join) \
  X(JoinReply) \
  X(Borrow) \
  X(BorrowReply) \
  X(Return) \
  X(ReturnReply) \
  X(Forward) \
  X(ForwardReply) \
  X(Delegate) \
  X(DelegateReply) \
  X(ConfigPull) \
  X(ConfigPullReply) \
  X(Handover) \
  X(HandoverReply) \
  X(PeerErrorReply) \
  X(DaemonReport) \
  X(StepJob) \
  X(StepJobAnswer) \
  X(CatalogRequest) \
  X(CatalogSnapshot) \
  X(CancelStepJob) \
  X(JobCancels) \
  X(TaskCrashes) \
  X(OrderBatch) \
  X(OrderReplies)
// clang-format on

// Returns the MessagePack form: an array of the fields in declaration order.
// Defined for the types in SEQUOIAPATH_PEER_MESSAGES. Thread-safe.
template <typename Message>
std::string EncodePeerMessage(const Message& message);

// Decodes untrusted bytes. Fails with kInvalidRequest if they are too large,
// nested too deeply or malformed, or if a value is out of range, such as an
// unknown enum value, a negative count or duration, an endpoint without a
// numeric address, or an incarnation of zero. Ignores fields that a later
// version appended. Never throws. Thread-safe.
template <typename Message>
Result<Message> DecodePeerMessage(std::string_view bytes);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_PEER_MESSAGE_H_
