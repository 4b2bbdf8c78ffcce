// Guards against a catalog that applies an older configuration, keeps workers
// that were removed or whose records cannot be decoded, replaces newer state by
// another daemon's older snapshot, or follows the list no longer because of one
// odd entry.

#include "sequoiapath/state/entry_catalog.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "sequoiapath/platform/adapter.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace {

std::string Config(int version) {
  return fmt::format(
      R"({{"version":{},"routes":[{{"name":"r-1","host":"nony24.example",)"
      R"("prefix":"/lohu930/","timeoutMs":1500,"sloMs":60,"priority":1,)"
      R"("service":"huvo11a","attempts":3,"stretch":1.6}}],)"
      R"("limits":{{"maxBodyBytes":1000}}}})",
      version);
}

std::string Worker(const char* state) {
  return fmt::format(
      R"({{"service":"huvo11a","address":"10.128.0.9:8080","zone":"sanjose",)"
      R"("version":"v3","coldLeftMs":0,"slots":8,"state":"{}","capacity":{{"cpu":16000,"memMb":32768}},)"
      R"("labels":["a","r1-3"],"born":5,"seq":4}})",
      state);
}

EntryCatalog MakeCatalog() {
  EntryCatalog catalog;
  catalog.codec = platform::MakeKeyValueCodec();
  return catalog;
}

KeyValuePage Page(std::uint64_t revision, const std::string& value) {
  KeyValuePage page;
  page.revision = revision;
  page.items.push_back({"servers/i-1", value});
  return page;
}

TEST(EntryCatalogTest, OlderConfigurationIsIgnored) {
  EntryCatalog catalog = MakeCatalog();
  EXPECT_TRUE(ApplyConfig(&catalog, Config(7)).routes);
  EXPECT_FALSE(ApplyConfig(&catalog, Config(6)).routes);
  EXPECT_FALSE(ApplyConfig(&catalog, Config(7)).routes);
  EXPECT_FALSE(ApplyConfig(&catalog, "not JSON").routes);
  EXPECT_EQ(catalog.config_version, 7U);
}

TEST(EntryCatalogTest, ChangesOfAWorkerAreReportedOnce) {
  EntryCatalog catalog = MakeCatalog();
  EXPECT_EQ(
      ApplyWorkers(&catalog, Page(1, Worker("ready")), true).updated.size(),
      1U);
  EXPECT_TRUE(
      ApplyWorkers(&catalog, Page(2, Worker("ready")), false).updated.empty());
  const CatalogChange draining =
      ApplyWorkers(&catalog, Page(3, Worker("draining")), false);
  ASSERT_EQ(draining.updated.size(), 1U);
  EXPECT_TRUE(draining.updated[0].draining);
  KeyValuePage gone;
  gone.revision = 4;
  gone.removed.push_back("servers/i-1");
  EXPECT_EQ(ApplyWorkers(&catalog, gone, false).removed.size(), 1U);
}

// Guards against a worker that stays in use with its earlier description after
// another writer replaced its record by one that cannot be decoded.
TEST(EntryCatalogTest, UnreadableRecordRemovesTheWorker) {
  EntryCatalog catalog = MakeCatalog();
  ApplyWorkers(&catalog, Page(1, Worker("ready")), true);
  for (const char* value :
       {"", "[]", "{\"service\":5}", "{\"service\":\"huvo11a\"}"}) {
    EntryCatalog copy = catalog;
    EXPECT_EQ(ApplyWorkers(&copy, Page(2, value), false).removed.size(), 1U)
        << value;
  }
  EXPECT_EQ(
      ApplyWorkers(&catalog, Page(2, Worker("odd")), false).removed.size(), 1U);
}

// Values that another writer may leave under a worker's key.
std::vector<std::string> OddValues() {
  constexpr std::size_t kLevels = 100'000;
  std::vector<std::string> values = {
      "",
      "\xff\xfe",
      "[]",
      "1e400",
      "18446744073709551616",
      "{}",
      std::string(kLevels, '['),
      std::string(kLevels, '[') + std::string(kLevels, ']')};
  std::string good = Worker("ready");
  const auto replaced = [&good](const std::string& from,
                                const std::string& to) {
    std::string value = good;
    value.replace(value.find(from), from.size(), to);
    return value;
  };
  for (const char* port : {":-1", ":0", ":65536", ":1099511627776", ":http"}) {
    values.push_back(replaced(":8080", port));
  }
  for (const char* slots : {"-1", "1e400", "1e300", "4294967296", "\"8\""}) {
    values.push_back(
        replaced("\"slots\":8", std::string("\"slots\":") + slots));
  }
  values.push_back(replaced("16000", "-9223372036854775808"));
  values.push_back(replaced("\"born\":5", "\"born\":1e300"));
  values.push_back(replaced("\"coldLeftMs\":0", "\"coldLeftMs\":1e30"));
  values.push_back(
      replaced("\"seq\":4", "\"note\":" + std::string(kLevels, '[') +
                                std::string(kLevels, ']') + ",\"seq\":4"));
  return values;
}

KeyValuePage GoodWorkers(std::uint64_t revision, const char* state) {
  constexpr int kWorkers = 48;
  KeyValuePage page;
  page.revision = revision;
  for (int i = 0; i < kWorkers; ++i) {
    page.items.push_back({fmt::format("servers/i-{}", 100 + i), Worker(state)});
  }
  return page;
}

