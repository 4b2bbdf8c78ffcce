// Subcommand "apply": validates a configuration file and writes it to the
// store.

#include <fmt/format.h>

#include <optional>
#include <random>
#include <string>
#include <utility>

#include "command.h"
#include "options.h"
#include "sequoiapath/protocol/document.h"
#include "sequoiapath/state/store_client.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr const char* kApplyName = "sequoiapath apply";
constexpr const char* kConfigKey = "/sequoiapath/config";
constexpr auto kStoreTimeout = std::chrono::seconds(5);
constexpr auto kTurn = std::chrono::milliseconds(100);

template <typename T>
T Wait(EventLoop* loop, const std::optional<T>& result) {
  while (!result) loop->RunOnce(kTurn);
  return *result;
}

int ReportFailure(const Failure& failure) {
  fmt::print(stderr, "{}: {} ({})\n", kApplyName, failure.detail,
             ToString(failure.verdict));
  return failure.verdict == Verdict::kNotRun ? kExitFailed : kExitNoReply;
}

std::string DrawChangeId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

int Apply(const Endpoint& store_endpoint, const Document& document) {
  EventLoop loop;
  StoreClient store(&loop, {store_endpoint}, kStoreTimeout);
  std::optional<Result<RangeReply>> read;
  store.GetKey(kConfigKey, [&](auto result) { read = std::move(result); });
  const auto current = Wait(&loop, read);
  if (const Failure* failure = GetFailure(current)) {
    return ReportFailure(*failure);
  }
  ConfigRecord record{1, DrawChangeId(), "", EncodeDocument(document)};
  record.digest = Sha256Hex(record.document);
  StoreTxn txn{{{kConfigKey, 0}}, {}};
  const auto& entries = std::get<RangeReply>(current).entries;
  if (!entries.empty()) {
    const auto old = DecodeConfigRecord(entries.front().value);
    if (const Failure* failure = GetFailure(old)) {
      return ReportFailure(*failure);
    }
    record.generation = std::get<ConfigRecord>(old).generation + 1;
    txn.conditions.front().mod_revision = entries.front().mod_revision;
  }
  txn.puts.push_back({kConfigKey, EncodeConfigRecord(record)});
  std::optional<Result<TxnReply>> written;
  store.Commit(txn, [&](auto result) { written = std::move(result); });
  const auto reply = Wait(&loop, written);
  if (const Failure* failure = GetFailure(reply)) {
    return ReportFailure(*failure);
  }
  if (!std::get<TxnReply>(reply).succeeded) {
    fmt::print(stderr, "{}: the configuration changed meanwhile\n", kApplyName);
    return kExitFailed;
  }
  fmt::print("applied generation {}\n", record.generation);
  return kExitOk;
}

}  // namespace
}  // namespace internal

int RunApply(int argc, const char** argv) {
  StringOption store;
  const poptOption options[] = {
      {"store", 0, POPT_ARG_STRING, store.slot(), 0,
       "address of the platform's key-value service", "ADDRESS:PORT"},
      POPT_AUTOHELP POPT_TABLEEND};
  const auto files = ParseArguments(internal::kApplyName, argc, argv, options);
  if (!files) return kExitUsage;
  if (files->size() != 1) {
    fmt::print(stderr, "usage: {} --store ADDRESS:PORT FILE\n",
               internal::kApplyName);
    return kExitUsage;
  }
  const auto endpoint = RequireEndpoint(internal::kApplyName, store);
  const auto text = ReadInputFile(internal::kApplyName, files->front());
  if (!endpoint || !text) return kExitUsage;
  const DocumentResult parsed = ParseDocumentToml(*text);
  if (const auto* errors = std::get_if<DocumentErrors>(&parsed)) {
    for (const DocumentError& error : *errors) {
      fmt::print(stderr, "{}:{}: {}: found {}; allowed: {}\n", files->front(),
                 error.line, error.key, error.found, error.allowed);
    }
    return kExitUsage;
  }
  return internal::Apply(*endpoint, std::get<Document>(parsed));
}

}  // namespace sequoiapath
