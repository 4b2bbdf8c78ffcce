// Defines sample configuration documents for benchmarks.

#ifndef SEQUOIAPATH_BENCH_SAMPLE_DOCUMENT_H_
#define SEQUOIAPATH_BENCH_SAMPLE_DOCUMENT_H_

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>

#include "sequoiapath/protocol/document.h"

namespace sequoiapath {

constexpr std::size_t kSampleDataCentres = 16;
constexpr int kSampleTeams = 170;

// Returns a valid document with `workers` workers, spread evenly over 16 data
// centres, 8 to a rack, and with 170 teams that have a quota of `quota` each.
// Thread-safe.
inline Document MakeSampleDocument(std::size_t workers, int quota = 1000) {
  Document document;
  for (std::size_t i = 0; i < kSampleDataCentres; ++i) {
    document.data_centres.push_back(
        {fmt::format("data-centre-{:02}", i), "region-1", {}});
  }
  ServiceSpec service;
  service.name = "check";
  document.services.push_back(service);
  for (std::size_t i = 0; i < workers; ++i) {
    WorkerSpec worker;
    worker.name = fmt::format("worker-{:05}", i);
    worker.data_centre =
        fmt::format("data-centre-{:02}", i % kSampleDataCentres);
    worker.rack = fmt::format("rack-{:04}", i / 8);
    worker.address = {
        fmt::format("10.{}.{}.{}", i % kSampleDataCentres, i / 256, i % 256),
        8080};
    worker.cores = 16;
    worker.memory_mb = 32768;
    worker.accelerators = 1;
    document.workers.push_back(worker);
  }
  for (int i = 0; i < kSampleTeams; ++i) {
    document.teams.push_back({fmt::format("team-{:03}", i), quota, 1});
  }
  return document;
}

// Returns the configuration record of `document` with generation `generation`.
// Thread-safe.
inline ConfigRecord MakeSampleRecord(std::uint64_t generation,
                                     const Document& document) {
  ConfigRecord record{generation, "0123456789abcdef", "",
                      EncodeDocument(document)};
  record.digest = Sha256Hex(record.document);
  return record;
}

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_BENCH_SAMPLE_DOCUMENT_H_
