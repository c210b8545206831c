#include "flow/eviction.h"

namespace postspread::flow {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstBytes{500};  // a new client's may be on their way for so long
constexpr milliseconds kHead{2'050};      // a sound client's head of a command has arrived by then
// Between two bytes of a slow client that goes on writing. After a longer pause it is less likely to finish.
constexpr milliseconds kSteadyWriter{250};

enum Order {
  kDelivered,
  kOverdueHead,
  kNeverUsed,
  kIdle,
  kStalledCommand,
  kNew,
};

}  // namespace

std::optional<EvictionRank> RankForEviction(const ConnectionState& connection) {
  if (connection.is_delivered) return EvictionRank{kDelivered, -connection.since_command};
  if (connection.is_pending) return std::nullopt;
  if (connection.has_partial) {
    if (connection.since_partial >= kHead) return EvictionRank{kOverdueHead, -connection.since_partial};
    if (connection.since_byte >= kSteadyWriter) return EvictionRank{kStalledCommand, -connection.since_byte};
    return std::nullopt;
  }
  // A client that has sent requests reconnects when it needs to; one that has sent nothing may never do.
  if (connection.has_requested) return EvictionRank{kIdle, -connection.since_command};
  if (connection.since_command >= kFirstBytes) return EvictionRank{kNeverUsed, -connection.since_command};
  return EvictionRank{kNew, -connection.since_command};
}

}  // namespace postspread::flow
