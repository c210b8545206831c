// The upstreams that discovery lists at present, by name. Removed upstreams are not part of it.
#ifndef POSTSPREAD_PLANNER_UPSTREAM_SET_H_
#define POSTSPREAD_PLANNER_UPSTREAM_SET_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "model/upstream.h"
#include "planner/types.h"

namespace postspread::planner {

class UpstreamSet {
 public:
  using Map = std::unordered_map<std::string, Upstream>;

  void Apply(const EndpointListReport& report);

  [[nodiscard]] const Map& by_name() const { return by_name_; }
  // Returns the version of the endpoint list.
  [[nodiscard]] std::uint64_t index() const { return index_; }

 private:
  Map by_name_;
  std::uint64_t index_ = 0;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_UPSTREAM_SET_H_
