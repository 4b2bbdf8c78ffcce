// Defines ModelNetwork, which models hosts with one process each, and the TCP
// connections between them, in virtual time.
//
// A connection delivers in order. What is sent into a cut of the network is
// delivered after the cut, unless the sender has reset the connection by then.
// A frozen process continues with what it had in memory, with its due timers
// and with what lies in its sockets.

#ifndef SEQUOIAPATH_TESTS_FUZZ_MODEL_NETWORK_H_
#define SEQUOIAPATH_TESTS_FUZZ_MODEL_NETWORK_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "sequoiapath/transport/event_loop.h"
#include "virtual_time.h"

namespace sequoiapath {

struct ModelHost {
  int zone = 0;
  bool alive = true;
  std::uint64_t process = 1;  // Number of the current process.
  TimePoint frozen_since = kSimulationStart;
  TimePoint frozen_until = kSimulationStart;
  // The machine is suspended until then: its kernel neither sends nor receives.
  TimePoint suspended_until = kSimulationStart;
  std::deque<std::function<void()>> unread;  // Lies in the sockets.
  // Lies in connections that the process has not accepted yet.
  std::deque<std::function<void()>> unaccepted;
};

enum class CallError { kTimeout, kClosed, kConnectFailed };

// A function that the client runs when it receives the reply.
using ReplyFunction = std::function<void()>;
// Sends the reply to a call.
using CallResponder = std::function<void(ReplyFunction reply)>;

struct ModelCall {
  // Runs at the server.
  std::function<void(const CallResponder& respond)> serve;
  // Runs at the client if no reply arrives.
  std::function<void(CallError error, bool may_have_been_sent)> fail;
};

enum class Direction { kToServer, kToClient };

// A message on a connection.
struct ModelMessage {
  std::function<void()> run;
  // The receiving kernel handles it, also while its process is frozen.
  bool by_kernel = false;
};

struct PendingCall {
  ModelCall call;
  bool sent = false;
};

struct ModelConnection {
  int client = 0;
  int server = 0;
  std::uint64_t client_process = 0;
  std::uint64_t server_process = 0;
  bool connected = false;
  bool draining = false;  // Accepts no new calls.
  bool closed = false;    // The client has closed it.
  TimePoint opened_at;
  TimePoint
      received_at;  // When the server's kernel received the latest message.
  std::map<std::uint64_t, PendingCall> calls;
  // By direction: what has been sent and not yet delivered.
  std::array<std::deque<ModelMessage>, 2> in_flight;
  // By direction: TCP has found no way and sends again after the cut.
  std::array<bool, 2> blocked{};
};

using ConnectionPtr = std::shared_ptr<ModelConnection>;

// Not thread-safe.
class ModelNetwork {
 public:
  // Precondition: `time` outlives the network.
  explicit ModelNetwork(VirtualTime* time) : time(time) {}

  // Returns the number of the new host.
  int AddHost(int zone);

  const ModelHost& Host(int host) const { return this->hosts[host]; }
  int HostCount() const { return static_cast<int>(this->hosts.size()); }

  // Returns the time on the host's clock.
  TimePoint ClockOf(int host) const;

  // Runs the function in the host's current process, at once or when that is no
  // longer frozen.
  void RunAt(int host, std::function<void()> run);

  // Runs the function in the host's current process after `delay` on its clock.
  void Schedule(int host, Duration delay, std::function<void()> run);

  // Cuts a zone off from all others.
  void CutZone(int zone, Duration length);
  // Cuts two hosts off from each other.
  void CutLink(int a, int b, Duration length);
  bool IsCut(int a, int b) const;

  // Freezes a process. Its kernel still accepts what is sent to it.
  void Freeze(int host, Duration length);
  // Suspends a machine. Its clock counts the time.
  void Suspend(int host, Duration length);
  bool IsFrozen(int host) const;

  // Ends the host's process. Its kernel still delivers what was sent.
  void Kill(int host);
  // Starts a new process.
  void Start(int host);

  // Resets the connections between two hosts.
  void ResetConnections(int a, int b);

  // Calls a server as PeerClient does: over one connection, which drains once a
  // call has timed out and is reset after its last call.
  void Call(int client, int server, Duration timeout, ModelCall call);

  // Opens a connection of its own, for the functions below.
  ConnectionPtr Open(int client, int server);
  // Delivers a message, which runs on the receiving host's process.
  void Send(const ConnectionPtr& connection, Direction direction,
            std::function<void()> message, bool by_kernel = false);
  // Returns whether anything is in flight in the direction.
  static bool HoldsMessages(const ConnectionPtr& connection,
                            Direction direction);
  // Discards what is in flight in the direction.
  static void Discard(const ConnectionPtr& connection, Direction direction);

  // Runs when the server's process has ended or the network has reset the
  // connection, at the client.
  void SetOnBroken(const ConnectionPtr& connection,
                   std::function<void()> on_broken);

 private:
  ConnectionPtr ConnectionFor(int client, int server);
  void BeginConnect(const ConnectionPtr& connection);
  void SendCall(const ConnectionPtr& connection, std::uint64_t id);
  void Deliver(const ConnectionPtr& connection, Direction direction);
  void Retransmit(const ConnectionPtr& connection, Direction direction);
  void OnCallTimeout(const ConnectionPtr& connection, std::uint64_t id);
  void FinishCall(const ConnectionPtr& connection, std::uint64_t id,
                  const ReplyFunction& reply);
  void FailConnection(const ConnectionPtr& connection, CallError error);
  static void Close(const ConnectionPtr& connection);
  TimePoint EndOfCut(int a, int b) const;
  bool IsUnaccepted(const ModelConnection& connection) const;
  void Receive(const ModelConnection& connection, Direction direction,
               const std::function<void()>& message);
  void Drain(int host);
  void Accept(int host);
  void RunTimer(int host, std::uint64_t process, TimePoint due,
                const std::function<void()>& run);
  void NotifyBroken(const ConnectionPtr& connection);

  VirtualTime* time;
  std::vector<ModelHost> hosts;
  std::map<int, TimePoint> zone_cut_until;
  std::map<std::pair<int, int>, TimePoint> link_cut_until;
  // Those of Call, by client and server, and those of Open.
  std::map<std::pair<int, int>, std::vector<ConnectionPtr>> connections;
  std::vector<std::pair<ConnectionPtr, std::function<void()>>> opened;
  std::uint64_t next_call = 1;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TESTS_FUZZ_MODEL_NETWORK_H_
