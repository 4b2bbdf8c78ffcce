#include "sequoiapath/state/config_store.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <random>
#include <utility>

#include "audit_log.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr auto kRetryDelay = std::chrono::milliseconds(100);
// Random addition to the retry delay, so that operators whose changes collided
// do not collide again.
constexpr int kMaxJitterMs = 50;
// These limits bound the size of an audit record. The stored documents contain
// the complete change.
constexpr std::size_t kMaxAuditChanges = 50;
constexpr std::size_t kMaxAuditTextBytes = 300;

std::string GenerateChangeId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", device(), device(), device(),
                     device());
}

std::string Timestamp() {
  const std::time_t now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(now));
}

Failure StoreFailure(std::string detail) {
  return {Verdict::kNotRun, Reason::kStoreUnavailable,
          RetryAdvice::kSameSequence, std::nullopt, std::move(detail)};
}

std::string Truncate(const std::string& text) {
  return text.size() <= kMaxAuditTextBytes
             ? text
             : text.substr(0, kMaxAuditTextBytes) + "...";
}

template <typename Item>
void AddLines(const std::vector<Item>& items,
              std::string (*format)(const Item&), AuditRecord* record) {
  for (const Item& item : items) {
    if (record->changes.size() < kMaxAuditChanges) {
      record->changes.push_back(Truncate(format(item)));
    } else {
      ++record->changes_left_out;
    }
  }
}

std::string FormatError(const DocumentError& error) {
  return fmt::format("! {}: found {}; allowed: {}", error.key, error.found,
                     error.allowed);
}

AuditRecord MakeAuditRecord(const ChangeAuthor& author,
                            const ChangeReport& report, const char* outcome) {
  AuditRecord record{Timestamp(),
                     Truncate(author.operator_name),
                     Truncate(author.operator_host),
                     report.change_id,
                     report.generation,
                     outcome,
                     Truncate(report.detail),
                     {},
                     0};
  AddLines(report.changes, FormatChange, &record);
  AddLines(report.conflicts, FormatConflict, &record);
  AddLines(report.errors, FormatError, &record);
  return record;
}

bool ContainsChange(std::string_view segment, const std::string& change_id) {
  const auto records = DecodeAuditSegment(segment);
  return std::any_of(records.begin(), records.end(), [&](const auto& record) {
    return record.change_id == change_id;
  });
}

// Returns the generation that the change created, or zero if the segment has no
// record of it as applied.
std::uint64_t FindApplied(std::string_view segment,
                          const std::string& change_id) {
  for (const AuditRecord& record : DecodeAuditSegment(segment)) {
    if (record.change_id == change_id && record.outcome == "applied") {
      return record.generation;
    }
  }
  return 0;
}

Result<ConfigSnapshot> ToSnapshot(const Result<RangeReply>& result) {
  if (const Failure* failure = GetFailure(result)) return *failure;
  const auto& reply = std::get<RangeReply>(result);
  ConfigSnapshot snapshot;
  if (reply.entries.empty()) return snapshot;
  auto record = DecodeConfigRecord(reply.entries.front().value);
  if (const Failure* failure = GetFailure(record)) return *failure;
  snapshot.record = std::get<ConfigRecord>(std::move(record));
  snapshot.mod_revision = reply.entries.front().mod_revision;
  return snapshot;
}

// A transaction that was sent and whose effect is not known. The revisions are
// those that its conditions contain; `config_revision` is -1 if the transaction
// has no condition on the config key.
struct PendingWrite {
  StoreTxn txn;
  std::string audit_key;
  std::int64_t config_revision = 0;
  std::int64_t audit_revision = 0;
  ChangeReport report;  // Reported if the transaction takes effect.
};

// One change or refusal in progress. Each step reads the store, chooses an
// action and writes at most once. The callbacks of the step share ownership.
struct ChangeAttempt : std::enable_shared_from_this<ChangeAttempt> {
  EventLoop* loop = nullptr;
  StoreClient* store = nullptr;
  ConfigStore* config_store = nullptr;
  TimePoint deadline;
  ChangeRequest request;
  ChangeCallback callback;
  std::string change_id;
  std::optional<Document> base;
  ConfigSnapshot config;
  AuditSegment audit;
  std::optional<PendingWrite> pending;
  // True during the one read after the deadline that resolves a pending write.
  bool is_last_read = false;
  // Set once the change is refused; the audit record remains to be written.
  std::optional<ChangeReport> refusal;
};

