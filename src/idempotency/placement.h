// Which gateways and which upstreams a key belongs to: rendezvous hashing over what this gateway knows of
// both. All gateways that know the same choose the same, and a change moves only the keys that it must.
#ifndef POSTSPREAD_IDEMPOTENCY_PLACEMENT_H_
#define POSTSPREAD_IDEMPOTENCY_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "idempotency/types.h"

namespace postspread::idempotency {

// The upstream group that a key's work is sent to, in proportion to the groups' ready upstreams; nothing:
// none is ready.
std::optional<UpstreamGroup> HomeGroup(const KeyId& key, std::span<const UpstreamGroup> groups);

// The `count` best of these gateways for a key, the best first.
std::vector<int> BestGateways(const KeyId& key, std::vector<int> ranks, std::size_t count);

// Of two gateways that claim a key at once, whether the first gets it.
bool TakesPrecedence(const KeyId& key, int rank, int other_rank);

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_PLACEMENT_H_
