// Guards against a store client that misses changes or loses its key after a
// failure: a watch that the store lost, a compacted revision, rejected calls,
// or a lease that ended.

#include "sequoiapath/state/key_value_client.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "fake_store.h"
#include "loop_testing.h"
#include "sequoiapath/platform/adapter.h"

namespace sequoiapath {
namespace {

using platform::testing::Compact;
using platform::testing::FakePlatformStore;
using platform::testing::HandleStoreCall;
using platform::testing::PutItem;
using platform::testing::RemoveItem;
using platform::testing::SetStoreFault;
using platform::testing::StoreFault;
using platform::testing::TickStore;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Maximum time from the end of an outage until the client observes a change.
constexpr Duration kUpdateTimeout = seconds(3);

class KeyValueClientErrorTest : public testing::Test {
 protected:
  void SetUp() override {
    this->store.loop = &this->loop;
    this->server = StartServer(
        &this->loop,
        [this](const HttpRequest& request, const HttpResponder& responder) {
          HandleStoreCall(&this->store, request, responder);
        },
        seconds(60));
    this->Tick();
    this->client = KeyValueClientBuilder(&this->loop, this->server->endpoint(),
                                         platform::MakeKeyValueCodec())
                       .Build();
  }

  void Tick() {
    TickStore(&this->store);
    this->loop.Schedule(milliseconds(20), [this] { this->Tick(); });
  }

  void WatchPrefix(const std::string& prefix) {
    this->client->WatchPrefix(
        prefix,
        [this](const KeyValuePage& page, bool complete, TimePoint /*read_at*/) {
          if (complete) this->items.clear();
          for (const KeyValueItem& item : page.items) {
            this->items[item.key] = item.value;
          }
          for (const std::string& key : page.removed) {
            this->items.erase(key);
          }
        });
  }

  bool WaitFor(const std::string& key, const std::string& value,
               Duration limit = kUpdateTimeout) {
    return RunUntil(
        &this->loop,
        [&] {
          const auto found = this->items.find(key);
          return found != this->items.end() && found->second == value;
        },
        limit);
  }

