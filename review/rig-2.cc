// Stand-ins for the scripts of the second review: the platform's store, its
// workers and its clients, all in one process, and the control of the daemons
// under test, which run as separate processes on loopback addresses.
//
// Usage: rig-2 SCENARIO TROUBLE RECORD DAEMON...
//   SCENARIO  name of a scenario, see the end of this file
//   TROUBLE   0: the same without the disruption
//   RECORD    file for what was sent, answered and run
//   DAEMON... the command of the deploy file
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kBeatMs = 1500;       // heartbeatMs of the settings.
constexpr int kHoldMaxMs = 1000;    // holdMaxMs of the settings.
constexpr int kStopMs = 50;         // stopMs of the settings.
constexpr int kRetransmitMs = 1300; // retransmitMs of the settings.

std::mutex mutex;  // Guards all state below.
std::condition_variable changed;
Clock::time_point begun = Clock::now();
FILE* record_file = nullptr;
int violations = 0;
std::atomic<bool> ending{false};
std::map<std::string, int> counts;

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - begun).count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Record(const std::string& line) {
  std::fprintf(record_file, "%8lld ms  %s\n", static_cast<long long>(NowMs()),
               line.c_str());
}

void Violation(const std::string& line) {
  ++violations;
  Record("BROKEN " + line);
}

// ---- HTTP/1.1 over blocking sockets ----

struct Message {
  std::string first;  // Request or status line.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
};

bool SendAll(int fd, const std::string& text) {
  std::size_t at = 0;
  while (at < text.size()) {
    const ssize_t n =
        send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}

// Reads one message; `buffer` keeps what follows it.
bool Receive(int fd, std::string* buffer, Message* message) {
  std::size_t end = 0;
  char chunk[16384];
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    const ssize_t n = recv(fd, chunk, sizeof(chunk), 0);
    if (n <= 0) return false;
    buffer->append(chunk, static_cast<std::size_t>(n));
  }
  std::string head = buffer->substr(0, end);
  buffer->erase(0, end + 4);
  *message = {};
  std::size_t at = head.find("\r\n");
  message->first = head.substr(0, at);
  while (at != std::string::npos) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(
        begin, at == std::string::npos ? std::string::npos : at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    std::size_t value = line.find_first_not_of(' ', colon + 1);
    message->headers[name] =
        value == std::string::npos ? "" : line.substr(value);
  }
  if (message->headers.count("transfer-encoding")) {
    for (;;) {
      std::size_t line = 0;
      while ((line = buffer->find("\r\n")) == std::string::npos ||
             buffer->size() < line + 4 + std::strtoul(buffer->c_str(), nullptr, 16)) {
        const ssize_t n = recv(fd, chunk, sizeof(chunk), 0);
        if (n <= 0) return false;
        buffer->append(chunk, static_cast<std::size_t>(n));
      }
      const std::size_t size = std::strtoul(buffer->c_str(), nullptr, 16);
      message->body += buffer->substr(line + 2, size);
      buffer->erase(0, line + 4 + size);
      if (size == 0) return true;
    }
  }
  std::size_t length = 0;
  if (message->headers.count("content-length")) {
    length = std::strtoul(message->headers["content-length"].c_str(), nullptr, 10);
  }
  while (buffer->size() < length) {
    const ssize_t n = recv(fd, chunk, sizeof(chunk), 0);
    if (n <= 0) return false;
    buffer->append(chunk, static_cast<std::size_t>(n));
  }
  message->body = buffer->substr(0, length);
  buffer->erase(0, length);
  return true;
}

struct Reply {
  int status = 200;
  Json body = Json::object();
  bool silent = false;  // No answer at all; the connection stays open.
};

std::string Format(const Reply& reply) {
  const std::string body = reply.body.dump();
  return "HTTP/1.1 " + std::to_string(reply.status) +
         " status\r\ncontent-type: application/json\r\ncontent-length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

int Listen(int port, int* bound) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  socklen_t length = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  *bound = ntohs(address.sin_port);
  return fd;
}

int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

// Returns a free port below those that the kernel gives to connections.
int FreePort() {
  static int next = 12000 + static_cast<int>(getpid()) * 37 % 16000;
  for (;;) {
    next = next >= 31000 ? 12000 : next + 1;
    int port = 0;
    const int fd = Listen(next, &port);
    if (fd < 0) continue;
    close(fd);
    return next;
  }
}

using Handler = std::function<Reply(const Message&)>;

// A listening address with its open connections. A crash closes all of them.
struct Server {
  int port = 0;
  int listener = -1;
  std::set<int> connections;
  Handler handler;  // Called without the lock.
};

void ServeConnection(Server* server, int fd) {
  std::string buffer;
  Message message;
  while (Receive(fd, &buffer, &message)) {
    const Reply reply = server->handler(message);
    if (reply.silent) continue;
    if (!SendAll(fd, Format(reply))) break;
  }
  std::lock_guard<std::mutex> lock(mutex);
  server->connections.erase(fd);
  close(fd);
}

bool Open(Server* server) {
  int bound = 0;
  server->listener = Listen(server->port, &bound);
  if (server->listener < 0) return false;
  server->port = bound;
  std::thread([server, listener = server->listener] {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::lock_guard<std::mutex> lock(mutex);
      if (server->listener != listener) {
        close(fd);
        continue;
      }
      server->connections.insert(fd);
      std::thread(ServeConnection, server, fd).detach();
    }
  }).detach();
  return true;
}

// Closes the address and resets its connections. Needs the lock.
void Shut(Server* server) {
  shutdown(server->listener, SHUT_RDWR);
  close(server->listener);
  server->listener = -1;
  for (const int fd : server->connections) {
    const linger reset{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(fd, SHUT_RDWR);
  }
}

// ---- The store ----

struct Item {
  std::string value;
  std::uint64_t rev = 0, created = 0, lease = 0;
};
struct Event {
  std::uint64_t rev;
  std::string key, value;
  bool removed;
};
struct Lease {
  Clock::time_point ends;
  int ttl;
};
struct Store {
  Server server;
  std::uint64_t revision = 10, next_lease = 100;
  std::map<std::string, Item> items;
  std::vector<Event> events;
  std::map<std::uint64_t, Lease> leases;
} store;

std::string Base64(const std::string& in) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t v = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      v = v << 8 | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k <= in.size() ? digits[v >> (18 - 6 * k) & 63] : '=';
    }
  }
  return out;
}

