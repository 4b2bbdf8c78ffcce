// Tests the operator interface: authentication, the contents of the console's
// pages and the changes that its forms submit.

#include "sequoiapath/state/operator_api.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <optional>

#include "sequoiapath/transport/http_client.h"
#include "support/fake_operator_backend.h"

namespace sequoiapath {
namespace {

constexpr const char* kToken = "test-operator-token-1234";

class OperatorApiTest : public testing::Test {
 protected:
  OperatorApiTest() : api(kToken, BackendOf(&this->fake)) {
    FillWithExamples(&this->fake);
    auto built = HttpServerBuilder(&this->loop)
                     .Listen({"127.0.0.1", 0})
                     .Handler([this](const HttpRequest& request,
                                     const HttpResponder& responder) {
                       this->api.Handle(request, responder);
                     })
                     .Build();
    this->server = std::get<std::unique_ptr<HttpServer>>(std::move(built));
    this->client =
        HttpClientBuilder(&this->loop, this->server->endpoint()).Build();
  }

  HttpResponse Call(std::string method, std::string path, HttpHeaders headers,
                    std::string body = "") {
    std::optional<HttpResult> result;
    this->client->Send({std::move(method), std::move(path), std::move(headers),
                        std::move(body), ""},
                       std::chrono::seconds(5),
                       [&](const HttpResult& received) { result = received; });
    while (!result) this->loop.RunOnce(std::chrono::milliseconds(10));
    return std::get<HttpResponse>(*result);
  }

  HttpResponse Get(std::string path) {
    return this->Call("GET", std::move(path), {{"cookie", this->cookie}});
  }

  HttpResponse Post(std::string path, std::string body) {
    return this->Call("POST", std::move(path), {{"cookie", this->cookie}},
                      std::move(body));
  }

  void Login() {
    const HttpResponse response = this->Call(
        "POST", "/login", {}, std::string("author=maria&token=") + kToken);
    ASSERT_EQ(response.status, 303);
    const auto value = FindHeader(response.headers, "set-cookie");
    ASSERT_TRUE(value.has_value());
    this->set_cookie = *value;
    this->cookie = this->set_cookie.substr(0, this->set_cookie.find(';'));
    this->form_token =
        Between(this->Get("/team").body, "name=\"form_token\" value=\"", "\"");
  }

  static std::string Between(const std::string& text, const std::string& before,
                             const std::string& after) {
    const std::size_t begin = text.find(before);
    if (begin == std::string::npos) return "";
    const std::size_t start = begin + before.size();
    return text.substr(start, text.find(after, start) - start);
  }

  // Returns the body of a form that sets the quota of the team "depot-clerks".
  std::string TeamEditFormBody(int quota) const {
    return "form_token=" + this->form_token +
           "&name=depot-clerks&base_generation=7&base_quota=200&base_weight=2"
           "&change_id=00112233445566778899aabbccddeeff&weight=2&quota=" +
           std::to_string(quota);
  }

