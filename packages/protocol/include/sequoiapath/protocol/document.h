// Defines Document, the configuration that operators write: services, workers,
// teams and data centres. It has a TOML source form and a canonical JSON form.

#ifndef SEQUOIAPATH_PROTOCOL_DOCUMENT_H_
#define SEQUOIAPATH_PROTOCOL_DOCUMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sequoiapath/protocol/job.h"
#include "sequoiapath/transport/endpoint.h"

namespace sequoiapath {

// The store accepts values of up to 1 MiB; the other fields of the record take
// less than 512 bytes.
constexpr std::size_t kMaxDocumentBytes = (std::size_t{1} << 20) - 512;

// Limits the cost of parsing a source text. The limit exceeds
// kMaxDocumentBytes, because comments and white space make the source longer
// than the canonical form.
constexpr std::size_t kMaxTomlBytes = std::size_t{4} << 20;

struct ServiceSpec {
  std::string name;
  // True if running a task again has no further effect.
  bool idempotent = false;
  // Upper bound of each task's lease.
  std::chrono::milliseconds longest_run{10'000};
  // Default deadline of a submission and its upper bound.
  std::chrono::milliseconds deadline{30'000};
  std::size_t max_payload_bytes = 65'536;
  std::size_t max_tasks = 480;
  Priority priority = Priority::kNormal;
  // Maximum percentage of a job's running tasks in one rack.
  int max_rack_percent = 100;
  // Data centres or racks in which the service may run; empty: no restriction.
  std::vector<std::string> places;

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

struct WorkerSpec {
  std::string name;
  std::string data_centre;
  std::string rack;
  Endpoint address;
  int slots = 8;         // Maximum number of running tasks.
  int connections = 64;  // Maximum number of connections from all daemons.
  double cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;
  bool leaving = false;  // True if the worker receives no new tasks.

  friend bool operator==(const WorkerSpec&, const WorkerSpec&) = default;
};

struct TeamSpec {
  std::string name;
  int quota = 0;  // Maximum number of running tasks in all data centres.
  double weight = 1;

  friend bool operator==(const TeamSpec&, const TeamSpec&) = default;
};

struct DataCentreSpec {
  std::string name;
  std::string region;
  std::vector<std::string> neighbours;  // Other data centres, nearest first.

  friend bool operator==(const DataCentreSpec&,
                         const DataCentreSpec&) = default;
};

// In a valid document each list is sorted by name.
struct Document {
  std::vector<DataCentreSpec> data_centres;
  std::vector<ServiceSpec> services;
  std::vector<TeamSpec> teams;
  std::vector<WorkerSpec> workers;

  friend bool operator==(const Document&, const Document&) = default;
};

// A validation error.
struct DocumentError {
  int line = 0;         // Line of the TOML source, from one; zero if unknown.
  std::string key;      // Such as "workers[3].slots", with indexes from zero.
  std::string found;    // Rejected value, or the description of the error.
  std::string allowed;  // Description of the allowed values.
};

using DocumentErrors = std::vector<DocumentError>;
using DocumentResult = std::variant<Document, DocumentErrors>;

// Parses and validates the TOML source. Returns all errors, ordered by line.
// Thread-safe.
DocumentResult ParseDocumentToml(std::string_view text);

// Parses and validates the JSON form. Returns all errors, with zero as the
// line. Thread-safe.
DocumentResult ParseDocumentJson(std::string_view text);

// Returns the canonical JSON: sorted keys, sorted lists, no white space. It
// contains all fields, so that a later change of a default value leaves the
// meaning of stored documents as it is. Precondition: `document` is valid.
// Thread-safe.
std::string EncodeDocument(const Document& document);

// The configuration as it is stored and as daemons exchange it.
struct ConfigRecord {
  std::uint64_t generation = 0;
  std::string change_id;
  std::string digest;    // Lower-case hex SHA-256 of `document`.
  std::string document;  // Canonical JSON.

  friend bool operator==(const ConfigRecord&, const ConfigRecord&) = default;
};

// Returns the JSON form. The document is embedded as an object, because
// escaping it as a string would make it one sixth longer. Precondition:
// `record.document` is canonical.
std::string EncodeConfigRecord(const ConfigRecord& record);

// Parses a record and verifies its digest. The document may be embedded as an
// object or as a string. Thread-safe.
Result<ConfigRecord> DecodeConfigRecord(std::string_view text);

// Returns the lower-case hex SHA-256 of `text`. Thread-safe.
std::string Sha256Hex(std::string_view text);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_DOCUMENT_H_
