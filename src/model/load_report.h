// Values that an upstream reports with a response: its load, and the customer's metered usage.
#ifndef POSTSPREAD_MODEL_LOAD_REPORT_H_
#define POSTSPREAD_MODEL_LOAD_REPORT_H_

namespace postspread {

// The load of an upstream. A value below 0 means that the upstream did not report it.
struct UpstreamLoad {
  double outstanding = -1.0;
  double queue = -1.0;
  double utilization = -1.0;
  double latency_ms = -1.0;
  double per_second = -1.0;
  double errors_per_second = -1.0;
};

// The customer's usage and the actual cost of the request, as an upstream reports them with its response.
struct ReportedUsage {
  // The customer's recent usage over all gateways, where 100 is its whole rate; below 0: not reported.
  double percent_of_rate = -1.0;
  double units = 0.0;       // The actual cost of the request; 0: not reported.
  bool unreadable = false;  // A usage value could not be parsed and was skipped.
};

}  // namespace postspread

#endif  // POSTSPREAD_MODEL_LOAD_REPORT_H_