std::string FromBase64(const std::string& in) {
  std::string out;
  std::uint32_t v = 0;
  int bits = 0;
  for (const char c : in) {
    int d = -1;
    if (c >= 'A' && c <= 'Z') d = c - 'A';
    if (c >= 'a' && c <= 'z') d = c - 'a' + 26;
    if (c >= '0' && c <= '9') d = c - '0' + 52;
    if (c == '+') d = 62;
    if (c == '/') d = 63;
    if (d < 0) break;
    v = v << 6 | static_cast<std::uint32_t>(d);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(v >> bits & 255);
    }
  }
  return out;
}

void Put(const std::string& key, const std::string& value, std::uint64_t lease) {
  Item& item = store.items[key];
  item.rev = ++store.revision;
  if (item.created == 0) item.created = item.rev;
  item.value = value;
  item.lease = lease;
  store.events.push_back({item.rev, key, value, false});
  changed.notify_all();
}

void Remove(const std::string& key) {
  if (store.items.erase(key) == 0) return;
  store.events.push_back({++store.revision, key, "", true});
  changed.notify_all();
}

Json ItemJson(const std::string& key, const Item& item) {
  return {{"key", key}, {"value", Base64(item.value)}, {"rev", item.rev},
          {"createRevision", item.created}, {"lease", item.lease}};
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::map<std::string, std::string> Query(const std::string& path) {
  std::map<std::string, std::string> query;
  std::size_t at = path.find('?');
  while (at != std::string::npos) {
    const std::size_t begin = at + 1;
    at = path.find('&', begin);
    const std::string part = path.substr(
        begin, at == std::string::npos ? std::string::npos : at - begin);
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos) {
      query[part.substr(0, equals)] = Unescape(part.substr(equals + 1));
    }
  }
  return query;
}

void EndLease(std::uint64_t id) {
  store.leases.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, item] : store.items) {
    if (item.lease == id) keys.push_back(key);
  }
  for (const std::string& key : keys) Remove(key);
}

Reply StoreTransaction(const Json& body) {
  Json conflict = Json::array();
  bool holds = true;
  for (const Json& row : body.value("precondition", Json::array())) {
    const std::string key = row.value("key", "");
    const auto found = store.items.find(key);
    const std::uint64_t rev = found == store.items.end() ? 0 : found->second.rev;
    holds = holds && rev == row.value("rev", std::uint64_t{0});
    if (found != store.items.end()) conflict.push_back(ItemJson(key, found->second));
  }
  if (!holds) return {412, {{"items", conflict}}, false};
  for (const Json& row : body.value("setKeys", Json::array())) {
    const std::uint64_t lease = row.value("lease", std::uint64_t{0});
    if (lease != 0 && !store.leases.count(lease)) return {404, Json::object(), false};
    const std::string key = row.value("key", "");
    if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) {
      return {403, Json::object(), false};
    }
  }
  for (const Json& row : body.value("setKeys", Json::array())) {
    Put(row.value("key", ""), FromBase64(row.value("value", "")),
        row.value("lease", std::uint64_t{0}));
  }
  for (const Json& key : body.value("remove", Json::array())) {
    Remove(key.get<std::string>());
  }
  return {200, {{"rev", store.revision}}, false};
}

Reply StoreWatch(std::unique_lock<std::mutex>* lock,
                 const std::map<std::string, std::string>& query) {
  const std::string prefix = query.at("prefix");
  const std::uint64_t after = std::strtoull(query.at("after").c_str(), nullptr, 10);
  const auto until =
      Clock::now() + milliseconds(std::atoi(query.at("waitMs").c_str()));
  for (;;) {
    Json events = Json::array();
    auto it = std::upper_bound(
        store.events.begin(), store.events.end(), after,
        [](std::uint64_t rev, const Event& event) { return rev < event.rev; });
    for (; it != store.events.end(); ++it) {
      if (it->key.rfind(prefix, 0) != 0) continue;
      if (it->removed) {
        events.push_back({{"key", it->key}, {"rev", it->rev}, {"removed", true}});
      } else {
        events.push_back({{"key", it->key}, {"value", Base64(it->value)},
                          {"rev", it->rev}, {"createRevision", it->rev}, {"lease", 0}});
      }
    }
    if (!events.empty() || Clock::now() >= until || ending) {
      return {200, {{"events", events}, {"storeRevision", store.revision}}, false};
    }
    changed.wait_until(*lock, until);
  }
}

std::string store_fault;  // "silent", "busy" or none.

