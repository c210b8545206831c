// Discovery's list of upstreams, decoded once.
#ifndef POSTSPREAD_CONFIG_ENDPOINT_LIST_H_
#define POSTSPREAD_CONFIG_ENDPOINT_LIST_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "config/address.h"
#include "model/upstream.h"

namespace postspread::config {

struct Endpoint {
  Upstream upstream;
  Address address;
};

struct EndpointList {
  std::uint64_t index = 0;
  bool full = true;  // else the entries that changed
  std::vector<Endpoint> entries;
};

// Throws json_reader::JsonError, which names the faulty member.
EndpointList DecodeEndpointList(const nlohmann::json& from);

}  // namespace postspread::config

#endif  // POSTSPREAD_CONFIG_ENDPOINT_LIST_H_