using AttemptPtr = std::shared_ptr<ChangeAttempt>;

void ReadState(const AttemptPtr& attempt);
void RunNextStep(const AttemptPtr& attempt);

void Finish(const AttemptPtr& attempt, const ChangeReport& report) {
  const auto callback = std::move(attempt->callback);
  callback(report);
}

ChangeReport NewReport(const ChangeAttempt& attempt, std::string detail) {
  ChangeReport report;
  report.change_id = attempt.change_id;
  if (attempt.config.record) {
    report.generation = attempt.config.record->generation;
  }
  report.detail = std::move(detail);
  return report;
}

// Ends an attempt without a further write, with an outcome of kNotApplied or,
// if a write is pending, kUnknown.
void Abort(const AttemptPtr& attempt, const std::string& detail) {
  if (attempt->refusal) {
    ChangeReport report = *attempt->refusal;
    report.detail +=
        "; this refusal may be missing from the audit trail: " + detail;
    Finish(attempt, report);
    return;
  }
  ChangeReport report = NewReport(*attempt, detail);
  if (attempt->pending) report.outcome = ChangeOutcome::kUnknown;
  Finish(attempt, report);
}

void RetryLater(const AttemptPtr& attempt, const std::string& detail) {
  if (attempt->loop->Now() >= attempt->deadline) {
    if (!attempt->pending || attempt->is_last_read) {
      Abort(attempt, detail);
      return;
    }
    attempt->is_last_read = true;
  }
  std::random_device random;
  const auto jitter = std::chrono::milliseconds(random() % kMaxJitterMs);
  attempt->loop->Schedule(kRetryDelay + jitter,
                          [attempt] { ReadState(attempt); });
}

void ReadAudit(const AttemptPtr& attempt) {
  attempt->store->GetLast(
      kAuditPrefix, [attempt](const Result<RangeReply>& result) {
        if (const Failure* failure = GetFailure(result)) {
          RetryLater(attempt, failure->detail);
          return;
        }
        attempt->audit = ReadLastSegment(std::get<RangeReply>(result));
        RunNextStep(attempt);
      });
}

// Reads the configuration and the last audit segment, on which the next step is
// based. The two reads need not be consistent with each other, because the
// transaction compares the revisions of both keys.
void ReadState(const AttemptPtr& attempt) {
  attempt->config_store->Read([attempt](Result<ConfigSnapshot> result) {
    if (const Failure* failure = GetFailure(result)) {
      RetryLater(attempt, failure->detail);
      return;
    }
    attempt->config = std::get<ConfigSnapshot>(std::move(result));
    ReadAudit(attempt);
  });
}

void OnCommitted(const AttemptPtr& attempt, const Result<TxnReply>& result,
                 bool is_resend) {
  if (const Failure* failure = GetFailure(result)) {
    // A write that was certainly not sent has no effect, unless the same
    // transaction was sent before.
    if (failure->verdict == Verdict::kNotRun && !is_resend) {
      attempt->pending.reset();
    }
    RetryLater(attempt, failure->detail);
    return;
  }
  if (std::get<TxnReply>(result).succeeded) {
    Finish(attempt, attempt->pending->report);
    return;
  }
  // A transaction that was sent once and whose comparison failed never takes
  // effect. The comparison of a transaction that was sent again may have failed
  // because the earlier request took effect.
  if (!is_resend) attempt->pending.reset();
  RetryLater(attempt, "other changes were committed first");
}

// Sends the pending transaction. `is_resend` is true if the same transaction
// was sent before.
void Commit(const AttemptPtr& attempt, bool is_resend) {
  attempt->store->Commit(attempt->pending->txn,
                         [attempt, is_resend](const auto& result) {
                           OnCommitted(attempt, result, is_resend);
                         });
}

