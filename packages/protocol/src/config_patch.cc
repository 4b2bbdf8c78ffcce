#include "sequoiapath/protocol/config_patch.h"

#include <fmt/format.h>
#include <zstd.h>

#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

// The default level of zstd. It is fast enough, because documents are small and
// rarely compressed.
constexpr int kCompressionLevel = 3;

Failure MakeFailure(Reason reason, std::string detail) {
  return {Verdict::kNotRun, reason, RetryAdvice::kSameSequence, std::nullopt,
          std::move(detail)};
}

// Converts each list of named entries to an object keyed by name. Moves the
// entries, because copying them takes longer than parsing them.
Json ToKeyed(Json document) {
  Json keyed = Json::object();
  for (auto& [section, entries] : document.get_ref<Json::object_t&>()) {
    Json& target = keyed[section] = Json::object();
    for (Json& entry : entries) {
      auto name = entry.at("name").get<std::string>();
      target[std::move(name)] = std::move(entry);
    }
  }
  return keyed;
}

// Reverses ToKeyed. Json objects are ordered by key, so the lists are sorted.
Json FromKeyed(Json keyed) {
  Json document = Json::object();
  for (auto& [section, entries] : keyed.get_ref<Json::object_t&>()) {
    Json& target = document[section] = Json::array();
    for (auto& [name, entry] : entries.get_ref<Json::object_t&>()) {
      target.push_back(std::move(entry));
    }
  }
  return document;
}

// Removes the entries that are equal in both documents. They do not affect the
// difference, but Json::diff would compare them once per nesting level.
void RemoveEqualEntries(Json* before, Json* after) {
  for (auto& [section, entries] : before->get_ref<Json::object_t&>()) {
    const auto other_section = after->find(section);
    if (other_section == after->end()) continue;
    auto& left = entries.get_ref<Json::object_t&>();
    auto& right = other_section->get_ref<Json::object_t&>();
    for (auto it = left.begin(); it != left.end();) {
      const auto other = right.find(it->first);
      const bool equal = other != right.end() && it->second == other->second;
      if (equal) right.erase(other);
      it = equal ? left.erase(it) : std::next(it);
    }
  }
}

}  // namespace
}  // namespace internal

ConfigPatch MakeConfigPatch(const ConfigRecord& from, const ConfigRecord& to) {
  auto before = internal::ToKeyed(internal::Json::parse(from.document));
  auto after = internal::ToKeyed(internal::Json::parse(to.document));
  internal::RemoveEqualEntries(&before, &after);
  return {from.generation, to.generation, to.change_id, to.digest,
          internal::Json::diff(before, after).dump()};
}

Result<ConfigRecord> ApplyConfigPatch(const ConfigRecord& record,
                                      const ConfigPatch& patch) {
  if (patch.from_generation != record.generation) {
    return internal::MakeFailure(
        Reason::kConflict,
        fmt::format(
            "patch applies to generation {}, but the record has generation {}",
            patch.from_generation, record.generation));
  }
  ConfigRecord result{patch.to_generation, patch.change_id, patch.digest, ""};
  try {
    auto keyed = internal::ToKeyed(internal::Json::parse(record.document));
    keyed.patch_inplace(internal::Json::parse(patch.patch));
    result.document = internal::FromKeyed(std::move(keyed)).dump();
  } catch (const internal::Json::exception& error) {
    return internal::MakeFailure(Reason::kInvalidRequest, error.what());
  }
  if (Sha256Hex(result.document) != patch.digest) {
    return internal::MakeFailure(
        Reason::kConflict,
        "digest of the patched document differs from the patch's digest");
  }
  return result;
}

std::string EncodeConfigPatch(const ConfigPatch& patch) {
  const internal::Json fields{patch.from_generation, patch.to_generation,
                              patch.change_id, patch.digest, patch.patch};
  std::string bytes;
  internal::Json::to_msgpack(fields, bytes);
  return bytes;
}

Result<ConfigPatch> DecodeConfigPatch(std::string_view bytes) {
  try {
    const auto fields =
        internal::Json::from_msgpack(bytes.begin(), bytes.end());
    return ConfigPatch{
        fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::uint64_t>(),
        fields.at(2).get<std::string>(), fields.at(3).get<std::string>(),
        fields.at(4).get<std::string>()};
  } catch (const internal::Json::exception& error) {
    return internal::MakeFailure(Reason::kInvalidRequest, error.what());
  }
}

std::string CompressDocument(std::string_view document) {
  std::string compressed(ZSTD_compressBound(document.size()), '\0');
  const std::size_t size =
      ZSTD_compress(compressed.data(), compressed.size(), document.data(),
                    document.size(), internal::kCompressionLevel);
  compressed.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return compressed;
}

Result<std::string> DecompressDocument(std::string_view compressed,
                                       std::size_t max_bytes) {
  const auto size =
      ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > max_bytes) {
    return internal::MakeFailure(
        Reason::kInvalidRequest,
        "compressed document is malformed or exceeds the size limit");
  }
  std::string document(size, '\0');
  const std::size_t written = ZSTD_decompress(
      document.data(), document.size(), compressed.data(), compressed.size());
  if (ZSTD_isError(written) != 0 || written != document.size()) {
    return internal::MakeFailure(Reason::kInvalidRequest,
                                 "compressed document is malformed");
  }
  return document;
}

}  // namespace sequoiapath
