// Guards the canonical form of the document against fields that are lost or
// changed when a document is converted from TOML to JSON and back to the
// struct.

#include "sequoiapath/protocol/document.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "document_sample.h"

namespace sequoiapath {
namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(SEQUOIAPATH_SOURCE_DIR) + "/examples/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

TEST(DocumentTest, ExamplesRoundTripThroughTheCanonicalForm) {
  for (const char* name : {"instituto.toml", "folding-works.toml"}) {
    const DocumentResult parsed = ParseDocumentToml(ReadExample(name));
    const auto* document = std::get_if<Document>(&parsed);
    ASSERT_NE(document, nullptr) << name;
    const std::string json = EncodeDocument(*document);
    // The JSON library sorts keys, so equal texts show that the keys were
    // sorted.
    EXPECT_EQ(nlohmann::json::parse(json).dump(), json);
    const DocumentResult copy = ParseDocumentJson(json);
    ASSERT_TRUE(std::holds_alternative<Document>(copy)) << name;
    EXPECT_EQ(std::get<Document>(copy), *document);
    EXPECT_EQ(EncodeDocument(std::get<Document>(copy)), json);
  }
}

TEST(DocumentTest, EveryFieldRoundTrips) {
  Document document = SampleDocument(3);
  document.services.front() = {"a",
                               true,
                               std::chrono::milliseconds(7),
                               std::chrono::milliseconds(9),
                               5,
                               6,
                               Priority::kBulk,
                               40,
                               {"joondalup"}};
  document.workers.front().leaving = true;
  document.workers.front().cores = 0.1 + 0.2;
  document.teams.front().weight = 1e-300;
  const DocumentResult copy = ParseDocumentJson(EncodeDocument(document));
  ASSERT_TRUE(std::holds_alternative<Document>(copy));
  EXPECT_EQ(std::get<Document>(copy), document);
}

TEST(DocumentTest, RecordRoundTripsAndAnAlteredRecordIsRejected) {
  ConfigRecord record{7, "c\"1", "", EncodeDocument(SampleDocument(2))};
  record.digest = Sha256Hex(record.document);
  std::string text = EncodeConfigRecord(record);
  const auto decoded = DecodeConfigRecord(text);
  ASSERT_EQ(GetFailure(decoded), nullptr);
  EXPECT_EQ(std::get<ConfigRecord>(decoded), record);
  text.replace(text.find("65536"), 5, "65537");
  EXPECT_NE(GetFailure(DecodeConfigRecord(text)), nullptr);
}

}  // namespace
}  // namespace sequoiapath
