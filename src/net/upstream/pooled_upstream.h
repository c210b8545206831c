// The pool's record of an upstream: its address, whether it takes new requests, and its connections.
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
  std::chrono::milliseconds started{0};  // the start time in the endpoint list
  // Incremented when the upstream's start time or address changes. Connections of an older incarnation lead
  // to another process.
  int incarnation = 0;
  std::vector<std::unique_ptr<UpstreamConnection>> connections;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_POOLED_UPSTREAM_H_
