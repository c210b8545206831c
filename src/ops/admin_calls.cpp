#include "ops/admin_calls.h"

#include <utility>

namespace postspread::ops {
namespace {

AdminResponse Readyz(AdminHandler& handler) {
  const Readiness readiness = handler.CheckReadiness();
  return {.status = readiness.is_ready ? 200 : 503, .body = std::string(readiness.state) + "\n", .allow = {}};
}

AdminResponse Metrics(AdminHandler& handler) {
  return {.status = 200, .body = handler.Metrics(), .allow = {}};
}

AdminResponse Membership(AdminHandler& handler) {
  std::string body = handler.Membership();
  if (body.empty()) return {.status = 404, .body = "the view of the fleet is off\n", .allow = {}};
  return {.status = 200, .body = std::move(body) + "\n", .allow = {}};
}

AdminResponse ToResponse(AdminResult result, const char* new_state) {
  if (result == AdminResult::kDone) {
    return {.status = 200, .body = std::string(new_state) + "\n", .allow = {}};
  }
  return {.status = 409, .body = "the process is stopping\n", .allow = {}};
}

AdminResponse Drain(AdminHandler& handler) { return ToResponse(handler.Drain(), "draining"); }

AdminResponse Activate(AdminHandler& handler) { return ToResponse(handler.Activate(), "active"); }

struct Route {
  std::string_view path;
  std::string_view method;
  AdminResponse (*handle)(AdminHandler&);
};
constexpr Route kRoutes[] = {{"/v1/readyz", "GET", Readyz},
                             {"/v1/metrics", "GET", Metrics},
                             {"/v1/fleet", "GET", Membership},
                             {"/v1/gatekeeper/drain", "PUT", Drain},
                             {"/v1/gatekeeper/activate", "PUT", Activate}};

}  // namespace

AdminResponse HandleAdminCall(std::string_view method, std::string_view target, AdminHandler& handler) {
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route& route : kRoutes) {
    if (path != route.path) continue;
    if (method == route.method) return route.handle(handler);
    return {.status = 405,
            .body = std::string(path) + " takes " + std::string(route.method) + "\n",
            .allow = std::string(route.method)};
  }
  return {.status = 404, .body = "no such path\n", .allow = {}};
}

}  // namespace postspread::ops
