#include "idempotency/placement.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "idempotency/digest.h"

namespace postspread::idempotency {
namespace {

// A candidate's lowest byte holds its kind, so that a group and a gateway with the same number have different
// scores.
constexpr std::uint64_t kGroupCandidate = 1;
constexpr std::uint64_t kGatewayCandidate = 2;

std::uint64_t GatewayScore(const KeyId& key, int rank) {
  return RendezvousScore(key, static_cast<std::uint64_t>(rank) << 8 | kGatewayCandidate);
}

// Returns the score of weighted rendezvous hashing: the weight divided by the negative logarithm of a uniform
// value in (0, 1).
double GroupScore(const KeyId& key, const UpstreamGroup& group) {
  const std::uint64_t hash =
      RendezvousScore(key, static_cast<std::uint64_t>(group.id) << 8 | kGroupCandidate);
  const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
  return static_cast<double>(group.ready) / -std::log(uniform);
}

}  // namespace

std::optional<UpstreamGroup> HomeGroup(const KeyId& key, std::span<const UpstreamGroup> groups) {
  std::optional<UpstreamGroup> best;
  double best_score = 0;
  for (const UpstreamGroup& group : groups) {
    if (group.ready == 0) continue;
    const double score = GroupScore(key, group);
    if (best && score <= best_score) continue;
    best = group;
    best_score = score;
  }
  return best;
}

std::vector<int> BestGateways(const KeyId& key, std::vector<int> ranks, std::size_t count) {
  struct Candidate {
    std::uint64_t score;
    int rank;
    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with 0
    auto operator<=>(const Candidate&) const = default;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(ranks.size());
  for (const int rank : ranks) candidates.push_back({GatewayScore(key, rank), rank});
  std::sort(candidates.rbegin(), candidates.rend());
  if (candidates.size() > count) candidates.resize(count);
  ranks.clear();
  for (const Candidate& candidate : candidates) ranks.push_back(candidate.rank);
  return ranks;
}

bool TakesPrecedence(const KeyId& key, int rank, int other_rank) {
  return GatewayScore(key, rank) > GatewayScore(key, other_rank);
}

}  // namespace postspread::idempotency
