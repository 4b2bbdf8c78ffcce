// Guards against a catalog that applies an older configuration, keeps workers
// that were removed or whose records cannot be decoded, or replaces newer state
// by another daemon's older snapshot.

#include "sequoiapath/state/entry_catalog.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiapath/platform/adapter.h"

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
      R"("version":"v3","coldLeftMs":0,"slots":8,"state":"{}",)"
      R"("capacity":{{"cpu":16000,"memMb":32768}},)"
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
