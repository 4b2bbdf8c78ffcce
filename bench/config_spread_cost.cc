// Measures the cost of a configuration change to a daemon for documents of
// several sizes: bytes sent as a patch and as a complete document, and the time
// to create a patch, to apply it, and to build the catalog.

#include <fmt/format.h>
#include <sys/resource.h>

#include <chrono>
#include <string>

#include "sample_document.h"
#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/protocol/config_patch.h"

namespace sequoiapath {
namespace internal {
namespace {

// Returns the shortest of five run times of `work` in milliseconds.
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

// Returns the peak resident set size of this process in KB.
long PeakResidentKb() {  // NOLINT(google-runtime-int): the type of ru_maxrss.
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

void Measure(std::size_t workers) {
  const ConfigRecord before =
      MakeSampleRecord(1, MakeSampleDocument(workers, 100));
  // The change adds one worker and sets the quota of every team.
  const ConfigRecord after =
      MakeSampleRecord(2, MakeSampleDocument(workers + 1, 101));
  const ConfigPatch patch = MakeConfigPatch(before, after);
  const std::string compressed = CompressDocument(after.document);
  const double make_ms =
      BestMilliseconds([&] { MakeConfigPatch(before, after); });
  const double apply_ms =
      BestMilliseconds([&] { ApplyConfigPatch(before, patch); });
  const double catalog_ms = BestMilliseconds([&] {
    MakeCatalog(after, std::get<Document>(ParseDocumentJson(after.document)));
  });
  fmt::print(
      "{:>8} {:>12} {:>12} {:>12} {:>10.2f} {:>10.2f} {:>10.2f} "
      "{:>10}\n",
      workers, after.document.size(), compressed.size(), patch.patch.size(),
      make_ms, apply_ms, catalog_ms, PeakResidentKb());
}

}  // namespace
}  // namespace internal
}  // namespace sequoiapath

int main() {
  fmt::print("{:>8} {:>12} {:>12} {:>12} {:>10} {:>10} {:>10} {:>10}\n",
             "workers", "document B", "zstd B", "patch B", "make ms",
             "apply ms", "adopt ms", "peak KB");
  for (const std::size_t workers : {50, 500, 1000, 2000, 4200}) {
    sequoiapath::internal::Measure(workers);
  }
  return 0;
}