  EventLoop loop;
  FakeOperatorBackend fake;
  OperatorApi api;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;
  std::string set_cookie;
  std::string cookie;
  std::string form_token;
};

// Metrics and status must not be readable without the operator token.
TEST_F(OperatorApiTest, DataNeedsTheToken) {
  for (const char* path : {"/metrics", "/v1/status", "/v1/late"}) {
    EXPECT_EQ(this->Call("GET", path, {}).status, 401);
    EXPECT_EQ(
        this->Call("GET", path, {{"authorization", "Bearer wrong"}}).status,
        401);
    EXPECT_EQ(this->Call("GET", path,
                         {{"authorization", std::string("Bearer ") + kToken}})
                  .status,
              200);
  }
}

TEST_F(OperatorApiTest, StatusAndLateAreJson) {
  const HttpHeaders headers{{"authorization", std::string("Bearer ") + kToken}};
  const auto status =
      nlohmann::json::parse(this->Call("GET", "/v1/status", headers).body);
  EXPECT_EQ(status["incarnation"], "abcdef");
  EXPECT_EQ(status["generation"], 7);
  EXPECT_EQ(status["members"].size(), 2u);
  const auto late =
      nlohmann::json::parse(this->Call("GET", "/v1/late", headers).body);
  EXPECT_EQ(late["entries"][0]["reason"], "worker_silent");
}

// Pages must not show any state without a login; they redirect to the login
// page.
TEST_F(OperatorApiTest, PagesRedirectToLoginWithoutCookie) {
  for (const char* path : {"/", "/teams", "/history", "/late"}) {
    EXPECT_EQ(this->Call("GET", path, {}).status, 303) << path;
  }
  EXPECT_EQ(this->Call("GET", "/login", {}).status, 200);
}

// The cookie must not contain the token and must not be readable by scripts.
TEST_F(OperatorApiTest, CookieIsDerivedAndRestricted) {
  this->Login();
  EXPECT_EQ(this->set_cookie.find(kToken), std::string::npos);
  EXPECT_NE(this->set_cookie.find("; HttpOnly"), std::string::npos);
  EXPECT_NE(this->set_cookie.find("; SameSite=Strict"), std::string::npos);
  EXPECT_EQ(this->Get("/").status, 200);
  // A cookie with another name or a later expiry time must be rejected, because
  // the signature covers both.
  const std::string whole = this->cookie;
  this->cookie.replace(this->cookie.find("maria"), 5, "pedro");
  EXPECT_EQ(this->Get("/").status, 303);
  this->cookie = whole;
  this->cookie[this->cookie.find('=') + 1] = '9';
  EXPECT_EQ(this->Get("/").status, 303);
}

// A cookie must not be valid after its expiry time or under another token.
TEST_F(OperatorApiTest, LoginEndsAfterItsTime) {
  const auto now = std::chrono::system_clock::now();
  HttpRequest request;
  const std::string value = MakeLoginCookie("maria", kToken, now);
  request.headers = {{"cookie", "a=b; " + value.substr(0, value.find(';'))}};
  EXPECT_TRUE(ReadLogin(request, kToken, now).has_value());
  EXPECT_FALSE(ReadLogin(request, "another-token", now).has_value());
  EXPECT_FALSE(
      ReadLogin(request, kToken, now + std::chrono::hours(13)).has_value());
}

// Cross-site request forgery: a page of another site must not change the
// configuration through the browser of a logged-in operator.
TEST_F(OperatorApiTest, CrossSitePostsAreRefused) {
  this->Login();
  const auto post = [this](HttpHeaders headers, const std::string& body) {
    headers.push_back({"cookie", this->cookie});
    return this->Call("POST", "/teams/submit", headers, body).status;
  };
  const std::string own = "http://" + ToString(this->server->endpoint());
  EXPECT_EQ(
      post({{"origin", "http://evil.example"}}, this->TeamEditFormBody(1)),
      403);
  EXPECT_EQ(post({{"origin", "null"}}, this->TeamEditFormBody(1)), 403);
  EXPECT_EQ(post({{"sec-fetch-site", "cross-site"}}, this->TeamEditFormBody(1)),
            403);
  EXPECT_EQ(post({{"sec-fetch-site", "same-site"}}, this->TeamEditFormBody(1)),
            403);
  EXPECT_EQ(post({}, "name=depot-clerks&quota=1&weight=1"), 403);
  EXPECT_EQ(post({}, "form_token=x&name=depot-clerks&quota=1&weight=1"), 403);
  EXPECT_EQ(this->fake.generation, 7u);
  EXPECT_EQ(post({{"origin", own}, {"sec-fetch-site", "same-origin"}},
                 this->TeamEditFormBody(1)),
            200);
}

// Text that callers choose, such as a team name, must not become markup in the
// console (cross-site scripting).
TEST_F(OperatorApiTest, CallerTextIsEscaped) {
  this->Login();
  const std::string body = this->Get("/late").body;
  EXPECT_EQ(body.find("<script"), std::string::npos);
  EXPECT_NE(body.find("&lt;script&gt;"), std::string::npos);
  EXPECT_NE(body.find("1 disconnected"), std::string::npos);
}

// The overview must show which daemons have an older generation.
TEST_F(OperatorApiTest, OverviewShowsDaemonsBehind) {
  this->Login();
  const std::string body = this->Get("/").body;
  EXPECT_NE(body.find("1 of 3 daemons are behind"), std::string::npos);
  EXPECT_NE(body.find("behind by 3"), std::string::npos);
}

// A list of hundreds of workers must be split into pages, and a page number out
// of range must not fail.
TEST_F(OperatorApiTest, LongListsArePaginated) {
  this->Login();
  EXPECT_EQ(this->Get("/targets").body.find("san-jose-449"), std::string::npos);
  EXPECT_NE(this->Get("/targets?page=3").body.find("san-jose-449"),
            std::string::npos);
  EXPECT_EQ(this->Get("/targets?page=99999999999999999999").status, 200);
}

// Previewing an edit must not apply it, and submitting it must apply it once.
TEST_F(OperatorApiTest, EditShowsTheDifferenceThenApplies) {
  this->Login();
  const std::string page =
      this->Post("/teams/check", this->TeamEditFormBody(250)).body;
  EXPECT_NE(page.find("quota 250, weight 2"), std::string::npos);
  EXPECT_EQ(this->fake.generation, 7u);
  EXPECT_EQ(this->Post("/teams/submit", this->TeamEditFormBody(250)).status,
            200);
  EXPECT_EQ(this->fake.document.teams[0].quota, 250);
  EXPECT_EQ(this->fake.history[0].author, "maria");
  // Reloading the result page submits the same change id again.
  EXPECT_EQ(this->Post("/teams/submit", this->TeamEditFormBody(250)).status,
            200);
  EXPECT_EQ(this->fake.generation, 8u);
}

TEST_F(OperatorApiTest, AddsATeam) {
  this->Login();
  EXPECT_EQ(
      this->Post("/teams/submit", "form_token=" + this->form_token +
                                      "&name=night-shift&quota=5&weight=0.5"
                                      "&base_generation=7")
          .status,
      200);
  ASSERT_EQ(this->fake.document.teams.size(), 3u);
  EXPECT_EQ(this->fake.document.teams[1].name, "night-shift");
}

// An edit must not overwrite a concurrent change of the same team; the page
// shows the base value and both changes.
TEST_F(OperatorApiTest, ConflictShowsBothSides) {
  this->Login();
  this->fake.document.teams[0].quota = 180;
  const HttpResponse response =
      this->Post("/teams/submit", this->TeamEditFormBody(250));
  EXPECT_EQ(response.status, 409);
  for (const char* side : {"quota 200", "quota 180", "quota 250"}) {
    EXPECT_NE(response.body.find(side), std::string::npos) << side;
  }
  EXPECT_EQ(this->fake.document.teams[0].quota, 180);
}

// After a lost reply the form must resubmit the same change id: a new one could
// apply the change twice.
TEST_F(OperatorApiTest, UnknownOutcomeOffersTheSameChange) {
  this->Login();
  this->fake.forced_result = ChangeUnknown{"the reply was lost"};
  const HttpResponse response =
      this->Post("/teams/submit", this->TeamEditFormBody(250));
  EXPECT_EQ(response.status, 504);
  EXPECT_NE(response.body.find("the reply was lost"), std::string::npos);
  EXPECT_NE(response.body.find(
                "name=\"change_id\" value=\"00112233445566778899aabbccddeeff"),
            std::string::npos);
}

// All invalid fields must be reported at once, not only the first.
TEST_F(OperatorApiTest, EveryInvalidFieldIsListed) {
  this->Login();
  const HttpResponse response =
      this->Post("/teams/check", "form_token=" + this->form_token +
                                     "&name=<b>&quota=-1&weight=nan");
  EXPECT_EQ(response.status, 422);
  for (const char* key : {">name<", ">quota<", ">weight<", "&lt;b&gt;"}) {
    EXPECT_NE(response.body.find(key), std::string::npos) << key;
  }
}

}  // namespace
}  // namespace sequoiapath