Reply HandleStore(const Message& message) {
  std::unique_lock<std::mutex> lock(mutex);
  if (store_fault == "silent") return {200, Json::object(), true};
  if (store_fault == "busy") return {503, Json::object(), false};
  const std::size_t space = message.first.find(' ');
  const std::string method = message.first.substr(0, space);
  const std::string path = message.first.substr(
      space + 1, message.first.rfind(' ') - space - 1);
  const std::string name = path.substr(0, path.find('?'));
  const auto query = Query(path);
  ++counts["store " + name.substr(0, name.find_last_not_of("0123456789") + 1)];
  Json body = Json::parse(message.body, nullptr, false);
  if (!body.is_object()) body = Json::object();
  if (name == "/api/kv-watch") return StoreWatch(&lock, query);
  if (name == "/api/kv-range") {
    Json items = Json::array();
    const std::string prefix = query.at("prefix");
    const std::string after = query.count("after") ? query.at("after") : "";
    for (const auto& [key, item] : store.items) {
      if (key.rfind(prefix, 0) == 0 && key > after) items.push_back(ItemJson(key, item));
    }
    return {200, {{"items", items}, {"morePages", false}, {"storeRevision", store.revision}}, false};
  }
  if (name == "/api/kv-key") {
    const auto found = store.items.find(query.at("key"));
    if (found == store.items.end()) return {404, Json::object(), false};
    Json item = ItemJson(found->first, found->second);
    item["storeRevision"] = store.revision;
    return {200, item, false};
  }
  if (name == "/api/kv-txn") return StoreTransaction(body);
  if (name == "/api/kv-lease") {
    const int ttl = body.value("ttlMs", 4000);
    const std::uint64_t id = ++store.next_lease;
    store.leases[id] = {Clock::now() + milliseconds(ttl), ttl};
    return {200, {{"lease", id}, {"ttlMs", ttl}}, false};
  }
  const std::uint64_t id =
      std::strtoull(name.substr(name.rfind('/') + 1).c_str(), nullptr, 10);
  const auto lease = store.leases.find(id);
  if (lease == store.leases.end()) return {404, Json::object(), false};
  if (method == "DELETE") {
    EndLease(id);
    return {200, Json::object(), false};
  }
  lease->second.ends = Clock::now() + milliseconds(lease->second.ttl);
  return {200, {{"ttlMs", lease->second.ttl}}, false};
}

// ---- Jobs as the clients know them ----

struct JobInfo {
  std::string requires_label;
  int run_ms = 0, cpu = 0;
  std::string spec;
  std::int64_t cancelled_at = -1;  // When its cancel was acknowledged.
  std::vector<int> counts;         // Tasks of each step.
  std::vector<int> step_ms;        // Run time of each step; empty: run_ms.
  std::set<std::string> done;      // Tasks that have ended done.
};
std::map<std::string, JobInfo> jobs;

// ---- The workers ----

struct Run {
  std::uint32_t run = 0;
  std::int64_t done_at = 0;   // On the worker's clock.
  std::int64_t stop_at = -1;  // Likewise; -1: no stop.
};
struct Worker {
  Server server;
  std::string id, zone, rack, kind;
  std::int64_t born = 0, clock_begin = 0, lease_end = 0;
  std::uint64_t fence = 0, seq = 0, end_number = 0;
  bool up = false;
  bool cut = false, answers_lost = false;
  std::map<std::string, Run> running;
  std::map<std::string, std::uint32_t> highest;
  std::vector<Json> ended;
  std::int64_t ClockMs() const { return NowMs() - this->clock_begin; }
};
std::vector<std::unique_ptr<Worker>> workers;
std::int64_t daemons_started_at = 0;  // When the platform started them last.
constexpr int kCapacity = 16000;
std::string service = "desk";

std::string JobOf(const std::string& task) { return task.substr(0, task.find('.')); }

void EndRun(Worker* worker, const std::string& task, const char* how) {
  const Run run = worker->running.at(task);
  worker->running.erase(task);
  worker->highest[task] = std::max(worker->highest[task], run.run);
  worker->ended.push_back({++worker->end_number, task, run.run, how, ""});
  ++counts[std::string("ended ") + how];
  if (std::strcmp(how, "done") == 0) jobs[JobOf(task)].done.insert(task);
  changed.notify_all();
}

void Advance(Worker* worker) {
  if (!worker->up) return;
  const std::int64_t now = worker->ClockMs();
  std::vector<std::pair<std::string, const char*>> ends;
  for (const auto& [task, run] : worker->running) {
    if (run.stop_at >= 0) {
      if (run.stop_at <= now) ends.push_back({task, "stopped"});
    } else if (run.done_at <= std::min(now, worker->lease_end)) {
      ends.push_back({task, "done"});
    } else if (now > worker->lease_end) {
      ends.push_back({task, "lapsed"});
    }
  }
  for (const auto& [task, how] : ends) EndRun(worker, task, how);
}



void Register(Worker* worker) {
  if (!store_fault.empty()) return;
  Put("servers/" + worker->id,
      Json{{"service", service},
           {"address", "127.0.0.1:" + std::to_string(worker->server.port)},
           {"zone", worker->zone},
           {"version", "v1"},
           {"slots", 8},
           {"state", "ready"},
           {"coldLeftMs", 0},
           {"capacity", {{"cpu", kCapacity}, {"memMb", 32768}, {"gpu", 0}}},
           {"labels", {worker->kind, worker->rack}},
           {"clockMs", worker->ClockMs()},
           {"born", worker->born},
           {"seq", ++worker->seq}}
          .dump(),
      0);
}

// Starts a new life of the worker: it holds and knows nothing of before.
void BeginLife(Worker* worker) {
  worker->born = UnixMs();
  worker->clock_begin = NowMs();
  worker->lease_end = 0;
  worker->fence = worker->seq = worker->end_number = 0;
  worker->running.clear();
  worker->highest.clear();
  worker->ended.clear();
  worker->up = true;
}

int StepOf(const std::string& task) {
  const std::size_t last = task.rfind('.');
  return std::atoi(task.c_str() + task.rfind('.', last - 1) + 1);
}

void CheckStart(Worker* worker, const std::string& task, std::uint32_t run) {
  const auto job = jobs.find(JobOf(task));
  if (job == jobs.end()) {
    Violation("UNASKED task " + task + " that nobody sent, on " + worker->id);
    return;
  }
  const std::int64_t cancelled = job->second.cancelled_at;
  if (cancelled >= 0 && NowMs() > cancelled + 3000 &&
      NowMs() > daemons_started_at + 3000) {
    Violation("UNASKED task " + task + " started " + std::to_string(NowMs() - cancelled) +
              " ms after its job's cancel was acknowledged, " +
              std::to_string(NowMs() - daemons_started_at) + " ms after the daemons' start");
  }
  const std::string& label = job->second.requires_label;
  if (!label.empty() && label != worker->kind) {
    Violation("ROUTE task " + task + " run " + std::to_string(run) + " requires " +
              label + ", started on " + worker->id + " of kind " + worker->kind +
              ", " + std::to_string(worker->ClockMs()) + " ms after that worker's start");
  }
  int used = 0;
  for (const auto& [name, other] : worker->running) used += jobs[JobOf(name)].cpu;
  if (used > kCapacity) Violation("LIMIT on " + worker->id + " by " + task);
  for (const auto& other : workers) {
    if (other.get() == worker || !other->up) continue;
    Advance(other.get());
    if (other->running.count(task)) {
      Violation("TWICE task " + task + " runs on " + other->id + " and " + worker->id);
    }
  }
}

