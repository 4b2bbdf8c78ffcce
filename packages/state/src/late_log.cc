#include "sequoiapath/state/late_log.h"

#include <fmt/format.h>

#include <iterator>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

void Truncate(std::string* text, std::size_t max_bytes) {
  if (text->size() <= max_bytes) return;
  text->resize(max_bytes);
  text->shrink_to_fit();
}

// Returns a text as a JSON string. Texts come from callers and may contain
// invalid UTF-8, which is replaced.
std::string EncodeString(std::string_view text) {
  return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Appends an entry as JSON text. Building a tree of JSON values for a full log
// instead blocked the event loop for 9 to 30 ms.
void AppendEntry(std::string* text, const LateEntry& entry) {
  const auto when = std::chrono::duration_cast<std::chrono::milliseconds>(
      entry.when.time_since_epoch());
  auto out = std::back_inserter(*text);
  fmt::format_to(out,
                 R"({{"request_id":{},"team":{},"service":{},"when_ms":{},)"
                 R"("deadline_ms":{},"response_ms":{},"ideal_ms":{},)"
                 R"("told":{},"callers_told":{},"callers_gone":{},)",
                 EncodeString(entry.request_id), EncodeString(entry.team),
                 EncodeString(entry.service), when.count(),
                 entry.deadline.count(), entry.response_time.count(),
                 entry.ideal.count(), EncodeString(entry.answer_summary),
                 entry.callers_told, entry.callers_gone);
  if (entry.verdict) {
    fmt::format_to(out, R"("verdict":"{}",)", ToString(*entry.verdict));
  }
  if (entry.reason) {
    fmt::format_to(out, R"("reason":"{}",)", ToString(*entry.reason));
  }
  fmt::format_to(out, R"("outcome":"{}"}})",
                 entry.verdict ? "failed" : "complete");
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
         entry.service.size() + entry.answer_summary.size();
}

void AddLateEntry(LateLog* log, LateEntry entry) {
  const std::size_t max_text = log->limits.max_text_bytes;
  internal::Truncate(&entry.request_id, max_text);
  internal::Truncate(&entry.team, max_text);
  internal::Truncate(&entry.service, max_text);
  internal::Truncate(&entry.answer_summary, max_text);
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
  std::string text = R"({"entries":[)";
  std::size_t written = 0;
  for (auto it = log.entries.rbegin();
       it != log.entries.rend() && written < count; ++it, ++written) {
    if (written > 0) text += ',';
    internal::AppendEntry(&text, *it);
  }
  return text + fmt::format(R"(],"dropped":{}}})", log.dropped);
}

}  // namespace sequoiapath
