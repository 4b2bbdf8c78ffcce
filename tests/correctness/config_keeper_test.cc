// Tests how a daemon puts configurations of its peers in force. Guards against
// unchecked configurations, an invalid configuration that blocks later ones,
// and a patch that cannot be applied and leaves the daemon at an old
// generation.

#include "sequoiapath/state/config_keeper.h"

#include <memory>
#include <vector>

#include "document_sample.h"
#include "loop_testing.h"

namespace sequoiapath {
namespace {

ConfigRecord RecordOf(std::uint64_t generation, int quota) {
  Document document = SampleDocument(2);
  document.teams[0].quota = quota;
  ConfigRecord record{generation, "id", "", EncodeDocument(document)};
  record.digest = Sha256Hex(record.document);
  return record;
}

ConfigPullReply WholeReply(const ConfigRecord& record) {
  return {record.generation,
          record.change_id,
          record.digest,
          ConfigForm::kDocument,
          {CompressDocument(record.document)}};
}

// A daemon whose store is unreachable, and a peer whose replies the test sets.
class ConfigKeeperTest : public testing::Test {
 protected:
  ConfigKeeperTest() {
    this->own = MakePeerService();
    this->peer = MakePeerService();
    this->store = std::make_unique<StoreClient>(
        &this->loop, std::vector<Endpoint>{{"127.0.0.1", 1}},
        std::chrono::seconds(1));
    this->membership = std::make_unique<Membership>(
        &this->loop, this->own.get(),
        MemberIdentity{"heredia", "vm-1", this->own->endpoint(), 1},
        std::vector<Endpoint>{this->peer->endpoint()});
    this->keeper = std::make_unique<ConfigKeeper>(
        &this->loop, this->own.get(), this->membership.get(), this->store.get(),
        [this](const std::shared_ptr<const Catalog>& config) {
          this->in_force_generations.push_back(config->generation);
        });
    this->peer->Handle<Join>(
        [this](const Join&, const PeerReplier<JoinReply>& reply) {
          JoinReply answer;
          answer.sender = this->PeerIdentity();
          answer.members = {{this->PeerIdentity(), false}};
          answer.config = this->join_config;
          reply(answer);
        });
    this->peer->Handle<Heartbeat>(
        [this](const Heartbeat&, const PeerReplier<HeartbeatReply>& reply) {
          HeartbeatReply answer;
          answer.sender = this->PeerIdentity();
          answer.config_generation = this->announced.generation;
          answer.config_digest = this->announced.digest;
          reply(answer);
        });
    this->peer->Handle<ConfigPull>(
        [this](const ConfigPull& pull,
               const PeerReplier<ConfigPullReply>& reply) {
          this->pulls.push_back(pull.generation);
          reply(pull.generation == 0 ? WholeReply(this->announced)
                                     : this->patch_reply);
        });
  }

  std::unique_ptr<PeerService> MakePeerService() {
    auto built = PeerServiceBuilder(&this->loop)
                     .Listen({"127.0.0.1", 0})
                     .ClusterKey("key")
                     .Build();
    return std::get<std::unique_ptr<PeerService>>(std::move(built));
  }

  MemberIdentity PeerIdentity() const {
    return {"heredia", "vm-2", this->peer->endpoint(), 2};
  }

  void Start() {
    this->membership->Start();
    this->keeper->Start();
  }

  bool WaitForGeneration(std::uint64_t generation) {
    return RunUntil(&this->loop, [this, generation] {
      return this->keeper->Generation() == generation;
    });
  }