Reply Rejected(const Worker& worker, const char* reason) {
  ++counts[std::string("start or hold rejected: ") + reason];
  return {409, {{"clockMs", worker.ClockMs()}, {"reason", reason}}, false};
}

Reply HandleStart(Worker* worker, const Json& body) {
  const std::string task = body.value("task", "");
  const std::uint32_t run = body.value("run", 0U);
  const std::int64_t deadline = body.value("deadlineMs", std::int64_t{0});
  const std::int64_t now = worker->ClockMs();
  const auto there = worker->running.find(task);
  if (there != worker->running.end() && there->second.run == run) {
    return {200, {{"clockMs", now}}, false};
  }
  if (deadline > now) {
    worker->lease_end = std::max(worker->lease_end, std::min(deadline, now + kHoldMaxMs));
  }
  if (there != worker->running.end() ||
      (worker->highest.count(task) && run <= worker->highest[task])) {
    return Rejected(*worker, "old");
  }
  if (deadline <= now) return Rejected(*worker, "late");
  const auto job = jobs.find(JobOf(task));
  int run_ms = 100;
  if (job != jobs.end()) {
    const auto& step_ms = job->second.step_ms;
    const auto step = static_cast<std::size_t>(StepOf(task));
    run_ms = step < step_ms.size() ? step_ms[step] : job->second.run_ms;
  }
  worker->running[task] = {run, now + run_ms, -1};
  ++counts["started"];
  Record("start " + task + " run " + std::to_string(run) + " on " + worker->id +
         " (" + worker->kind + ") fence " + std::to_string(body.value("fence", std::uint64_t{0})));
  if (job != jobs.end() && body.value("spec", "") != job->second.spec) {
    Violation("UNASKED spec of " + task);
  }
  CheckStart(worker, task, run);
  return {200, {{"clockMs", now}}, false};
}

Reply HandleStop(Worker* worker, const Json& body) {
  const std::string task = body.value("task", "");
  const std::uint32_t run = body.value("run", 0U);
  const auto there = worker->running.find(task);
  if (there != worker->running.end() && there->second.run <= run &&
      there->second.stop_at < 0) {
    there->second.stop_at = worker->ClockMs() + kStopMs / 2;
  }
  worker->highest[task] = std::max(worker->highest[task], run);
  return {200, {{"clockMs", worker->ClockMs()}}, false};
}

Reply HandleHold(Worker* worker, std::unique_lock<std::mutex>* lock, const Json& body) {
  const std::int64_t born = worker->born;
  const std::int64_t now = worker->ClockMs();
  const std::int64_t deadline = body.value("deadlineMs", std::int64_t{0});
  worker->lease_end = std::max(worker->lease_end, std::min(deadline, now + kHoldMaxMs));
  const std::uint64_t last = body.value("lastSeen", std::uint64_t{0});
  std::erase_if(worker->ended, [&](const Json& row) { return row[0].get<std::uint64_t>() <= last; });
  const auto until = Clock::now() + milliseconds(body.value("waitMs", 0));
  while (worker->up && worker->born == born && worker->ended.empty() &&
         Clock::now() < until && !ending) {
    changed.wait_until(*lock, until);
    Advance(worker);
  }
  if (!worker->up || worker->born != born) return {200, Json::object(), true};
  if (body.value("fence", std::uint64_t{0}) < worker->fence) return Rejected(*worker, "fence");
  Json running = Json::array(), ended = Json::array();
  for (const auto& [task, run] : worker->running) {
    running.push_back({task, run.run, "", 100, 1000});
  }
  for (const Json& row : worker->ended) ended.push_back(row);
  return {200, {{"clockMs", worker->ClockMs()}, {"born", worker->born},
                {"running", running}, {"ended", ended}}, false};
}

// Shares of the orders that are carried out late, and of the lost answers.
double late_share = 0, lost_share = 0;

Reply Execute(Worker* worker, std::unique_lock<std::mutex>* lock, const std::string& what,
              const Json& body) {
  const std::uint64_t fence = body.value("fence", std::uint64_t{0});
  if (fence < worker->fence) return Rejected(*worker, "fence");
  worker->fence = fence;
  if (what == "POST /api/run-start") return HandleStart(worker, body);
  if (what == "POST /api/run-stop") return HandleStop(worker, body);
  if (what == "POST /api/hold") return HandleHold(worker, lock, body);
  return {404, Json::object(), false};
}

Reply HandleWorker(Worker* worker, const Message& message) {
  std::unique_lock<std::mutex> lock(mutex);
  if (!worker->up || worker->cut) return {200, Json::object(), true};
  Advance(worker);
  const auto expected = message.headers.find("x-expect-instance");
  if (expected != message.headers.end() && expected->second != worker->id) {
    return {421, Json::object(), false};
  }
  Json body = Json::parse(message.body, nullptr, false);
  if (!body.is_object()) return {200, Json::object(), false};  // Health.
  const std::string what = message.first.substr(0, message.first.rfind(' '));
  if (late_share > 0 && std::rand() % 1000 < late_share * 1000) {
    ++counts["late orders"];
    std::thread([worker, what, body] {
      std::this_thread::sleep_for(milliseconds(2000 + std::rand() % 10000));
      std::unique_lock<std::mutex> later(mutex);
      if (ending || !worker->up) return;
      Advance(worker);
      Execute(worker, &later, what, body);
    }).detach();
    return {200, Json::object(), true};
  }
  Reply reply = Execute(worker, &lock, what, body);
  if (lost_share > 0 && std::rand() % 1000 < lost_share * 1000) reply.silent = true;
  if (worker->cut || worker->answers_lost) reply.silent = true;
  return reply;
}

