#include "sequoiapath/protocol/config_patch.h"

#include <fmt/format.h>
#include <zstd.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

// Documents are small and rarely compressed, so the default level is fast
// enough.
constexpr int kCompressionLevel = 3;

Failure Refuse(Reason reason, std::string detail) {
  return {Verdict::kNotRun, reason, RetryAdvice::kSameSequence, std::nullopt,
          std::move(detail)};
}

// Replaces each list of named entries by an object keyed by name.
Json ToKeyed(const Json& document) {
  Json keyed = Json::object();
  for (const auto& [section, entries] : document.items()) {
    Json& target = keyed[section] = Json::object();
    for (const Json& entry : entries) {
      target[entry.at("name").get<std::string>()] = entry;
    }
  }
  return keyed;
}

// Reverses ToKeyed. Objects iterate in key order, so the lists are sorted.
Json ToLists(const Json& keyed) {
  Json document = Json::object();
  for (const auto& [section, entries] : keyed.items()) {
    Json& target = document[section] = Json::array();
    for (const auto& [name, entry] : entries.items()) target.push_back(entry);
  }
  return document;
}

}  // namespace
}  // namespace internal

ConfigPatch MakeConfigPatch(const ConfigRecord& from, const ConfigRecord& to) {
  const auto before = internal::ToKeyed(internal::Json::parse(from.document));
  const auto after = internal::ToKeyed(internal::Json::parse(to.document));
  return {from.generation, to.generation, to.change_id, to.digest,
          internal::Json::diff(before, after).dump()};
}

Result<ConfigRecord> ApplyConfigPatch(const ConfigRecord& record,
                                      const ConfigPatch& patch) {
  if (patch.from != record.generation) {
    return internal::Refuse(
        Reason::kConflict,
        fmt::format("patch starts from generation {}, but {} is in force",
                    patch.from, record.generation));
  }
  ConfigRecord result{patch.to, patch.change_id, patch.digest, ""};
  try {
    const auto keyed =
        internal::ToKeyed(internal::Json::parse(record.document));
    const auto patched = keyed.patch(internal::Json::parse(patch.patch));
    result.document = internal::ToLists(patched).dump();
  } catch (const internal::Json::exception& error) {
    return internal::Refuse(Reason::kInvalidRequest, error.what());
  }
  if (Sha256Hex(result.document) != patch.digest) {
    return internal::Refuse(Reason::kConflict,
                            "the patched document has another digest");
  }
  return result;
}

std::string EncodeConfigPatch(const ConfigPatch& patch) {
  const internal::Json fields{patch.from, patch.to, patch.change_id,
                              patch.digest, patch.patch};
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
    return internal::Refuse(Reason::kInvalidRequest, error.what());
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
    return internal::Refuse(Reason::kInvalidRequest,
                            "malformed or oversized compressed document");
  }
  std::string document(size, '\0');
  const std::size_t written = ZSTD_decompress(
      document.data(), document.size(), compressed.data(), compressed.size());
  if (ZSTD_isError(written) != 0 || written != document.size()) {
    return internal::Refuse(Reason::kInvalidRequest,
                            "malformed compressed document");
  }
  return document;
}

}  // namespace sequoiapath
