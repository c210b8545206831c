#include "ops/calls.h"

#include <utility>

namespace postspread::ops {
namespace {

Answer Readyz(Desk& desk) {
  std::string_view state;
  const bool ready = desk.Ready(state);
  return {.status = ready ? 200 : 503, .body = std::string(state) + "\n", .allow = {}};
}

Answer Metrics(Desk& desk) { return {.status = 200, .body = desk.Metrics(), .allow = {}}; }

Answer Fleet(Desk& desk) {
  std::string body = desk.Fleet();
  if (body.empty()) return {.status = 404, .body = "the view of the fleet is off\n", .allow = {}};
  return {.status = 200, .body = std::move(body) + "\n", .allow = {}};
}

Answer Done(bool done, const char* what) {
  if (done) return {.status = 200, .body = std::string(what) + "\n", .allow = {}};
  return {.status = 409, .body = "the process is stopping\n", .allow = {}};
}
Answer Drain(Desk& desk) { return Done(desk.Drain(), "draining"); }
Answer Activate(Desk& desk) { return Done(desk.Activate(), "active"); }

struct Route {
  std::string_view path;
  std::string_view method;
  Answer (*run)(Desk&);
};
constexpr Route kRoutes[] = {{"/v1/readyz", "GET", Readyz},
                             {"/v1/metrics", "GET", Metrics},
                             {"/v1/fleet", "GET", Fleet},
                             {"/v1/gatekeeper/drain", "PUT", Drain},
                             {"/v1/gatekeeper/activate", "PUT", Activate}};

}  // namespace

Answer Call(std::string_view method, std::string_view target, Desk& desk) {
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route& route : kRoutes) {
    if (path != route.path) continue;
    if (method == route.method) return route.run(desk);
    return {.status = 405,
            .body = std::string(path) + " takes " + std::string(route.method) + "\n",
            .allow = std::string(route.method)};
  }
  return {.status = 404, .body = "no such path\n", .allow = {}};
}

}  // namespace postspread::ops