// Prepares a transaction with the audit record of `report`.
PendingWrite PrepareWrite(const ChangeAttempt& attempt,
                          const ChangeReport& report, const char* outcome) {
  PendingWrite write;
  write.report = report;
  write.audit_key = AppendAudit(
      attempt.audit, MakeAuditRecord(attempt.request.author, report, outcome),
      &write.txn);
  write.audit_revision = write.txn.conditions.back().mod_revision;
  return write;
}

void WriteRefusal(const AttemptPtr& attempt) {
  if (attempt->refusal->generation == 0 && attempt->config.record) {
    attempt->refusal->generation = attempt->config.record->generation;
  }
  attempt->pending = PrepareWrite(*attempt, *attempt->refusal, "refused");
  attempt->pending->config_revision = -1;
  Commit(attempt, /*is_resend=*/false);
}

void Refuse(const AttemptPtr& attempt, ChangeReport report) {
  attempt->refusal = std::move(report);
  WriteRefusal(attempt);
}

// Returns whether the pending transaction can no longer take effect, because a
// key that it compares has changed.
bool IsFenced(const ChangeAttempt& attempt) {
  const PendingWrite& pending = *attempt.pending;
  if (pending.config_revision >= 0 &&
      attempt.config.mod_revision != pending.config_revision) {
    return true;
  }
  const bool same_segment = AuditKey(attempt.audit.number) == pending.audit_key;
  if (same_segment) return attempt.audit.mod_revision != pending.audit_revision;
  // The pending transaction creates a new segment. The last segment is either
  // still the one before it, or a later one, which shows that the new segment
  // exists.
  return AuditKey(attempt.audit.number) > pending.audit_key;
}

// Searches for the audit record of the change in the segment that the pending
// transaction writes. Reading the config key would be insufficient, because
// another change may have replaced the configuration record since.
void FindAuditRecord(const AttemptPtr& attempt) {
  attempt->store->GetKey(
      attempt->pending->audit_key, [attempt](const Result<RangeReply>& result) {
        if (const Failure* failure = GetFailure(result)) {
          RetryLater(attempt, failure->detail);
          return;
        }
        const auto& entries = std::get<RangeReply>(result).entries;
        if (!entries.empty() &&
            ContainsChange(entries.front().value, attempt->change_id)) {
          Finish(attempt, attempt->pending->report);
          return;
        }
        attempt->pending.reset();
        RunNextStep(attempt);
      });
}

// Determines whether the pending transaction took effect, or sends it again.
void ResolvePending(const AttemptPtr& attempt) {
  const PendingWrite& pending = *attempt->pending;
  const auto& record = attempt->config.record;
  if (!attempt->refusal && record && record->change_id == attempt->change_id) {
    Finish(attempt, pending.report);
  } else if (attempt->config.mod_revision < pending.config_revision) {
    // The store was restored from a backup; the change may have been in force
    // before the restoration.
    Abort(attempt, "the store is at an older revision than before");
  } else if (IsFenced(*attempt)) {
    FindAuditRecord(attempt);
  } else if (attempt->loop->Now() >= attempt->deadline) {
    Abort(attempt, "no reply to the write within the time limit");
  } else {
    // Sends the same transaction again. Both requests compare the same
    // revisions, so at most one of them takes effect.
    Commit(attempt, /*is_resend=*/true);
  }
}

// Writes `document` as the next generation.
void Write(const AttemptPtr& attempt, const Document& current,
           const Document& document) {
  const ConfigRecord* before =
      attempt->config.record ? &*attempt->config.record : nullptr;
  const ConfigRecord next = NextConfigRecord(
      before, document, attempt->change_id, attempt->request.min_generation);
  ChangeReport report = NewReport(*attempt, "");
  report.outcome = ChangeOutcome::kApplied;
  report.generation = next.generation;
  report.changes = DiffDocuments(current, document);
  const bool must_raise_generation =
      before == nullptr || attempt->request.min_generation > before->generation;
  if (report.changes.empty() && !must_raise_generation) {
    report.generation = before->generation;
    report.detail = "already in force; nothing was written";
    Finish(attempt, report);
    return;
  }
  attempt->pending = PrepareWrite(*attempt, report, "applied");
  attempt->pending->config_revision = attempt->config.mod_revision;
  StoreTxn* txn = &attempt->pending->txn;
  txn->conditions.push_back({kConfigKey, attempt->config.mod_revision});
  txn->puts.push_back({kConfigKey, EncodeConfigRecord(next)});
  AppendDocument(next.generation, next.document, txn);
  Commit(attempt, /*is_resend=*/false);
}

