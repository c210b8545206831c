// What the parts of the process get of its limits. No I/O.
#ifndef POSTSPREAD_FLOW_SHARES_H_
#define POSTSPREAD_FLOW_SHARES_H_

#include <cstddef>

namespace postspread::flow {

struct Limits {
  std::size_t memory = 0;   // bytes
  std::size_t sockets = 0;  // descriptors
  // Another process may stand beside this one: the limits are for both together, and each keeps to half.
  bool shared = false;
  bool has_admin_server = false;
  std::size_t largest_command = 0;  // bytes
};

// Of memory, a part is the program's own, and one copy of a large command as it is taken; with these and the
// parts below all stays under the limit.
struct Shares {
  std::size_t requests = 0;   // bytes of commands held for further attempts, but for the large ones
  std::size_t bodies = 0;     // of large ones, in reading and held
  std::size_t passing = 0;    // of large values on their way, at both ends
  std::size_t clients = 0;    // connections
  std::size_t upstreams = 0;  // connections

  // How many bytes of each of `values` on their way may wait to be taken by its client.
  [[nodiscard]] std::size_t Window(std::size_t values) const;
};

Shares ToShares(const Limits& limits);

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_SHARES_H_
