// Assigns keys to gateways and to upstream groups by rendezvous hashing over those that this gateway knows.
// Gateways with the same knowledge choose the same, and a change of membership reassigns a minimum of keys.
#ifndef POSTSPREAD_IDEMPOTENCY_PLACEMENT_H_
#define POSTSPREAD_IDEMPOTENCY_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "idempotency/types.h"

namespace postspread::idempotency {

// Returns the upstream group to which a key's work is sent. Keys are distributed in proportion to the groups'
// ready upstreams. Returns nullopt if no upstream is ready.
std::optional<UpstreamGroup> HomeGroup(const KeyId& key, std::span<const UpstreamGroup> groups);

// Returns at most `count` of these gateways, with the highest scores for a key, in descending order.
std::vector<int> BestGateways(const KeyId& key, std::vector<int> ranks, std::size_t count);

// Returns whether `rank` gets a key that `other_rank` claims at the same time.
bool TakesPrecedence(const KeyId& key, int rank, int other_rank);

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_PLACEMENT_H_
