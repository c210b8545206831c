// What an upstream reports with a response: its load, and the usage that it metered.
#ifndef POSTSPREAD_MODEL_LOAD_REPORT_H_
#define POSTSPREAD_MODEL_LOAD_REPORT_H_

namespace postspread {

// A figure that the upstream did not report is below 0.
struct UpstreamLoad {
  double outstanding = -1.0;
  double queue = -1.0;
  double utilization = -1.0;
  double latency_ms = -1.0;
  double per_second = -1.0;
  double errors_per_second = -1.0;
};

// What a response says of its customer's usage and of the request's true cost.
struct ReportedUsage {
  double percent = -1.0;    // of the customer's rate, used over all gateways of late; below 0: not reported
  double units = 0.0;       // true cost of the request; 0: not reported
  bool unreadable = false;  // a usage figure could not be parsed, and was skipped
};

}  // namespace postspread

#endif  // POSTSPREAD_MODEL_LOAD_REPORT_H_
