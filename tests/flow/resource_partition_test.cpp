// Tests of the division of the process's limits among its parts.
#include "flow/resource_partition.h"

#include <catch2/catch.hpp>

#include "config/sockets.h"

namespace postspread::flow {
namespace {

TEST_CASE("given any limits, for one process and for two, the partition stays under them") {
  constexpr std::size_t kMegabyte = 1 << 20, kCommand = 4 * kMegabyte + 70'000;
  // The program allocates other memory: 0.3 MB while idle, and 1 MB while it serves.
  constexpr std::size_t kProgramBytes = 3 * kMegabyte / 2;
  for (const bool shared : {false, true}) {
    for (const bool admin_server : {false, true}) {
      for (std::size_t memory = 16; memory <= 192; memory += 8) {
        const std::size_t sockets = config::MinSockets(admin_server, shared) + memory;
        const ResourcePartition partition =
            PartitionResources({memory * kMegabyte, sockets, shared, admin_server, kCommand});
        const std::size_t processes = shared ? 2 : 1;
        const std::size_t reserved = config::kOtherSockets + (admin_server ? config::kAdminSockets : 0);
        CHECK((partition.client_connections + partition.upstream_connections + reserved) * processes <=
              sockets);
        CHECK(partition.upstream_connections >= config::kMinRequestSockets * 3 / 8);
        CHECK(partition.large_request_bytes >= kCommand);
        const std::size_t used = partition.request_bytes + partition.large_request_bytes +
                                 partition.streaming_bytes + kCommand + kProgramBytes;
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
