// Defines MemberView, what one daemon knows of the others: which processes
// exist, which of them answer, whom to send a heartbeat to, and which process
// took over the sessions of an ended one.

#ifndef SEQUOIAPATH_COORDINATION_MEMBER_VIEW_H_
#define SEQUOIAPATH_COORDINATION_MEMBER_VIEW_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

struct HeartbeatPolicy {
  // Within the data centre, up to `mesh_size` peers. At 250 ms, 7 peers took
  // 30 KB/s of the 18 KB/s that a daemon may spend.
  Duration mesh_interval = std::chrono::milliseconds(500);
  // With more peers the interval grows in proportion, so that the number of
  // heartbeats a second, and with it the control traffic, stays the same.
  std::size_t mesh_size = 8;
  // To each contact in another data centre, up to `contact_count` contacts; the
  // interval grows with more as that of the mesh does.
  Duration contact_interval = std::chrono::seconds(2);
  std::size_t contact_count = 8;
  std::size_t contacts_per_data_centre = 2;
  // Silence beyond the interval that makes a peer suspect or down; with the
  // mesh interval of 500 ms the sums are 1 s and 3 s.
  Duration suspect_margin = std::chrono::milliseconds(500);
  Duration down_margin = std::chrono::milliseconds(2500);
  // Peers that are down, and seeds that did not answer, are tried this often.
  Duration retry_interval = std::chrono::seconds(2);
  // A down contact in another data centre may be chosen again after this time.
  Duration contact_retry_delay = std::chrono::seconds(30);
  // Longer than a region may lose contact with another one.
  Duration down_retention = std::chrono::hours(2);
  // Members of other data centres that are not contacts send nothing, so one
  // contact is asked for its list this often, and members that were neither
  // heard nor listed for the longer time are removed.
  Duration refresh_interval = std::chrono::minutes(5);
  Duration unlisted_retention = std::chrono::minutes(30);
  // A longer gap between two plans means that this process was paused.
  Duration pause_threshold = std::chrono::milliseconds(500);
  Duration succession_retention = std::chrono::hours(24);
  // Records in one heartbeat; the rest follow in later ones.
  std::size_t max_records_per_heartbeat = 50;
};

enum class MemberState { kLive, kSuspect, kDown, kLeaving };

// Returns a short name for logs. Thread-safe.
const char* ToString(MemberState state);

struct Member {
  MemberIdentity identity;
  // kSuspect until the member itself was heard.
  MemberState state = MemberState::kSuspect;
  bool leaving = false;
  bool heard_directly = false;
  TimePoint heard_at;
  TimePoint silence_from;  // Silence before it is not counted.
  TimePoint down_since;
  // When a member of its own data centre last listed it.
  TimePoint listed_at;
  // True while this daemon sends heartbeats to it and so can judge its silence.
  bool monitored = false;
  TimePoint next_heartbeat;
  // Succession records up to this number were acknowledged by the member.
  std::uint64_t acknowledged_records = 0;
};

// An incarnation that a later one of the same VM has replaced.
struct ReplacedIncarnation {
  std::string vm;
  TimePoint replaced_at;
};

struct KnownSuccession {
  MemberIdentity successor;
  TimePoint handed_over_at;
  TimePoint learned_at;
  std::uint64_t number = 0;  // In the order of learning, from 1.
};

struct JoinSeed {
  Endpoint endpoint;
  TimePoint next_join;
};

struct MemberView {
  HeartbeatPolicy policy;
  MemberIdentity self;
  std::map<std::string, Member> members;  // By VM, without self.
  std::vector<JoinSeed> seeds;
  std::map<std::string, TimePoint> next_refresh;  // By data centre.
  std::map<Incarnation, ReplacedIncarnation> replaced;
  std::map<Incarnation, KnownSuccession> succession;  // By ended incarnation.
  std::uint64_t last_record_number = 0;
  std::optional<TimePoint> last_plan;
};

struct HeartbeatTarget {
  MemberIdentity member;
  std::vector<SuccessionRecord> succession;
  // Passed to AcknowledgeHeartbeat when the member answers.
  std::uint64_t records_up_to = 0;
};

struct MemberStateChange {
  MemberIdentity member;
  MemberState before = MemberState::kSuspect;
  MemberState after = MemberState::kSuspect;
};

// What the daemon must do now.
struct MemberActions {
  std::vector<HeartbeatTarget> heartbeats;
  // Seeds whose process is not known, and contacts whose list is due.
  std::vector<Endpoint> joins;
  std::vector<MemberStateChange> changes;
};

// Whether a message of a peer is to be acted upon.
enum class ObservationResult {
  kAccepted,  // From a process that was known.
  kNew,       // From a process that was not known before.
  kIgnored,   // From a replaced incarnation or from this process itself.
};

// Returns a view without members. Thread safety of all functions here: one
// thread at a time.
MemberView MakeMemberView(MemberIdentity self,
                          const std::vector<Endpoint>& seeds,
                          HeartbeatPolicy policy = {});

// Records a request that a member sent. A new incarnation of a known VM
// replaces the earlier one; a replaced incarnation is ignored.
ObservationResult ObserveRequest(MemberView* view, const MemberIdentity& sender,
                                 bool leaving, TimePoint now);

// Records a member's reply to a request sent at `sent_at`. The reply shows
// which process has the VM's port at that time, so it also corrects an
// incarnation that was taken for replaced because of a delayed message.
ObservationResult ObserveReply(MemberView* view, const MemberIdentity& sender,
                               bool leaving, TimePoint sent_at, TimePoint now);

// Records the members that `teller` listed in its reply to a join. They are
// suspect until heard themselves. A member that was heard recently, or that
// this daemon sends heartbeats to, keeps its incarnation.
void LearnMembers(MemberView* view, const MemberIdentity& sender,
                  const std::vector<MemberRecord>& records, TimePoint now);

// Removes a member, e.g. after the platform has removed its VM.
void ForgetMember(MemberView* view, const std::string& vm);

// Updates the members' states and returns what to send now. To be called every
// 50 ms or so. After a pause of this process the paused time does not count as
// silence, and all heartbeats are due at once.
MemberActions PlanHeartbeats(MemberView* view, TimePoint now);

// Records that a member received the succession records up to `records_up_to`.
void AcknowledgeHeartbeat(MemberView* view, const MemberIdentity& member,
                          std::uint64_t records_up_to);

// Returns the interval of heartbeats within the data centre.
Duration MeshInterval(const MemberView& view);

// Returns the interval of heartbeats to each contact in another data centre.
Duration ContactInterval(const MemberView& view);

// Returns the known members and this process, for the reply to a join.
std::vector<MemberRecord> ListMembers(const MemberView& view, bool leaving);

// Adds a record. False if it is known, expired, or would close a cycle.
bool AddSuccession(MemberView* view, const SuccessionRecord& record,
                   TimePoint now);

// Returns the records to hand to a joining daemon.
std::vector<SuccessionRecord> ListSuccession(const MemberView& view,
                                             TimePoint now);

// Follows the records from `ended` to the last successor; empty if there is no
// record.
std::optional<MemberIdentity> FindSuccessor(const MemberView& view,
                                            Incarnation ended, TimePoint now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_MEMBER_VIEW_H_
