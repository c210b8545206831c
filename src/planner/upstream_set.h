// The upstreams that discovery lists now, by name; those that were removed are not in it.
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
  // The version of the list.
  [[nodiscard]] std::uint64_t index() const { return index_; }

 private:
  Map by_name_;
  std::uint64_t index_ = 0;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_UPSTREAM_SET_H_
