// The parts that the process's budgets get of its limits.
#include "flow/shares.h"

#include <catch2/catch.hpp>

#include "config/sockets.h"

namespace postspread::flow {
namespace {

TEST_CASE("all parts together stay under the limits, for one process and for two") {
  constexpr std::size_t kMegabyte = 1 << 20, kCommand = 4 * kMegabyte + 70'000;
  constexpr std::size_t kOwn = 3 * kMegabyte / 2;  // allocated beside: measured 0.3 MB idle, 1 MB in service
  for (const bool shared : {false, true}) {
    for (const bool admin_server : {false, true}) {
      for (std::size_t memory = 16; memory <= 192; memory += 8) {
        const std::size_t sockets = config::LeastSockets(admin_server, shared) + memory;
        const Shares s = ToShares({memory * kMegabyte, sockets, shared, admin_server, kCommand});
        const std::size_t processes = shared ? 2 : 1;
        const std::size_t least = config::kOtherSockets + (admin_server ? config::kAdminSockets : 0);
        CHECK((s.clients + s.upstreams + least) * processes <= sockets);
        CHECK(s.upstreams >= config::kLeastForRequests * 3 / 8);
        CHECK(s.bodies >= kCommand);
        const std::size_t used = s.requests + s.bodies + s.passing + kCommand + kOwn;
        if (memory >= 16 * processes) CHECK(used * processes < memory * kMegabyte);
        CHECK(s.Window(0) == s.Window(1));
        for (std::size_t values = 1; values <= s.passing / 16'384; ++values)
          CHECK(2 * s.Window(values) * values <= s.passing);
      }
    }
  }
}

}  // namespace
}  // namespace postspread::flow