// Rebases the change on the document in the store and writes it.
void RebaseAndWrite(const AttemptPtr& attempt) {
  Document current;
  if (attempt->config.record) {
    DocumentResult parsed = ParseDocumentJson(attempt->config.record->document);
    if (auto* document = std::get_if<Document>(&parsed)) {
      current = std::move(*document);
    } else {
      // The stored document is damaged; the new document replaces it as a
      // whole.
      attempt->base = current;
    }
  }
  if (!attempt->base) attempt->base = current;
  const RebaseResult rebased =
      RebaseChange(*attempt->base, attempt->request.document, current);
  if (const auto* conflicts = std::get_if<FieldConflicts>(&rebased)) {
    ChangeReport report = NewReport(*attempt, "conflicts with a newer change");
    report.conflicts = *conflicts;
    Refuse(attempt, std::move(report));
  } else if (const auto* errors = std::get_if<DocumentErrors>(&rebased)) {
    ChangeReport report = NewReport(
        *attempt, "not valid after the rebase on the newer generation");
    report.errors = *errors;
    Refuse(attempt, std::move(report));
  } else {
    Write(attempt, current, std::get<Document>(rebased));
  }
}

void ReadBase(const AttemptPtr& attempt) {
  const std::uint64_t generation = *attempt->request.base_generation;
  attempt->config_store->ReadDocument(
      generation, [attempt, generation](Result<Document> result) {
        const Failure* failure = GetFailure(result);
        if (failure == nullptr) {
          attempt->base = std::get<Document>(std::move(result));
          RebaseAndWrite(attempt);
        } else if (failure->reason == Reason::kStoreUnavailable) {
          RetryLater(attempt, failure->detail);
        } else {
          Refuse(attempt,
                 NewReport(*attempt, fmt::format("base generation {}: {}",
                                                 generation, failure->detail)));
        }
      });
}

// Ends the attempt and returns true if an earlier request with the same change
// id has applied the change.
bool FinishIfApplied(const AttemptPtr& attempt) {
  if (attempt->request.change_id.empty()) return false;
  const std::uint64_t generation =
      FindApplied(attempt->audit.text, attempt->change_id);
  if (generation == 0) return false;
  ChangeReport report = NewReport(*attempt, "applied by an earlier request");
  report.outcome = ChangeOutcome::kApplied;
  report.generation = generation;
  Finish(attempt, report);
  return true;
}

void RunNextStep(const AttemptPtr& attempt) {
  if (!attempt->pending && FinishIfApplied(attempt)) return;
  if (attempt->pending) {
    ResolvePending(attempt);
  } else if (attempt->loop->Now() >= attempt->deadline) {
    Abort(attempt, "the time limit has passed");
  } else if (attempt->refusal) {
    WriteRefusal(attempt);
  } else if (attempt->request.base_generation && !attempt->base) {
    ReadBase(attempt);
  } else {
    RebaseAndWrite(attempt);
  }
}

// A read of audit segments, from the newest to older ones, until `limit`
// records were found.
struct HistoryRead : std::enable_shared_from_this<HistoryRead> {
  StoreClient* store = nullptr;
  std::size_t limit = 0;
  std::uint64_t number = 0;
  std::vector<AuditRecord> records;
  std::function<void(Result<std::vector<AuditRecord>>)> callback;
};

void OnSegment(const std::shared_ptr<HistoryRead>& read,
               const Result<RangeReply>& result) {
  if (const Failure* failure = GetFailure(result)) {
    read->callback(*failure);
    return;
  }
  const AuditSegment segment = ReadLastSegment(std::get<RangeReply>(result));
  auto records = DecodeAuditSegment(segment.text);
  std::reverse(records.begin(), records.end());
  for (AuditRecord& record : records) {
    if (read->records.size() < read->limit) {
      read->records.push_back(std::move(record));
    }
  }
  if (segment.mod_revision == 0 || segment.number == 0 ||
      read->records.size() >= read->limit) {
    read->callback(std::move(read->records));
    return;
  }
  read->store->GetKey(AuditKey(segment.number - 1),
                      [read](const auto& next) { OnSegment(read, next); });
}

}  // namespace
}  // namespace internal

