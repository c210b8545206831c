// Decodes the endpoint list, which discovery returns and the configuration caches.
#ifndef POSTSPREAD_CONFIG_ENDPOINT_LIST_H_
#define POSTSPREAD_CONFIG_ENDPOINT_LIST_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string_view>
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
  bool is_snapshot = true;  // false: `entries` holds only the changes
  std::vector<Endpoint> entries;
};

// Throws json_reader::JsonError, which names the invalid member.
EndpointList DecodeEndpointList(const nlohmann::json& from);
// Decodes the text of a list, an entry at a time, without a JSON tree of all entries. Throws
// json_reader::JsonError.
EndpointList ParseEndpointList(std::string_view text);

}  // namespace postspread::config

#endif  // POSTSPREAD_CONFIG_ENDPOINT_LIST_H_
