#include "entry_limits.h"

#include <algorithm>
#include <numeric>

#include "sequoiapath/state/log.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kDefaultMemoryMb = 512;
constexpr std::size_t kDefaultDescriptors = 4096;
constexpr std::size_t kBytesPerMegabyte = 1u << 20;
// Descriptors that the platform reserves for files.
constexpr std::size_t kFileDescriptors = 200;
// The budget is this part of the memory. The daemon itself needs up to half of
// the smallest VM, and h2o doubles a buffer that grows.
constexpr std::size_t kBudgetDivisor = 4;
// One caller connection may hold this part of the budget. It is many times the
// largest request, since HTTP/2 carries several on one connection.
constexpr std::size_t kConnectionDivisor = 4;
// Connections of callers for each megabyte of memory; an ordinary one costs
// about 20 KB.
constexpr std::size_t kConnectionsPerMegabyte = 8;
// Parts of the descriptors. The rest is for connections to workers, daemons and
// the store.
constexpr std::size_t kCallerDivisor = 2;
constexpr std::size_t kPeerDivisor = 6;
constexpr std::size_t kProbeDivisor = 32;
constexpr std::size_t kMinConnections = 8;
// The kernel doubles this value, and then grants windows of 64 KB, as without
// the option at the start of a connection.
constexpr std::size_t kReceiveBufferBytes = 65'536;

constexpr std::size_t kDefaultHeaderBytes = 16'384;
constexpr std::size_t kDefaultBodyBytes = 4u << 20;
constexpr milliseconds kDefaultHeaderTimeout{3'000};
constexpr milliseconds kDefaultIdleTimeout{15'000};
// Bounds the configured timeouts, which Duration holds in nanoseconds.
constexpr milliseconds kLongestTimeout = std::chrono::hours(1);
// Time for a daemon or a probe to read a response. Connections between daemons
// are reused after up to 50 s.
constexpr Duration kInternalIdleTimeout = std::chrono::seconds(60);

std::size_t Part(std::size_t whole, std::size_t divisor) {
  return std::max(kMinConnections, whole / divisor);
}

Duration OrDefault(milliseconds value, milliseconds fallback) {
  return value.count() > 0 ? std::min(value, kLongestTimeout) : fallback;
}

std::uint64_t CountRefusals(const RequestBudget& budget) {
  return std::accumulate(budget.closed.begin(), budget.closed.end(),
                         std::uint64_t{0});
}

std::uint64_t Closed(const RequestBudget& budget, CloseReason reason) {
  return budget.closed[static_cast<std::size_t>(reason)];
}

}  // namespace

EntryLimits MakeEntryLimits(const EntrySettings& settings) {
  const std::size_t memory_mb =
      settings.memory_mb > 0 ? settings.memory_mb : kDefaultMemoryMb;
  const std::size_t descriptors = settings.max_descriptors > 0
                                      ? settings.max_descriptors
                                      : kDefaultDescriptors;
  const std::size_t sockets =
      descriptors - std::min(descriptors, kFileDescriptors);
  EntryLimits limits;
  limits.budget_bytes = memory_mb * kBytesPerMegabyte / kBudgetDivisor;
  limits.caller = {
      .max_connections = std::min(Part(sockets, kCallerDivisor),
                                  memory_mb * kConnectionsPerMegabyte),
      .max_header_bytes = kDefaultHeaderBytes,
      .max_connection_bytes = limits.budget_bytes / kConnectionDivisor,
      .header_timeout = kDefaultHeaderTimeout,
      .idle_timeout = kDefaultIdleTimeout,
      .receive_buffer_bytes = settings.memory_mb > 0 ? kReceiveBufferBytes : 0};
  limits.peer = {.max_connections = Part(sockets, kPeerDivisor),
                 .max_header_bytes = kDefaultHeaderBytes,
                 .max_connection_bytes = 0,
                 .header_timeout = kDefaultHeaderTimeout,
                 .idle_timeout = kInternalIdleTimeout,
                 .receive_buffer_bytes = limits.caller.receive_buffer_bytes};
  limits.probe = limits.caller;
  limits.probe.max_connections = Part(sockets, kProbeDivisor);
  limits.probe.idle_timeout = kInternalIdleTimeout;
  return limits;
}

void ApplyRequestLimits(EntryDaemonState* daemon, const RouteTable& routes) {
  HttpServer* server = daemon->caller_server.get();
  if (server == nullptr) return;
  const std::size_t share =
      daemon->request_budget->limit_bytes / kConnectionDivisor;
  server->SetMaxBodySize(std::min(share, routes.max_body_bytes > 0
                                             ? routes.max_body_bytes
                                             : kDefaultBodyBytes));
  server->SetHeaderLimits(
      routes.max_header_bytes > 0 ? routes.max_header_bytes
                                  : kDefaultHeaderBytes,
      OrDefault(routes.header_timeout, kDefaultHeaderTimeout),
      OrDefault(routes.idle_timeout, kDefaultIdleTimeout));
}

void ReportRefusals(EntryDaemonState* daemon) {
  const RequestBudget& budget = *daemon->request_budget;
  const std::uint64_t total = CountRefusals(budget);
  // Idle connections are closed in ordinary operation.
  const std::uint64_t refused = total - Closed(budget, CloseReason::kIdle);
  if (refused != daemon->refusals_logged) {
    Log(LogLevel::kWarning, "callers_refused",
        {{"since_last", refused - daemon->refusals_logged},
         {"body_too_large", Closed(budget, CloseReason::kBodyTooLarge)},
         {"headers_too_large", Closed(budget, CloseReason::kHeadersTooLarge)},
         {"slow_headers", Closed(budget, CloseReason::kSlowHeaders)},
         {"slow_body", Closed(budget, CloseReason::kSlowBody)},
         {"unread_response", Closed(budget, CloseReason::kUnreadResponse)},
         {"too_many", Closed(budget, CloseReason::kTooManyConnections)},
         {"share", Closed(budget, CloseReason::kConnectionShare)},
         {"budget", Closed(budget, CloseReason::kBudget)},
         {"connections", OpenConnections(budget)},
         {"bytes_in_flight", BytesInFlight(budget)},
         {"budget_bytes", budget.limit_bytes}});
    daemon->refusals_logged = refused;
  }
  daemon->loop->Schedule(kRefusalReportInterval,
                         [daemon] { ReportRefusals(daemon); });
}

}  // namespace sequoiapath::internal
