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
// Spreads operators that lost the same race.
constexpr int kMaxJitterMs = 50;
// Bound the size of an audit record; the kept documents have the whole change.
constexpr std::size_t kMaxAuditChanges = 50;
constexpr std::size_t kMaxAuditTextBytes = 300;

std::string DrawChangeId() {
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
                     Truncate(author.who),
                     Truncate(author.from),
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

bool Contains(std::string_view segment, const std::string& change_id) {
  const auto records = DecodeAuditSegment(segment);
  return std::any_of(records.begin(), records.end(), [&](const auto& record) {
    return record.change_id == change_id;
  });
}

// Returns the generation that a change created; zero if the segment lacks it.
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

// A transaction that was sent and whose effect is not known.
struct PendingWrite {
  StoreTxn txn;
  std::string audit_key;
  std::int64_t config_revision = 0;  // That the transaction compares.
  std::int64_t audit_revision = 0;   // That the transaction compares.
  ChangeReport report;               // If the transaction takes effect.
};

// One change or refusal in progress. Each step reads the store, decides, and
// writes at most once. Callbacks share it until it ends.
struct ChangeAttempt : std::enable_shared_from_this<ChangeAttempt> {
  EventLoop* loop = nullptr;
  StoreClient* store = nullptr;
  ConfigStore* config_store = nullptr;
  TimePoint give_up;
  ChangeRequest request;
  ChangeCallback callback;
  std::string change_id;
  std::optional<Document> base;
  ConfigSnapshot config;
  AuditSegment audit;
  std::optional<PendingWrite> pending;
  // Set by the read after the time limit that looks for a pending write.
  bool is_last_read = false;
  // Set once the change is refused; what remains is to record that.
  std::optional<ChangeReport> refusal;
};

using AttemptPtr = std::shared_ptr<ChangeAttempt>;

void ReadState(const AttemptPtr& attempt);
void Decide(const AttemptPtr& attempt);

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

// Ends an attempt whose time is over.
void GiveUp(const AttemptPtr& attempt, const std::string& detail) {
  if (attempt->refusal) {
    ChangeReport report = *attempt->refusal;
    report.detail += "; the audit trail may lack this refusal: " + detail;
    Finish(attempt, report);
    return;
  }
  ChangeReport report = NewReport(*attempt, detail);
  if (attempt->pending) report.outcome = ChangeOutcome::kUnknown;
  Finish(attempt, report);
}

void RetryLater(const AttemptPtr& attempt, const std::string& detail) {
  if (attempt->loop->Now() >= attempt->give_up) {
    if (!attempt->pending || attempt->is_last_read) {
      GiveUp(attempt, detail);
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
        Decide(attempt);
      });
}

// Reads what the next decision is based on. The two reads need not match: a
// transaction compares the revisions of both.
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
                 bool was_pending) {
  if (const Failure* failure = GetFailure(result)) {
    // A write that surely was not sent leaves nothing behind, unless the same
    // transaction was sent before.
    if (failure->verdict == Verdict::kNotRun && !was_pending) {
      attempt->pending.reset();
    }
    RetryLater(attempt, failure->detail);
    return;
  }
  if (std::get<TxnReply>(result).succeeded) {
    Finish(attempt, attempt->pending->report);
    return;
  }
  // The first transaction of a kind lost the race and will never take effect.
  // A repeated one may have failed because it took effect before.
  if (!was_pending) attempt->pending.reset();
  RetryLater(attempt, "lost the race against other changes");
}

