// Defines the messages between daemons and their MessagePack codec. Each
// request struct names its reply type and the last part of its path.

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
#include "sequoiapath/protocol/scheduler_message.h"
#include "sequoiapath/protocol/session_id.h"
#include "sequoiapath/protocol/verdict.h"
#include "sequoiapath/transport/endpoint.h"

namespace sequoiapath {

// Larger messages are refused before they are decoded.
constexpr std::size_t kMaxPeerMessageBytes = 64u << 20;
constexpr std::string_view kPeerPathPrefix = "/peer/";

// A daemon process. A restarted process has a new incarnation.
struct MemberIdentity {
  std::string data_centre;
  std::string vm;
  Endpoint peer_endpoint;
  Incarnation incarnation = 0;

  friend bool operator==(const MemberIdentity&,
                         const MemberIdentity&) = default;
};

// Says that `successor` answers for the sessions of `ended`.
struct SuccessionRecord {
  Incarnation ended = 0;
  MemberIdentity successor;
  std::chrono::milliseconds age{0};  // Since the handover.

  friend bool operator==(const SuccessionRecord&,
                         const SuccessionRecord&) = default;
};

// The kinds of resource that are divided between daemons.
enum class ResourceKind { kWorker = 0, kQuota = 1 };

// A worker, or one part of a team's quota.
struct ResourceName {
  ResourceKind kind = ResourceKind::kWorker;
  std::string name;  // Worker or team.
  std::int64_t part = 0;

  friend bool operator==(const ResourceName&, const ResourceName&) = default;
};

// Slots and accelerators of a worker; quota units are counted as slots.
struct UnitCount {
  std::int64_t slots = 0;
  std::int64_t accelerators = 0;

  friend bool operator==(const UnitCount&, const UnitCount&) = default;
};

struct QuotaCount {
  std::string team;
  std::int64_t units = 0;

  friend bool operator==(const QuotaCount&, const QuotaCount&) = default;
};

// What a daemon says about the resources it owns, and about its load.
struct ShareStatus {
  std::uint64_t sequence = 0;  // Increases over all processes of the VM.
  std::uint64_t roster_epoch = 0;
  bool settling = false;
  std::vector<ResourceName> unreleased;
  UnitCount free;
  // Some teams only; each heartbeat continues where the one before ended.
  std::vector<QuotaCount> free_quota;
  std::uint64_t backlog = 0;  // Tasks that wait for a unit.
  UnitCount units;            // Usable: owned and borrowed, without lent ones.

  friend bool operator==(const ShareStatus&, const ShareStatus&) = default;
};

struct HeartbeatReply {
  MemberIdentity sender;
  bool leaving = false;
  std::uint64_t config_generation = 0;
  std::string config_digest;  // The first 16 characters.
  // The roster in JSON; empty unless the heartbeat showed an older epoch.
  std::string roster;

  friend bool operator==(const HeartbeatReply&,
                         const HeartbeatReply&) = default;
};

struct Heartbeat {
  using Reply = HeartbeatReply;
  static constexpr std::string_view kName = "heartbeat";

  MemberIdentity sender;
  bool leaving = false;
  std::uint64_t config_generation = 0;
  std::string config_digest;  // The first 16 characters.
  ShareStatus shares;
  std::vector<std::uint64_t> recalls;  // Loans of the sender to the receiver.
  std::vector<SuccessionRecord> succession;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

// How a ConfigPullReply carries the configuration.
enum class ConfigForm {
  kNone = 0,      // The asker is not behind.
  kPatches = 1,   // `parts` are encoded ConfigPatches, oldest first.
  kDocument = 2,  // `parts` holds the whole document, compressed with zstd.
};

struct ConfigPullReply {
  std::uint64_t generation = 0;
  std::string change_id;
  std::string digest;  // Of the resulting document.
  ConfigForm form = ConfigForm::kNone;
  std::vector<std::string> parts;

  friend bool operator==(const ConfigPullReply&,
                         const ConfigPullReply&) = default;
};

struct ConfigPull {
  using Reply = ConfigPullReply;
  static constexpr std::string_view kName = "config_pull";

  std::uint64_t generation = 0;  // Held by the asker; zero: none.
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

struct Join {
  using Reply = JoinReply;
  static constexpr std::string_view kName = "join";

  MemberIdentity sender;
  std::uint64_t config_generation = 0;

