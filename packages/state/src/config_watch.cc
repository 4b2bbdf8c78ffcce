#include "sequoiapath/state/config_watch.h"

#include <utility>

#include "sequoiapath/state/config_store.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {
namespace {

// Delay before a failed read of the store is repeated. Outages usually last
// longer, and one read per second is a small load for the store.
constexpr auto kReadRetryDelay = std::chrono::seconds(1);

}  // namespace
}  // namespace internal

ConfigWatch::ConfigWatch(EventLoop* loop, StoreClient* store,
                         RecordCallback on_record)
    : loop(loop),
      store(store),
      on_record(std::move(on_record)),
      self(std::make_shared<ConfigWatch*>(this)) {
  this->Read();
}

ConfigWatch::~ConfigWatch() { this->loop->Cancel(this->read_timer); }

void ConfigWatch::SetInForce(const ConfigRecord& record) {
  if (record.generation <= this->generation) return;
  this->generation = record.generation;
  this->digest = record.digest;
}

void ConfigWatch::Read() {
  this->read_timer = 0;
  const std::weak_ptr<ConfigWatch*> weak = this->self;
  this->store->GetKey(kConfigKey, [weak](const Result<RangeReply>& result) {
    if (const auto alive = weak.lock()) (*alive)->OnRead(result);
  });
}

void ConfigWatch::OnRead(const Result<RangeReply>& result) {
  if (const Failure* failure = GetFailure(result)) {
    Log(LogLevel::kWarning, "store_unavailable", {{"detail", failure->detail}});
    this->read_timer = this->loop->Schedule(internal::kReadRetryDelay,
                                            [this] { this->Read(); });
    return;
  }
  const auto& reply = std::get<RangeReply>(result);
  if (!reply.entries.empty()) {
    this->OnValue(reply.entries.front().value, /*is_event=*/false);
  } else if (this->generation > 0) {
    this->RaiseAlarm({});
  }
  this->StartWatch(reply.revision + 1);
}

void ConfigWatch::StartWatch(std::int64_t revision) {
  StoreWatchOptions options;
  options.key = kConfigKey;
  options.start_revision = revision;
  StoreWatchHandlers handlers;
  handlers.on_event = [this](const StoreEvent& event) {
    if (event.deleted) {
      this->RaiseAlarm({});
    } else {
      this->OnValue(event.entry.value, /*is_event=*/true);
    }
  };
  handlers.on_reset = [this](const std::string& reason) {
    Log(LogLevel::kWarning, "store_watch_reset", {{"detail", reason}});
    this->Read();
  };
  this->watch = this->store->Watch(std::move(options), std::move(handlers));
}

// A record from a peer may arrive before this watch delivers that record and
// the ones before it. So an event that is older than the record in force, but
// newer than the last record from the store, raises no alarm.
void ConfigWatch::OnValue(const std::string& value, bool is_event) {
  const auto decoded = DecodeConfigRecord(value);
  if (const Failure* failure = GetFailure(decoded)) {
    Log(LogLevel::kError, "config_invalid", {{"detail", failure->detail}});
    return;
  }
  const auto& record = std::get<ConfigRecord>(decoded);
  const bool delayed = is_event && !this->alarm_active &&
                       record.generation > this->last_store_generation &&
                       record.generation < this->generation;
  this->last_store_generation = record.generation;
  if (record.generation > this->generation) {
    this->alarm_active = false;
    this->SetInForce(record);
    this->on_record(record);
  } else if (record.generation == this->generation &&
             record.digest == this->digest) {
    this->alarm_active = false;
  } else if (!delayed) {
    this->RaiseAlarm(record);
  }
}

void ConfigWatch::RaiseAlarm(const ConfigRecord& record) {
  ++this->alarms;
  this->alarm_active = true;
  Log(LogLevel::kError, "store_shows_older_configuration",
      {{"generation_in_force", this->generation},
       {"generation_in_store", record.generation},
       {"change_id", record.change_id}});
}

}  // namespace sequoiapath
