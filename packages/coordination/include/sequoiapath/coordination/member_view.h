// Defines MemberView, one daemon's view of the other daemons: which processes
// exist, which of them answer, which of them receive heartbeats, and which
// process took over the sessions of a process that ended.

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
  // Interval of heartbeats to each peer of the data centre, for up to
  // `mesh_size` peers. At 250 ms the heartbeats to 7 peers took 30 KB/s, while
  // a daemon may use 18 KB/s for control traffic.
  Duration mesh_interval = std::chrono::milliseconds(500);
  // With more peers the interval grows in proportion to their number, which
  // keeps the heartbeats per second and thus the control traffic constant.
  std::size_t mesh_size = 8;
  // Interval of heartbeats to each contact, for up to `contact_count` contacts;
  // with more it grows in proportion. A contact is a member of another data
  // centre that this daemon sends heartbeats to.
  Duration contact_interval = std::chrono::seconds(2);
  std::size_t contact_count = 8;
  std::size_t contacts_per_data_centre = 2;
  // A peer is suspect or down once nothing was received from it for the
  // heartbeat interval and this margin. With the mesh interval of 500 ms these
  // times are 1 s and 3 s.
  Duration suspect_margin = std::chrono::milliseconds(500);
  Duration down_margin = std::chrono::milliseconds(2500);
  // Shortest interval of heartbeats to a peer that is down, and the interval of
  // join requests to a seed that has not answered.
  Duration retry_interval = std::chrono::seconds(2);
  // A member of another data centre that is down may be chosen as a contact
  // again after this time.
  Duration contact_retry_delay = std::chrono::seconds(30);
  // A member that is down is removed after this time, which is longer than a
  // loss of contact between two regions may last.
  Duration down_retention = std::chrono::hours(2);
  // Members of other data centres that are not contacts send no heartbeats. One
  // contact of each data centre is therefore asked for its list of members
  // every `refresh_interval`, and a member that has neither sent a message nor
  // been listed for `unlisted_retention` is removed.
  Duration refresh_interval = std::chrono::minutes(5);
  Duration unlisted_retention = std::chrono::minutes(30);
  // This process counts as paused if the time between two calls of
  // PlanHeartbeats is at least this long.
  Duration pause_threshold = std::chrono::milliseconds(500);
  Duration succession_retention = std::chrono::hours(24);
  // Succession records that one heartbeat carries; later heartbeats carry the
  // remaining records.
  std::size_t max_records_per_heartbeat = 50;
};

enum class MemberState { kLive, kSuspect, kDown, kLeaving };

// Returns the name of the state for logs. Thread-safe.
const char* ToString(MemberState state);

struct Member {
  MemberIdentity identity;
  // kSuspect until this daemon has received a message from the member itself.
  MemberState state = MemberState::kSuspect;
  bool leaving = false;  // The member announced that it is leaving.
  // This daemon has received a message from this incarnation itself.
  bool has_sent_message = false;
  // When the latest message from the member arrived or, without one, when the
  // member was added. Moved forward after a pause of this process.
  TimePoint heard_at;
  // The time without messages is counted from here at the earliest.
  TimePoint silence_from;
  TimePoint down_since;
  // When a member of the same data centre last listed this member.
  TimePoint listed_at;
  // True while this daemon sends heartbeats to the member, so that missing
  // replies show whether the member is suspect or down.
  bool monitored = false;
  TimePoint next_heartbeat;
  // The member has received the succession records up to this number, in
  // heartbeats that it answered or in the reply to its join request.
  std::uint64_t acknowledged_records = 0;
};

// An incarnation that a later incarnation of the same VM has replaced.
struct ReplacedIncarnation {
  std::string vm;
  TimePoint replaced_at;
};

struct KnownSuccession {
  MemberIdentity successor;
  TimePoint handed_over_at;
  TimePoint learned_at;  // When this daemon added the record.
  // Position in the order in which this daemon added the records, from 1.
  std::uint64_t number = 0;
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
  std::optional<TimePoint> last_planned_at;  // Latest PlanHeartbeats call.
};