  EventLoop loop;
  std::unique_ptr<PeerService> own;
  std::unique_ptr<PeerService> peer;
  std::unique_ptr<StoreClient> store;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<ConfigKeeper> keeper;
  // The configuration in the replies to join messages.
  ConfigPullReply join_config;
  // The record that the peer announces in its heartbeat replies.
  ConfigRecord announced;
  // The reply to pulls from a daemon that has a configuration.
  ConfigPullReply patch_reply;
  // The generation in each pull that the peer received.
  std::vector<std::uint64_t> pulls;
  std::vector<std::uint64_t> in_force_generations;
};

using Generations = std::vector<std::uint64_t>;

TEST_F(ConfigKeeperTest, JoinReplyContainsTheConfiguration) {
  this->announced = RecordOf(4, 10);
  this->join_config = WholeReply(this->announced);
  this->Start();
  ASSERT_TRUE(this->WaitForGeneration(4));
  EXPECT_TRUE(this->pulls.empty());
}

TEST_F(ConfigKeeperTest, PatchesAreAppliedAndPassedOn) {
  const ConfigRecord first = RecordOf(4, 10);
  this->announced = RecordOf(5, 20);
  this->join_config = WholeReply(first);
  this->patch_reply = {
      5,
      "id",
      this->announced.digest,
      ConfigForm::kPatches,
      {EncodeConfigPatch(MakeConfigPatch(first, this->announced))}};
  this->Start();
  ASSERT_TRUE(this->WaitForGeneration(5));
  EXPECT_EQ(this->pulls, (Generations{4}));
  std::optional<ConfigPullReply> passed_on;
  this->peer->Send<ConfigPull>(this->own->endpoint(), {4, first.digest},
                               std::chrono::seconds(2),
                               [&](const Result<ConfigPullReply>& result) {
                                 passed_on = std::get<ConfigPullReply>(result);
                               });
  ASSERT_TRUE(RunUntil(&this->loop, [&] { return passed_on.has_value(); }));
  EXPECT_EQ(*passed_on, this->patch_reply);
}

// Guards against a daemon that stays at an old generation after a patch was
// made for another base document and could not be applied.
TEST_F(ConfigKeeperTest, FailedPatchIsFollowedByTheWholeDocument) {
  this->announced = RecordOf(6, 20);
  this->join_config = WholeReply(RecordOf(4, 10));
  ConfigPatch wrong = MakeConfigPatch(RecordOf(3, 9), this->announced);
  this->patch_reply = {6,
                       "id",
                       this->announced.digest,
                       ConfigForm::kPatches,
                       {EncodeConfigPatch(wrong)}};
  this->Start();
  ASSERT_TRUE(this->WaitForGeneration(6));
  EXPECT_EQ(this->pulls, (Generations{4, 0}));
}

// Guards against repeated pulls of a document that this version considers
// invalid, as a peer of another version may have, and against ignoring the next
// valid document.
TEST_F(ConfigKeeperTest, InvalidDocumentIsSkippedAndDoesNotBlockALaterOne) {
  this->announced = {5, "id", "", R"({"teams":7})"};
  this->announced.digest = Sha256Hex(this->announced.document);
  this->Start();
  ASSERT_TRUE(RunUntil(&this->loop, [this] { return !this->pulls.empty(); }));
  RunFor(&this->loop, std::chrono::seconds(1));
  EXPECT_EQ(this->pulls.size(), 1u);
  EXPECT_EQ(this->keeper->Generation(), 0u);
  this->announced = RecordOf(6, 20);
  ASSERT_TRUE(this->WaitForGeneration(6));
  EXPECT_EQ(this->in_force_generations, (Generations{6}));
}

TEST_F(ConfigKeeperTest, DocumentWithAnotherDigestIsRefused) {
  this->join_config = WholeReply(RecordOf(4, 10));
  this->join_config.digest = RecordOf(4, 11).digest;
  this->Start();
  RunFor(&this->loop, std::chrono::seconds(1));
  EXPECT_TRUE(this->in_force_generations.empty());
}

TEST_F(ConfigKeeperTest, SameGenerationWithAnotherDigestIsOneAlarm) {
  this->join_config = WholeReply(RecordOf(4, 10));
  this->announced = RecordOf(4, 11);
  this->Start();
  ASSERT_TRUE(this->WaitForGeneration(4));
  ASSERT_TRUE(
      RunUntil(&this->loop, [this] { return this->keeper->Alarms() == 1; }));
  RunFor(&this->loop, std::chrono::seconds(1));
  EXPECT_EQ(this->keeper->Alarms(), 1u);
  EXPECT_EQ(this->in_force_generations, (Generations{4}));
}

}  // namespace
}  // namespace sequoiapath