bool AddWorker(int index, const std::string& zone, const std::string& rack,
               const std::string& kind) {
  auto worker = std::make_unique<Worker>();
  Worker* added = worker.get();
  added->id = "i-" + std::to_string(1000 + index);
  added->zone = zone;
  added->rack = rack;
  added->kind = kind;
  added->server.port = FreePort();
  added->server.handler = [added](const Message& message) { return HandleWorker(added, message); };
  BeginLife(added);
  if (!Open(&added->server)) return false;
  workers.push_back(std::move(worker));
  return true;
}

void Crash(Worker* worker) {
  std::lock_guard<std::mutex> lock(mutex);
  Record("crash of " + worker->id + " (" + worker->kind + "), " +
         std::to_string(worker->running.size()) + " tasks on it");
  worker->up = false;
  worker->running.clear();
  Shut(&worker->server);
  changed.notify_all();
}

// The worker registers itself, then opens its address.
bool Restart(Worker* worker, const std::string& kind) {
  std::lock_guard<std::mutex> lock(mutex);
  worker->kind = kind;
  BeginLife(worker);
  Register(worker);
  Record("start again of " + worker->id + " as kind " + kind);
  return Open(&worker->server);
}

// Ends runs and leases in time, and writes the workers' entries.
void Tick() {
  std::map<Worker*, std::int64_t> next_beat;
  while (!ending) {
    {
      std::lock_guard<std::mutex> lock(mutex);
      const std::int64_t now = NowMs();
      int index = 0;
      for (const auto& worker : workers) {
        Advance(worker.get());
        if (!next_beat.count(worker.get())) {
          next_beat[worker.get()] = now + kBeatMs * index / static_cast<int>(workers.size());
        }
        ++index;
        if (!worker->up || now < next_beat[worker.get()]) continue;
        next_beat[worker.get()] = now + kBeatMs;
        Register(worker.get());
      }
      std::vector<std::uint64_t> over;
      for (const auto& [id, lease] : store.leases) {
        if (lease.ends < Clock::now()) over.push_back(id);
      }
      for (const std::uint64_t id : over) EndLease(id);
    }
    std::this_thread::sleep_for(milliseconds(3));
  }
}

// ---- The daemons under test ----

struct Daemon {
  std::string name, zone, folder;
  int front = 0, ready = 0, control = 0, metrics = 0;
  pid_t pid = 0;
};
std::vector<Daemon> daemons;
std::vector<std::string> command;
int daemon_count = 3;
std::string folder;

void WriteSettings(const Daemon& daemon) {
  std::ofstream out(daemon.folder + "/boot.toml");
  std::string seeds;
  for (const Daemon& other : daemons) {
    seeds += (seeds.empty() ? "" : ",") + ("\"127.0.0.1:" + std::to_string(other.control)) + "\"";
  }
  out << "nodeName = \"" << daemon.name << "\"\nrole = \"entry\"\nclass = \"edge\"\n"
      << "serves = [\"edge\",\"control\"]\nip = \"127.0.0.1\"\nzone = \"" << daemon.zone
      << "\"\nregion = \"cr-central\"\nportRange = [" << daemon.metrics << "," << daemon.metrics
      << "]\nseeds = [" << seeds << "]\nbootstrap = true\nheartbeatMs = " << kBeatMs
      << "\norders = \"rpc\"\n[zones]\nsanjose = \"cr-central\"\nheredia = \"cr-central\"\n"
      << "cartago = \"cr-central\"\n[listen]\nfront = \"127.0.0.1:" << daemon.front
      << "\"\nready = \"127.0.0.1:" << daemon.ready << "\"\ncontrol = \"127.0.0.1:"
      << daemon.control << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n"
      << "maxFds = 4100\n[tolerate]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\n"
      << "stableWindowMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\n"
      << "configApplyMs = 2000\nholdMaxMs = " << kHoldMaxMs << "\nstopMs = " << kStopMs
      << "\ncancel_ms = 3000\nretransmitMs = " << kRetransmitMs << "\n[platform]\naddress = \"127.0.0.1:"
      << store.server.port << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
      << "valueBytes = 1048576\nttlMinMs = 1000\n";
}

