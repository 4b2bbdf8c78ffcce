// Defines LoadReport, the measurements of the load generator.

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
  std::uint64_t failed = 0;    // Answers that report a failure.
  std::uint64_t no_reply = 0;  // Sent, but no answer was received.
  // Complete answers whose results differ from the expected ones.
  std::uint64_t wrong = 0;
  // Planned, but not sent: max_in_flight was reached, the endpoint has no
  // session or the connection failed before a byte was written.
  std::uint64_t not_sent = 0;
  std::uint64_t tasks_done = 0;
  // Counts by "verdict/reason" of failed answers, "transport/kind" of transport
  // errors and "generator/cause" of jobs that the generator did not send.
  std::map<std::string, std::uint64_t> reasons;
  // Response times of complete answers, from the planned send time.
  SampleSet response_ms;
  SampleSet over_ideal;  // Response time divided by the longest task run time.
  // Response times of failed answers, from the planned send time.
  SampleSet failed_response_ms;
  SampleSet send_delay_ms;  // From the planned to the actual send time.
  std::chrono::duration<double> elapsed{0};
};

// Prints the report as text, or as one JSON object.
void PrintReport(const LoadPlan& plan, LoadReport* report, bool json);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_LOAD_REPORT_H_
