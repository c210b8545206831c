// Upstreams as discovery lists them. The configuration, the planner and the network code share these types.
#ifndef POSTSPREAD_MODEL_UPSTREAM_H_
#define POSTSPREAD_MODEL_UPSTREAM_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace postspread {

enum class UpstreamState { kReady, kDraining, kRemoved };

// An entry with the state kRemoved states nothing but the name of the upstream; its other members may be
// unset.
struct Upstream {
  std::string name;
  std::string zone;
  std::string kind;
  std::int64_t cell = 0;  // Upstreams of one cell may share idempotency keys.
  UpstreamState state = UpstreamState::kReady;
  double weight = 1.0;
  std::chrono::milliseconds started{0};  // The start time since the Unix epoch; 0: long ago.
};

enum class EndpointUpdateKind {
  kPersisted,  // The list stored in the configuration, which discovery has not confirmed.
  kSnapshot,   // The complete list.
  kChanges,    // Only the entries that changed.
};

}  // namespace postspread

#endif  // POSTSPREAD_MODEL_UPSTREAM_H_