void StartDaemon(Daemon* daemon) {
  WriteSettings(*daemon);
  const std::string log = daemon->folder + "/log";
  const std::string settings = "SEQUOIAPATH_SETTINGS=" + daemon->folder + "/boot.toml";
  std::vector<char*> arguments;
  for (std::string& word : command) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const std::string path = std::string("PATH=") + (getenv("PATH") ? getenv("PATH") : "/usr/bin");
  std::vector<char*> environment = {const_cast<char*>(settings.c_str()),
                                    const_cast<char*>(path.c_str()), nullptr};
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  daemon->pid = fork();
  if (daemon->pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(out, 1);
    dup2(out, 2);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  close(out);
}

void AddDaemon(const std::string& name, const std::string& zone) {
  Daemon daemon;
  daemon.name = name;
  daemon.zone = zone;
  daemon.folder = folder + "/" + name;
  std::filesystem::create_directories(daemon.folder);
  daemon.front = FreePort();
  daemon.ready = FreePort();
  daemon.control = FreePort();
  daemon.metrics = FreePort();
  daemons.push_back(daemon);
}

struct Answer {
  int status = 0;  // 0: none.
  std::string body;
};

// Sends one request on a connection of its own and waits for the answer.
Answer Call(int port, const std::string& method, const std::string& path,
            const std::string& headers, const std::string& body, int wait_ms) {
  const int fd = Connect(port);
  if (fd < 0) return {};
  const timeval limit{wait_ms / 1000, wait_ms % 1000 * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  const std::string text = method + " " + path + " HTTP/1.1\r\n" + headers +
                           "content-length: " + std::to_string(body.size()) +
                           "\r\n\r\n" + body;
  std::string buffer;
  Message message;
  Answer answer;
  if (SendAll(fd, text) && Receive(fd, &buffer, &message)) {
    answer.status = std::atoi(message.first.c_str() + message.first.find(' ') + 1);
    answer.body = message.body;
  }
  close(fd);
  return answer;
}

bool WaitReady() {
  for (int i = 0; i < 150; ++i) {
    bool all = true;
    for (const Daemon& daemon : daemons) {
      all = all && Call(daemon.ready, "GET", "/api/readyz", "host: x\r\n", "", 1000).status == 200;
    }
    if (all) return true;
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

void StopDaemons() {
  for (const Daemon& daemon : daemons) {
    if (daemon.pid > 0) {
      kill(daemon.pid, SIGCONT);
      kill(daemon.pid, SIGKILL);
    }
  }
  for (const Daemon& daemon : daemons) {
    if (daemon.pid > 0) waitpid(daemon.pid, nullptr, 0);
  }
}

// ---- The clients ----

const std::string kHeaders = "host: desk.example\r\ncontent-type: application/json\r\n";

std::string NewJobId(std::mt19937_64* random) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>((*random)()));
  return text;
}

// Submits a job until it is answered, as a client does: after no response or a
// broken connection, 502 or 504, again after retransmitMs, at any daemon.
void Submit(const std::string& id, const std::string& body, int deadline_ms, int attempts) {
  for (int i = 0; i < attempts && !ending; ++i) {
    int port = 0;
    {
      std::lock_guard<std::mutex> lock(mutex);
      port = daemons[static_cast<std::size_t>(std::rand()) % daemons.size()].front;
    }
    const Answer answer =
        Call(port, "POST", "/book/" + id,
             kHeaders + "x-deadline-ms: " + std::to_string(deadline_ms) + "\r\n", body,
             deadline_ms + 100);
    {
      std::lock_guard<std::mutex> lock(mutex);
      Record("job " + id + " attempt " + std::to_string(i + 1) + " answered " +
             std::to_string(answer.status) + " " + answer.body);
      ++counts["answered " + std::to_string(answer.status)];
      const JobInfo& info = jobs[id];
      if (answer.status == 200 && answer.body.find("completed") != std::string::npos) {
        std::size_t tasks = 0;
        for (const int count : info.counts) tasks += static_cast<std::size_t>(count);
        if (info.done.size() < tasks) {
          Violation("MIXED " + id + " completed with " + std::to_string(info.done.size()) +
                    " of " + std::to_string(tasks) + " tasks done");
        }
      }
    }
    if (answer.status != 0 && answer.status != 502 && answer.status != 504) return;
    std::this_thread::sleep_for(milliseconds(kRetransmitMs));
  }
}

std::atomic<int> open_calls{0};

void SubmitAsync(const std::string& id, const std::string& body, int deadline_ms, int attempts) {
  ++open_calls;
  std::thread([=] {
    Submit(id, body, deadline_ms, attempts);
    --open_calls;
  }).detach();
}

void PutConfig(int version) {
  Json routes = Json::array();
  routes.push_back({{"name", "book"}, {"host", "desk.example"}, {"prefix", "/book/"},
                    {"kind", "non_idempotent"}, {"timeoutMs", 5000}, {"sloMs", 60},
                    {"priority", 0}, {"service", service}, {"attempts", 3}, {"stretch", 1.6}});
  Put("op/config",
      Json{{"version", version}, {"routes", routes},
           {"services", {{{"name", service}, {"healthPath", "/healthz"}, {"maxConns", 64},
                          {"enforcesCapacity", false}, {"spare", false}}}},
           {"limits", {{"maxBodyBytes", 262144}}}}
          .dump(),
      0);
}

// Starts the platform, `count` workers and three daemons.
bool StartAll(int count, int per_rack, const std::function<std::string(int)>& kind) {
  store.server.handler = HandleStore;
  store.server.port = FreePort();
  if (!Open(&store.server)) return false;
  const char* zones[] = {"sanjose", "heredia", "cartago"};
  for (int i = 0; i < count; ++i) {
    if (!AddWorker(i, zones[i / per_rack % 3], "r-" + std::to_string(i / per_rack), kind(i))) {
      return false;
    }
  }
  {
    std::lock_guard<std::mutex> lock(mutex);
    PutConfig(1);
    for (const auto& worker : workers) Register(worker.get());
  }
  std::thread(Tick).detach();
  for (int i = 0; i < daemon_count; ++i) {
    AddDaemon(std::string("edge-") + zones[i % 3] + "-" + std::to_string(i / 3 + 1), zones[i % 3]);
  }
  for (Daemon& daemon : daemons) StartDaemon(&daemon);
  return WaitReady();
}

int Finish() {
  const auto until = Clock::now() + milliseconds(8000);
  while (open_calls > 0 && Clock::now() < until) std::this_thread::sleep_for(milliseconds(20));
  ending = true;
  changed.notify_all();
  StopDaemons();
  std::lock_guard<std::mutex> lock(mutex);
  for (const auto& [name, number] : counts) Record(name + ": " + std::to_string(number));
  Record("rule broken " + std::to_string(violations) + " times");
  std::fflush(record_file);
  std::printf("rule broken %d times\n", violations);
  return violations > 0 ? 1 : 0;
}

// ---- Scenario "kind": the workers of one rack crash and start again under
// their ids, of another kind ----

void SubmitLabelled(std::mt19937_64* random, const std::string& label) {
  const std::string id = NewJobId(random);
  JobInfo info;
  info.requires_label = label;
  info.run_ms = 600;
  info.cpu = 7000;
  info.spec = "work " + id;
  info.counts = {2};
  const Json body{{"spec", info.spec},
                  {"bestEffort", true},
                  {"steps", {{{"count", 2}, {"cpu", info.cpu}, {"memMb", 64},
                              {"estMs", info.run_ms}, {"requires", label}}}}};
  {
    std::lock_guard<std::mutex> lock(mutex);
    jobs[id] = info;
    Record("send job " + id + " requires " + label);
  }
  SubmitAsync(id, body.dump(), 1500, 1);
}

// 8 racks of 8 workers, so that one rack is a share of 0.125. There is room for
// 128 tasks; about 115 are at work on average, half of them for each kind. Every
// 6 s the workers of one rack crash, and start again 2.5 to 3.5 s later.
int ScenarioKind(bool trouble) {
  constexpr int kWorkers = 64, kRack = 8, kSeconds = 60;
  const auto kind = [](int i) { return std::string(i % 2 == 0 ? "a" : "b"); };
  if (!StartAll(kWorkers, kRack, kind)) return 2;
  std::mt19937_64 random(1);
  const std::int64_t end = NowMs() + kSeconds * 1000;
  std::int64_t next_crash = NowMs() + 3000;
  std::size_t rack = 0;
  int i = 0;
  std::vector<std::thread> restarts;
  for (std::int64_t next = NowMs(); NowMs() < end; next += i++ % 2 == 0 ? 10 : 11) {
    const std::int64_t wait = next - NowMs();
    if (wait > 0) std::this_thread::sleep_for(milliseconds(wait));
    SubmitLabelled(&random, random() % 2 == 0 ? "a" : "b");
    if (!trouble || NowMs() < next_crash || NowMs() > end - 5000) continue;
    next_crash += 6000;
    for (std::size_t w = rack * kRack; w < (rack + 1) * kRack; ++w) {
      Worker* worker = workers[w].get();
      Crash(worker);
      const int pause = 2500 + static_cast<int>(random() % 1000);
      restarts.emplace_back([worker, pause] {
        std::this_thread::sleep_for(milliseconds(pause));
        Restart(worker, worker->kind == "a" ? "b" : "a");
      });
    }
    rack = (rack + 1) % (kWorkers / kRack);
  }
  for (std::thread& thread : restarts) thread.join();
  return Finish();
}

// ---- Scenario "cancel": all daemons are killed at once after clients have
// cancelled jobs ----

constexpr int kCancelMs = 3000;        // cancel_ms of the settings.
constexpr int kStableWindowMs = 3000;  // stableWindowMs of the settings.

// Cancels a job at any daemon until the cancel is acknowledged.
void Cancel(const std::string& id) {
  while (!ending) {
    const Daemon& daemon = daemons[static_cast<std::size_t>(std::rand()) % daemons.size()];
    const Answer answer = Call(daemon.front, "DELETE", "/book/" + id, kHeaders, "", 4000);
    std::lock_guard<std::mutex> lock(mutex);
    Record("cancel of " + id + " sent to " + daemon.name + ", answered " +
           std::to_string(answer.status));
    if ((answer.status < 200 || answer.status >= 300) && answer.status != 410) continue;
    jobs[id].cancelled_at = NowMs();
    return;
  }
}

// 10 jobs: a task of 4 s, then two short ones. Their clients wait for up to 12 s,
// cancel them after 1 s, and send them again after each 504, as any job.
int ScenarioCancel(bool trouble) {
  if (!StartAll(12, 4, [](int) { return std::string("a"); })) return 2;
  std::this_thread::sleep_for(milliseconds(4000));
  std::mt19937_64 random(1);
  std::vector<std::string> ids;
  for (int i = 0; i < 10; ++i) {
    const std::string id = NewJobId(&random);
    ids.push_back(id);
    JobInfo info;
    info.cpu = 4000;
    info.step_ms = {4000, 100};
    info.spec = "work " + id;
    info.counts = {1, 2};
    const Json body{{"spec", info.spec},
                    {"bestEffort", true},
                    {"steps", {{{"count", 1}, {"cpu", info.cpu}, {"memMb", 64}, {"estMs", 4000}},
                               {{"count", 2}, {"cpu", info.cpu}, {"memMb", 64}, {"estMs", 100},
                                {"after", {0}}}}}};
    {
      std::lock_guard<std::mutex> lock(mutex);
      jobs[id] = info;
      Record("send job " + id);
    }
    SubmitAsync(id, body.dump(), 12000, 8);
  }
  std::this_thread::sleep_for(milliseconds(1000));
  for (const std::string& id : ids) Cancel(id);
  std::this_thread::sleep_for(milliseconds(500));
  if (trouble) {
    {
      std::lock_guard<std::mutex> lock(mutex);
      Record("all daemons are killed");
    }
    for (const Daemon& daemon : daemons) kill(daemon.pid, SIGKILL);
    for (const Daemon& daemon : daemons) waitpid(daemon.pid, nullptr, 0);
    std::this_thread::sleep_for(milliseconds(500));
    for (Daemon& daemon : daemons) StartDaemon(&daemon);
    std::lock_guard<std::mutex> lock(mutex);
    daemons_started_at = NowMs();
    Record("all daemons are started again");
  }
  std::this_thread::sleep_for(milliseconds(14000));
  return Finish();
}

// ---- Scenario "ack": the daemon that acknowledges cancels is lost right after
// the acknowledgements ----

// Returns the daemon that schedules, which the daemons log.
Daemon* FindScheduler() {
  for (int i = 0; i < 100; ++i) {
    for (Daemon& daemon : daemons) {
      std::ifstream log(daemon.folder + "/log");
      std::string line, last;
      while (std::getline(log, line)) {
        if (line.find("event=started ") != std::string::npos) last.clear();
        if (line.find("event=scheduler_changed") != std::string::npos) last = line;
      }
      if (last.find("role=full") != std::string::npos) return &daemon;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return nullptr;
}

// Sends a short job on a connection of its own; returns the connection.
int SendShortJob(std::mt19937_64* random, const Daemon& daemon) {
  const std::string id = NewJobId(random);
  JobInfo info;
  info.cpu = 1000;
  info.run_ms = 100;
  info.spec = "work " + id;
  info.counts = {1};
  const std::string body =
      Json{{"spec", info.spec},
           {"bestEffort", true},
           {"steps", {{{"count", 1}, {"cpu", info.cpu}, {"memMb", 64}, {"estMs", 100}}}}}
          .dump();
  {
    std::lock_guard<std::mutex> lock(mutex);
    jobs[id] = info;
    ++counts["new short jobs sent"];
  }
  const int fd = Connect(daemon.front);
  SendAll(fd, "POST /book/" + id + " HTTP/1.1\r\n" + kHeaders +
                  "x-deadline-ms: 1500\r\ncontent-length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body);
  return fd;
}

// Cancels all jobs at once, each on a connection of its own, at one daemon, and
// hands as many new jobs in at the other daemons. Kills the daemon as soon as
// `acks` of the cancels are acknowledged.
void CancelAndKill(const std::vector<std::string>& ids, Daemon* daemon, std::size_t acks,
                   bool trouble, std::mt19937_64* random) {
  std::vector<int> sockets;
  for (std::size_t i = 0; i < ids.size(); ++i) sockets.push_back(Connect(daemon->front));
  std::vector<int> new_jobs;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const Daemon& other = daemons[i % daemons.size()];
    if (&other != daemon) new_jobs.push_back(SendShortJob(random, other));
  }
  for (std::size_t i = 0; i < ids.size(); ++i) {
    SendAll(sockets[i], "DELETE /book/" + ids[i] + " HTTP/1.1\r\n" + kHeaders +
                            "content-length: 0\r\n\r\n");
  }
  std::vector<int> status(ids.size());
  std::size_t acknowledged = 0;
  char text[4096];
  const auto until = Clock::now() + milliseconds(4000);
  while (acknowledged < acks && Clock::now() < until) {
    for (std::size_t i = 0; i < ids.size(); ++i) {
      if (status[i] != 0) continue;
      const ssize_t length = recv(sockets[i], text, sizeof(text), MSG_DONTWAIT);
      if (length < 13) continue;
      status[i] = std::atoi(text + 9);
      if (status[i] == 200 || status[i] == 410) ++acknowledged;
    }
  }
  if (trouble) kill(daemon->pid, SIGKILL);
  std::lock_guard<std::mutex> lock(mutex);
  Record(std::to_string(acknowledged) + " of " + std::to_string(ids.size()) +
         " cancels acknowledged by " + daemon->name + (trouble ? ", which is killed" : ""));
  std::thread([new_jobs] {
    std::this_thread::sleep_for(milliseconds(2500));
    for (const int fd : new_jobs) close(fd);
  }).detach();
  for (std::size_t i = 0; i < ids.size(); ++i) {
    close(sockets[i]);
    if (status[i] != 200 && status[i] != 410) continue;
    jobs[ids[i]].cancelled_at = NowMs();
    Record("cancel of " + ids[i] + " acknowledged with " + std::to_string(status[i]));
  }
}

// In each round, clients hand 380 jobs in at a daemon that does not schedule: a
// task of 4.5 s, then two short ones. After 1 s they cancel 133 of them at the
// daemon that schedules, which is killed once 80 of the cancels are acknowledged.
int ScenarioAck(bool trouble) {
  constexpr int kRounds = 4;
  constexpr std::size_t kJobs = 380;
  constexpr std::size_t kCancelled = 133;  // A share of 0.35.
  constexpr std::size_t kAcks = 80;
  if (!StartAll(48, 8, [](int) { return std::string("a"); })) return 2;
  std::this_thread::sleep_for(milliseconds(4000));
  std::mt19937_64 random(1);
  for (int round = 0; round < kRounds; ++round) {
    Daemon* scheduler = FindScheduler();
    if (scheduler == nullptr) return 2;
    Daemon* other = &daemons[scheduler == &daemons[0] ? 1 : 0];
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < kJobs; ++i) {
      const std::string id = NewJobId(&random);
      ids.push_back(id);
      JobInfo info;
      info.cpu = 1000;
      info.step_ms = {4500, 100};
      info.spec = "work " + id;
      info.counts = {1, 2};
      const Json body{{"spec", info.spec},
                      {"bestEffort", true},
                      {"steps", {{{"count", 1}, {"cpu", info.cpu}, {"memMb", 64}, {"estMs", 4500}},
                                 {{"count", 2}, {"cpu", info.cpu}, {"memMb", 64}, {"estMs", 100},
                                  {"after", {0}}}}}};
      {
        std::lock_guard<std::mutex> lock(mutex);
        jobs[id] = info;
        Record("send job " + id + " to " + other->name);
      }
      ++open_calls;
      std::thread([id, text = body.dump(), port = other->front] {
        const Answer answer = Call(port, "POST", "/book/" + id,
                                   kHeaders + "x-deadline-ms: 12000\r\n", text, 12100);
        std::lock_guard<std::mutex> lock(mutex);
        Record("job " + id + " answered " + std::to_string(answer.status) + " " + answer.body);
        --open_calls;
      }).detach();
    }
    std::this_thread::sleep_for(milliseconds(1000));
    ids.resize(kCancelled);
    CancelAndKill(ids, scheduler, kAcks, trouble, &random);
    if (trouble) {
      waitpid(scheduler->pid, nullptr, 0);
      std::this_thread::sleep_for(milliseconds(3000));
      StartDaemon(scheduler);
    }
    std::this_thread::sleep_for(milliseconds(9500));
  }
  return Finish();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  signal(SIGPIPE, SIG_IGN);
  record_file = std::fopen(argv[3], "w");
  if (record_file == nullptr) return 2;
  for (int i = 4; i < argc; ++i) command.push_back(argv[i]);
  std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) return 2;
  folder = name;
  const std::map<std::string, std::function<int(bool)>> scenarios = {{"kind", ScenarioKind}, {"cancel", ScenarioCancel},
      {"ack", ScenarioAck}};
  const auto scenario = scenarios.find(argv[1]);
  int result = 2;
  if (scenario != scenarios.end()) result = scenario->second(std::string(argv[2]) != "0");
  if (result == 2) StopDaemons();
  std::fflush(record_file);
  if (getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(folder);
  } else {
    std::printf("%s\n", folder.c_str());
  }
  std::fflush(stdout);
  _exit(result);
}
