// Defines ConfigPatch, the difference between two generations of the
// configuration, and the compressed form of a whole document.

#ifndef SEQUOIAPATH_PROTOCOL_CONFIG_PATCH_H_
#define SEQUOIAPATH_PROTOCOL_CONFIG_PATCH_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "sequoiapath/protocol/document.h"
#include "sequoiapath/protocol/verdict.h"

namespace sequoiapath {

// Turns generation `from` into generation `to`. The patch is RFC 6902 JSON over
// the document with its lists keyed by name, so that an added entry does not
// change the position, and with it the patch, of all later entries.
struct ConfigPatch {
  std::uint64_t from_generation = 0;
  std::uint64_t to_generation = 0;
  std::string change_id;  // Of generation `to`.
  std::string digest;     // Of the document of generation `to`.
  std::string patch;

  friend bool operator==(const ConfigPatch&, const ConfigPatch&) = default;
};

// Returns the patch between two records.
// Precondition: both documents are canonical. Thread-safe.
ConfigPatch MakeConfigPatch(const ConfigRecord& from, const ConfigRecord& to);

// Applies a patch. Fails with kConflict if the patch starts from another
// generation or the result does not have the patch's digest. Thread-safe.
Result<ConfigRecord> ApplyConfigPatch(const ConfigRecord& record,
                                      const ConfigPatch& patch);

// Returns the form in which a patch travels between daemons. Thread-safe.
std::string EncodeConfigPatch(const ConfigPatch& patch);

// Reverses EncodeConfigPatch. Fails with kInvalidRequest. Thread-safe.
Result<ConfigPatch> DecodeConfigPatch(std::string_view bytes);

// Compresses a document with zstd. Thread-safe.
std::string CompressDocument(std::string_view document);

// Reverses CompressDocument. Fails with kInvalidRequest if the data is
// malformed or would exceed `max_bytes`. Thread-safe.
Result<std::string> DecompressDocument(std::string_view compressed,
                                       std::size_t max_bytes);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_CONFIG_PATCH_H_
