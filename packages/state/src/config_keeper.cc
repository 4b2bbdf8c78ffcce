#include "sequoiapath/state/config_keeper.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "sequoiapath/state/config_store.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {
namespace {

// Delay of the first read of the store. The reply to the join usually arrives
// first, so that daemons that start together get the configuration from their
// peers instead of loading the store.
constexpr auto kFirstReadDelay = std::chrono::milliseconds(300);
// Delay before a daemon may open a watch. By then the live members of the data
// centre are known, so that only the watchers among them open one.
constexpr auto kWatchDelay = std::chrono::milliseconds(1500);
// Delay of the second read of the store; the delay doubles with each read up to
// kMaxReadRetryDelay.
constexpr auto kInitialReadRetryDelay = std::chrono::milliseconds(500);
// Below the 15 s within which each daemon must put a change in force.
constexpr auto kMaxReadRetryDelay = std::chrono::seconds(8);
// Maximum size of a decompressed document. It exceeds the size of any document
// in the store, which accepts values of up to 1 MiB.
constexpr std::size_t kMaxDocumentBytes = 16u << 20;

// Heartbeats contain only the first characters of the digest. They suffice to
// detect that two documents differ; the whole digest would be a third of each
// heartbeat.
constexpr std::size_t kAnnouncedDigestLength = 16;

std::string AnnouncedDigest(const std::string& digest) {
  return digest.substr(0, kAnnouncedDigestLength);
}

Failure InvalidReply(std::string detail) {
  return {Verdict::kNotRun, Reason::kInvalidRequest, RetryAdvice::kSameSequence,
          std::nullopt, std::move(detail)};
}

ConfigPullReply ToMessage(const ConfigRecord& current, const PullReply& reply) {
  ConfigPullReply message{
      current.generation, current.change_id, current.digest, {}, {}};
  if (const auto* chain = std::get_if<PatchChain>(&reply)) {
    message.form = ConfigForm::kPatches;
    for (const ConfigPatch& patch : chain->patches) {
      message.parts.push_back(EncodeConfigPatch(patch));
    }
  } else if (const auto* whole = std::get_if<WholeDocument>(&reply)) {
    message.form = ConfigForm::kDocument;
    message.parts.push_back(CompressDocument(whole->record.document));
  }
  return message;
}

Result<PullReply> DecodePatches(const ConfigPullReply& message) {
  PatchChain chain;
  for (const std::string& part : message.parts) {
    auto patch = DecodeConfigPatch(part);
    if (const Failure* failure = GetFailure(patch)) return *failure;
    chain.patches.push_back(std::get<ConfigPatch>(std::move(patch)));
  }
  return PullReply(std::move(chain));
}

Result<PullReply> DecodeWholeDocument(const ConfigPullReply& message) {
  if (message.parts.size() != 1) {
    return InvalidReply("reply with a whole document: parts has " +
                        std::to_string(message.parts.size()) +
                        " entries; allowed: exactly 1");
  }
  auto document = DecompressDocument(message.parts.front(), kMaxDocumentBytes);
  if (const Failure* failure = GetFailure(document)) return *failure;
  auto& text = std::get<std::string>(document);
  if (Sha256Hex(text) != message.digest) {
    return InvalidReply("reply with a whole document: digest " +
                        message.digest +
                        " is not the SHA-256 digest of the document");
  }
  return PullReply(WholeDocument{{message.generation, message.change_id,
                                  message.digest, std::move(text)}});
}

Result<PullReply> FromMessage(const ConfigPullReply& message) {
  if (message.form == ConfigForm::kPatches) return DecodePatches(message);
  if (message.form == ConfigForm::kDocument) {
    return DecodeWholeDocument(message);
  }
  return PullReply(UpToDate{});
}

// Returns the live and suspect members of the same data centre. Suspect members
// are included so that a few missed heartbeats do not move a watch to another
// daemon.
std::vector<std::string> PresentPeers(const MemberView& view) {
  std::vector<std::string> present;
  for (const auto& [vm, member] : view.members) {
    const bool answers = member.state == MemberState::kLive ||
                         member.state == MemberState::kSuspect;
    if (answers && member.identity.data_centre == view.self.data_centre) {
      present.push_back(vm);
    }
  }
  return present;
}

}  // namespace
}  // namespace internal

