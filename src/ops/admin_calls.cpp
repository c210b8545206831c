#include "ops/admin_calls.h"

#include <utility>

namespace postspread::ops {
namespace {

Answer Readyz(AdminHandler& handler) {
  std::string_view state;
  const bool ready = handler.Ready(state);
  return {.status = ready ? 200 : 503, .body = std::string(state) + "\n", .allow = {}};
}

Answer Metrics(AdminHandler& handler) { return {.status = 200, .body = handler.Metrics(), .allow = {}}; }

Answer Membership(AdminHandler& handler) {
  std::string body = handler.Membership();
  if (body.empty()) return {.status = 404, .body = "the view of the fleet is off\n", .allow = {}};
  return {.status = 200, .body = std::move(body) + "\n", .allow = {}};
}

Answer Done(bool done, const char* what) {
  if (done) return {.status = 200, .body = std::string(what) + "\n", .allow = {}};
  return {.status = 409, .body = "the process is stopping\n", .allow = {}};
}
Answer Drain(AdminHandler& handler) { return Done(handler.Drain(), "draining"); }
Answer Activate(AdminHandler& handler) { return Done(handler.Activate(), "active"); }

struct Route {
  std::string_view path;
  std::string_view method;
  Answer (*run)(AdminHandler&);
};
constexpr Route kRoutes[] = {{"/v1/readyz", "GET", Readyz},
                             {"/v1/metrics", "GET", Metrics},
                             {"/v1/fleet", "GET", Membership},
                             {"/v1/gatekeeper/drain", "PUT", Drain},
                             {"/v1/gatekeeper/activate", "PUT", Activate}};

}  // namespace

Answer Call(std::string_view method, std::string_view target, AdminHandler& handler) {
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route& route : kRoutes) {
    if (path != route.path) continue;
    if (method == route.method) return route.run(handler);
    return {.status = 405,
            .body = std::string(path) + " takes " + std::string(route.method) + "\n",
            .allow = std::string(route.method)};
  }
  return {.status = 404, .body = "no such path\n", .allow = {}};
}

}  // namespace postspread::ops
