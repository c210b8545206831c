// What the membership view consists of: plain values.
#ifndef POSTSPREAD_MEMBERSHIP_TYPES_H_
#define POSTSPREAD_MEMBERSHIP_TYPES_H_

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace postspread::membership {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::microseconds;  // since the Unix epoch

// Where a member is reached: a rank of the configuration's `peers`, or an IPv4 address and port in 48 bits.
// Whoever owns the socket knows which; here it is only compared and handed back.
using PeerId = std::uint64_t;

inline constexpr std::size_t kMaxMembers = 1'000;
inline constexpr std::size_t kMaxName = 31;  // bytes
inline constexpr std::size_t kMaxDatagram = 1'400;
inline constexpr std::size_t kLeastDatagram = 128;

// kSuspect is this member's own judgement of the moment and is told to nobody.
enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
inline constexpr std::size_t kStates = 4;
constexpr std::string_view Name(State state) {
  constexpr std::string_view kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}
// A suspect lives until somebody has shown that it does not.
constexpr bool IsLive(State state) { return state <= State::kSuspect; }

// What is said of a member. Two words on one member merge to the greater one, so the merge is commutative,
// associative and idempotent, and words may be lost, doubled, late and out of order.
struct MemberUpdate {
  std::uint64_t incarnation = 0;  // milliseconds of the Unix epoch when its process started
  std::uint32_t refutations = 0;
  State state = State::kAlive;  // never kSuspect in a word that is told
  auto operator<=>(const MemberUpdate&) const =
      default;  // NOLINT(modernize-use-nullptr): taken for a comparison with 0
};
constexpr MemberUpdate Merge(const MemberUpdate& a, const MemberUpdate& b) { return std::max(a, b); }

struct Member {
  std::string name;
  PeerId peer = 0;
  MemberUpdate update;
  TimePoint since{0};  // when its state or life last changed here
};

// The view, as a value. `hash` is equal exactly where the sets of living members and their lives are.
struct View {
  std::uint64_t epoch = 0;  // rises with each change of the set of living members and lives
  std::uint64_t hash = 0;
  std::vector<Member> members;  // by name, the own one included; dead and left ones until they are forgotten
};

// What an operator sets: the block `fleet`.
struct Limits {
  bool enabled = false;
  std::string name = "fleet";      // of the fleet: datagrams of any other are dropped
  std::vector<std::string> seeds;  // addresses; none: the configuration's `peers`
  std::string listen;              // none: the configuration's `peer_listen`
  std::size_t datagram = 256;      // bytes
  double datagrams_per_second = 20;
  std::chrono::milliseconds period{1'000};
  std::chrono::milliseconds suspicion{3'000};
  std::chrono::milliseconds forget{600'000};
  bool operator==(const Limits&) const = default;
};

// A defence that a test switches off, to see that the test tells. Nothing else may.
enum class DisabledDefense {
  kNothing,
  kRefutation,
  kIncarnations,
  kLocalHealth,
  kAskingAgain,
  kOrder,
  kBudget,
  kKnocking,
  kHelp
};

struct Change {
  std::string name;
  std::uint64_t incarnation = 0;
  State from = State::kLeft, to = State::kAlive;
  bool is_new = false;   // not known before, or in another life
  bool by_self = false;  // this member's own judgement, not hearsay
};

struct Counts {
  std::uint64_t sent = 0, bytes_sent = 0, received = 0;
  std::uint64_t suspicions_raised = 0;   // by this member ...
  std::uint64_t suspicions_refuted = 0;  // ... and answered by the suspect
  std::uint64_t own_refutations = 0;     // of what was said of this member
  std::uint64_t deaths_declared = 0;     // by this member
  std::uint64_t view_changes = 0;
  std::uint64_t name_conflicts = 0;  // another process bears a living member's name
  // Dropped, by cause.
  std::uint64_t unreadable = 0, foreign = 0, future = 0, former_incarnation = 0, unasked = 0, no_room = 0;
  std::uint64_t held_back = 0;  // not sent for want of budget
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_TYPES_H_