// Guards against a list that is no longer followed because of one odd entry in
// it: the 48 other workers must be used, and their next change applied, whether
// the entry is in the first list, in a watch's reply or in another daemon's
// catalog.
TEST(EntryCatalogTest, OddEntryDoesNotAffectTheOthers) {
  for (const std::string& odd : OddValues()) {
    const std::string shown = odd.substr(0, 200);
    EntryCatalog catalog = MakeCatalog();
    KeyValuePage list = GoodWorkers(1, "ready");
    list.items.insert(list.items.begin(), {"servers/i-1", odd});
    EXPECT_EQ(ApplyWorkers(&catalog, list, true).updated.size(), 48U) << shown;
    EXPECT_EQ(ApplyWorkers(&catalog, Page(2, odd), false).updated.size(), 0U)
        << shown;
    EXPECT_EQ(ApplyWorkers(&catalog, GoodWorkers(3, "draining"), false)
                  .updated.size(),
              48U)
        << shown;
    EntryCatalog other = MakeCatalog();
    CatalogSnapshot snapshot = MakeCatalogSnapshot(catalog);
    EXPECT_EQ(snapshot.workers.size(), 48U) << shown;
    snapshot.workers.insert(snapshot.workers.begin(), {"i-1", odd});
    EXPECT_EQ(ApplyCatalogSnapshot(&other, snapshot).updated.size(), 48U)
        << shown;
    // The worker is used as soon as its entry is readable.
    EXPECT_EQ(
        ApplyWorkers(&other, Page(9, Worker("ready")), false).updated.size(),
        1U)
        << shown;
  }
}

// Returns the number of lines with the event that `action` logs.
int CountLogged(const std::string& event, const std::function<void()>& action) {
  std::FILE* file = std::tmpfile();
  SetLogOutput(fileno(file));
  action();
  SetLogOutput(STDERR_FILENO);
  std::rewind(file);
  std::string text(1 << 16, '\0');
  text.resize(std::fread(text.data(), 1, text.size(), file));
  std::fclose(file);
  int lines = 0;
  for (auto at = text.find(event); at != std::string::npos;
       at = text.find(event, at + 1)) {
    ++lines;
  }
  return lines;
}

// Guards against a log that an odd entry fills: it is logged once, also if the
// list is read or the entry is written again, until it has changed.
TEST(EntryCatalogTest, OddEntryIsLoggedOnce) {
  EntryCatalog catalog = MakeCatalog();
  const auto odd = [](int seq) {
    return fmt::format(R"({{"service":5,"seq":{}}})", seq);
  };
  const auto logged = [&catalog](const KeyValuePage& page, bool complete) {
    return CountLogged("event=worker_record_unreadable",
                       [&] { ApplyWorkers(&catalog, page, complete); });
  };
  EXPECT_EQ(logged(Page(1, odd(1)), true), 1);
  EXPECT_EQ(logged(Page(1, odd(1)), true), 0);
  EXPECT_EQ(logged(Page(2, odd(2)), false), 0);
  EXPECT_EQ(logged(Page(3, "not JSON"), false), 1);
  EXPECT_EQ(logged(Page(4, Worker("ready")), false), 0);
  EXPECT_EQ(logged(Page(5, odd(5)), false), 1);
  KeyValuePage gone;
  gone.revision = 6;
  EXPECT_EQ(logged(gone, true), 0);
  EXPECT_TRUE(catalog.unreadable.empty());
  EXPECT_EQ(logged(Page(7, odd(7)), false), 1);
}

TEST(EntryCatalogTest, CompleteListRemovesUnlistedWorkers) {
  EntryCatalog catalog = MakeCatalog();
  ApplyWorkers(&catalog, Page(1, Worker("ready")), true);
  KeyValuePage empty;
  empty.revision = 9;
  EXPECT_EQ(ApplyWorkers(&catalog, empty, true).removed.size(), 1U);
}

// Guards against a daemon that cannot read the store and does not learn from
// another daemon's snapshot that a worker is draining.
TEST(EntryCatalogTest, SnapshotReplacesOlderStateOnly) {
  EntryCatalog connected = MakeCatalog();
  ApplyConfig(&connected, Config(9));
  ApplyWorkers(&connected, Page(20, Worker("draining")), true);
  EntryCatalog disconnected = MakeCatalog();
  ApplyConfig(&disconnected, Config(7));
  ApplyWorkers(&disconnected, Page(10, Worker("ready")), true);

  const CatalogChange change =
      ApplyCatalogSnapshot(&disconnected, MakeCatalogSnapshot(connected));
  ASSERT_TRUE(change.routes);
  EXPECT_EQ(change.routes->version, 9U);
  ASSERT_EQ(change.updated.size(), 1U);
  EXPECT_TRUE(change.updated[0].draining);

  EntryCatalog newer = MakeCatalog();
  ApplyWorkers(&newer, Page(30, Worker("ready")), true);
  EXPECT_TRUE(ApplyCatalogSnapshot(&newer, MakeCatalogSnapshot(connected))
                  .updated.empty());
}

}  // namespace
}  // namespace sequoiapath