ConfigKeeper::ConfigKeeper(EventLoop* loop, PeerService* peers,
                           Membership* membership, StoreClient* store,
                           ConfigCallback on_config)
    : loop(loop),
      peers(peers),
      membership(membership),
      store(store),
      on_config(std::move(on_config)),
      store_read_retry_delay(internal::kInitialReadRetryDelay),
      random(std::random_device{}()),
      self(std::make_shared<ConfigKeeper*>(this)) {
  peers->Handle<ConfigPull>([this](const ConfigPull& pull,
                                   const PeerReplier<ConfigPullReply>& reply) {
    reply(this->MakePullReply(pull.generation));
  });
  membership->AddListener(this->MakeListener());
}

MembershipListener ConfigKeeper::MakeListener() {
  const auto digest = [this] {
    return this->distribution.current
               ? internal::AnnouncedDigest(this->distribution.current->digest)
               : std::string();
  };
  MembershipListener listener;
  listener.fill_heartbeat = [this, digest](const MemberIdentity& /*to*/,
                                           Heartbeat* heartbeat) {
    heartbeat->config_generation = this->Generation();
    heartbeat->config_digest = digest();
  };
  listener.receive_heartbeat = [this, digest](const Heartbeat& heartbeat,
                                              HeartbeatReply* reply) {
    reply->config_generation = this->Generation();
    reply->config_digest = digest();
    this->ReceiveAnnouncement(heartbeat.sender.vm, heartbeat.config_generation,
                              heartbeat.config_digest);
  };
  listener.receive_heartbeat_reply = [this](const HeartbeatReply& reply) {
    this->ReceiveAnnouncement(reply.sender.vm, reply.config_generation,
                              reply.config_digest);
  };
  listener.fill_join = [this](Join* join) {
    join->config_generation = this->Generation();
  };
  listener.fill_join_reply = [this](const Join& join, JoinReply* reply) {
    reply->config = this->MakePullReply(join.config_generation);
  };
  listener.receive_join_reply = [this](const JoinReply& reply) {
    this->ReceiveReply(reply.config);
  };
  listener.on_change = [this](const MemberStateChange& change) {
    if (change.after == MemberState::kDown) {
      RemovePeer(&this->distribution, change.member.vm);
    }
    this->UpdateWatch();
  };
  return listener;
}

void ConfigKeeper::Start() {
  const bool alone = this->membership->view().seeds.empty();
  this->loop->Schedule(
      alone ? Duration::zero() : Duration(internal::kFirstReadDelay),
      [this] { this->ReadStore(); });
  this->loop->Schedule(internal::kWatchDelay, [this] {
    this->watch_allowed = true;
    this->UpdateWatch();
  });
}

std::uint64_t ConfigKeeper::Generation() const {
  return this->distribution.current ? this->distribution.current->generation
                                    : 0;
}

std::uint64_t ConfigKeeper::PeerGeneration(const std::string& vm) const {
  const auto it = this->distribution.peer_generations.find(vm);
  return it == this->distribution.peer_generations.end() ? 0 : it->second;
}

std::uint64_t ConfigKeeper::Alarms() const {
  return this->alarms_outside_watch +
         (this->watch == nullptr ? 0 : this->watch->Alarms());
}

// Reads the store until there is a configuration. Skips the read if this daemon
// has a watch, because the watch reads the store too.
void ConfigKeeper::ReadStore() {
  if (this->distribution.current) return;
  if (this->watch == nullptr) {
    this->store->GetKey(kConfigKey, [this](const Result<RangeReply>& result) {
      const auto* reply = std::get_if<RangeReply>(&result);
      if (reply == nullptr || reply->entries.empty()) return;
      auto record = DecodeConfigRecord(reply->entries.front().value);
      if (auto* read = std::get_if<ConfigRecord>(&record)) {
        this->Adopt(std::move(*read), UpToDate{});
      }
    });
  }
  this->loop->Schedule(this->store_read_retry_delay,
                       [this] { this->ReadStore(); });
  this->store_read_retry_delay = std::min<Duration>(
      this->store_read_retry_delay * 2, internal::kMaxReadRetryDelay);
}

void ConfigKeeper::UpdateWatch() {
  if (!this->watch_allowed) return;
  const MemberView& view = this->membership->view();
  const bool watcher = IsWatcher(this->distribution.limits, view.self.vm,
                                 internal::PresentPeers(view));
  if (watcher && this->watch == nullptr) this->StartWatch();
  if (!watcher && this->watch != nullptr) this->StopWatch();
}

void ConfigKeeper::StartWatch() {
  Log(LogLevel::kInfo, "config_watch_started");
  this->watch = std::make_unique<ConfigWatch>(
      this->loop, this->store,
      [this](const ConfigRecord& record) { this->Adopt(record, UpToDate{}); });
  if (this->distribution.current) {
    this->watch->SetInForce(*this->distribution.current);
  }
}

