#include "sequoiapath/state/late_log.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

void Cut(std::string* text, std::size_t max_bytes) {
  if (text->size() <= max_bytes) return;
  text->resize(max_bytes);
  text->shrink_to_fit();
}

Json ToJson(const LateEntry& entry) {
  const auto when = std::chrono::duration_cast<std::chrono::milliseconds>(
      entry.when.time_since_epoch());
  Json json{{"request_id", entry.request_id},
            {"team", entry.team},
            {"service", entry.service},
            {"when_ms", when.count()},
            {"deadline_ms", entry.deadline.count()},
            {"response_ms", entry.response_time.count()},
            {"ideal_ms", entry.ideal.count()},
            {"outcome", entry.verdict ? "failed" : "complete"},
            {"told", entry.told},
            {"callers_told", entry.callers_told},
            {"callers_gone", entry.callers_gone}};
  if (entry.verdict) json["verdict"] = ToString(*entry.verdict);
  if (entry.reason) json["reason"] = ToString(*entry.reason);
  return json;
}

}  // namespace
}  // namespace internal

bool IsLate(const LatePolicy& policy, Duration response_time, Duration ideal,
            Duration deadline) {
  if (response_time > deadline) return true;
  if (ideal <= Duration::zero()) return false;
  using Seconds = std::chrono::duration<double>;
  return Seconds(response_time) > Seconds(ideal) * policy.ideal_factor &&
         response_time > ideal + policy.ideal_slack;
}

std::size_t EntryBytes(const LateEntry& entry) {
  return sizeof(LateEntry) + entry.request_id.size() + entry.team.size() +
         entry.service.size() + entry.told.size();
}

void AddLateEntry(LateLog* log, LateEntry entry) {
  const std::size_t max_text = log->limits.max_text_bytes;
  internal::Cut(&entry.request_id, max_text);
  internal::Cut(&entry.team, max_text);
  internal::Cut(&entry.service, max_text);
  internal::Cut(&entry.told, max_text);
  log->bytes += EntryBytes(entry);
  log->entries.push_back(std::move(entry));
  while (!log->entries.empty() &&
         (log->entries.size() > log->limits.max_entries ||
          log->bytes > log->limits.max_bytes)) {
    log->bytes -= EntryBytes(log->entries.front());
    log->entries.pop_front();
    ++log->dropped;
  }
}

std::string EncodeLateLog(const LateLog& log, std::size_t count) {
  internal::Json entries = internal::Json::array();
  for (auto it = log.entries.rbegin();
       it != log.entries.rend() && entries.size() < count; ++it) {
    entries.push_back(internal::ToJson(*it));
  }
  const internal::Json json{{"entries", std::move(entries)},
                            {"dropped", log.dropped}};
  // Texts come from callers and may hold bytes that are not UTF-8.
  return json.dump(-1, ' ', false, internal::Json::error_handler_t::replace);
}

}  // namespace sequoiapath
