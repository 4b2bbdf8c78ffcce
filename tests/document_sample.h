// Defines sample documents for tests.

#ifndef SEQUOIAPATH_TESTS_DOCUMENT_SAMPLE_H_
#define SEQUOIAPATH_TESTS_DOCUMENT_SAMPLE_H_

#include <fmt/format.h>

#include <string>

#include "sequoiapath/protocol/document.h"

namespace sequoiapath {

// Returns a valid document with `workers` workers in two data centres, one
// service and one team for every hundred workers, and at least two of each.
inline Document SampleDocument(int workers) {
  Document document;
  document.data_centres = {{"fremantle", "swan-coast", {"joondalup"}},
                           {"joondalup", "swan-coast", {"fremantle"}}};
  for (int i = 0; i < std::max(2, workers / 100); ++i) {
    ServiceSpec service;
    service.name = fmt::format("fold-check-{:04}", i);
    service.idempotent = i % 2 == 0;
    document.services.push_back(service);
    document.teams.push_back({fmt::format("school-{:04}", i), 10 + i, 1.5});
  }
  for (int i = 0; i < workers; ++i) {
    WorkerSpec worker;
    worker.data_centre = i % 2 == 0 ? "fremantle" : "joondalup";
    worker.name = fmt::format("worker-{:05}", i);
    worker.rack = fmt::format("{}-rack-{}", worker.data_centre, i / 16);
    worker.address = {fmt::format("10.1.{}.{}", i / 250, 1 + i % 250), 8080};
    worker.cores = 32;
    worker.memory_mb = 65'536;
    worker.accelerators = 1;
    document.workers.push_back(worker);
  }
  return document;
}

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TESTS_DOCUMENT_SAMPLE_H_
