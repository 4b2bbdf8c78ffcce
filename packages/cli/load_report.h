// Defines LoadReport, what the load generator measured.

#ifndef SEQUOIAPATH_CLI_LOAD_REPORT_H_
#define SEQUOIAPATH_CLI_LOAD_REPORT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "load_plan.h"
#include "sample_set.h"

namespace sequoiapath {

struct LoadReport {
  std::uint64_t planned = 0;
  std::uint64_t complete = 0;
  std::uint64_t failed = 0;    // Failed answers.
  std::uint64_t no_reply = 0;  // Sent, but no answer came.
  // Complete answers with other results than the job's own, in order.
  std::uint64_t wrong = 0;
  // Planned, but not sent: the generator's own limit was reached or the
  // connection failed before a byte was written.
  std::uint64_t not_sent = 0;
  std::uint64_t tasks_done = 0;
  // By "verdict/reason" of failed answers and "kind" of missing ones.
  std::map<std::string, std::uint64_t> reasons;
  SampleSet response_ms;  // Complete answers, from the planned send time.
  SampleSet over_ideal;   // Response time over the longest task run time.
  SampleSet failed_response_ms;
  SampleSet send_delay_ms;  // From the planned to the actual send time.
  std::chrono::duration<double> elapsed{0};
};

// Prints the report for people, or as one JSON object.
void PrintReport(const LoadPlan& plan, LoadReport* report, bool json);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_LOAD_REPORT_H_