  EventLoop loop;
  FakePlatformStore store;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<KeyValueClient> client;
  std::map<std::string, std::string> items;
};

TEST_F(KeyValueClientErrorTest, ListsAndWatchesAPrefix) {
  PutItem(&this->store, "k/1", "a");
  PutItem(&this->store, "other", "x");
  this->WatchPrefix("k/");
  EXPECT_TRUE(this->WaitFor("k/1", "a"));
  PutItem(&this->store, "k/2", "b");
  EXPECT_TRUE(this->WaitFor("k/2", "b", milliseconds(500)));
  RemoveItem(&this->store, "k/1");
  EXPECT_TRUE(RunUntil(
      &this->loop, [this] { return this->items.size() == 1; },
      milliseconds(500)));
  EXPECT_FALSE(this->items.contains("other"));
}

// Guards against changes that are missed because an unresponsive store lost the
// pending watch while its connection stayed open.
TEST_F(KeyValueClientErrorTest, WatchIsSentAgainAfterASilentStore) {
  PutItem(&this->store, "k/1", "a");
  this->WatchPrefix("k/");
  ASSERT_TRUE(this->WaitFor("k/1", "a"));
  this->client->PutWithLease({"d/vm-1", "x"}, seconds(3));
  RunFor(&this->loop, milliseconds(200));
  SetStoreFault(&this->store, StoreFault::kUnresponsive);
  RunFor(&this->loop, milliseconds(3500));
  SetStoreFault(&this->store, StoreFault::kNone);
  PutItem(&this->store, "k/1", "b");
  EXPECT_TRUE(this->WaitFor("k/1", "b"));
}

TEST_F(KeyValueClientErrorTest, MissingReplyForABusyPrefixIsAnOutage) {
  this->client->WatchBusyPrefix(
      "k/", [] { return milliseconds(50); },
      [this](const KeyValuePage& page, bool /*complete*/,
             TimePoint /*read_at*/) {
        for (const KeyValueItem& item : page.items) {
          this->items[item.key] = item.value;
        }
      });
  PutItem(&this->store, "k/1", "a");
  ASSERT_TRUE(this->WaitFor("k/1", "a"));
  SetStoreFault(&this->store, StoreFault::kUnresponsive);
  RunFor(&this->loop, milliseconds(300));
  SetStoreFault(&this->store, StoreFault::kNone);
  PutItem(&this->store, "k/1", "b");
  EXPECT_TRUE(this->WaitFor("k/1", "b"));
}

// Guards against a takeover that waits for the pause between two watches, and
// against a list that is taken for newer than it is.
TEST_F(KeyValueClientErrorTest, EndedPauseReadsTheLatestChanges) {
  TimePoint read_at;
  this->client->WatchBusyPrefix(
      "k/", [] { return std::chrono::seconds(30); },
      [this, &read_at](const KeyValuePage& page, bool /*complete*/,
                       TimePoint time) {
        read_at = time;
        for (const KeyValueItem& item : page.items) {
          this->items[item.key] = item.value;
        }
      });
  RunFor(&this->loop, milliseconds(50));
  PutItem(&this->store, "k/1", "a");
  ASSERT_TRUE(this->WaitFor("k/1", "a"));
  PutItem(&this->store, "k/1", "b");
  RunFor(&this->loop, milliseconds(100));
  ASSERT_EQ(this->items["k/1"], "a");
  const TimePoint ended_at = this->loop.Now();
  EXPECT_LT(read_at, ended_at);
  this->client->EndWatchPause("k/");
  EXPECT_TRUE(this->WaitFor("k/1", "b"));
  EXPECT_GE(read_at, ended_at);
}

TEST_F(KeyValueClientErrorTest, ListsAgainWhenTheRevisionIsCompacted) {
  PutItem(&this->store, "k/1", "a");
  this->WatchPrefix("k/");
  ASSERT_TRUE(this->WaitFor("k/1", "a"));
  SetStoreFault(&this->store, StoreFault::kUnavailable);
  Compact(&this->store);
  this->store.watches.clear();
  PutItem(&this->store, "k/2", "b");
  RemoveItem(&this->store, "k/1");
  Compact(&this->store);
  this->client->PutWithLease({"d/vm-1", "x"}, seconds(3));
  RunFor(&this->loop, milliseconds(300));
  SetStoreFault(&this->store, StoreFault::kNone);
  PutItem(&this->store, "k/3", "c");
  EXPECT_TRUE(this->WaitFor("k/3", "c", seconds(20)));
  EXPECT_TRUE(this->items.contains("k/2"));
  EXPECT_FALSE(this->items.contains("k/1"));
}

// Guards against a key that stays missing after the store ended its lease,
// which can happen although the lease is renewed.
TEST_F(KeyValueClientErrorTest, KeyIsPutAgainAfterItsLeaseEnded) {
  this->client->PutWithLease({"d/vm-1", "x"}, milliseconds(900));
  ASSERT_TRUE(RunUntil(
      &this->loop, [this] { return this->store.items.contains("d/vm-1"); }));
  this->store.leases.clear();
  RemoveItem(&this->store, "d/vm-1");
  EXPECT_TRUE(RunUntil(
      &this->loop, [this] { return this->store.items.contains("d/vm-1"); }));
}

TEST_F(KeyValueClientErrorTest, RevokedLeaseRemovesTheKeyAtOnce) {
  this->client->PutWithLease({"d/vm-1", "x"}, seconds(5));
  ASSERT_TRUE(RunUntil(
      &this->loop, [this] { return this->store.items.contains("d/vm-1"); }));
  RunFor(&this->loop, milliseconds(100));
  this->client->RevokeLease();
  EXPECT_TRUE(RunUntil(
      &this->loop, [this] { return !this->store.items.contains("d/vm-1"); },
      milliseconds(500)));
}

}  // namespace
}  // namespace sequoiapath
