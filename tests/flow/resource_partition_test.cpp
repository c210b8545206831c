// How the limits of the process are divided among its parts.
#include "flow/resource_partition.h"

#include <catch2/catch.hpp>

#include "config/sockets.h"

namespace postspread::flow {
namespace {

TEST_CASE("the partition stays under the limits, for one process and for two") {
  constexpr std::size_t kMegabyte = 1 << 20, kCommand = 4 * kMegabyte + 70'000;
  constexpr std::size_t kOwn = 3 * kMegabyte / 2;  // allocated beside: measured 0.3 MB idle, 1 MB in service
  for (const bool shared : {false, true}) {
    for (const bool admin_server : {false, true}) {
      for (std::size_t memory = 16; memory <= 192; memory += 8) {
        const std::size_t sockets = config::LeastSockets(admin_server, shared) + memory;
        const ResourcePartition partition =
            PartitionResources({memory * kMegabyte, sockets, shared, admin_server, kCommand});
        const std::size_t processes = shared ? 2 : 1;
        const std::size_t least = config::kOtherSockets + (admin_server ? config::kAdminSockets : 0);
        CHECK((partition.client_connections + partition.upstream_connections + least) * processes <= sockets);
        CHECK(partition.upstream_connections >= config::kLeastForRequests * 3 / 8);
        CHECK(partition.large_request_bytes >= kCommand);
        const std::size_t used = partition.request_bytes + partition.large_request_bytes +
                                 partition.streaming_bytes + kCommand + kOwn;
        if (memory >= 16 * processes) CHECK(used * processes < memory * kMegabyte);
        CHECK(partition.StreamWindow(0) == partition.StreamWindow(1));
        for (std::size_t streams = 1; streams <= partition.streaming_bytes / 16'384; ++streams)
          CHECK(2 * partition.StreamWindow(streams) * streams <= partition.streaming_bytes);
      }
    }
  }
}

}  // namespace
}  // namespace postspread::flow
