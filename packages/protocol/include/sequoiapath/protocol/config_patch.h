// Defines ConfigPatch, the difference between two generations of the
// configuration, and the compression of whole documents.

#ifndef SEQUOIAPATH_PROTOCOL_CONFIG_PATCH_H_
#define SEQUOIAPATH_PROTOCOL_CONFIG_PATCH_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "sequoiapath/protocol/document.h"
#include "sequoiapath/protocol/verdict.h"

namespace sequoiapath {

// Converts generation `from_generation` into `to_generation`. The patch is an
// RFC 6902 JSON Patch of the document with each list converted to an object
// keyed by entry name. With lists, an added entry would shift the index of all
// later entries and enlarge the patch.
struct ConfigPatch {
  std::uint64_t from_generation = 0;
  std::uint64_t to_generation = 0;
  std::string change_id;  // Id of the change that created `to_generation`.
  std::string digest;     // Digest of the document of `to_generation`.
  std::string patch;

  friend bool operator==(const ConfigPatch&, const ConfigPatch&) = default;
};

// Returns the patch that converts `from` into `to`.
// Precondition: both documents are canonical. Thread-safe.
ConfigPatch MakeConfigPatch(const ConfigRecord& from, const ConfigRecord& to);

// Applies a patch. Fails with kConflict if the record is not of the patch's
// `from_generation` or if the digest of the result differs from the patch's,
// and with kInvalidRequest if the patch cannot be parsed or applied.
// Thread-safe.
Result<ConfigRecord> ApplyConfigPatch(const ConfigRecord& record,
                                      const ConfigPatch& patch);

// Returns the MessagePack form that daemons exchange. Thread-safe.
std::string EncodeConfigPatch(const ConfigPatch& patch);

// Decodes the output of EncodeConfigPatch. Fails with kInvalidRequest if the
// bytes are malformed. Thread-safe.
Result<ConfigPatch> DecodeConfigPatch(std::string_view bytes);

// Compresses a document with zstd. Thread-safe.
std::string CompressDocument(std::string_view document);

// Decompresses the output of CompressDocument. Fails with kInvalidRequest if
// the data is malformed or its decompressed size exceeds `max_bytes`.
// Thread-safe.
Result<std::string> DecompressDocument(std::string_view compressed,
                                       std::size_t max_bytes);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_CONFIG_PATCH_H_
