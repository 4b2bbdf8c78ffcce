// Measures what one change of the configuration costs a daemon: bytes sent as a
// patch and as a whole document, and the time to make and to apply a patch, for
// documents of several sizes.

#include <fmt/format.h>

#include <chrono>
#include <string>

#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/protocol/config_patch.h"

namespace sequoiapath {
namespace internal {
namespace {

ConfigRecord MakeRecord(std::uint64_t generation, int workers, int quota) {
  Document document;
  for (int i = 0; i < 16; ++i) {
    document.data_centres.push_back(
        {fmt::format("data-centre-{:02}", i), "region", {}});
  }
  for (int i = 0; i < workers; ++i) {
    WorkerSpec worker;
    worker.name = fmt::format("worker-{:05}", i);
    worker.data_centre = fmt::format("data-centre-{:02}", i % 16);
    worker.rack = fmt::format("rack-{:04}", i / 8);
    worker.address = {fmt::format("10.{}.{}.{}", i % 16, i / 256, i % 256),
                      8080};
    worker.cores = 16;
    worker.memory_mb = 32768;
    worker.accelerators = 1;
    document.workers.push_back(worker);
  }
  for (int i = 0; i < 170; ++i) {
    document.teams.push_back({fmt::format("team-{:03}", i), quota, 1});
  }
  ConfigRecord record{generation, "0123456789abcdef", "",
                      EncodeDocument(document)};
  record.digest = Sha256Hex(record.document);
  return record;
}

// Returns the run time of `work` in milliseconds, the best of five runs.
template <typename Work>
double BestMilliseconds(const Work& work) {
  double best = 1e9;
  for (int i = 0; i < 5; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::milli> taken =
        std::chrono::steady_clock::now() - begin;
    best = std::min(best, taken.count());
  }
  return best;
}

void Measure(int workers) {
  const ConfigRecord before = MakeRecord(1, workers, 100);
  // The change adds one worker and sets the quota of every team.
  const ConfigRecord after = MakeRecord(2, workers + 1, 101);
  const ConfigPatch patch = MakeConfigPatch(before, after);
  const std::string compressed = CompressDocument(after.document);
  const double make = BestMilliseconds([&] { MakeConfigPatch(before, after); });
  const double apply =
      BestMilliseconds([&] { ApplyConfigPatch(before, patch); });
  const double adopt = BestMilliseconds([&] {
    MakeCatalog(after, std::get<Document>(ParseDocumentJson(after.document)));
  });
  fmt::print("{:>8} {:>12} {:>12} {:>12} {:>10.2f} {:>10.2f} {:>10.2f}\n",
             workers, after.document.size(), compressed.size(),
             patch.patch.size(), make, apply, adopt);
}

}  // namespace
}  // namespace internal
}  // namespace sequoiapath

int main() {
  fmt::print("{:>8} {:>12} {:>12} {:>12} {:>10} {:>10} {:>10}\n", "workers",
             "document B", "zstd B", "patch B", "make ms", "apply ms",
             "adopt ms");
  for (const int workers : {50, 500, 1000, 2000, 4200}) {
    sequoiapath::internal::Measure(workers);
  }
  return 0;
}
