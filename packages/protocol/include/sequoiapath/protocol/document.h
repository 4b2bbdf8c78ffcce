// Defines Document, the operators' configuration: services, workers, teams and
// data centres, with its canonical JSON form and its TOML source form.

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

// The store holds values of up to 1 MiB; the rest of the record needs less than
// 512 bytes.
constexpr std::size_t kMaxDocumentBytes = (std::size_t{1} << 20) - 512;

// Bounds the work on a TOML source: comments and white space make it longer
// than its canonical form.
constexpr std::size_t kMaxTomlBytes = std::size_t{4} << 20;

struct ServiceSpec {
  std::string name;
  // Whether a repeated run of a task has no further effect.
  bool idempotent = false;
  // Bounds the lease of each task.
  std::chrono::milliseconds longest_run{10'000};
  // Applies when a submission names no deadline; also its upper bound.
  std::chrono::milliseconds deadline{30'000};
  std::size_t max_payload_bytes = 65'536;
  std::size_t max_tasks = 480;
  Priority priority = Priority::kNormal;
  // Greatest share of a job's running tasks in one rack.
  int max_rack_percent = 100;
  // Data centres or racks where the service may run; empty: anywhere.
  std::vector<std::string> places;

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

struct WorkerSpec {
  std::string name;
  std::string data_centre;
  std::string rack;
  Endpoint address;
  int slots = 8;
  int connections = 64;
  double cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;
  bool leaving = false;  // Gets no new tasks.

  friend bool operator==(const WorkerSpec&, const WorkerSpec&) = default;
};

struct TeamSpec {
  std::string name;
  int quota = 0;  // Greatest number of running tasks over all data centres.
  double weight = 1;

  friend bool operator==(const TeamSpec&, const TeamSpec&) = default;
};

struct DataCentreSpec {
  std::string name;
  std::string region;
  std::vector<std::string> neighbours;  // Nearest first.

  friend bool operator==(const DataCentreSpec&,
                         const DataCentreSpec&) = default;
};

// Each list is sorted by name in a valid document.
struct Document {
  std::vector<DataCentreSpec> data_centres;
  std::vector<ServiceSpec> services;
  std::vector<TeamSpec> teams;
  std::vector<WorkerSpec> workers;

  friend bool operator==(const Document&, const Document&) = default;
};

// One finding of the validation.
struct DocumentError {
  int line = 0;     // In the TOML source; zero if unknown.
  std::string key;  // Path such as "workers[3].slots", counted from zero.
  std::string found;
  std::string allowed;
};

using DocumentErrors = std::vector<DocumentError>;
using DocumentResult = std::variant<Document, DocumentErrors>;

// Parses and validates the TOML source. Reports every error, in the order of
// the lines. Thread-safe.
DocumentResult ParseDocumentToml(std::string_view text);

// Parses and validates the JSON form. Reports every error; lines are zero.
// Thread-safe.
DocumentResult ParseDocumentJson(std::string_view text);

// Returns the canonical JSON: sorted keys, sorted lists, no white space. All
// fields are written, so that a later change of a default does not change the
// meaning of a stored document. Precondition: `document` is valid. Thread-safe.
std::string EncodeDocument(const Document& document);

// The configuration as it is kept in the store and passed between daemons.
struct ConfigRecord {
  std::uint64_t generation = 0;
  std::string change_id;
  std::string digest;    // Lower-case hex SHA-256 of `document`.
  std::string document;  // Canonical JSON.

  friend bool operator==(const ConfigRecord&, const ConfigRecord&) = default;
};

// Returns the JSON form; the document is embedded as an object, because a
// quoted string would grow by one sixth. Precondition: `record.document` is
// canonical.
std::string EncodeConfigRecord(const ConfigRecord& record);

// Parses a record and verifies its digest. Also accepts the document as a
// string. Thread-safe.
Result<ConfigRecord> DecodeConfigRecord(std::string_view text);

// Returns the lower-case hex SHA-256 of `text`. Thread-safe.
std::string Sha256Hex(std::string_view text);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_DOCUMENT_H_
