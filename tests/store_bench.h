// Defines StoreBench, a test fixture with a fake store and its clients in one
// process.

#ifndef SEQUOIAPATH_TESTS_STORE_BENCH_H_
#define SEQUOIAPATH_TESTS_STORE_BENCH_H_

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <optional>
#include <string>

#include "document_sample.h"
#include "sequoiapath/fakes/fake_store.h"
#include "sequoiapath/state/config_store.h"
#include "sequoiapath/state/store_client.h"

namespace sequoiapath {

constexpr auto kTestCallTimeout = std::chrono::milliseconds(200);
// Time limit of each change.
constexpr auto kTestTimeLimit = std::chrono::milliseconds(1500);

// A fake store with a client and a ConfigStore, all on one event loop.
class StoreBench {
 public:
  StoreBench() : fake(&this->loop) {
    // Writing to a closed connection must fail with an error instead of ending
    // the process. The daemon ignores the signal for the same reason.
    std::signal(SIGPIPE, SIG_IGN);
    EXPECT_EQ(this->fake.Listen({"127.0.0.1", 0}), std::nullopt);
    this->client = this->NewClient();
    this->config = std::make_unique<ConfigStore>(
        &this->loop, this->client.get(), kTestTimeLimit);
  }

  std::unique_ptr<StoreClient> NewClient() {
    return std::make_unique<StoreClient>(
        &this->loop, std::vector<Endpoint>{this->fake.endpoint()},
        kTestCallTimeout);
  }

  void Control(const std::string& json) {
    EXPECT_EQ(this->fake.Control(json), std::nullopt);
  }

  // Runs the loop until `done` returns true or `limit` has passed. Returns the
  // last result of `done`.
  template <typename Done>
  bool RunUntil(Done done, Duration limit = std::chrono::seconds(20)) {
    const TimePoint deadline = this->loop.Now() + limit;
    while (!done() && this->loop.Now() < deadline) {
      this->loop.RunOnce(std::chrono::milliseconds(10));
    }
    return done();
  }

  void RunFor(Duration time) {
    this->RunUntil([] { return false; }, time);
  }

  ChangeReport Apply(const Document& document,
                     std::optional<std::uint64_t> base = std::nullopt,
                     std::uint64_t min_generation = 0) {
    std::optional<ChangeReport> report;
    this->config->Apply({{"ana", "desk-1"}, document, base, min_generation},
                        [&](const ChangeReport& r) { report = r; });
    EXPECT_TRUE(this->RunUntil([&] { return report.has_value(); }));
    return report.value_or(ChangeReport{});
  }

  std::vector<AuditRecord> History() {
    std::optional<std::vector<AuditRecord>> records;
    this->config->History(10'000, [&](const auto& result) {
      records = std::get<std::vector<AuditRecord>>(result);
    });
    EXPECT_TRUE(this->RunUntil([&] { return records.has_value(); }));
    return *records;
  }

  // Returns the record in the store, or one of generation zero if the key does
  // not exist or its value cannot be decoded.
  ConfigRecord Stored() const {
    const auto value = this->fake.Peek(kConfigKey);
    if (!value) return {};
    const auto record = DecodeConfigRecord(*value);
    return GetFailure(record) == nullptr ? std::get<ConfigRecord>(record)
                                         : ConfigRecord{};
  }

  // Returns the number of audit records of the change with outcome "applied".
  int TimesApplied(const std::string& change_id) {
    int count = 0;
    for (const AuditRecord& record : this->History()) {
      if (record.change_id == change_id && record.outcome == "applied") ++count;
    }
    return count;
  }

  EventLoop loop;
  FakeStore fake;
  std::unique_ptr<StoreClient> client;
  std::unique_ptr<ConfigStore> config;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TESTS_STORE_BENCH_H_
