// Guards both document parsers against arbitrary input: they must not crash,
// and each accepted document must round-trip through the canonical form.

#include "sequoiapath/protocol/document.h"

#include <gtest/gtest.h>

#include <random>

#include "document_sample.h"

namespace sequoiapath {
namespace {

constexpr int kRounds = 3'000;
constexpr const char* kToml = R"([[data_centres]]
name = "heredia"
neighbours = ["heredia-2"]
[[data_centres]]
name = "heredia-2"
[[services]]
name = "label-check"
idempotent = true
priority = "urgent"
places = ["heredia"]
[[teams]]
name = "clerks"
quota = 5
weight = 0.5
[[workers]]
name = "w1"
data_centre = "heredia"
address = "127.0.0.1:19000"
cores = 1e1
)";

// Applies one to four edits: replaces, inserts, deletes or duplicates bytes.
std::string Mutate(std::string text, std::mt19937* random) {
  static constexpr std::string_view kBytes =
      "\"[]{}=.,:-0189aenx\n\\\t \x80\xff#_'";
  const auto draw = [random](std::size_t bound) { return (*random)() % bound; };
  for (std::size_t edits = 1 + draw(4); edits > 0; --edits) {
    const std::size_t at = draw(text.size());
    const char byte = kBytes[draw(kBytes.size())];
    switch (draw(4)) {
      case 0:
        text[at] = byte;
        break;
      case 1:
        text.insert(at, 1 + draw(3), byte);
        break;
      case 2:
        text.erase(at, 1 + draw(8));
        break;
      default:
        text.insert(draw(text.size()), text.substr(at, draw(40)));
    }
    if (text.empty()) text = " ";
  }
  return text;
}

// Checks that `result` is a list of errors or a document that round-trips.
// Returns whether it is a document.
bool CheckResult(const DocumentResult& result) {
  if (const auto* errors = std::get_if<DocumentErrors>(&result)) {
    EXPECT_FALSE(errors->empty());
    return false;
  }
  const auto& document = std::get<Document>(result);
  const DocumentResult copy = ParseDocumentJson(EncodeDocument(document));
  EXPECT_TRUE(std::holds_alternative<Document>(copy));
  if (const auto* same = std::get_if<Document>(&copy)) {
    EXPECT_EQ(*same, document);
  }
  return true;
}

TEST(DocumentFuzz, TomlParserHandlesMutations) {
  std::mt19937 random(20'240'517);
  int accepted = 0;
  for (int i = 0; i < kRounds; ++i) {
    accepted += CheckResult(ParseDocumentToml(Mutate(kToml, &random))) ? 1 : 0;
  }
  // The mutations must cause both outcomes.
  EXPECT_GT(accepted, 0);
  EXPECT_LT(accepted, kRounds);
}

TEST(DocumentFuzz, JsonParserHandlesMutations) {
  std::mt19937 random(20'240'518);
  const std::string json = EncodeDocument(SampleDocument(2));
  int accepted = 0;
  for (int i = 0; i < kRounds; ++i) {
    accepted += CheckResult(ParseDocumentJson(Mutate(json, &random))) ? 1 : 0;
  }
  EXPECT_GT(accepted, 0);
  EXPECT_LT(accepted, kRounds);
}

// Guards against a recursive parser that exhausts its stack.
TEST(DocumentFuzz, DeepNestingIsRejected) {
  const std::string open(200'000, '[');
  EXPECT_FALSE(CheckResult(ParseDocumentJson(open)));
  EXPECT_FALSE(CheckResult(ParseDocumentToml("a = " + open)));
}

}  // namespace
}  // namespace sequoiapath
