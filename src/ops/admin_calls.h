// The operators' calls: paths, methods and responses. No sockets.
#ifndef POSTSPREAD_OPS_ADMIN_CALLS_H_
#define POSTSPREAD_OPS_ADMIN_CALLS_H_

#include <string>
#include <string_view>

#include "ops/lifecycle.h"

namespace postspread::ops {

struct AdminResponse {
  int status = 200;
  std::string body;   // plain text, with a line end
  std::string allow;  // with 405: the method that the path takes
};

struct Readiness {
  bool is_ready = false;
  std::string_view state;  // of the lifecycle, by name
};

// Carries the calls out.
class AdminHandler {
 public:
  virtual Readiness CheckReadiness() = 0;
  // In the text format of Prometheus.
  virtual std::string Metrics() = 0;
  // The membership view as JSON; empty where it is off.
  virtual std::string Membership() = 0;
  virtual AdminResult Drain() = 0;
  virtual AdminResult Activate() = 0;

 protected:
  ~AdminHandler() = default;
};

// `target` as in the request line; a query is ignored.
AdminResponse Call(std::string_view method, std::string_view target, AdminHandler& handler);

}  // namespace postspread::ops

#endif  // POSTSPREAD_OPS_ADMIN_CALLS_H_