  friend bool operator==(const Join&, const Join&) = default;
};

// Units that a borrower needs for tasks of equal placement and team.
struct LoanDemand {
  Demand demand;
  std::vector<std::string> places;  // Empty: anywhere.
  std::int64_t worker_tasks = 0;    // Tasks that lack a worker.
  std::string team;
  std::int64_t quota_units = 0;  // Quota units that the team lacks.

  friend bool operator==(const LoanDemand&, const LoanDemand&) = default;
};

struct LoanGrant {
  std::uint64_t loan_id = 0;
  ResourceName resource;
  UnitCount units;
  // The borrower counts from when it sent the request.
  std::chrono::milliseconds duration{0};

  friend bool operator==(const LoanGrant&, const LoanGrant&) = default;
};

struct BorrowReply {
  std::vector<LoanGrant> grants;
  std::vector<std::uint64_t> renewed;  // Loans that were extended.
  std::chrono::milliseconds renewal_duration{0};
  // The lender's load, newer than its last heartbeat.
  UnitCount free;
  std::uint64_t backlog = 0;
  UnitCount units;

  friend bool operator==(const BorrowReply&, const BorrowReply&) = default;
};

struct Borrow {
  using Reply = BorrowReply;
  static constexpr std::string_view kName = "borrow";

  MemberIdentity borrower;
  Incarnation lender = 0;  // Another incarnation grants nothing.
  std::vector<LoanDemand> demands;
  std::vector<std::uint64_t> renewals;  // Loans to extend.
  std::uint64_t backlog = 0;            // Of the borrower, as in ShareStatus.
  UnitCount units;

  friend bool operator==(const Borrow&, const Borrow&) = default;
};

struct ReturnedLoan {
  std::uint64_t loan_id = 0;
  UnitCount kept;  // What the borrower still uses.

  friend bool operator==(const ReturnedLoan&, const ReturnedLoan&) = default;
};

struct ReturnReply {
  friend bool operator==(const ReturnReply&, const ReturnReply&) = default;
};

struct Return {
  using Reply = ReturnReply;
  static constexpr std::string_view kName = "return";

  MemberIdentity borrower;
  Incarnation lender = 0;  // Another incarnation ignores the message.
  std::vector<ReturnedLoan> returns;

  friend bool operator==(const Return&, const Return&) = default;
};

enum class ForwardAction { kSubmit = 0, kCancel = 1 };

struct ForwardReply {
  int status = 0;
  std::string body;  // The answer for the caller, in JSON.

  friend bool operator==(const ForwardReply&, const ForwardReply&) = default;
};

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
  std::uint64_t index = 0;  // Within the job.
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

// What the ending process knew of one used sequence number.
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
  // Numbers up to this one are never started, even without a record.
  std::uint64_t watermark = 0;
  // The process that opened the session; the sender may have taken it over.
  Incarnation incarnation = 0;

  friend bool operator==(const HandedOverSession&,
                         const HandedOverSession&) = default;
};

struct HandoverReply {
  MemberIdentity successor;
  std::uint64_t sessions = 0;  // Number of sessions taken over.

  friend bool operator==(const HandoverReply&, const HandoverReply&) = default;
};

struct Handover {
  using Reply = HandoverReply;
  static constexpr std::string_view kName = "handover";

  MemberIdentity sender;
  std::vector<HandedOverSession> sessions;
  // False: more messages of this handover follow.
  bool last = true;

  friend bool operator==(const Handover&, const Handover&) = default;
};

// The body of a reply with an error status.
struct PeerErrorReply {
  Failure failure;
};

// Calls X(type) for each type that has a codec.
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
  X(CancelStepJob)
// clang-format on

// Returns the MessagePack form: an array of the fields in declaration order.
// Defined for the types of SEQUOIAPATH_PEER_MESSAGES. Thread-safe.
template <typename Message>
std::string EncodePeerMessage(const Message& message);

// Decodes untrusted bytes. Fails with kInvalidRequest if they are too large,
// too deeply nested or malformed, or if a value is out of range: an unknown
// enum value, a negative count or duration, an endpoint that is not numeric, or
// a zero incarnation. Fields that a later version appended are ignored. Does
// not throw. Thread-safe.
template <typename Message>
Result<Message> DecodePeerMessage(std::string_view bytes);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_PEER_MESSAGE_H_
