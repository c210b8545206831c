// The pool's record of an upstream: its address, whether it takes new requests, and its connections.
#ifndef POSTSPREAD_NET_UPSTREAM_POOLED_UPSTREAM_H_
#define POSTSPREAD_NET_UPSTREAM_POOLED_UPSTREAM_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/address.h"
#include "config/endpoint_list.h"
#include "model/upstream.h"
#include "net/upstream/upstream_connection.h"

namespace postspread::net {

struct PooledUpstream {
  // Returns whether `entry` lists the process that the upstream's present connections lead to. One with
  // another address, start time, zone or cell is another process.
  [[nodiscard]] bool IsSameProcess(const config::Endpoint& entry) const {
    return (entry.address.size() == 0 || address == entry.address) && started == entry.upstream.started &&
           zone == entry.upstream.zone && cell == entry.upstream.cell;
  }
  void SetProcess(const config::Endpoint& entry) {
    if (entry.address.size() > 0) address = entry.address;
    started = entry.upstream.started;
    zone = entry.upstream.zone;
    cell = entry.upstream.cell;
  }

  std::string name;
  config::Address address;
  UpstreamState state = UpstreamState::kReady;
  // As in the endpoint list.
  std::chrono::milliseconds started{0};
  std::string zone{};
  std::int64_t cell = 0;
  // Incremented when another process takes over the name. Connections of an older incarnation lead to the
  // former one.
  int incarnation = 0;
  std::vector<std::unique_ptr<UpstreamConnection>> connections;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_POOLED_UPSTREAM_H_
