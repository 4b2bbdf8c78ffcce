// Fuzzes the login cookie of the operator interface: random input must neither
// crash the parser nor authenticate a request.

#include <gtest/gtest.h>

#include <random>
#include <string>

#include "sequoiapath/state/operator_auth.h"

namespace sequoiapath {
namespace {

std::string RandomText(std::mt19937_64* random, std::size_t max_length) {
  std::uniform_int_distribution<std::size_t> length(0, max_length);
  std::uniform_int_distribution<int> byte(0, 255);
  std::string text(length(*random), ' ');
  for (char& c : text) c = static_cast<char>(byte(*random));
  return text;
}

TEST(OperatorInputFuzz, AlteredCookiesAreNeverALogin) {
  const auto now = std::chrono::system_clock::now();
  const std::string value = MakeLoginCookie("maria", "the-token", now);
  const std::string valid = value.substr(0, value.find(';'));
  std::mt19937_64 random(11);
  for (int i = 0; i < 20'000; ++i) {
    std::string altered = valid;
    const std::size_t place = random() % altered.size();
    if (i % 2 == 0) {
      altered[place] = static_cast<char>(altered[place] ^ (1 + random() % 255));
    } else {
      altered = std::string(kOperatorCookie) + "=" + RandomText(&random, 120);
    }
    HttpRequest request;
    request.headers = {{"cookie", altered}};
    // The signature covers the whole cookie, so no altered cookie is valid.
    const auto login = ReadLogin(request, "the-token", now);
    EXPECT_FALSE(login.has_value()) << altered;
  }
}

}  // namespace
}  // namespace sequoiapath