struct HeartbeatTarget {
  MemberIdentity member;
  std::vector<SuccessionRecord> succession;
  // Number of the last succession record that the member has received once it
  // answers this heartbeat. The caller then passes it to
  // RecordSuccessionReceipt.
  std::uint64_t records_up_to = 0;
};

struct MemberStateChange {
  MemberIdentity member;
  MemberState before = MemberState::kSuspect;
  MemberState after = MemberState::kSuspect;
};

// The messages that the daemon must send now, and the state changes to report.
struct MemberActions {
  std::vector<HeartbeatTarget> heartbeats;
  // Seeds whose process is not known, and contacts that must be asked for their
  // list of members now.
  std::vector<Endpoint> joins;
  std::vector<MemberStateChange> changes;
};

// Whether the message of a peer must be processed.
enum class ObservationResult {
  kAccepted,  // Process it; the sender was known.
  kNew,       // Process it; the sender was not known before.
  // Discard it; it is from a replaced incarnation or from this daemon's own VM.
  kIgnored,
};

// The functions below are not thread-safe unless stated otherwise: calls must
// not overlap.

// Returns a view without members.
MemberView MakeMemberView(MemberIdentity self,
                          const std::vector<Endpoint>& seeds,
                          HeartbeatPolicy policy = {});

// Records a request that a member sent. A new incarnation of a known VM
// replaces the earlier incarnation. A request of a replaced incarnation is
// ignored.
ObservationResult ObserveRequest(MemberView* view, const MemberIdentity& sender,
                                 bool leaving, TimePoint now);

// Records a member's reply to a request sent at `sent_at`. The reply shows
// which process used the VM's port after that time. It therefore restores an
// incarnation that was recorded as replaced because of a delayed message.
ObservationResult ObserveReply(MemberView* view, const MemberIdentity& sender,
                               bool leaving, TimePoint sent_at, TimePoint now);

// Records the members that `sender` listed in its reply to a join request. A
// new member is suspect until a message from the member itself arrives. A
// member keeps its incarnation if it has sent a message recently, or has sent
// one and receives heartbeats from this daemon.
void LearnMembers(MemberView* view, const MemberIdentity& sender,
                  const std::vector<MemberRecord>& records, TimePoint now);

// Removes a member, for example after the platform has removed its VM.
void ForgetMember(MemberView* view, const std::string& vm);

// Updates the members' states and returns the messages to send now. Call it
// about every 50 ms. After a pause of this process, the length of the pause is
// not counted as time without messages, and heartbeats to all members that are
// not down are due immediately.
MemberActions PlanHeartbeats(MemberView* view, TimePoint now);

// Records that a member received the succession records up to `records_up_to`.
void RecordSuccessionReceipt(MemberView* view, const MemberIdentity& member,
                             std::uint64_t records_up_to);

// Returns the interval of heartbeats within the data centre.
Duration MeshInterval(const MemberView& view);

// Returns the interval of heartbeats to each contact in another data centre.
Duration ContactInterval(const MemberView& view);

// Returns this process and the members that are not down, for the reply to a
// join request.
std::vector<MemberRecord> ListMembers(const MemberView& view, bool leaving);

// Adds a record. Returns false if the ended incarnation already has one, or if
// the record has expired or would complete a cycle.
bool AddSuccession(MemberView* view, const SuccessionRecord& record,
                   TimePoint now);

// Returns all records, for the reply to a join request.
std::vector<SuccessionRecord> ListSuccession(const MemberView& view,
                                             TimePoint now);

// Follows the records from `ended` and returns the last successor; nothing if
// `ended` has no record.
std::optional<MemberIdentity> FindSuccessor(const MemberView& view,
                                            Incarnation ended, TimePoint now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_MEMBER_VIEW_H_
