// Upstreams as discovery lists them: value types shared by the configuration, the planner and the network.
#ifndef POSTSPREAD_MODEL_UPSTREAM_H_
#define POSTSPREAD_MODEL_UPSTREAM_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace postspread {

enum class UpstreamState { kReady, kDraining, kRemoved };

struct Upstream {
  std::string name;
  std::string zone;
  std::string kind;
  std::int64_t cell = 0;  // upstreams of one cell may share idempotency keys
  UpstreamState state = UpstreamState::kReady;
  double weight = 1.0;
  std::chrono::milliseconds started{0};  // since the Unix epoch; 0: long ago
};

enum class EndpointUpdateKind {
  kPersisted,  // the list stored in the configuration; discovery has not confirmed it
  kSnapshot,   // the complete list
  kChanges,    // only the entries that changed
};

}  // namespace postspread

#endif  // POSTSPREAD_MODEL_UPSTREAM_H_
