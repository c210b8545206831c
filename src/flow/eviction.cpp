#include "flow/eviction.h"

namespace postspread::flow {
namespace {

using std::chrono::milliseconds;

// The first bytes of a new client may be in transit for this long.
constexpr milliseconds kFirstBytesDelay{500};
// The head of a command from a conforming client arrives within this time after its first byte.
constexpr milliseconds kMaxHeadTime{2'050};
// A slow client that goes on writing pauses for at most this long between two bytes. A client that pauses for
// longer is less likely to finish its command.
constexpr milliseconds kMaxByteGap{250};

// Lists the values of EvictionRank::order. Connections of the first order are evicted first.
enum EvictionOrder {
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
    if (connection.since_partial >= kMaxHeadTime)
      return EvictionRank{kOverdueHead, -connection.since_partial};
    if (connection.since_byte >= kMaxByteGap) return EvictionRank{kStalledCommand, -connection.since_byte};
    return std::nullopt;
  }
  // A client that has sent requests reconnects when it needs to. A client that has sent nothing may never
  // send a request, so its connection is evicted before.
  if (connection.has_requested) return EvictionRank{kIdle, -connection.since_command};
  if (connection.since_command >= kFirstBytesDelay)
    return EvictionRank{kNeverUsed, -connection.since_command};
  return EvictionRank{kNew, -connection.since_command};
}

}  // namespace postspread::flow