void Commit(const AttemptPtr& attempt, bool was_pending) {
  attempt->store->Commit(attempt->pending->txn,
                         [attempt, was_pending](const auto& result) {
                           OnCommitted(attempt, result, was_pending);
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

void RecordRefusalNow(const AttemptPtr& attempt) {
  if (attempt->refusal->generation == 0 && attempt->config.record) {
    attempt->refusal->generation = attempt->config.record->generation;
  }
  attempt->pending = PrepareWrite(*attempt, *attempt->refusal, "refused");
  attempt->pending->config_revision = -1;
  Commit(attempt, /*was_pending=*/false);
}

void Refuse(const AttemptPtr& attempt, ChangeReport report) {
  attempt->refusal = std::move(report);
  RecordRefusalNow(attempt);
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
  // The last segment is still the one before the new one that is pending, or it
  // is a later one.
  return AuditKey(attempt.audit.number) > pending.audit_key;
}

// Looks for the change in the segment that its transaction wrote to: another
// change may have replaced the record in the config key since.
void LookForAudit(const AttemptPtr& attempt) {
  attempt->store->GetKey(
      attempt->pending->audit_key, [attempt](const Result<RangeReply>& result) {
        if (const Failure* failure = GetFailure(result)) {
          RetryLater(attempt, failure->detail);
          return;
        }
        const auto& entries = std::get<RangeReply>(result).entries;
        if (!entries.empty() &&
            Contains(entries.front().value, attempt->change_id)) {
          Finish(attempt, attempt->pending->report);
          return;
        }
        attempt->pending.reset();
        Decide(attempt);
      });
}

// Finds out what became of the pending transaction.
void ResolvePending(const AttemptPtr& attempt) {
  const PendingWrite& pending = *attempt->pending;
  const auto& record = attempt->config.record;
  if (!attempt->refusal && record && record->change_id == attempt->change_id) {
    Finish(attempt, pending.report);
  } else if (attempt->config.mod_revision < pending.config_revision) {
    // The store was restored: the change may have been in force before.
    GiveUp(attempt, "the store shows an older state than before");
  } else if (IsFenced(*attempt)) {
    LookForAudit(attempt);
  } else if (attempt->loop->Now() >= attempt->give_up) {
    GiveUp(attempt, "no reply to the write");
  } else {
    // Sends the same transaction again: both compare the same revisions, so at
    // most one of them takes effect.
    Commit(attempt, /*was_pending=*/true);
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
  const bool is_due =
      before == nullptr || attempt->request.min_generation > before->generation;
  if (report.changes.empty() && !is_due) {
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
  Commit(attempt, /*was_pending=*/false);
}

// Rebases the change on the document in the store and writes it.
void RebaseAndWrite(const AttemptPtr& attempt) {
  Document current;
  if (attempt->config.record) {
    DocumentResult parsed = ParseDocumentJson(attempt->config.record->document);
    if (auto* document = std::get_if<Document>(&parsed)) {
      current = std::move(*document);
    } else {
      // A new document must be able to replace a damaged one.
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
    ChangeReport report =
        NewReport(*attempt, "not valid together with the newer generation");
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

// Ends an attempt whose change an earlier request with its id has applied.
bool FinishRepeated(const AttemptPtr& attempt) {
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

void Decide(const AttemptPtr& attempt) {
  if (!attempt->pending && FinishRepeated(attempt)) return;
  if (attempt->pending) {
    ResolvePending(attempt);
  } else if (attempt->loop->Now() >= attempt->give_up) {
    GiveUp(attempt, "the time limit has passed");
  } else if (attempt->refusal) {
    RecordRefusalNow(attempt);
  } else if (attempt->request.base_generation && !attempt->base) {
    ReadBase(attempt);
  } else {
    RebaseAndWrite(attempt);
  }
}

// Reads segments from `number` down until enough records were found.
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
  attempt->give_up = this->loop->Now() + this->time_limit;
  attempt->change_id =
      request.change_id.empty() ? internal::DrawChangeId() : request.change_id;
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
  attempt->give_up = this->loop->Now() + this->time_limit;
  attempt->request.author = author;
  attempt->change_id = internal::DrawChangeId();
  attempt->refusal = internal::NewReport(*attempt, detail);
  attempt->callback = [detail, callback](const ChangeReport& report) {
    // GiveUp extends the detail.
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