const char* ToString(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kApplied:
      return "applied";
    case ChangeOutcome::kNotApplied:
      return "not_applied";
    case ChangeOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

ConfigStore::ConfigStore(EventLoop* loop, StoreClient* store,
                         Duration time_limit)
    : loop(loop), store(store), time_limit(time_limit) {}

void ConfigStore::Apply(ChangeRequest request, ChangeCallback callback) {
  auto attempt = std::make_shared<internal::ChangeAttempt>();
  attempt->loop = this->loop;
  attempt->store = this->store;
  attempt->config_store = this;
  attempt->deadline = this->loop->Now() + this->time_limit;
  attempt->change_id = request.change_id.empty() ? internal::GenerateChangeId()
                                                 : request.change_id;
  attempt->request = std::move(request);
  attempt->callback = std::move(callback);
  internal::ReadState(attempt);
}

void ConfigStore::RevertTo(std::uint64_t generation, const ChangeAuthor& author,
                           std::uint64_t min_generation,
                           ChangeCallback callback) {
  this->ReadDocument(
      generation, [this, generation, author, min_generation,
                   callback = std::move(callback)](Result<Document> result) {
        if (const Failure* failure = GetFailure(result)) {
          ChangeReport report;
          report.detail =
              fmt::format("generation {}: {}", generation, failure->detail);
          this->RecordRefusal(
              author, report.detail,
              [report, callback](bool /*recorded*/) { callback(report); });
          return;
        }
        this->Apply({author, std::get<Document>(std::move(result)),
                     std::nullopt, min_generation},
                    callback);
      });
}

void ConfigStore::RecordRefusal(
    const ChangeAuthor& author, const std::string& detail,
    const std::function<void(bool recorded)>& callback) {
  auto attempt = std::make_shared<internal::ChangeAttempt>();
  attempt->loop = this->loop;
  attempt->store = this->store;
  attempt->config_store = this;
  attempt->deadline = this->loop->Now() + this->time_limit;
  attempt->request.author = author;
  attempt->change_id = internal::GenerateChangeId();
  attempt->refusal = internal::NewReport(*attempt, detail);
  attempt->callback = [detail, callback](const ChangeReport& report) {
    // Abort appends to the detail if the record may not have been written.
    callback(report.detail == detail);
  };
  internal::ReadState(attempt);
}

void ConfigStore::Read(std::function<void(Result<ConfigSnapshot>)> callback) {
  this->store->GetKey(kConfigKey, [callback = std::move(callback)](
                                      const Result<RangeReply>& result) {
    callback(internal::ToSnapshot(result));
  });
}

void ConfigStore::ReadDocument(std::uint64_t generation,
                               std::function<void(Result<Document>)> callback) {
  this->store->GetKey(
      internal::DocumentKey(generation),
      [callback = std::move(callback)](const Result<RangeReply>& result) {
        if (const Failure* failure = GetFailure(result)) {
          callback(internal::StoreFailure(failure->detail));
          return;
        }
        const auto& entries = std::get<RangeReply>(result).entries;
        Failure unusable{Verdict::kNotRun, Reason::kInvalidRequest,
                         RetryAdvice::kNever, std::nullopt,
                         "its document is not kept"};
        if (entries.empty()) {
          callback(unusable);
          return;
        }
        DocumentResult parsed =
            ParseDocumentJson(internal::Decompress(entries.front().value));
        if (auto* document = std::get_if<Document>(&parsed)) {
          callback(std::move(*document));
          return;
        }
        unusable.detail = "its document is damaged or no longer valid";
        callback(unusable);
      });
}

void ConfigStore::History(
    std::size_t limit,
    std::function<void(Result<std::vector<AuditRecord>>)> callback) {
  auto read = std::make_shared<internal::HistoryRead>();
  read->store = this->store;
  read->limit = limit;
  read->callback = std::move(callback);
  this->store->GetLast(kAuditPrefix, [read](const Result<RangeReply>& result) {
    internal::OnSegment(read, result);
  });
}

}  // namespace sequoiapath
