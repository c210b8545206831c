// Who goes where connections are scarce, so that a crowd that never finishes a request does not keep out the
// clients that do. No clock, no I/O: how long each has been at it is handed in.
#ifndef POSTSPREAD_FLOW_EVICTION_H_
#define POSTSPREAD_FLOW_EVICTION_H_

#include <chrono>
#include <compare>
#include <optional>

namespace postspread::flow {

// One connection as this choice sees it.
struct ConnectionState {
  bool done = false;                     // answered to the end, and waits for its client to close
  bool owed = false;                     // owes an answer, or has one that is still being taken: never goes
  bool asked = false;                    // a sound request has come over it before
  bool begun = false;                    // a command has begun to come
  std::chrono::milliseconds used{0};     // since its last command, or since it connected
  std::chrono::milliseconds working{0};  // since the first byte of the command that has begun
  std::chrono::milliseconds silent{0};   // since its last byte
};

// The lower of two goes first.
struct EvictionRank {
  int order = 0;
  std::chrono::milliseconds left{0};  // minus how long it has been at it
  auto operator<=>(const EvictionRank&) const =
      default;  // NOLINT(modernize-use-nullptr): taken for a comparison with 0
};

// Nothing: it stays in any case.
std::optional<EvictionRank> RankForEviction(const ConnectionState& holder);

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_EVICTION_H_
