// Tests FakeStore, which the configuration tests rely on: compare targets of
// transactions, lease expiry and revocation, the VM list, control messages and
// call counts. A deviation from etcd here would let those tests pass wrongly.

#include "sequoiapath/fakes/fake_store.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "sequoiapath/protocol/store_api.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath {
namespace {

using Json = nlohmann::json;

class FakeStoreTest : public testing::Test {
 protected:
  FakeStoreTest() : store(&this->loop) {
    EXPECT_EQ(this->store.Listen({"127.0.0.1", 0}), std::nullopt);
    this->client =
        HttpClientBuilder(&this->loop, this->store.endpoint()).Build();
  }

  HttpResponse Send(const std::string& method, std::string_view path,
                    const std::string& body) {
    std::optional<HttpResult> result;
    HttpRequest request{method, std::string(path), {}, body, ""};
    this->client->Send(request, std::chrono::seconds(2),
                       [&](HttpResult r) { result = std::move(r); });
    while (!result) this->loop.RunOnce(std::chrono::milliseconds(10));
    return std::get<HttpResponse>(*result);
  }

  Json Post(std::string_view path, const Json& body) {
    return Json::parse(this->Send("POST", path, body.dump()).body);
  }

  // Returns whether a transaction with `compare` on the key "k" succeeds.
  bool CompareSucceeds(Json compare) {
    compare["key"] = EncodeBase64("k");
    return this->Post(kStoreTxnPath, {{"compare", {compare}}})
        .value("succeeded", false);
  }

  EventLoop loop;
  FakeStore store;
  std::unique_ptr<HttpClient> client;
};

TEST_F(FakeStoreTest, CompareTargets) {
  const Json put{{"key", EncodeBase64("k")}, {"value", EncodeBase64("v")}};
  this->Post(kStorePutPath, put);
  this->Post(kStorePutPath, put);
  EXPECT_TRUE(
      this->CompareSucceeds({{"target", "MOD"}, {"mod_revision", "3"}}));
  EXPECT_TRUE(
      this->CompareSucceeds({{"target", "CREATE"}, {"create_revision", "2"}}));
  EXPECT_TRUE(this->CompareSucceeds({{"target", "VERSION"}, {"version", "2"}}));
  EXPECT_TRUE(this->CompareSucceeds(
      {{"target", "VALUE"}, {"value", EncodeBase64("v")}}));
  EXPECT_FALSE(this->CompareSucceeds(
      {{"target", "MOD"}, {"result", "GREATER"}, {"mod_revision", "3"}}));
  EXPECT_TRUE(this->CompareSucceeds(
      {{"target", "VERSION"}, {"result", "LESS"}, {"version", "3"}}));
}

TEST_F(FakeStoreTest, LeaseExpiresUnlessKeptAlive) {
  const Json lease = this->Post(kStoreLeaseGrantPath, {{"TTL", "1"}});
  this->Post(kStorePutPath, {{"key", EncodeBase64("k")},
                             {"value", EncodeBase64("v")},
                             {"lease", lease.at("ID")}});
  const auto wait = [this](std::chrono::milliseconds time) {
    const TimePoint end = this->loop.Now() + time;
    while (this->loop.Now() < end) {
      this->loop.RunOnce(std::chrono::milliseconds(10));
    }
  };
  wait(std::chrono::milliseconds(700));
  EXPECT_EQ(this->Post(kStoreLeaseKeepAlivePath, {{"ID", lease.at("ID")}})
                .at("result")
                .at("TTL"),
            "1");
  wait(std::chrono::milliseconds(700));
  EXPECT_TRUE(this->store.Peek("k").has_value());
  wait(std::chrono::milliseconds(500));
  EXPECT_FALSE(this->store.Peek("k").has_value());
  EXPECT_FALSE(this->Post(kStoreLeaseKeepAlivePath, {{"ID", lease.at("ID")}})
                   .at("result")
                   .contains("TTL"));
}

TEST_F(FakeStoreTest, LeasesExpireAndAreRevoked) {
  for (const bool expire : {true, false}) {
    const Json lease = this->Post(kStoreLeaseGrantPath, {{"TTL", "60"}});
    this->Post(kStorePutPath,
               {{"key", EncodeBase64("k")}, {"lease", lease.at("ID")}});
    if (expire) {
      this->Post("/control", {{"lapse_leases", true}});
    } else {
      this->Post(kStoreLeaseRevokePath, {{"ID", lease.at("ID")}});
    }
    EXPECT_FALSE(this->store.Peek("k").has_value());
  }
}

TEST_F(FakeStoreTest, VmListAndCountsAndControlErrors) {
  this->Post("/control", {{"vms",
                           {{{"data_centre", "heredia"},
                             {"vm", "entry-1"},
                             {"address", "10.0.0.1"},
                             {"state", "live"}}}}});
  EXPECT_EQ(this->store.Peek("/platform/vms/heredia/entry-1"),
            R"({"address":"10.0.0.1","state":"live"})");
  const auto range = DecodeRangeReply(
      this->Send("POST", kStoreRangePath, EncodeRangePrefix("/platform/vms/"))
          .body);
  EXPECT_EQ(std::get<RangeReply>(range).entries.size(), 1U);
  this->Post("/control", {{"vms",
                           {{{"data_centre", "heredia"},
                             {"vm", "entry-1"},
                             {"state", "absent"}}}}});
  EXPECT_FALSE(this->store.Peek("/platform/vms/heredia/entry-1").has_value());
  const Json stats = Json::parse(this->Send("GET", "/control/stats", "").body);
  EXPECT_EQ(stats.at("range"), 1);
  EXPECT_EQ(this->Send("POST", "/control", R"({"dwon": true})").status, 400);
  EXPECT_EQ(this->Send("POST", kStoreRangePath, "{").status, 400);
  this->Post("/control", {{"down", true}});
  EXPECT_EQ(this->Send("POST", kStoreRangePath, EncodeRangeKey("k")).status,
            503);
}

}  // namespace
}  // namespace sequoiapath
