// An upstream as the pool knows it: where it is, whether it takes new requests, and its connections.
#ifndef POSTSPREAD_NET_UPSTREAM_POOLED_UPSTREAM_H_
#define POSTSPREAD_NET_UPSTREAM_POOLED_UPSTREAM_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "config/address.h"
#include "model/upstream.h"
#include "net/upstream/upstream_connection.h"

namespace postspread::net {

struct PooledUpstream {
  std::string name;
  config::Address address;
  UpstreamState state = UpstreamState::kReady;
  std::chrono::milliseconds started{0};
  int incarnation = 0;  // changes with its start and its address: older connections lead to another process
  std::vector<std::unique_ptr<UpstreamConnection>> connections;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_POOLED_UPSTREAM_H_
