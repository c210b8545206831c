// This module handles operators' calls to the admin server: paths, methods and responses. It has no sockets.
#ifndef POSTSPREAD_OPS_ADMIN_CALLS_H_
#define POSTSPREAD_OPS_ADMIN_CALLS_H_

#include <string>
#include <string_view>

#include "ops/lifecycle.h"

namespace postspread::ops {

// Represents an HTTP response of the admin server.
struct AdminResponse {
  int status = 200;
  // The body is plain text that ends with a line feed.
  std::string body;
  // With status 405, this is the method that the path accepts.
  std::string allow;
};

struct Readiness {
  bool is_ready = false;
  // This is the name of the lifecycle state.
  std::string_view state;
};

// Executes the calls of operators; the gateway implements it.
class AdminHandler {
 public:
  virtual Readiness CheckReadiness() = 0;
  // Returns the metrics in the text format of Prometheus.
  virtual std::string Metrics() = 0;
  // Returns the membership view as JSON, or an empty string if membership is disabled.
  virtual std::string Membership() = 0;
  // Drain and Activate return whether the call took effect.
  virtual AdminResult Drain() = 0;
  virtual AdminResult Activate() = 0;

 protected:
  ~AdminHandler() = default;
};

// Executes the call by `handler` and returns the response. `target` is the target of the request line; its
// query is ignored. Unknown paths get 404, other methods 405, and calls during a shutdown 409.
AdminResponse HandleAdminCall(std::string_view method, std::string_view target, AdminHandler& handler);

}  // namespace postspread::ops

#endif  // POSTSPREAD_OPS_ADMIN_CALLS_H_