void ConfigKeeper::StopWatch() {
  Log(LogLevel::kInfo, "config_watch_stopped");
  this->alarms_outside_watch += this->watch->Alarms();
  this->watch.reset();
}

void ConfigKeeper::ReceiveAnnouncement(const std::string& vm,
                                       std::uint64_t generation,
                                       const std::string& announced) {
  const std::string digest = internal::AnnouncedDigest(announced);
  if (generation > 0 && generation == this->Generation() &&
      digest != internal::AnnouncedDigest(this->distribution.current->digest) &&
      digest != this->contradicting_digest) {
    this->contradicting_digest = digest;
    ++this->alarms_outside_watch;
    Log(LogLevel::kError, "peer_has_other_configuration",
        {{"vm", vm}, {"generation", generation}, {"digest", digest}});
  }
  if (!digest.empty() && digest == this->rejected_digest) return;
  NotePeerGeneration(&this->distribution, vm, generation);
  this->PullIfBehind();
}

void ConfigKeeper::PullIfBehind() {
  const auto vm =
      StartPull(&this->distribution, this->random(), this->loop->Now());
  if (!vm) return;
  const Member* member = this->membership->FindMember(*vm);
  if (member == nullptr) {
    FinishPull(&this->distribution, /*succeeded=*/false);
    return;
  }
  ConfigPull pull;
  if (!this->needs_whole_document && this->distribution.current) {
    pull = {this->Generation(), this->distribution.current->digest};
  }
  const std::uint64_t number = ++this->pull_number;
  this->peers->Send<ConfigPull>(
      member->identity.peer_endpoint, pull,
      this->distribution.limits.pull_timeout,
      [weak = std::weak_ptr<ConfigKeeper*>(this->self), number,
       vm = *vm](const Result<ConfigPullReply>& result) {
        const auto alive = weak.lock();
        if (alive && number == (*alive)->pull_number) {
          (*alive)->OnPulled(vm, result);
        }
      });
}

void ConfigKeeper::OnPulled(const std::string& vm,
                            const Result<ConfigPullReply>& result) {
  const auto* reply = std::get_if<ConfigPullReply>(&result);
  const std::uint64_t before = this->Generation();
  const bool readable = reply != nullptr && this->ReceiveReply(*reply);
  const bool requested_whole = this->needs_whole_document;
  this->needs_whole_document =
      !readable && reply != nullptr && reply->form == ConfigForm::kPatches;
  // If the reply contained nothing newer, the next pull from this peer follows
  // its next announcement; otherwise pulls would repeat without a delay.
  FinishPull(&this->distribution, this->Generation() > before);
  if (this->needs_whole_document && !requested_whole) {
    NotePeerGeneration(&this->distribution, vm, reply->generation);
  }
  this->PullIfBehind();
}

bool ConfigKeeper::ReceiveReply(const ConfigPullReply& message) {
  const auto reject = [](const Failure& failure) {
    Log(LogLevel::kWarning, "config_reply_unusable",
        {{"detail", failure.detail}});
    return false;
  };
  auto decoded = internal::FromMessage(message);
  if (const Failure* failure = GetFailure(decoded)) return reject(*failure);
  auto& reply = std::get<PullReply>(decoded);
  auto resolved = ResolvePullReply(this->distribution, reply);
  if (const Failure* failure = GetFailure(resolved)) return reject(*failure);
  auto& record = std::get<std::optional<ConfigRecord>>(resolved);
  if (record) this->Adopt(*std::move(record), std::move(reply));
  return true;
}

void ConfigKeeper::Adopt(ConfigRecord record, PullReply reply) {
  if (record.generation <= this->Generation()) return;
  DocumentResult parsed = ParseDocumentJson(record.document);
  auto* document = std::get_if<Document>(&parsed);
  if (document == nullptr) {
    this->rejected_digest = internal::AnnouncedDigest(record.digest);
    Log(LogLevel::kError, "config_invalid",
        {{"generation", record.generation}, {"change_id", record.change_id}});
    return;
  }
  AdoptResolvedRecord(&this->distribution, std::move(record), std::move(reply));
  const ConfigRecord& current = *this->distribution.current;
  if (this->watch != nullptr) this->watch->SetInForce(current);
  Log(LogLevel::kInfo, "config_in_force",
      {{"generation", current.generation}, {"change_id", current.change_id}});
  this->on_config(MakeCatalog(current, std::move(*document)));
}

ConfigPullReply ConfigKeeper::MakePullReply(std::uint64_t generation) const {
  if (!this->distribution.current) return {};
  return internal::ToMessage(*this->distribution.current,
                             AnswerPull(this->distribution, generation));
}

}  // namespace sequoiapath
