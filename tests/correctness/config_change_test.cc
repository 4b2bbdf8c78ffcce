// Tests differences and rebases of documents: a rebase must keep the changes of
// both sides and must return only valid documents.

#include "sequoiapath/coordination/config_change.h"

#include <gtest/gtest.h>

#include <random>

#include "document_sample.h"

namespace sequoiapath {
namespace {

// Guards against a difference that misses a changed, added or removed entry.
TEST(ConfigChangeTest, DifferenceNamesSectionEntryAndField) {
  const Document from = SampleDocument(4);
  Document to = from;
  to.workers[1].slots = 4;
  to.teams.pop_back();
  to.data_centres.push_back({"armadale", "", {}});
  const FieldChanges changes = DiffDocuments(from, to);
  ASSERT_EQ(changes.size(), 3U);
  EXPECT_EQ(FormatChange(changes[0]),
            "+ data_centres \"armadale\": "
            R"({"name":"armadale","neighbours":[],"region":""})");
  EXPECT_EQ(FormatChange(changes[1]), "- teams \"school-0001\"");
  EXPECT_EQ(FormatChange(changes[2]),
            "~ workers \"worker-00001\" slots: 8 -> 4");
  EXPECT_TRUE(DiffDocuments(from, from).empty());
}

// Guards against a conflict between changes of different fields of one entry.
TEST(ConfigChangeTest, UnrelatedFieldsOfOneEntryMerge) {
  const Document base = SampleDocument(4);
  Document ours = base;
  Document theirs = base;
  ours.workers[0].slots = 4;
  ours.teams[0].quota = 77;
  theirs.workers[0].cores = 8;
  theirs.services[0].idempotent = false;
  Document expected = ours;
  expected.workers[0].cores = 8;
  expected.services[0].idempotent = false;
  const RebaseResult result = RebaseChange(base, ours, theirs);
  ASSERT_TRUE(std::holds_alternative<Document>(result));
  EXPECT_EQ(std::get<Document>(result), expected);
}

// Guards against a rebase that silently prefers one of two different values, or
// that loses the conflict of a removed entry with a changed one.
TEST(ConfigChangeTest, ConflictsShowBothSides) {
  const Document base = SampleDocument(4);
  Document ours = base;
  Document theirs = base;
  ours.teams[0].quota = 20;
  theirs.teams[0].quota = 30;
  ours.workers.erase(ours.workers.begin());
  theirs.workers[0].leaving = true;
  const RebaseResult result = RebaseChange(base, ours, theirs);
  const auto* conflicts = std::get_if<FieldConflicts>(&result);
  ASSERT_NE(conflicts, nullptr);
  ASSERT_EQ(conflicts->size(), 2U);
  EXPECT_EQ((*conflicts)[0],
            (FieldConflict{"teams", "school-0000", "quota", "10", "20", "30"}));
  EXPECT_EQ((*conflicts)[1].field, "");
  EXPECT_EQ((*conflicts)[1].ours, "");
}

// Guards against accepting an invalid merge of two valid changes: one removes a
// data centre, and the other one adds a worker to it.
TEST(ConfigChangeTest, InvalidMergeIsRefused) {
  Document base = SampleDocument(4);
  base.data_centres.push_back({"armadale", "", {}});
  Document ours = base;
  Document theirs = base;
  ours.data_centres.pop_back();
  WorkerSpec worker = base.workers[0];
  worker.name = "worker-99999";
  worker.address.port = 9;
  worker.data_centre = "armadale";
  theirs.workers.push_back(worker);
  const RebaseResult result = RebaseChange(base, ours, theirs);
  EXPECT_TRUE(std::holds_alternative<DocumentErrors>(result));
}

// Guards against rebases that lose a change, with random changes: if there is
// no conflict, the merged document contains every field that our change set,
// and it differs from the newer document in at most that many fields.
TEST(ConfigChangeTest, RandomRebasesKeepBothSides) {
  std::mt19937 random(31);
  const Document base = SampleDocument(6);
  const auto change = [&random](Document* document) {
    for (int i = 0; i < 2; ++i) {
      WorkerSpec& worker = document->workers[random() % 6];
      (random() % 2 == 0 ? worker.slots : worker.accelerators) =
          1 + static_cast<int>(random() % 3);
    }
  };
  int merged_count = 0;
  for (int round = 0; round < 300; ++round) {
    Document ours = base;
    Document theirs = base;
    change(&ours);
    change(&theirs);
    const RebaseResult result = RebaseChange(base, ours, theirs);
    const auto* merged = std::get_if<Document>(&result);
    if (merged == nullptr) continue;
    ++merged_count;
    const FieldChanges from_theirs = DiffDocuments(theirs, *merged);
    for (const FieldChange& wanted : DiffDocuments(base, ours)) {
      const auto left = DiffDocuments(*merged, ours);
      for (const FieldChange& other : left) {
        EXPECT_FALSE(other.name == wanted.name && other.field == wanted.field);
      }
    }
    EXPECT_LE(from_theirs.size(), DiffDocuments(base, ours).size());
  }
  EXPECT_GT(merged_count, 50);
}

// Guards against a new record whose generation is not above the current one or
// is below the required minimum.
TEST(ConfigChangeTest, NextRecordHasAGreaterGeneration) {
  const Document document = SampleDocument(2);
  const ConfigRecord first = NextConfigRecord(nullptr, document, "a", 0);
  EXPECT_EQ(first.generation, 1U);
  EXPECT_EQ(NextConfigRecord(&first, document, "b", 0).generation, 2U);
  EXPECT_EQ(NextConfigRecord(&first, document, "b", 9).generation, 9U);
  EXPECT_EQ(first.digest, Sha256Hex(first.document));
}

}  // namespace
}  // namespace sequoiapath
